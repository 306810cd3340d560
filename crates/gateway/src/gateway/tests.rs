use http::{HeaderName, StatusCode};
use linnet_directory::TargetRecord;
use linnet_routing::RoutingConfig;
use linnet_telemetry::HybridClock;
use linnet_wire::{PeerKey, PeerKeyRing};

use super::target_list::MIN_REFRESH_INTERVAL;
use super::*;
use crate::{CallerProtocol, HeaderNames, TargetProtocol};

const TARGETS: u16 = 285;
const CONTROL_HOSTS: u16 = 5;

fn header(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}

pub(crate) fn protocol() -> Protocol {
    Protocol {
        headers: HeaderNames {
            request_id: header("x-request"),
            deadline_ms: header("x-deadline"),
            seal: header("x-seal"),
            account: header("x-account"),
            expect_target: header("x-target"),
            not_run: header("x-not-run"),
            leaving: header("x-leaving"),
            rate: header("x-rate"),
            load: header("x-load"),
            priority: header("x-priority"),
            prompt_parts: header("x-parts"),
            tokens: header("x-tokens"),
            piece_counts: header("x-pieces"),
            piece_key: header("x-piece-key"),
            results: header("x-results"),
            last_event: header("x-last-event"),
            resumes: header("x-resumes"),
        },
        callers: CallerProtocol {
            private: Vec::new(),
            status: |_| StatusCode::SERVICE_UNAVAILABLE,
        },
        targets: TargetProtocol {
            stage_run_path: "/run",
            stage_free_path: "/free",
            encode_stage_run: |_| Vec::new(),
            decode_stage_run: |_| None,
            encode_stage_free: |_| Vec::new(),
            report_path: "/report",
            decode_free_bytes: |_| None,
            decode_born: |_| None,
            other_target: StatusCode::MISDIRECTED_REQUEST,
            turned_away: StatusCode::SERVICE_UNAVAILABLE,
            inputs_gone: StatusCode::CONFLICT,
        },
    }
}

fn gateway() -> Rc<Gateway> {
    gateway_with(OverloadPolicy::default(), None)
}

/// Returns a gateway that reads any document as `config`.
pub(crate) fn gateway_with(overload: OverloadPolicy, config: Option<RoutingConfig>) -> Rc<Gateway> {
    let clock = Arc::new(HybridClock::new());
    let read_config = move |_: &[u8]| config.clone().ok_or("no configuration".to_owned());
    Gateway::new(GatewayConfig {
        protocol: protocol(),
        read_config: Box::new(read_config),
        identity: PeerIdentity {
            name: "host".to_owned(),
            keys: PeerKeyRing::new(vec![PeerKey::new("key", [7; 32])]),
            clock: clock.clone(),
        },
        recorder: Arc::new(EventRecorder::new("host", clock)),
        name: "host".to_owned(),
        hall: "hall-0".to_owned(),
        hall_regions: Default::default(),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        retry_window: Duration::from_secs(10),
        heartbeat_interval: Duration::from_secs(1),
        max_startup_wait: Duration::ZERO,
        shared_bytes_per_s: 250_000.0,
        processor_capacity: 0,
        target_address_map: Default::default(),
        overload,
    })
}

pub(crate) fn refresh_targets(gateway: &Gateway) {
    gateway.refresh_targets();
}

pub(crate) fn run(test: impl Future<Output = ()> + 'static) {
    ntex::rt::System::new("gateway", ntex::rt::DefaultRuntime).block_on(test);
}

fn control(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 1_000 + number))
}

fn target_update(number: u16, state: TargetState) -> DirectoryUpdate {
    let record = TargetRecord {
        version: String::new(),
        id: format!("t-{number}"),
        born: 0,
        service: "engines".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 3], 1_000 + number)),
        hall: format!("hall-{}", number % 5),
        slots: 64,
        state,
        sequence: 1,
        silent: false,
        cold_ms: 0,
    };
    DirectoryUpdate {
        targets: vec![record],
        ..DirectoryUpdate::default()
    }
}

/// 285 targets register one by one at five control hosts, as after a power failure. A refresh of
/// the target list for each of the 1,425 messages kept entry hosts busy for 3 s.
#[test]
fn target_updates_in_quick_succession_cause_one_refresh() {
    run(async {
        let gateway = gateway();
        let started = Instant::now();
        for number in 0..TARGETS {
            for from in 0..CONTROL_HOSTS {
                gateway.apply_update(control(from), target_update(number, TargetState::Ready));
            }
            tokio::task::yield_now().await;
        }
        while gateway.metrics.targets_known.get() < i64::from(TARGETS) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let intervals = started.elapsed().as_millis() / MIN_REFRESH_INTERVAL.as_millis();
        let lists = u128::from(gateway.metrics.target_lists.get());
        assert!(
            lists <= intervals + 2,
            "{lists} refreshes in {intervals} intervals"
        );
    });
}

/// The control host receives the acknowledgement of the update as soon as `apply_update` returns,
/// and then notifies the target that it gets no more work. The target must be out of the list by
/// then.
#[test]
fn a_draining_target_is_removed_from_the_list_at_once() {
    run(async {
        let gateway = gateway();
        for number in 0..3 {
            gateway.apply_update(control(0), target_update(number, TargetState::Ready));
        }
        while gateway.metrics.targets_known.get() < 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        gateway.apply_update(control(1), target_update(1, TargetState::Draining));
        assert!(!gateway.targets.borrow().contains("engines", "t-1"));
        assert!(gateway.targets.borrow().contains("engines", "t-2"));
        // The same state from another control host causes no refresh.
        let lists = gateway.metrics.target_lists.get();
        gateway.apply_update(control(0), target_update(1, TargetState::Draining));
        assert_eq!(gateway.metrics.target_lists.get(), lists);
    });
}

/// Prints what one change of a target costs a host, in microseconds, by the number of targets:
/// `cargo test --release -p linnet-gateway -- --ignored --nocapture measure_a_change`.
#[test]
#[ignore = "measures"]
fn measure_a_change_of_a_target() {
    for targets in [300, 1_000, 3_000, 10_000] {
        run(async move {
            let gateway = gateway();
            for number in 0..targets {
                for from in 0..3 {
                    gateway.apply_update(control(from), target_update(number, TargetState::Ready));
                }
            }
            gateway.refresh_targets();
            const ROUNDS: u16 = 100;
            let started = Instant::now();
            for round in 0..ROUNDS {
                let mut update = target_update(round, TargetState::Ready);
                update.targets[0].sequence = 2;
                update.targets[0].slots = 65;
                gateway.apply_update(control(0), update);
                gateway.refresh_targets();
            }
            let micros = started.elapsed().as_micros() / u128::from(ROUNDS);
            println!("a change of one of {targets} targets: {micros} us");
        });
    }
}
