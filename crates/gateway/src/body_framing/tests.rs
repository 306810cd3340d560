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
        assert_eq!(BodyFraming::of_response(&headers), expected, "{lines:?}");
    }
}
