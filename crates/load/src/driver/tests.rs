use super::*;

const OUTPUT: &str = "{\"output\":{\"trace\":\"encode\"}}\n";
const STREAM: &str = "{\"index\":0,\"token\":\"0-a\"}\n{\"end\":true,\"count\":1}\n";

fn chunked(body: &str) -> String {
    format!(
        "transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n",
        body.len()
    )
}

fn with_length(body: &str, length: usize) -> String {
    format!("content-length: {length}\r\n\r\n{body}")
}

#[test]
fn a_truncated_response_does_not_count_as_complete() {
    let ended = |body: &str| chunked(body) + "0\r\n\r\n";
    let cases = [
        (
            "output",
            with_length(OUTPUT, OUTPUT.len()),
            CallerOutcome::Complete,
        ),
        ("stream", ended(STREAM), CallerOutcome::Complete),
        (
            "output of one chunk",
            ended(OUTPUT),
            CallerOutcome::Complete,
        ),
        (
            "cut output",
            with_length(&OUTPUT[..18], OUTPUT.len()),
            CallerOutcome::Failed,
        ),
        (
            "cut output of the announced length",
            with_length(&OUTPUT[..18], 18),
            CallerOutcome::Failed,
        ),
        ("no last chunk", chunked(STREAM), CallerOutcome::Failed),
        (
            "cut last chunk",
            chunked(STREAM) + "0\r\n",
            CallerOutcome::Failed,
        ),
        (
            "cut chunk",
            chunked(STREAM).trim_end().to_owned(),
            CallerOutcome::Failed,
        ),
        (
            "no end mark",
            ended("{\"index\":0,\"token\":\"0-a\"}\n"),
            CallerOutcome::Failed,
        ),
        (
            "end mark in a token",
            ended("{\"index\":0,\"token\":\"\\\"end\\\":true\"}\n"),
            CallerOutcome::Failed,
        ),
        (
            "neither length nor chunks",
            format!("\r\n{STREAM}"),
            CallerOutcome::Failed,
        ),
    ];
    let mut wrong = Vec::new();
    for (name, rest, expected) in cases {
        let response = format!("HTTP/1.1 200 OK\r\n{rest}");
        let (outcome, _) = classify_response(response.as_bytes());
        if outcome != expected {
            wrong.push(format!("{name}: {outcome:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn a_refusal_is_told_from_other_errors_and_a_truncated_one_is_none() {
    let body = "{\"error\":{\"code\":\"target_failed\",\"ran\":\"no\",\"step\":\"encode\"}}\n";
    let refused = format!("HTTP/1.1 503 Busy\r\n{}", with_length(body, body.len()));
    let cut = format!(
        "HTTP/1.1 503 Busy\r\n{}",
        with_length(&body[..30], body.len())
    );
    assert_eq!(
        classify_response(refused.as_bytes()),
        (CallerOutcome::Refused, "target_failed@encode".to_owned())
    );
    assert_eq!(classify_response(cut.as_bytes()).0, CallerOutcome::Failed);
}
