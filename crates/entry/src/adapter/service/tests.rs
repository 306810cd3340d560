use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

const ATTEMPT: &str = "request/0/0";

/// Sends a call to a service that writes `response` and closes its connection; returns status and
/// body.
async fn call_with_response(
    method: Method,
    response: String,
) -> Result<(u16, String), AttemptCause> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    ntex::rt::spawn(respond_once(listener, response));
    let clients = TargetClients::new().await.unwrap();
    let request = ServiceCall {
        method,
        path: "/reserve".to_owned(),
        content_type: "text/plain".to_owned(),
        body: Bytes::new(),
    };
    match call_service(&clients, &attempt_call(address), &request).await {
        Ok(response) => {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            Ok((response.status, body))
        }
        Err(error) => Err(error.cause),
    }
}

fn attempt_call(address: SocketAddr) -> AttemptCall {
    AttemptCall {
        address,
        attempt: ATTEMPT.to_owned(),
        time_left: Duration::from_secs(10),
        repeatable: false,
    }
}

async fn respond_once(listener: TcpListener, response: String) {
    let (mut socket, _) = listener.accept().await.unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        assert!(socket.read_buf(&mut request).await.unwrap() > 0);
    }
    socket.write_all(response.as_bytes()).await.unwrap();
}

#[ntex::test]
async fn a_response_that_ends_with_its_connection_is_not_taken_for_a_complete_one() {
    // Status line, headers and body.
    let cases = [
        (
            "neither length nor chunks",
            "HTTP/1.1 200 OK",
            "",
            "reserved",
        ),
        (
            "version 1.0 without length",
            "HTTP/1.0 200 OK",
            "",
            "reserved",
        ),
        (
            "version 1.0, shorter than announced",
            "HTTP/1.0 200 OK",
            "content-length: 9\r\n",
            "reserved",
        ),
        (
            "version 1.0, no byte of the body",
            "HTTP/1.0 200 OK",
            "content-length: 9\r\n",
            "",
        ),
        (
            "version 1.0 with chunks",
            "HTTP/1.0 200 OK",
            "transfer-encoding: chunked\r\n",
            "8\r\nreserved\r\n",
        ),
        (
            "shorter than announced",
            "HTTP/1.1 200 OK",
            "content-length: 9\r\n",
            "reserved",
        ),
        (
            "no last chunk",
            "HTTP/1.1 200 OK",
            "transfer-encoding: chunked\r\n",
            "8\r\nreserved\r\n",
        ),
        (
            "chunked is not the last coding",
            "HTTP/1.1 200 OK",
            "transfer-encoding: chunked, gzip\r\n",
            "8\r\nreserved\r\n0\r\n\r\n",
        ),
        ("an error response", "HTTP/1.1 500 Error", "", "reserved"),
    ];
    let mut taken = Vec::new();
    for (name, status, headers, body) in cases {
        let response = format!("{status}\r\nx-attempt-id: {ATTEMPT}\r\n{headers}\r\n{body}");
        let result = call_with_response(Method::POST, response).await;
        let is_dropped = matches!(
            result,
            Err(AttemptCause::CutShort | AttemptCause::Malformed)
        );
        if !is_dropped {
            taken.push(format!("{name}: {result:?}"));
        }
    }
    assert!(taken.is_empty(), "{taken:#?}");
}

#[ntex::test]
async fn complete_responses_and_those_without_a_body_arrive() {
    let cases = [
        (
            "length",
            "GET",
            "HTTP/1.1 200 OK",
            "content-length: 8\r\n",
            "reserved",
            "reserved",
        ),
        (
            "length of version 1.0",
            "GET",
            "HTTP/1.0 200 OK",
            "content-length: 8\r\n",
            "reserved",
            "reserved",
        ),
        (
            "empty",
            "GET",
            "HTTP/1.1 200 OK",
            "content-length: 0\r\n",
            "",
            "",
        ),
        (
            "empty of version 1.0",
            "GET",
            "HTTP/1.0 200 OK",
            "content-length: 0\r\n",
            "",
            "",
        ),
        (
            "chunks",
            "GET",
            "HTTP/1.1 200 OK",
            "transfer-encoding: chunked\r\n",
            "8\r\nreserved\r\n0\r\n\r\n",
            "reserved",
        ),
        ("no content", "POST", "HTTP/1.1 204 No Content", "", "", ""),
        (
            "no content of version 1.0",
            "POST",
            "HTTP/1.0 204 No Content",
            "",
            "",
            "",
        ),
        (
            "not modified",
            "GET",
            "HTTP/1.1 304 Not Modified",
            "content-length: 8\r\n",
            "",
            "",
        ),
        (
            "HEAD with a length",
            "HEAD",
            "HTTP/1.1 200 OK",
            "content-length: 8\r\n",
            "",
            "",
        ),
        ("HEAD", "HEAD", "HTTP/1.1 200 OK", "", "", ""),
    ];
    for (name, method, status, headers, body, expected) in cases {
        let method = Method::from_bytes(method.as_bytes()).unwrap();
        let code: u16 = status.split(' ').nth(1).unwrap().parse().unwrap();
        let response = format!("{status}\r\nx-attempt-id: {ATTEMPT}\r\n{headers}\r\n{body}");
        let result = call_with_response(method, response).await;
        assert_eq!(result, Ok((code, expected.to_owned())), "{name}");
    }
}
