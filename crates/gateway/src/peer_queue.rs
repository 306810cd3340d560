//! Sends what waits for another entry host.

use linnet_wire::{PeerWriter, WireError};
use tokio::sync::mpsc::UnboundedReceiver;

/// Sends a message and those that wait behind it in one write, as far as it holds them: after a call to
/// a stage target several hosts are told at once, and each write costs a system call. `put` lets one wait in
/// the writer and says whether that is full.
pub(crate) async fn send_waiting<M>(
    first: &M,
    queue: &mut UnboundedReceiver<M>,
    writer: &mut PeerWriter,
    put: impl Fn(&mut PeerWriter, &M) -> Result<bool, WireError>,
) -> Result<(), WireError> {
    let mut is_full = put(writer, first)?;
    while !is_full && let Ok(next) = queue.try_recv() {
        is_full = put(writer, &next)?;
    }
    writer.flush().await
}
