use super::*;
use crate::OverloadPolicy;
use crate::gateway::tests::run;
use crate::overload::tests::{idle_gateway, request};

/// Returns the load of a host whose timers have been late by `lateness` for some time.
async fn load_with_lateness(lateness: Duration) -> HostLoad {
    let load = HostLoad::default();
    for _ in 0..6 {
        load.record_lateness(lateness, 0);
        tokio::time::sleep(BUSY_SAMPLE_INTERVAL + Duration::from_millis(1)).await;
    }
    load
}

/// Guards against requests that a delayed host holds until their deadline.
#[test]
fn a_request_that_would_wait_for_its_host_until_its_deadline_is_hopeless() {
    run(async {
        let gateway = idle_gateway(OverloadPolicy::default());
        let load = load_with_lateness(Duration::from_millis(500)).await;
        assert!(load.is_hopeless(&request(&gateway, 1_500)));
        assert!(!load.is_hopeless(&request(&gateway, 60_000)));
        assert!(!HostLoad::default().is_hopeless(&request(&gateway, 50)));
    });
}

#[test]
fn requests_that_wait_more_often_than_expected_are_hopeless_earlier() {
    run(async {
        let gateway = idle_gateway(OverloadPolicy::default());
        let load = load_with_lateness(Duration::from_millis(100)).await;
        assert!(!load.is_hopeless(&request(&gateway, 1_000)));
        let mut answered = request(&gateway, 60_000);
        answered.arrived_at -= Duration::from_millis(1_500);
        for _ in 0..60 {
            load.record_own_time(&answered, Duration::ZERO);
        }
        assert!(load.is_hopeless(&request(&gateway, 1_000)));
    });
}
