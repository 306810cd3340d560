//! The data path of an entry host: accepts callers' requests, runs their stages, forwards them to
//! targets and relays the responses.
//!
//! - [`Gateway`] is the state that all tasks of one process share: configuration, targets,
//!   connections, metrics.
//! - [`Protocol`] defines the header names, paths, codecs and status codes of a deployment. The
//!   gateway itself hard-codes none of them.
//! - [`serve_callers`] serves the port for callers, [`serve_pieces()`] and [`serve_tunnel`] the port
//!   for other entry hosts.

mod admission;
mod allowed_halls;
mod attempt;
mod body;
mod body_framing;
mod caller_disconnect;
mod caller_headers;
mod caller_request;
mod cold;
mod completed_runs;
mod config_age;
mod confinement;
mod connection_use;
mod coordinator;
mod dead_peer;
mod engine;
mod event_cursor;
mod events;
mod forward;
mod gateway;
mod graph;
mod hall_bytes;
mod held_bytes;
mod host_load;
mod in_flight;
mod incarnation;
mod incomplete_answer;
mod message_heads;
mod message_v1;
mod metrics;
mod notice;
mod notice_store;
mod open_request;
mod outcome;
mod overload;
mod part_suspects;
mod path_time;
mod peer_queue;
mod piece;
mod piece_message;
mod planned_stop;
mod pool_key;
mod prompt;
mod protocol;
mod rank;
mod rate_tracker;
mod relay;
mod rendezvous;
mod reported_load;
mod request_sends;
mod response_body;
mod retry_budget;
mod retry_cause;
mod retry_reservation;
mod rollouts;
mod run_permit;
mod run_times;
mod schedule;
mod send_error;
mod send_gate;
mod send_permit;
mod send_permit_issuer;
mod serve;
mod serve_pieces;
mod service_availability;
mod stage_call;
mod stage_client;
mod stated_start;
mod stream_origins;
mod stream_trace;
mod suspects;
mod takeup_trace;
mod target;
mod target_crash;
mod target_links;
mod target_restriction;
mod target_selection;
mod target_slowness;
mod target_state;
mod tunnel;
mod tunnel_server;
mod unframed_end;
mod upstream;
mod version_split;
mod wait_model;

pub use body::{IncompleteResponse, ResponseBody};
pub use gateway::{Gateway, GatewayConfig, NotReady};
pub use outcome::{Refusal, RefusalReason};
pub use overload::OverloadPolicy;
pub use piece::{PieceFault, PieceInput, StageWork};
pub use protocol::{
    CallerProtocol, HeaderNames, Protocol, StageItem, StageResponse, TargetProtocol,
};
pub use serve::serve_callers;
pub use serve_pieces::serve_pieces;
pub use tunnel_server::serve_tunnel;
