//! Caller interface: invalid input gets one typed error that states that nothing ran, and has no effect.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use serde_json::json;
use support::cluster::{Cluster, ClusterPlan};
use support::http::CallerRequest;

#[test]
fn bad_input_is_refused_case_by_case() {
    let cluster = Cluster::start(ClusterPlan {
        entries: 1,
        halls: 1,
        replicas: 1,
        ..ClusterPlan::default()
    });
    let good = || CallerRequest::to_pipeline("yard-desk", &json!({ "marker": "bad-input" }));
    let path = |method: &str, path: &str| CallerRequest::to_path(method, path, b"{}");
    let body = |bytes: &[u8]| CallerRequest::to_path("POST", "/v1/pipelines/yard-desk", bytes);
    let long = "x".repeat(300);
    let wide = "y".repeat(17_000);
    let cases = [
        ("unknown path", path("GET", "/nothing")),
        ("unknown version", path("POST", "/v2/pipelines/yard-desk")),
        ("wrong method", path("GET", "/v1/pipelines/yard-desk")),
        ("unknown pipeline", path("POST", "/v1/pipelines/mill")),
        (
            "service as a pipeline",
            path("POST", "/v1/pipelines/orders"),
        ),
        (
            "pipeline as a service",
            path("POST", "/v1/services/yard-desk/x"),
        ),
        (
            "path that climbs",
            path("POST", "/v1/services/orders/a/../../b"),
        ),
        ("no key", good().with("authorization", "")),
        ("wrong key", good().with("authorization", "Bearer other")),
        (
            "key of another kind",
            good().with("authorization", "Basic eWFyZA=="),
        ),
        ("no deadline", good().with("x-deadline-ms", "")),
        ("deadline of zero", good().with("x-deadline-ms", "0")),
        ("negative deadline", good().with("x-deadline-ms", "-5")),
        (
            "deadline over the table's",
            good().with("x-deadline-ms", "5001"),
        ),
        ("deadline in words", good().with("x-deadline-ms", "soon")),
        (
            "deadline past all numbers",
            good().with("x-deadline-ms", "99999999999999999999"),
        ),
        (
            "repeatable neither yes nor no",
            good().with("x-repeatable", "maybe"),
        ),
        ("request key too long", good().with("x-request-key", &long)),
        ("headers too large", good().with("x-extra", &wide)),
        ("no body", body(b"")),
        ("body that is no JSON", body(b"{ not json")),
        ("body with bad text", body(b"\"\xff\xfe\"")),
        ("body too large", body(&vec![b' '; 3 * 1024 * 1024])),
    ];
    let mut shown = Vec::new();
    for (name, request) in cases {
        let line = match request.send(cluster.callers(0)) {
            Some(response) => {
                let error = response.json();
                let field = |name: &str| {
                    let value = error.pointer(&format!("/error/{name}")).cloned();
                    value.unwrap_or_default().to_string()
                };
                let message = field("message")
                    .replace(&long, "LONG")
                    .replace(&wide, "WIDE");
                // The Host header contains the address of this run, so the size varies.
                let message = match message.split_once(" bytes of headers") {
                    Some((_, rest)) => format!("\"N bytes of headers{rest}"),
                    None => message,
                };
                format!(
                    "{} {} step={} ran={} {message}",
                    response.status,
                    field("code"),
                    field("step"),
                    field("ran")
                )
            }
            None => "the connection was closed".to_owned(),
        };
        shown.push(format!("{name}: {line}"));
    }
    insta::assert_snapshot!(shown.join("\n"));
    assert_eq!(cluster.testbed.runs("", "bad-input"), 0);
    // The host still serves valid requests.
    let response = good().send(cluster.callers(0)).unwrap();
    assert!(response.tokens().is_some(), "{response:?}");
}

#[test]
fn raw_bytes_that_no_client_library_sends_are_refused_case_by_case() {
    let cluster = Cluster::start(ClusterPlan {
        entries: 1,
        halls: 1,
        replicas: 1,
        ..ClusterPlan::default()
    });
    let head =
        "host: x\r\nconnection: close\r\nauthorization: Bearer yard-key\r\nx-deadline-ms: 1000\r\n";
    let call = |path: &str| {
        format!("POST /v1/services/orders/{path} HTTP/1.1\r\n{head}content-length: 0\r\n\r\n")
    };
    let cases = [
        ("path that climbs", call("a/../../secret")),
        ("path that climbs, encoded", call("a/%2e%2e/%2e%2e/secret")),
        ("path with an encoded line end", call("a%0d%0ax-evil:%201")),
        (
            "deadline twice",
            format!(
                "POST /v1/pipelines/yard-desk HTTP/1.1\r\n{head}x-deadline-ms: 2\r\ncontent-length: 2\r\n\r\n{{}}"
            ),
        ),
        (
            "body cut short",
            format!(
                "POST /v1/pipelines/yard-desk HTTP/1.1\r\n{head}content-length: 50\r\n\r\n{{}}"
            ),
        ),
        ("no HTTP", "hello\r\n\r\n".to_owned()),
        (
            "two lengths",
            format!(
                "POST /v1/pipelines/yard-desk HTTP/1.1\r\n{head}content-length: 2\r\ncontent-length: 3\r\n\r\n{{}}"
            ),
        ),
        (
            "chunks that are none",
            format!(
                "POST /v1/pipelines/yard-desk HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\nzz\r\n"
            ),
        ),
    ];
    let shown: Vec<_> = cases
        .iter()
        .map(|(name, text)| {
            format!(
                "{name}: {}",
                support::http::send_raw(cluster.callers(0), text.as_bytes())
            )
        })
        .collect();
    insta::assert_snapshot!(shown.join("\n"));
    let ran: usize = cluster
        .testbed
        .targets
        .iter()
        .map(|target| target.fake.ledger().len())
        .sum();
    assert_eq!(ran, 0);
}

#[test]
fn wrong_settings_are_named_all_at_once_before_any_socket_opens() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_linnet-entry"))
        .args([
            "--name",
            "No Name",
            "--hall",
            "h",
            "--control",
            "127.0.0.1:1",
        ])
        .args([
            "--caller-listen",
            "127.0.0.1:2",
            "--peer-listen",
            "127.0.0.1:2",
        ])
        .args(["--ops-listen", "127.0.0.1:3", "--host-list", "127.0.0.1:4"])
        .args([
            "--peer-keys",
            "/nowhere/keys",
            "--operator-digests",
            "12",
            "--workers",
            "0",
        ])
        .args(["--policy", "best"])
        .env("RUST_LOG", "off")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}
