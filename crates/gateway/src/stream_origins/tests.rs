#![allow(clippy::unwrap_used, clippy::expect_used)]

use http::HeaderValue;
use linnet_directory::{DirectoryUpdate, TargetRecord};

use linnet_routing::RouteKind;

use super::*;
use crate::gateway::tests::run;
use crate::overload::tests::{idle_gateway, request};
use crate::target::tests::record;

/// Returns a request that takes up the stream of the request `resumes`.
fn take_up(gateway: &Gateway, id: &str, resumes: &str) -> CallerRequest {
    let names = &gateway.config.protocol.headers;
    let mut request = request(gateway, 10_000);
    request.id = id.to_owned();
    request.route.kind = RouteKind::Streaming;
    request.route.resumable = true;
    request.takes_up_stream = true;
    let headers = &mut request.headers;
    headers.insert(&names.last_event, HeaderValue::from_static("2"));
    headers.insert(&names.resumes, HeaderValue::from_str(resumes).unwrap());
    request
}

/// Guards against callers that are refused because the attempt that they name, which took up a stream
/// itself, broke before its first event.
#[test]
fn a_stream_is_taken_up_after_an_attempt_without_events() {
    run(async {
        let gateway = idle_gateway(Default::default());
        let first = take_up(&gateway, "second", "first");
        let service = first.route.split[0].service.clone();
        let records = ["v1", "v2"].map(|version| TargetRecord {
            service: service.clone(),
            version: version.to_owned(),
            ..record(version, 1)
        });
        let now = std::time::Instant::now();
        gateway.targets.borrow_mut().replace(&records, now);
        let origin = StreamOrigin {
            service: service.clone(),
            version: "v1".to_owned(),
        };
        let stream = stream_key(&first, "first");
        let lifetime = Duration::from_secs(10);
        gateway.stream_origins.bind(stream, &origin, lifetime);
        let bound = gateway.bind_taken_up_stream(&first).await;
        assert!(matches!(bound, Ok(Some(_))), "the first one to take it up");
        let second = take_up(&gateway, "third", "second");
        let bound = gateway.bind_taken_up_stream(&second).await;
        assert!(matches!(bound, Ok(Some(_))), "the second one");
    });
}

/// Guards against a host that hears of no target any more and takes the versions that it knows for all.
#[test]
fn a_host_without_control_hosts_knows_no_sole_version() {
    run(async {
        let gateway = idle_gateway(Default::default());
        let mut request = take_up(&gateway, "second", "unknown");
        request.route.timeout_ms = 20;
        let service = request.route.split[0].service.clone();
        let listed = TargetRecord {
            service,
            version: "v1".to_owned(),
            ..record("t-1", 1)
        };
        let now = std::time::Instant::now();
        gateway.targets.borrow_mut().replace(&[listed], now);
        let observed = gateway.bind_taken_up_stream(&request).await;
        assert!(observed.is_err(), "observed for too short a time");
        gateway.mark_control_lost(std::net::SocketAddr::from(([127, 0, 0, 2], 1_000)));
        tokio::time::sleep(Duration::from_millis(100)).await;
        // Targets of another version may have begun the stream since.
        let bound = gateway.bind_taken_up_stream(&request).await;
        assert!(bound.is_err(), "{bound:?}");
    });
}

/// Returns a host that has observed a service with one version, and a request of unknown origin for it.
async fn observed_gateway() -> (std::rc::Rc<Gateway>, CallerRequest) {
    let gateway = idle_gateway(Default::default());
    let mut request = take_up(&gateway, "second", "unknown");
    request.route.timeout_ms = 20;
    gateway.apply_update(CONTROL.into(), listing(&request, "v1"));
    tokio::time::sleep(Duration::from_millis(30)).await;
    (gateway, request)
}

const CONTROL: ([u8; 4], u16) = ([127, 0, 0, 2], 1_000);

/// Returns an update that lists a target of a version, and says that there are no others.
fn listing(request: &CallerRequest, version: &str) -> DirectoryUpdate {
    let record = TargetRecord {
        service: request.route.split[0].service.clone(),
        version: version.to_owned(),
        ..record(version, 1)
    };
    DirectoryUpdate {
        targets: vec![record],
        lists_complete: true,
        ..DirectoryUpdate::default()
    }
}

/// Guards against a host that has just been cut off, and takes the versions that it lists for all.
#[test]
fn a_host_that_hears_no_update_after_a_request_knows_no_sole_version() {
    run(async {
        let (gateway, request) = observed_gateway().await;
        assert!(gateway.sole_origin(&request).is_some(), "by its lists");
        let bound = gateway.bind_taken_up_stream(&request).await;
        assert!(bound.is_err(), "{bound:?}");
    });
}

/// Guards against streams that are refused although the lists are current, and against ones that go on at
/// the version that was the only one when the request arrived.
#[test]
fn updates_after_a_request_confirm_a_sole_version_unless_they_list_another_one() {
    for (version, is_served) in [("v1", true), ("v2", false)] {
        run(async move {
            let (gateway, request) = observed_gateway().await;
            let updates = async {
                loop {
                    gateway.apply_update(CONTROL.into(), listing(&request, version));
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            let bound = tokio::select! {
                bound = gateway.bind_taken_up_stream(&request) => bound,
                () = updates => unreachable!("updates do not end"),
            };
            assert_eq!(bound.is_ok(), is_served, "{version}: {bound:?}");
        });
    }
}
