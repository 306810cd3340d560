//! The data path of an entry host: takes callers' requests, runs their stages, sends them to
//! targets and passes the answers on.
//!
//! - [`Gateway`] is what one process shares: configuration, targets, connections, counters.
//! - [`Dialect`] is how callers and targets speak; the gateway itself knows no names of theirs.
//! - [`serve_callers`] runs the callers' port, [`serve_pieces`] the port for other entry hosts.

mod admission;
mod attempt;
mod body;
mod budget;
mod caller_request;
mod caller_watch;
mod closed_service;
mod cold;
mod confinement;
mod coordinator;
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
mod message_heads;
mod metrics;
mod notice;
mod notice_book;
mod open_request;
mod outcome;
mod path_time;
mod peer_queue;
mod piece;
mod piece_message;
mod pool_key;
mod protocol;
mod rate_permit;
mod rate_turn;
mod rate_watch;
mod relay;
mod rendezvous;
mod rollouts;
mod schedule;
mod send_gate;
mod serve;
mod serve_pieces;
mod stage_call;
mod stage_client;
mod suspects;
mod target;
mod target_ask;
mod target_end;
mod target_selection;
mod target_slowness;
mod turn;
mod upstream;
mod version_split;
mod wait_model;

pub use body::{IncompleteResponse, ResponseBody};
pub use gateway::{Gateway, GatewayConfig, NotReady};
pub use outcome::{Refusal, RefusalReason};
pub use piece::{PieceFault, PieceInput, StageWork};
pub use protocol::{
    CallerProtocol, HeaderNames, Protocol, StageItem, StageResponse, TargetProtocol,
};
pub use serve::serve_callers;
pub use serve_pieces::serve_pieces;
