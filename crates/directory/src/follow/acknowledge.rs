//! When updates are acknowledged to the control host that sent them.

use std::pin::Pin;

use tokio::sync::{mpsc, watch};

/// Begins to wait until followers know what this process knows now.
pub type PropagationWait = Box<dyn Fn() -> Pin<Box<dyn Future<Output = ()>>>>;

/// An update that was taken.
pub(super) struct AppliedUpdate {
    pub(super) revision: u64,
    /// Whether it takes a target out of work.
    pub(super) withdraws: bool,
}

/// Acknowledges updates in their order: one that takes a target out of work once those that follow this process know
/// of it.
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
