//! Acknowledgement of updates to the control host that sent them.

use std::pin::Pin;

use tokio::sync::{mpsc, watch};

/// Starts to wait until the followers of this process have received its current state.
pub type PropagationWait = Box<dyn Fn() -> Pin<Box<dyn Future<Output = ()>>>>;

/// An update that was received and applied.
pub(super) struct AppliedUpdate {
    pub(super) revision: u64,
    /// Whether the update withdraws a target.
    pub(super) withdraws: bool,
}

/// Acknowledges updates in order. An update that withdraws a target is acknowledged once the
/// followers of this process have received the withdrawal.
pub(super) async fn acknowledge(
    propagation: Option<&PropagationWait>,
    mut applied: mpsc::UnboundedReceiver<AppliedUpdate>,
    acknowledged_sender: watch::Sender<u64>,
) {
    while let Some(first) = applied.recv().await {
        let (mut revision, mut withdraws) = (first.revision, first.withdraws);
        while let Ok(next) = applied.try_recv() {
            revision = next.revision;
            withdraws |= next.withdraws;
        }
        if let Some(propagation) = propagation.filter(|_| withdraws) {
            propagation().await;
        }
        acknowledged_sender.send_if_modified(|last| std::mem::replace(last, revision) != revision);
    }
}

#[cfg(test)]
mod tests;
