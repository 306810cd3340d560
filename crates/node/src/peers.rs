//! Keys towards other processes of the system.

use std::path::Path;
use std::sync::Arc;

use linnet_telemetry::HybridClock;
use linnet_wire::{KeyError, PeerIdentity, PeerKey, PeerKeyRing};

use crate::NodeSettings;

/// The setting under which processes take each other's word.
const NO_KEYS: &str = "none";

/// The key that everybody knows. Messages are still checked against damage, but anybody who reaches
/// the peer port may speak: the network has to keep others away from it.
const WELL_KNOWN_KEY: [u8; 32] = [0; 32];

/// Returns name, keys and clock of this process.
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
