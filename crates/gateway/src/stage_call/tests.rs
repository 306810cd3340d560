use super::*;

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
