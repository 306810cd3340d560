#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use super::super::tests::{direct_pool, response_text, start_target};
use super::*;
use crate::gateway::tests::{protocol, run};

/// Returns what a target states on a new connection; `None` if the connection cannot be used afterwards.
async fn ask(responses: fn(usize, &str) -> String) -> Option<StatedStart> {
    ask_after(None, responses).await
}

/// Same as [`ask`], on a connection on which the request with the id `last_id` was answered.
async fn ask_after(
    last_id: Option<&'static str>,
    responses: fn(usize, &str) -> String,
) -> Option<StatedStart> {
    let mut protocol = protocol().targets;
    protocol.decode_born = |body| std::str::from_utf8(body).ok()?.parse().ok();
    let address = start_target(responses).await;
    let pool = direct_pool();
    let mut connection = pool.connect(address, ConnectionUse::Request).await.unwrap();
    connection.last_id = last_id.map(http::HeaderValue::from_static);
    assert_eq!(connection.stated, StatedStart::Unasked);
    let asked = pool.ask_life(address, connection, &protocol).await;
    asked.map(|connection| {
        assert!(connection.last_id.is_some(), "later responses need an id");
        connection.stated
    })
}

/// Guards against a response that is no report of the process at the other end.
#[test]
fn a_connection_learns_its_life_only_from_a_report_that_belongs_to_it() {
    run(async {
        let stated = ask(|_, id| response_text(&[id], "17")).await;
        assert_eq!(stated, Some(StatedStart::Stated(17)));
        for body in ["", "x", "0"] {
            let responses: fn(usize, &str) -> String = match body {
                "" => |_, id| response_text(&[id], ""),
                "x" => |_, id| response_text(&[id], "x"),
                _ => |_, id| response_text(&[id], "0"),
            };
            assert_eq!(ask(responses).await, Some(StatedStart::Unstated), "{body}");
        }
        let failed = |_: usize, id: &str| response_text(&[id], "17").replace("200 OK", "404 None");
        assert_eq!(ask(failed).await, Some(StatedStart::Unstated));
        // A response without an id belongs to the only question, or may belong to an earlier request.
        let unnamed = |_: usize, _: &str| response_text(&[], "17");
        assert_eq!(ask(unnamed).await, Some(StatedStart::Stated(17)));
        assert_eq!(ask_after(Some("earlier"), unnamed).await, None);
        let another = |_: usize, _: &str| response_text(&["another"], "17");
        assert_eq!(ask(another).await, None);
        assert_eq!(ask_after(Some("earlier"), another).await, None);
        let closed = |_: usize, id: &str| {
            response_text(&[id], "17")
                .replace("content-length", "connection: close\r\ncontent-length")
        };
        assert_eq!(ask(closed).await, None);
    });
}
