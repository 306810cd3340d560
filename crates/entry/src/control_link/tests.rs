use linnet_claim::DeferredQuery;

use super::*;

const CALL_TIMEOUT: Duration = Duration::from_millis(50);

fn call() -> ControlCall {
    ControlCall::Query(DeferredQuery::Fetch {
        account: "acme".to_owned(),
        handle: "h-1".to_owned(),
    })
}

/// Simulates the time in which the link connects to the next control host: nothing serves the
/// queue.
#[test]
fn a_call_that_was_not_sent_in_time_was_not_applied_and_is_not_sent_later() {
    let test = async {
        let (link, mut queues) = ControlLink::new();
        let failure = link.submit("r-1", call(), CALL_TIMEOUT).await;
        assert_eq!(failure.err(), Some(CallFailure::NotApplied));
        let late = queues.queue.recv().await;
        assert!(late.is_some_and(|queued| !queued.token.try_take()));
    };
    ntex::rt::System::new("link", ntex::rt::DefaultRuntime).block_on(test);
}

#[test]
fn a_call_that_was_sent_without_a_reply_in_time_may_have_been_applied() {
    let test = async {
        let (link, mut queues) = ControlLink::new();
        ntex::rt::spawn(async move {
            let queued = queues.queue.recv().await;
            assert!(
                queued
                    .as_ref()
                    .is_some_and(|queued| queued.token.try_take())
            );
            sleep(CALL_TIMEOUT * 10).await;
            drop(queued);
        });
        let failure = link.submit("r-1", call(), CALL_TIMEOUT).await;
        assert_eq!(failure.err(), Some(CallFailure::Unknown));
    };
    ntex::rt::System::new("link", ntex::rt::DefaultRuntime).block_on(test);
}
