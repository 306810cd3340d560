//! Framed, authenticated messages between linnetdale's own processes.
//!
//! - [`PeerKeyRing`] holds the shared keys; keys are rotated without a restart.
//! - [`connect_peer`] and [`accept_peer`] perform the handshake over TCP.
//! - [`PeerReader`] and [`PeerWriter`] transfer `postcard` messages, each with a clock stamp and a
//!   keyed hash that also covers its sequence number.
//! - [`MessageVersion`] is the version of the messages that both ends of a connection support.
//! - [`seal_datagram`] and [`open_datagram`] encode and verify authenticated UDP datagrams.

mod datagram;
mod error;
mod greeting;
mod handshake;
mod key;
mod message_version;
mod stream;
mod traffic;

pub use datagram::{MAX_DATAGRAM_BYTES, OpenDatagram, open_datagram, seal_datagram};
pub use error::{WireCause, WireError, WireStep};
pub use greeting::PeerGreeting;
pub use handshake::{HANDSHAKE_TIMEOUT, PeerIdentity, accept_peer, connect_peer};
pub use key::{KeyError, PeerKey, PeerKeyRing};
pub use message_version::MessageVersion;
pub use stream::{MAX_MESSAGE_BYTES, PeerReader, PeerWriter, Session};
pub use traffic::{PEER_TRAFFIC, PeerTraffic};
