//! The data path of an entry host: takes callers' requests, runs their stages, sends them to
//! targets and passes the answers on.
//!
//! - [`Gateway`] is what one process shares: configuration, targets, connections, counters.
//! - [`Dialect`] is how callers and targets speak; the gateway itself knows no names of theirs.
//! - [`serve_callers`] runs the callers' port, [`serve_pieces`] the port for other entry hosts.

mod admission;
mod answer;
mod ask;
mod attempt;
mod body;
mod budget;
mod caller_watch;
mod choose;
mod closed_service;
mod cold;
mod confinement;
mod coordinator;
mod dialect;
mod engine;
mod events;
mod first_form;
mod forward;
mod gateway;
mod graph;
mod hall_bytes;
mod home_halls;
mod in_flight;
mod load;
mod metrics;
mod notice;
mod notice_store;
mod open_request;
mod outcome;
mod path_time;
mod peer_queue;
mod piece;
mod piece_message;
mod pool_key;
mod rate_tracker;
mod relay;
mod rendezvous;
mod rollouts;
mod run_permit;
mod schedule;
mod send_gate;
mod send_permit;
mod send_permit_issuer;
mod serve;
mod serve_pieces;
mod stage_call;
mod stage_client;
mod suspects;
mod target;
mod target_crash;
mod target_restriction;
mod target_slowness;
mod upstream;
mod version_split;
mod wait_model;

pub use body::{AnswerBody, BrokenAnswer};
pub use dialect::{CallerDialect, Dialect, HeaderNames, StageAnswer, StageItem, TargetDialect};
pub use gateway::{Gateway, GatewayConfig, NotReady};
pub use outcome::{Refusal, RefusalReason};
pub use piece::{PieceFault, PieceInput, StageWork};
pub use serve::serve_callers;
pub use serve_pieces::serve_pieces;
