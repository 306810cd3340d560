#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use super::*;
use crate::RefusalReason;
use crate::gateway::tests::protocol;

/// The identifiers of the shared parts, or why the prompt is refused.
type SharedParts = Result<Vec<String>, RefusalReason>;

/// Parses a prompt whose parts are listed in these headers.
fn parse(lines: &[&[u8]]) -> SharedParts {
    let names = protocol().headers;
    let mut headers = HeaderMap::new();
    headers.insert(&names.tokens, "100,10".parse().unwrap());
    for line in lines {
        let value = http::HeaderValue::from_bytes(line).unwrap();
        headers.append(&names.prompt_parts, value);
    }
    let prompt = parse_prompt(&headers, &names);
    let prompt = prompt.map_err(|refusal| refusal.reason)?.unwrap();
    let ids = prompt.shared_parts.into_iter().map(|part| part.id);
    Ok(ids.collect())
}

/// Guards against parts that are hidden from the quarantine by the way in which they are listed.
#[test]
fn parts_are_read_from_every_header_that_lists_them() {
    let shared = |ids: &[&str]| Ok(ids.iter().map(|id| (*id).to_owned()).collect());
    let cases: [(&[&[u8]], SharedParts); 12] = [
        (&[], shared(&[])),
        (&[b""], shared(&[])),
        (&[b" , ,"], shared(&[])),
        (&[b"aa:10"], shared(&[])),
        (&[b"aa:10,bb:10"], shared(&["aa"])),
        (&[b"aa:10", b"bb:10,cc:10"], shared(&["aa", "bb"])),
        (&[b"aa:10,aa:10,bb:1"], shared(&["aa", "aa"])),
        (&[b"not hex:10,bb:1"], shared(&["not hex"])),
        (&[b"aa,bb:1"], Err(RefusalReason::BadRequest)),
        (&[b"aa:-1,bb:1"], Err(RefusalReason::BadRequest)),
        (&[b"aa:10,bb:1", b"cc"], Err(RefusalReason::BadRequest)),
        (&[b"\xff:1,bb:1"], Err(RefusalReason::BadRequest)),
    ];
    for (lines, expected) in cases {
        assert_eq!(parse(lines), expected, "{lines:?}");
    }
}

#[test]
fn ten_thousand_parts_are_read_and_a_few_of_them_logged() {
    let line: String = (0..10_000).map(|number| format!("{number:x}:1,")).collect();
    assert_eq!(parse(&[line.as_bytes()]).unwrap().len(), 9_999);
    let part = |number: usize| PromptPart {
        id: number.to_string(),
        tokens: 1,
    };
    let prompt = Prompt {
        input_tokens: 1,
        max_output_tokens: 1,
        shared_parts: (0..10_000).map(part).collect(),
    };
    assert_eq!(prompt.describe_parts().split(',').count(), MAX_LOGGED_PARTS);
}
