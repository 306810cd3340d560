use std::cell::Cell;

use super::*;

/// Guards against crashes of stage targets that nobody learns of because the probe was slow: the
/// request that caused them crashed one target after the other.
#[test]
fn a_crash_is_recorded_although_its_probe_takes_longer_than_the_call_waits() {
    let test = async {
        let (end_probe, probe) = oneshot::channel::<()>();
        let recorded = Rc::new(Cell::new(false));
        let record = recorded.clone();
        let has_crashed = async move {
            let _ = probe.await;
            record.set(true);
            true
        };
        let outcome = outcome_after_check("reset".to_owned(), has_crashed).await;
        assert_eq!(outcome, CallOutcome::ConnectionBroken("reset".to_owned()));
        end_probe.send(()).expect("the check goes on");
        while !recorded.get() {
            tokio::task::yield_now().await;
        }
    };
    ntex::rt::System::new("call", ntex::rt::DefaultRuntime).block_on(test);
}

#[test]
fn the_result_of_a_fast_probe_decides_on_the_call() {
    let test = async {
        let outcome =
            |crashed: bool| outcome_after_check("reset".to_owned(), async move { crashed });
        let crashed = CallOutcome::TargetCrashed("reset".to_owned());
        assert_eq!(outcome(true).await, crashed);
        let failed = CallOutcome::Failed("reset".to_owned());
        assert_eq!(outcome(false).await, failed);
    };
    ntex::rt::System::new("call", ntex::rt::DefaultRuntime).block_on(test);
}
