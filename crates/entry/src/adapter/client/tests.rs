use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::RanState;

/// Answers each request on a connection with the number of the request there.
async fn count_requests(listener: TcpListener) {
    while let Ok((mut socket, _)) = listener.accept().await {
        ntex::rt::spawn(async move {
            let mut request = [0; 1_024];
            for number in 1.. {
                if socket.read(&mut request).await.unwrap_or_default() == 0 {
                    return;
                }
                let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
                let _ = socket.write_all(response.as_bytes()).await;
            }
        });
    }
}

/// Guards against a late surplus response that is taken for the resource as it is now: it has no
/// identifier.
#[ntex::test]
async fn each_fetch_has_a_connection_of_its_own() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    ntex::rt::spawn(count_requests(listener));
    let clients = TargetClients::new().await.unwrap();
    for _ in 0..3 {
        let body = clients.fetch(address, "/hosts", 10).await.unwrap();
        assert_eq!(&body[..], b"1");
    }
}

/// What a target sends in response to each request, and how its connections end then.
struct HeadScript {
    bytes: RefCell<Vec<u8>>,
    is_reset: Cell<bool>,
    requests: Cell<usize>,
}

async fn break_heads(listener: TcpListener, script: Rc<HeadScript>) {
    while let Ok((mut socket, _)) = listener.accept().await {
        let mut request = [0; 1_024];
        // Connections that the library opens beside a request carry none.
        if socket.read(&mut request).await.unwrap_or_default() == 0 {
            continue;
        }
        script.requests.set(script.requests.get() + 1);
        let response = script.bytes.borrow().clone();
        let _ = socket.write_all(&response).await;
        if script.is_reset.get() {
            socket.set_zero_linger().unwrap();
        }
    }
}

/// Starts a target that sends what the script says.
async fn start_breaking_target() -> (SocketAddr, Rc<HeadScript>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let script = Rc::new(HeadScript {
        bytes: RefCell::default(),
        is_reset: Cell::default(),
        requests: Cell::default(),
    });
    ntex::rt::spawn(break_heads(listener, Rc::clone(&script)));
    (address, script)
}

/// Guards against the end of a connection inside a head that is taken for the end of the head, or for
/// a proof that the request did not run.
#[ntex::test]
async fn a_head_that_ends_at_any_byte_is_no_response() {
    const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nx-attempt-id: a-1\r\n\r\n";
    let (address, script) = start_breaking_target().await;
    let clients = TargetClients::new().await.unwrap();
    let mut sent = 0;
    for interim in ["", "HTTP/1.1 100 Continue\r\n\r\n", HINTS] {
        for framing in [
            "content-length: 5\r\n",
            "transfer-encoding: chunked\r\n",
            "",
        ] {
            let head = format!("{interim}HTTP/1.1 200 OK\r\nx-attempt-id: a-1\r\n{framing}\r\n");
            let places = 0..head.len();
            let ways = [(true, false), (true, true), (false, false), (false, true)];
            for (cut, (repeatable, is_reset)) in places.flat_map(|cut| ways.map(|way| (cut, way))) {
                *script.bytes.borrow_mut() = head.as_bytes()[..cut].to_vec();
                script.is_reset.set(is_reset);
                let call = AttemptCall {
                    address,
                    attempt: "a-1".to_owned(),
                    time_left: Duration::from_secs(20),
                    repeatable,
                };
                let sending = clients.send(&call, Method::HEAD, "/", "text/plain", Bytes::new());
                let result = sending.await.map(|response| response.status());
                let ran = result.as_ref().err().map(AttemptError::ran);
                let what = format!("{:?} {repeatable} {is_reset}: {result:?}", &head[..cut]);
                assert_eq!(ran, Some(RanState::Unknown), "{what}");
                sent += 1;
                assert_eq!(script.requests.get(), sent, "sent again after {what}");
            }
        }
    }
}

/// Guards against an invalid status that is taken for an answer.
#[ntex::test]
async fn a_response_with_an_invalid_status_is_no_response() {
    let (address, script) = start_breaking_target().await;
    let clients = TargetClients::new().await.unwrap();
    for status in ["000", "099", "101 Switching Protocols", "600", "999 Odd"] {
        let head = format!("HTTP/1.1 {status}\r\nx-attempt-id: a-1\r\ncontent-length: 0\r\n\r\n");
        *script.bytes.borrow_mut() = head.into_bytes();
        let call = AttemptCall {
            address,
            attempt: "a-1".to_owned(),
            time_left: Duration::from_secs(20),
            repeatable: false,
        };
        let sending = clients.send(&call, Method::GET, "/", "text/plain", Bytes::new());
        let result = sending.await.map(|response| response.status());
        let ran = result.as_ref().err().map(AttemptError::ran);
        assert_eq!(ran, Some(RanState::Unknown), "{status}: {result:?}");
    }
}
