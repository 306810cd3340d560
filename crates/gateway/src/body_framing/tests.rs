use super::*;

/// Guards against a body that ends with its connection but is taken to have a framing of its own.
#[test]
fn framing_follows_the_last_transfer_coding_before_the_length() {
    let (coding, length) = ("transfer-encoding", "content-length");
    let cases: [(&[(&str, &str)], BodyFraming); 8] = [
        (&[], BodyFraming::Close),
        (&[(length, "5")], BodyFraming::Length),
        (&[(length, "0")], BodyFraming::Length),
        (&[(coding, "chunked")], BodyFraming::Chunks),
        (&[(coding, "gzip, Chunked ")], BodyFraming::Chunks),
        (&[(coding, "gzip")], BodyFraming::Close),
        (&[(coding, "gzip"), (length, "5")], BodyFraming::Close),
        (
            &[(coding, "gzip"), (coding, "chunked")],
            BodyFraming::Chunks,
        ),
    ];
    for (lines, expected) in cases {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(*name, value.parse().unwrap());
        }
        assert_eq!(
            BodyFraming::of_response(&headers, false),
            expected,
            "{lines:?}"
        );
    }
}

/// Guards against a complete response without a body that is taken for one that may be cut.
#[test]
fn a_response_without_a_body_does_not_end_with_its_connection() {
    let framing = BodyFraming::of_response(&HeaderMap::new(), true);
    assert_eq!(framing, BodyFraming::Length);
}

#[test]
fn an_unreadable_transfer_coding_ends_with_its_connection() {
    let mut headers = HeaderMap::new();
    headers.append("transfer-encoding", "chunked".parse().unwrap());
    headers.append(
        "transfer-encoding",
        HeaderValue::from_bytes(b"\xff").unwrap(),
    );
    assert_eq!(
        BodyFraming::of_response(&headers, false),
        BodyFraming::Close
    );
}
