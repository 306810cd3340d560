use std::sync::Arc;

use linnet_telemetry::{EventRecorder, HybridClock};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::gateway::tests::{protocol, run};
use crate::upstream::tests::{direct_pool, response_text, start_target};

fn part(pieces: u32, handles: usize) -> CallPart {
    let handle = "10.1.64.7:8080/91bd3f06e44".to_owned();
    CallPart {
        work: StageWork {
            request: "9c41d07be2a35f68".to_owned(),
            stage: 2,
            input: PieceInput::Results(vec![handle; handles]),
        },
        numbers: (0..pieces).collect(),
        remaining_ms: 900,
    }
}

#[test]
fn an_encoded_call_between_hosts_is_less_than_a_tenth_of_its_http_body() {
    let call = StageCall {
        target: "i-7f3a91c2".to_owned(),
        address: SocketAddr::from(([10, 1, 64, 9], 8080)),
        parts: vec![part(16, 8); 6],
        timeout_ms: 1_500,
    };
    let encoded = postcard::to_allocvec(&call).unwrap().len();
    assert!(
        encoded * 10 < call.estimated_body_bytes(),
        "{encoded} bytes"
    );
}

const TARGET: &str = "i-7f3a91c2";

/// A time after which a call is regarded as stuck.
const STUCK_TIMEOUT: Duration = Duration::from_secs(10);

/// What a target does after it has written its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    Close,
    StaySilent,
}

/// A client whose targets respond to calls of one piece with `[handle]`.
fn client() -> (StageTargetClient, Rc<NoticeStore>) {
    let mut protocol = protocol();
    protocol.targets.decode_stage_run = |body| {
        let handle = body.strip_prefix(b"[")?.strip_suffix(b"]")?;
        Some(vec![Ok(String::from_utf8_lossy(handle).into_owned())])
    };
    let recorder = EventRecorder::new("host", Arc::new(HybridClock::new()));
    let notices = Rc::new(NoticeStore::new(Arc::new(recorder), Rc::default()));
    let client = StageTargetClient::new(protocol, direct_pool(), notices.clone());
    (client, notices)
}

async fn respond_once(listener: TcpListener, response: String, after: AfterResponse) {
    let (mut socket, _) = listener.accept().await.unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        assert!(socket.read_buf(&mut request).await.unwrap() > 0);
    }
    socket.write_all(response.as_bytes()).await.unwrap();
    if after == AfterResponse::StaySilent {
        let _ = socket.read_buf(&mut request).await;
    }
}

/// Sends a call of one piece to a target that responds with `response`; `None` if the call does not
/// end.
async fn outcome_of(
    client: &StageTargetClient,
    response: String,
    after: AfterResponse,
) -> Option<CallOutcome> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let call = StageCall {
        target: TARGET.to_owned(),
        address: listener.local_addr().unwrap(),
        parts: vec![part(1, 1)],
        timeout_ms: 1_500,
    };
    ntex::rt::spawn(respond_once(listener, response, after));
    timeout(STUCK_TIMEOUT, client.send_call(&call)).await.ok()
}

#[test]
fn a_refusal_is_known_from_its_head_even_if_its_body_is_cut_or_never_arrives() {
    run(async {
        let refused = "503 Service Unavailable\r\nx-not-run: 1\r\nretry-after: 30";
        let (busy, other) = (CallOutcome::Busy, CallOutcome::OtherTarget);
        let cases = [
            (
                refused,
                "content-length: 9\r\n\r\nsee",
                AfterResponse::Close,
                &busy,
            ),
            (
                refused,
                "content-length: 9\r\n\r\nsee",
                AfterResponse::StaySilent,
                &busy,
            ),
            (
                refused,
                "transfer-encoding: chunked\r\n\r\n3\r\nsee\r\n",
                AfterResponse::Close,
                &busy,
            ),
            (refused, "\r\nsee", AfterResponse::Close, &busy),
            (refused, "\r\nsee", AfterResponse::StaySilent, &busy),
            (
                "421 Misdirected Request",
                "content-length: 9\r\n\r\nsee",
                AfterResponse::Close,
                &other,
            ),
            (
                "421 Misdirected Request",
                "content-length: 9\r\n\r\n",
                AfterResponse::StaySilent,
                &other,
            ),
        ];
        let mut wrong = Vec::new();
        for (head, rest, after, expected) in cases {
            let (client, notices) = client();
            let response = format!("HTTP/1.1 {head}\r\n{rest}");
            let outcome = outcome_of(&client, response.clone(), after).await;
            let is_backed_off = notices.is_backed_off(TARGET);
            if outcome.as_ref() != Some(expected) || is_backed_off != (head == refused) {
                wrong.push(format!(
                    "{response:?}, {after:?}: {outcome:?}, backed off: {is_backed_off}"
                ));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

#[test]
fn a_response_cut_where_only_the_close_could_end_it_counts_as_a_broken_connection() {
    run(async {
        let made = CallOutcome::Responded(vec![Ok("handle".to_owned())], None);
        let cut = CallOutcome::ConnectionBroken(
            "incomplete response, delimited by the close of its connection".to_owned(),
        );
        let malformed = CallOutcome::Failed("response body could not be decoded".to_owned());
        let cases = [
            ("complete, ends with its connection", "\r\n[handle]", &made),
            ("cut, ends with its connection", "\r\n[han", &cut),
            ("no byte, ends with its connection", "\r\n", &cut),
            (
                "complete with a length",
                "content-length: 8\r\n\r\n[handle]",
                &made,
            ),
            (
                "malformed with a length",
                "content-length: 4\r\n\r\n[han",
                &malformed,
            ),
        ];
        for (name, rest, expected) in cases {
            let (client, _) = client();
            let response = format!("HTTP/1.1 200 OK\r\n{rest}");
            let outcome = outcome_of(&client, response, AfterResponse::Close).await;
            assert_eq!(outcome.as_ref(), Some(expected), "{name}");
        }
    });
}

/// Guards against a result that is given to another request, since a target sent a surplus response
/// in the place of that to the next call.
#[test]
fn a_late_surplus_response_is_not_the_outcome_of_the_next_call() {
    run(async {
        let address = start_target(|number, id| match number {
            0 => response_text(&[id], "[first]"),
            1 => response_text(&["0"], "[first]") + &response_text(&[id], "[second]"),
            _ => response_text(&[id], "[third]"),
        })
        .await;
        let (client, _) = client();
        let call = StageCall {
            target: TARGET.to_owned(),
            address,
            parts: vec![part(1, 1)],
            timeout_ms: 1_500,
        };
        let result = |handle: &str| CallOutcome::Responded(vec![Ok(handle.to_owned())], None);
        assert_eq!(client.send_call(&call).await, result("first"));
        tokio::time::sleep(Duration::from_millis(5)).await;
        let outcome = client.send_call(&call).await;
        assert!(matches!(outcome, CallOutcome::Failed(_)), "{outcome:?}");
        assert_eq!(client.upstream.opened_count(), 1);
        assert_eq!(client.send_call(&call).await, result("third"));
    });
}

/// A client whose targets respond with handles that commas separate.
fn batch_client() -> StageTargetClient {
    let (mut client, _) = client();
    client.protocol.targets.decode_stage_run = |body| {
        let text = std::str::from_utf8(body).ok()?;
        let handles = text.strip_prefix('[')?.strip_suffix(']')?.split(',');
        Some(handles.map(|handle| Ok(handle.to_owned())).collect())
    };
    client
}

/// A call with pieces of two requests: two and three pieces.
fn batch_call(address: SocketAddr) -> StageCall {
    let mut other = part(3, 1);
    other.work.request = "14da6f38e5b2907c".to_owned();
    StageCall {
        target: TARGET.to_owned(),
        address,
        parts: vec![part(2, 1), other],
        timeout_ms: 1_500,
    }
}

/// Guards against results that are given to other pieces, since the response has too few or too many.
#[test]
fn a_response_without_one_result_for_each_piece_is_the_result_of_none() {
    run(async {
        let cases = [
            ("[a,b,c,d,e]", true),
            ("[a,b,c,d]", false),
            ("[a,b,c,d,e,f]", false),
            ("[a]", false),
            ("[a,b,c,d,e][", false),
        ];
        for (body, is_whole) in cases {
            for framing in [format!("content-length: {}\r\n", body.len()), String::new()] {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let call = batch_call(listener.local_addr().unwrap());
                let response = format!("HTTP/1.1 200 OK\r\n{framing}\r\n{body}");
                ntex::rt::spawn(respond_once(listener, response, AfterResponse::Close));
                let client = batch_client();
                let outcome = timeout(STUCK_TIMEOUT, client.send_call(&call)).await;
                let wanted = ["a", "b", "c", "d", "e"].map(|handle| Ok(handle.to_owned()));
                let responded = CallOutcome::Responded(wanted.to_vec(), None);
                let outcome = outcome.unwrap();
                assert_eq!(
                    outcome == responded,
                    is_whole,
                    "{body} {framing:?}: {outcome:?}"
                );
                let has_results = matches!(outcome, CallOutcome::Responded(..));
                assert_eq!(has_results, is_whole, "{body} {framing:?}: {outcome:?}");
            }
        }
    });
}

/// Returns a response with other ids, followed by that to the call.
fn late_response(own: &str, others: &[&str]) -> String {
    response_text(others, "[a,b,c,d,e]") + &response_text(&[own], "[f,g,h,i,j]")
}

/// Guards against results of a former call on the connection that are given to the pieces of the next.
#[test]
fn a_response_of_another_call_is_the_result_of_no_piece() {
    run(async {
        // Each other response is in order, since only a connection that was used has a former call.
        let address = start_target(|number, id| match number % 6 {
            1 => late_response(id, &["another-call"]),
            3 => late_response(id, &[]),
            5 => late_response(id, &["another-call", id]),
            _ => response_text(&[id], "[k,l,m,n,o]"),
        })
        .await;
        let client = batch_client();
        let call = batch_call(address);
        let own = ["k", "l", "m", "n", "o"].map(|handle| Ok(handle.to_owned()));
        let own = CallOutcome::Responded(own.to_vec(), None);
        let mut checked = [0; 6];
        for number in 0..30 {
            let opened = client.upstream.opened_count();
            let outcome = client.send_call(&call).await;
            let has_former = client.upstream.opened_count() == opened;
            match number % 2 {
                0 => assert_eq!(outcome, own, "call {number}"),
                _ if has_former => {
                    checked[number % 6] += 1;
                    let has_results = matches!(outcome, CallOutcome::Responded(..));
                    assert!(!has_results, "call {number}: {outcome:?}");
                }
                _ => {}
            }
            // The connection is idle after its task has run.
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(
            [1, 3, 5].iter().all(|case| checked[*case] > 0),
            "{checked:?}"
        );
    });
}

/// Each release of results opened a connection to a target that echoes no identifier.
#[test]
fn releases_to_a_target_that_echoes_no_identifier_share_a_connection() {
    run(async {
        let (client, _) = client();
        let address = start_target(|_, _| response_text(&[], "")).await;
        let release = StageRelease {
            target: TARGET.to_owned(),
            address,
            handles: vec!["h".to_owned()],
        };
        for _ in 0..10 {
            client.send_release(&release).await;
        }
        assert_eq!(client.upstream.opened_count(), 1);
    });
}
