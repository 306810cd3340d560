use linnet_claim::DeferredQuery;

use super::*;

const WITHIN: Duration = Duration::from_millis(50);

fn call() -> ControlCall {
    ControlCall::Query(DeferredQuery::Fetch {
        account: "acme".to_owned(),
        handle: "h-1".to_owned(),
    })
}

/// Nobody sends it, as while the next control host is called.
#[test]
fn a_call_that_was_not_sent_in_time_was_not_taken_and_is_not_sent_later() {
    let test = async {
        let (link, mut queues) = ControlLink::new();
        let failure = link.submit("r-1", call(), WITHIN).await;
        assert_eq!(failure.err(), Some(CallFailure::NotTaken));
        let late = queues.queue.recv().await;
        assert!(late.is_some_and(|queued| !queued.claim.take()));
    };
    ntex::rt::System::new("link", ntex::rt::DefaultRuntime).block_on(test);
}

#[test]
fn a_call_that_was_sent_and_not_answered_in_time_may_have_been_taken() {
    let test = async {
        let (link, mut queues) = ControlLink::new();
        ntex::rt::spawn(async move {
            let queued = queues.queue.recv().await;
            assert!(queued.as_ref().is_some_and(|queued| queued.claim.take()));
            sleep(WITHIN * 10).await;
            drop(queued);
        });
        let failure = link.submit("r-1", call(), WITHIN).await;
        assert_eq!(failure.err(), Some(CallFailure::Unknown));
    };
    ntex::rt::System::new("link", ntex::rt::DefaultRuntime).block_on(test);
}
