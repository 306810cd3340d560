use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Sends a request to a target that responds with `response` and closes its connection.
async fn is_complete(response: &'static str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    ntex::rt::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"}") {
            assert!(socket.read_buf(&mut request).await.unwrap() > 0);
        }
        socket.write_all(response.as_bytes()).await.unwrap();
    });
    let client = Client::builder().build(SharedCfg::new("rate")).await;
    send_to_target(&client.unwrap(), address).await
}

#[ntex::test]
async fn a_truncated_response_of_a_target_is_not_measured_as_complete() {
    let cases = [
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"output\":{}}",
            true,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"output\":",
            false,
        ),
        (
            "HTTP/1.0 200 OK\r\ncontent-length: 13\r\n\r\n{\"output\":",
            false,
        ),
        ("HTTP/1.1 200 OK\r\n\r\n{\"output\":{}}", false),
        ("HTTP/1.1 500 Error\r\ncontent-length: 2\r\n\r\n{}", false),
    ];
    let mut wrong = Vec::new();
    for (response, expected) in cases {
        if is_complete(response).await != expected {
            wrong.push(response);
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
