use std::net::SocketAddr;

use linnet_directory::{DirectoryUpdate, TargetRecord, TargetState};
use linnet_routing::{Route, RouteKind, RoutingConfig, Service, Split, StagePool, StageSpec};

use super::*;
use crate::Gateway;
use crate::admission::admit;
use crate::caller_request::parse_request;
use crate::coordinator::ReturnRule;
use crate::path_time::estimate_path_time;
use crate::piece::{ExpectedPieces, PieceBatch, PieceInput, StageWork};
use crate::pool_key::{PoolKey, PoolMap};

pub(crate) use crate::gateway::tests::run;

const STAGE: &str = "stage";
pub(crate) const DESK: &str = "desk";
const TARGETS: u16 = 2;

fn config() -> RoutingConfig {
    let service = |name: &str, stage_pool| Service {
        name: name.to_owned(),
        health_path: "/".to_owned(),
        max_connections: 10,
        cold_per_s: 0.0,
        engine: None,
        stage_pool,
    };
    let pool = StagePool {
        slots: 1,
        queue: 0,
        batch: 8,
        call_ms: 150.0,
        piece_ms: 16.0,
        result_memory_bytes: 1_000_000,
        result_ttl_ms: 4_000,
        cold_per_s: 0.0,
    };
    let route = Route {
        name: "route".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 8_000,
        objective_ms: 1_000,
        priority: 1,
        split: vec![Split {
            service: DESK.to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        stages: vec![StageSpec {
            service: STAGE.to_owned(),
            depends_on: Vec::new(),
            result_bytes: 1_000,
        }],
        public: true,
        prefix_cached: false,
        resumable: false,
        event_gap_ms: 0,
        regions: Vec::new(),
    };
    RoutingConfig {
        version: 1,
        routes: vec![route],
        services: vec![service(STAGE, Some(pool)), service(DESK, None)],
        ..RoutingConfig::default()
    }
}

fn stage_target(number: u16) -> TargetRecord {
    TargetRecord {
        version: String::new(),
        id: format!("t-{number}"),
        born: 0,
        service: STAGE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 3], 1_000 + number)),
        hall: "hall-0".to_owned(),
        slots: 1,
        state: TargetState::Ready,
        sequence: 1,
        silent: false,
        cold_ms: 0,
    }
}

fn rank() -> Rank {
    Rank {
        account_priority: 1,
        route_priority: 1,
    }
}

/// Returns the key of the only partition of the stage pool.
pub(crate) fn pool(gateway: &Gateway) -> PoolKey {
    let pools = PoolMap::new(gateway.targets.borrow().iter());
    pools.partitions_of(STAGE)[0].0.clone()
}

/// Returns a host that coordinates a pool with targets and no work.
pub(crate) fn idle_gateway(policy: OverloadPolicy) -> Rc<Gateway> {
    let gateway = crate::gateway::tests::gateway_with(policy, Some(config()));
    gateway.apply_document(linnet_directory::StoredDocument::new(
        linnet_directory::Document {
            version: 1,
            body: Vec::new(),
        },
    ));
    let update = DirectoryUpdate {
        targets: (0..TARGETS).map(stage_target).collect(),
        ..DirectoryUpdate::default()
    };
    gateway.apply_update(SocketAddr::from(([127, 0, 0, 2], 1_000)), update);
    crate::gateway::tests::refresh_targets(&gateway);
    gateway
}

/// Returns a batch of pieces for a pool.
pub(crate) fn batch(pool: &PoolKey, number: u64, pieces: u32) -> PieceBatch {
    PieceBatch {
        number,
        pool: pool.clone(),
        rank: rank(),
        first_stage: false,
        objective_ms: 60_000,
        remaining_ms: 60_000,
        preferred_hall: None,
        allowed_halls: None,
        result_bytes: 1_000,
        request_key: Default::default(),
        isolated: false,
        work: StageWork {
            request: "request".to_owned(),
            stage: 0,
            input: PieceInput::Key("key".to_owned()),
        },
        piece_count: pieces,
    }
}

/// Returns a host that coordinates a pool with a queue of several seconds.
pub(crate) fn loaded_gateway(policy: OverloadPolicy) -> Rc<Gateway> {
    let gateway = idle_gateway(policy);
    let pool = pool(&gateway);
    let batch = batch(&pool, 0, 40);
    gateway
        .coordinator
        .submit(batch, ReturnRule::Allowed, |_| {});
    gateway.coordinator.expect_pieces(ExpectedPieces {
        pool,
        rank: rank(),
        pieces: 400,
    });
    gateway
}

/// Returns a request whose caller waits for `deadline_ms`.
pub(crate) fn request(gateway: &Gateway, deadline_ms: u64) -> CallerRequest {
    let head = http::Request::builder()
        .uri("/x")
        .header("host", "a.example")
        .header("x-request", "r1")
        .header("x-deadline", deadline_ms.to_string())
        .header("x-pieces", "4")
        .body(())
        .unwrap();
    let (head, ()) = head.into_parts();
    let table = gateway.route_table().expect("a configuration");
    let names = &gateway.config.protocol.headers;
    let mut request =
        parse_request(&table, names, &Default::default(), head, Instant::now()).unwrap();
    request.age = gateway.overload.age_of(&request);
    request
}

/// Sends a request to admission and returns the `retry-after` time if it is refused.
fn refused_for(gateway: &Gateway, request: &CallerRequest) -> Option<Duration> {
    let path = estimate_path_time(gateway, request);
    let refusal = admit(gateway, request, &path).err()?;
    Some(refusal.retry_after.expect("a retry-after time"))
}

fn returned(gateway: &Gateway, outcome: &'static str) -> u64 {
    let labels = crate::metrics::ReturnLabels { outcome };
    gateway.metrics.returned.get_or_create(&labels).get()
}

fn refusals(gateway: &Gateway, cause: &'static str) -> u64 {
    let labels = crate::metrics::RefusalLabels { cause };
    gateway.metrics.refusals.get_or_create(&labels).get()
}

const PLANNED: OverloadPolicy = OverloadPolicy {
    measured_waits: true,
    planned_returns: true,
    fair_shares: false,
    ordered_succession: false,
    queue_returns: false,
    confirm_slow_targets: false,
    min_accounts: 0,
};

/// Sends enough first attempts for the host to know the deadlines of the route.
fn teach_deadlines(gateway: &Gateway) {
    for _ in 0..200 {
        request(gateway, 8_000);
    }
}

/// Guards against a change of the `retry-after` times of hosts that do not plan returns.
#[test]
fn without_settings_refused_callers_return_within_the_former_range() {
    run(async {
        let gateway = loaded_gateway(OverloadPolicy::default());
        let request = request(&gateway, 8_000);
        let waits: Vec<Duration> = (0..200)
            .map(|_| refused_for(&gateway, &request).expect("a refusal"))
            .collect();
        let (least, most) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
        assert!(*least >= Duration::from_millis(900), "{least:?}");
        assert!(*most <= Duration::from_millis(2_200), "{most:?}");
        let spread = *most - *least;
        assert!(spread > Duration::from_millis(900), "{spread:?}");
        assert_eq!(refusals(&gateway, "queue"), 200);
    });
}

/// Guards against a change of the `retry-after` times of callers that cannot be served in time, on
/// hosts that do not plan returns.
#[test]
fn only_planned_returns_send_callers_without_a_chance_to_the_latest_useful_time() {
    run(async {
        let waits = |policy| {
            let gateway = loaded_gateway(policy);
            let request = request(&gateway, 1_200);
            let waits = (0..200).map(|_| refused_for(&gateway, &request).expect("a refusal"));
            waits.collect::<Vec<Duration>>()
        };
        let measured_only = OverloadPolicy {
            measured_waits: true,
            ..OverloadPolicy::default()
        };
        for policy in [OverloadPolicy::default(), measured_only] {
            for wait in waits(policy) {
                assert!((900..=2_200).contains(&wait.as_millis()), "{wait:?}");
            }
        }
        let planned = waits(PLANNED);
        for wait in &planned {
            assert!((100..=400).contains(&wait.as_millis()), "{wait:?}");
        }
        assert!(planned.iter().any(|wait| wait.as_millis() > 200));
    });
}

/// Guards against an age that shortens the objective of requests on hosts that do not plan returns.
#[test]
fn without_settings_the_objective_ignores_earlier_attempts() {
    run(async {
        let gateway = idle_gateway(OverloadPolicy::default());
        teach_deadlines(&gateway);
        let later = request(&gateway, 3_000);
        assert_eq!(later.age, Duration::ZERO);
        let left = later.objective_left();
        let left = left + later.arrived_at.elapsed();
        assert!(left >= Duration::from_millis(1_000), "{left:?}");
        assert!(refused_for(&gateway, &later).is_none());
        for outcome in ["in_time", "late", "refused"] {
            assert_eq!(returned(&gateway, outcome), 0, "{outcome}");
        }
    });
}

/// Guards against state and reports of accounts without the setting for fair shares.
#[test]
fn without_settings_no_account_use_is_recorded() {
    run(async {
        let gateway = idle_gateway(OverloadPolicy::default());
        refused_for(&gateway, &request(&gateway, 8_000));
        let shares = gateway.stage_client.account_shares();
        assert_eq!(shares.borrow().pool_count(), 0);
        let policy = OverloadPolicy {
            fair_shares: true,
            ..OverloadPolicy::default()
        };
        let gateway = idle_gateway(policy);
        refused_for(&gateway, &request(&gateway, 8_000));
        let shares = gateway.stage_client.account_shares();
        assert_eq!(shares.borrow().pool_count(), 1);
    });
}

/// Guards against returned requests that are not counted, or under the outcome of others.
#[test]
fn returned_requests_are_counted_by_the_decision_of_admission() {
    run(async {
        let gateway = idle_gateway(PLANNED);
        teach_deadlines(&gateway);
        // The objective of this one was missed before it returned.
        let late = request(&gateway, 3_000);
        assert!(late.age > Duration::from_secs(1), "{:?}", late.age);
        assert!(late.objective_left().is_zero());
        assert!(refused_for(&gateway, &late).is_none());
        assert!(late.is_late.get());
        assert_eq!(returned(&gateway, "late"), 1);
        let mut in_time = request(&gateway, 8_000);
        assert!(refused_for(&gateway, &in_time).is_none());
        assert_eq!(returned(&gateway, "in_time"), 0, "a first attempt");
        in_time.age = Duration::from_millis(100);
        assert!(refused_for(&gateway, &in_time).is_none());
        assert_eq!(returned(&gateway, "in_time"), 1);
        let gateway = loaded_gateway(PLANNED);
        in_time.age = Duration::from_millis(600);
        assert!(refused_for(&gateway, &in_time).is_some());
        assert_eq!(returned(&gateway, "refused"), 1);
        assert_eq!(refusals(&gateway, "queue"), 1);
        assert_eq!(refusals(&gateway, "share"), 0);
    });
}

/// Guards against policies in a deployment whose configuration does not call for them: below the
/// number of client accounts nothing differs, and a later configuration may enable them.
#[test]
fn policies_apply_from_their_number_of_client_accounts() {
    let policy = OverloadPolicy {
        min_accounts: 8,
        ..PLANNED
    };
    let control = OverloadControl::new(policy);
    assert_eq!(control.policy(), OverloadPolicy::default());
    assert_eq!(control.set_accounts(7), OverloadPolicy::default());
    assert_eq!(control.set_accounts(8), policy);
    assert_eq!(control.set_accounts(5), OverloadPolicy::default());
}

/// Guards against batches that follow the policy of the start, or of an earlier configuration.
#[test]
fn the_route_of_batches_follows_the_active_configuration() {
    run(async {
        for (min_accounts, follows) in [(0, true), (config().accounts.len() + 1, false)] {
            let policy = OverloadPolicy {
                ordered_succession: true,
                min_accounts,
                ..PLANNED
            };
            let gateway = idle_gateway(policy);
            assert_eq!(gateway.stage_client.follows_succession(), follows);
        }
    });
}
