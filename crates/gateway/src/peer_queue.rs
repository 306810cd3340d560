//! Sends what waits for another entry host.

use linnet_wire::{PeerWriter, WireError};
use tokio::sync::mpsc::UnboundedReceiver;

/// Sends a message and those that wait behind it in one write, as far as it holds them: after a call to
/// a stage target several hosts are told at once, and each write costs a system call. `put` lets one wait in
/// the writer and says whether that is full.
pub(crate) async fn write_queued<M>(
    first: &M,
    queue: &mut UnboundedReceiver<M>,
    writer: &mut PeerWriter,
    buffer: impl Fn(&mut PeerWriter, &M) -> Result<bool, WireError>,
) -> Result<(), WireError> {
    let mut is_full = buffer(writer, first)?;
    while !is_full && let Ok(next) = queue.try_recv() {
        is_full = buffer(writer, &next)?;
    }
    writer.flush().await
}
