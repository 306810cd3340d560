//! When updates are acknowledged to the control host that sent them.

use std::pin::Pin;

use tokio::sync::{mpsc, watch};

/// Begins to wait until followers know what this process knows now.
pub type SpreadWait = Box<dyn Fn() -> Pin<Box<dyn Future<Output = ()>>>>;

/// An update that was taken.
pub(super) struct TakenUpdate {
    pub(super) number: u64,
    /// Whether it takes a target out of work.
    pub(super) withdraws: bool,
}

/// Acknowledges updates in their order: one that takes a target out of work once those that follow this process know
/// of it.
pub(super) async fn acknowledge(
    spread: Option<&SpreadWait>,
    mut taking: mpsc::UnboundedReceiver<TakenUpdate>,
    taken: watch::Sender<u64>,
) {
    while let Some(first) = taking.recv().await {
        let (mut number, mut withdraws) = (first.number, first.withdraws);
        while let Ok(next) = taking.try_recv() {
            number = next.number;
            withdraws |= next.withdraws;
        }
        if let Some(spread) = spread.filter(|_| withdraws) {
            spread().await;
        }
        taken.send_if_modified(|last| std::mem::replace(last, number) != number);
    }
}
