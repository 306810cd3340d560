//! Tests of route matching and configuration validation, as tables of cases.

use linnet_routing::*;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 300,
        priority: 1,
        split: vec![Split {
            service: "desk".into(),
            weight: 1,
        }],
        max_attempts: 1,
        stages: Vec::new(),
        public: false,
        prefix_cached: false,
        resumable: false,
        event_gap_ms: 0,
        regions: Vec::new(),
    }
}

fn account(name: &str, key: &str) -> Account {
    Account {
        name: name.into(),
        keys: vec![key.into()],
        priority: None,
        regions: Vec::new(),
    }
}

fn config(routes: Vec<Route>) -> RoutingConfig {
    RoutingConfig {
        version: 1,
        routes,
        services: vec![Service {
            name: "desk".into(),
            health_path: "/health".into(),
            max_connections: 10,
            cold_per_s: 0.0,
            engine: None,
            stage_pool: None,
        }],
        accounts: vec![account("a", "key-a")],
        limits: CallerLimits::default(),
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_chosen() {
    let table = RouteTable::new(config(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ]));
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/1", Some("long")),
        ("A.Example", "/x/y/", Some("long")),
        ("a.example:80", "/x/y", Some("short")),
        ("b.example", "/x/y/1", Some("other")),
        ("a.example", "/x", None),
        ("a.example", "/z/", None),
        ("c.example", "/x/1", None),
        ("", "/x/1", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find_route(host, path).map(|r| r.name.as_str());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn keys_find_their_account_and_public_routes_need_none() {
    let mut open = route("open", "a.example", "/o/");
    open.public = true;
    let table = RouteTable::new(config(vec![route("shut", "a.example", "/s/"), open]));
    let named = |key| table.find_account(key).map(|a| a.name.as_str());
    assert_eq!(named("key-a"), Some("a"));
    assert_eq!(named("key-b"), None);
    assert_eq!(named(""), None);
    let needs = |path| {
        let route = table.find_route("a.example", path).expect("a route");
        table.needs_key(route)
    };
    assert!(needs("/s/"));
    assert!(!needs("/o/"));
}

#[test]
fn all_config_errors_are_reported_at_once() {
    let mut bad = route("bad", "a.example", "/x/");
    bad.timeout_ms = 0;
    bad.split[0].weight = 0;
    bad.stages.push(StageSpec {
        service: "nowhere".into(),
        depends_on: vec![0],
        result_bytes: 1,
    });
    let mut config = config(vec![route("good", "A.example", "/x/"), bad]);
    config.accounts.push(account("b", "key-a"));
    let reported: Vec<String> = check_config(&config)
        .iter()
        .map(|f| f.to_string())
        .collect();
    let expected = [
        "route bad: unknown service nowhere",
        "route bad: the weights add up to 0",
        "route bad: the timeout is 0",
        "route bad: stage 0 takes results of stage 0, which is not before it",
        "routes good and bad share host and prefix",
        "accounts a and b share a key",
    ];
    assert_eq!(reported, expected);
}

#[test]
fn a_valid_configuration_has_no_errors() {
    let routes = vec![
        route("a", "a.example", "/x/"),
        route("b", "a.example", "/y/"),
    ];
    assert_eq!(check_config(&config(routes)), []);
}
