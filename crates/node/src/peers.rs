//! Keys that authenticate messages between processes of the system.

use std::path::Path;
use std::sync::Arc;

use linnet_telemetry::HybridClock;
use linnet_wire::{KeyError, PeerIdentity, PeerKey, PeerKeyRing};

use crate::NodeSettings;

/// The value of `cluster.peer_keys` that disables authentication between processes.
const NO_KEYS: &str = "none";

/// The key used without authentication. It is public: messages are still checked for corruption,
/// but any process that reaches the peer port can send valid ones, so the network has to restrict
/// access to it.
const WELL_KNOWN_KEY: [u8; 32] = [0; 32];

/// Returns the name, keys and clock that this process uses with peers.
pub(crate) fn peer_identity(
    settings: &NodeSettings,
    clock: Arc<HybridClock>,
) -> Result<PeerIdentity, KeyError> {
    let keys = if settings.cluster.peer_keys == NO_KEYS {
        PeerKeyRing::new(vec![PeerKey::new("open", WELL_KNOWN_KEY)])
    } else {
        PeerKeyRing::load(Path::new(&settings.cluster.peer_keys))?
    };
    Ok(PeerIdentity {
        name: settings.name.clone(),
        keys,
        clock,
    })
}
