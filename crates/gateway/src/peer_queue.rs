//! Sends what waits for another entry host.

use linnet_wire::{PeerWriter, WireError};
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;

/// Sends a message and those that wait behind it in one write, as far as it holds them: after a call to
/// a stage target several hosts are told at once, and each write costs a system call.
pub(crate) async fn send_waiting<M: Serialize>(
    first: &M,
    queue: &mut UnboundedReceiver<M>,
    writer: &mut PeerWriter,
) -> Result<(), WireError> {
    let mut is_full = writer.queue(first)?;
    while !is_full && let Ok(next) = queue.try_recv() {
        is_full = writer.queue(&next)?;
    }
    writer.flush().await
}
