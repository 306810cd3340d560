use super::*;

fn update(revision: u64, withdraws: bool) -> AppliedUpdate {
    AppliedUpdate {
        revision,
        withdraws,
    }
}

/// An update that arrives while a withdrawal is passed on must not be acknowledged before it.
#[ntex::test]
async fn later_updates_are_not_acknowledged_before_a_withdrawal_is_passed_on() {
    let (updates, applied) = mpsc::unbounded_channel();
    let (passed_on, waiting) = watch::channel(false);
    let propagation: PropagationWait = Box::new(move || {
        let mut waiting = waiting.clone();
        Box::pin(async move {
            let _ = waiting.wait_for(|done| *done).await;
        })
    });
    let (sender, mut acknowledged) = watch::channel(0);
    ntex::rt::spawn(async move { acknowledge(Some(&propagation), applied, sender).await });
    updates.send(update(3, false)).expect("running");
    let _ = acknowledged.wait_for(|revision| *revision == 3).await;
    updates.send(update(4, true)).expect("running");
    updates.send(update(5, false)).expect("running");
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
    assert_eq!(*acknowledged.borrow(), 3);
    passed_on.send_replace(true);
    let _ = acknowledged.wait_for(|revision| *revision == 5).await;
    assert_eq!(*acknowledged.borrow(), 5);
}
