use super::*;
use crate::piece::PieceBatch;
use crate::piece_message::tests::{hex, replies, requests};

fn all_requests() -> Vec<PieceRequestV1> {
    requests().iter().filter_map(to_request_v1).collect()
}

fn all_replies() -> Vec<PieceReplyV1> {
    replies().iter().filter_map(to_reply_v1).collect()
}

#[test]
fn message_v1_bytes_match_the_shipped_format() {
    let (requests, replies) = (all_requests(), all_replies());
    let requests = requests
        .iter()
        .map(|request| format!("request {}", hex(request)));
    let replies = replies.iter().map(|reply| format!("reply {}", hex(reply)));
    let lines: Vec<String> = requests.chain(replies).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Requests with the same bytes in both versions do not reveal the version; no other request may be
/// misread.
#[test]
fn a_first_request_reveals_the_message_version_unless_both_versions_have_the_same_bytes() {
    let detect = MessageVersion::detect::<PieceRequest, PieceRequestV1>;
    for request in requests() {
        let bytes = postcard::to_allocvec(&request).unwrap();
        let (read, version) = detect(&bytes).unwrap();
        let first = to_request_v1(&request);
        let first_bytes = first
            .as_ref()
            .map(|message| postcard::to_allocvec(message).unwrap());
        let same_bytes = first_bytes.as_ref() == Some(&bytes);
        let second = (!same_bytes).then_some(MessageVersion::V2);
        assert_eq!((hex(&read), version), (hex(&request), second));
        let Some((first, bytes)) = first.zip(first_bytes) else {
            continue;
        };
        let (read, version) = detect(&bytes).unwrap();
        assert_eq!(to_request_v1(&read), Some(first), "{request:?}");
        assert_eq!(
            version,
            (!same_bytes).then_some(MessageVersion::V1),
            "{request:?}"
        );
    }
}

#[test]
fn a_first_heartbeat_or_usage_report_reveals_the_message_version_of_the_coordinator() {
    let detect = MessageVersion::detect::<PieceReply, PieceReplyV1>;
    for reply in replies() {
        let bytes = postcard::to_allocvec(&reply).unwrap();
        let (read, version) = detect(&bytes).unwrap();
        let first = to_reply_v1(&reply).map(|reply| postcard::to_allocvec(&reply).unwrap());
        let second = (first.as_ref() != Some(&bytes)).then_some(MessageVersion::V2);
        assert_eq!((hex(&read), version), (hex(&reply), second));
        // Only these are sent before the first request.
        let Some(first @ (PieceReplyV1::Heartbeat { .. } | PieceReplyV1::TargetUsage { .. })) =
            to_reply_v1(&reply)
        else {
            continue;
        };
        let bytes = postcard::to_allocvec(&first).unwrap();
        let (read, version) = detect(&bytes).unwrap();
        assert_eq!(version, Some(MessageVersion::V1), "{reply:?}");
        assert_eq!(to_reply_v1(&read), Some(first));
    }
}

/// A crash caused by a version 1 batch must not be attributed to another request.
#[test]
fn batches_of_message_v1_get_a_key_from_their_request_id() {
    let key_of = |request: &str| {
        let batch = requests().into_iter().find_map(|request| match request {
            PieceRequest::RunBatch(batch) => Some(batch),
            _ => None,
        });
        let mut batch = batch.unwrap();
        batch.work.request = request.to_owned();
        match to_request_v1(&PieceRequest::RunBatch(batch)) {
            Some(PieceRequestV1::RunBatch(message)) => PieceBatch::from(message).request_key,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(key_of("a"), key_of("a"));
    assert_ne!(key_of("a"), key_of("b"));
}
