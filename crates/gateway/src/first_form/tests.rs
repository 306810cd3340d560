use super::*;
use crate::piece::PieceBatch;
use crate::piece_message::tests::{hex, replies, requests};

fn all_requests() -> Vec<FirstRequest> {
    requests().iter().filter_map(first_request).collect()
}

fn all_replies() -> Vec<FirstReply> {
    replies().iter().filter_map(first_reply).collect()
}

#[test]
fn the_first_form_is_as_it_was_shipped() {
    let (requests, replies) = (all_requests(), all_replies());
    let requests = requests.iter().map(|one| format!("request {}", hex(one)));
    let replies = replies.iter().map(|one| format!("reply {}", hex(one)));
    let lines: Vec<String> = requests.chain(replies).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Those of the same bytes in both forms leave it open; no other may be taken for what it is not.
#[test]
fn a_first_request_tells_the_form_unless_it_reads_alike() {
    let tell = MessageVersion::detect::<PieceRequest, FirstRequest>;
    for request in requests() {
        let bytes = postcard::to_allocvec(&request).unwrap();
        let (read, form) = tell(&bytes).unwrap();
        let first = first_request(&request);
        let first_bytes = first
            .as_ref()
            .map(|one| postcard::to_allocvec(one).unwrap());
        let alike = first_bytes.as_ref() == Some(&bytes);
        let second = (!alike).then_some(MessageVersion::V2);
        assert_eq!((hex(&read), form), (hex(&request), second));
        let Some((first, bytes)) = first.zip(first_bytes) else {
            continue;
        };
        let (read, form) = tell(&bytes).unwrap();
        assert_eq!(first_request(&read), Some(first), "{request:?}");
        assert_eq!(form, (!alike).then_some(MessageVersion::V1), "{request:?}");
    }
}

#[test]
fn a_sign_of_life_tells_the_form_of_the_one_that_gathers() {
    let tell = MessageVersion::detect::<PieceReply, FirstReply>;
    for reply in replies() {
        let bytes = postcard::to_allocvec(&reply).unwrap();
        let (read, form) = tell(&bytes).unwrap();
        let first = first_reply(&reply).map(|one| postcard::to_allocvec(&one).unwrap());
        let second = (first.as_ref() != Some(&bytes)).then_some(MessageVersion::V2);
        assert_eq!((hex(&read), form), (hex(&reply), second));
        // Before anything was asked only these come.
        let Some(first @ (FirstReply::Alive { .. } | FirstReply::Uses { .. })) =
            first_reply(&reply)
        else {
            continue;
        };
        let bytes = postcard::to_allocvec(&first).unwrap();
        let (read, form) = tell(&bytes).unwrap();
        assert_eq!(form, Some(MessageVersion::V1), "{reply:?}");
        assert_eq!(first_reply(&read), Some(first));
    }
}

/// Nothing is held against another request for what one of the first form does.
#[test]
fn batches_of_the_first_form_have_a_key_of_their_request() {
    let of = |request: &str| {
        let batch = requests().into_iter().find_map(|one| match one {
            PieceRequest::Run(batch) => Some(batch),
            _ => None,
        });
        let mut batch = batch.unwrap();
        batch.work.request = request.to_owned();
        match first_request(&PieceRequest::Run(batch)) {
            Some(FirstRequest::Run(told)) => PieceBatch::from(told).key,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(of("a"), of("a"));
    assert_ne!(of("a"), of("b"));
}
