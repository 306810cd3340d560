//! Sends queued messages to another entry host.

use linnet_wire::{PeerWriter, WireError};
use tokio::sync::mpsc::UnboundedReceiver;

/// Sends a message and the queued messages behind it in one write, as far as the writer's buffer
/// holds them: after a call to a stage target several hosts are notified at once, and each write
/// costs a system call. `buffer` adds a message to the writer and returns whether the buffer is
/// full.
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
