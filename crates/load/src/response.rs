//! Responses of entry hosts and targets as received, complete or truncated.

use serde_json::Value;

/// The number of headers that a response may have.
const MAX_HEADERS: usize = 64;

/// A response that was received up to the end that its length or chunks define.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// Parses the bytes that a connection delivered; returns `None` if the response is malformed,
/// truncated, or has neither length nor chunks, so that it may be truncated.
pub(crate) fn parse_response(bytes: &[u8]) -> Option<CompleteResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head_length) = head.parse(bytes).ok()? else {
        return None;
    };
    let find = |name: &str| {
        let found = head
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        std::str::from_utf8(found?.value).ok()
    };
    let rest = &bytes[head_length..];
    let body = if find("transfer-encoding").is_some() {
        decode_chunks(rest)?
    } else {
        let length: usize = find("content-length")?.parse().ok()?;
        rest.get(..length)?.to_vec()
    };
    Some(CompleteResponse {
        status: head.code?,
        body,
    })
}

/// Decodes a chunked body; returns `None` without its last chunk.
fn decode_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let httparse::Status::Complete((start, size)) = httparse::parse_chunk_size(rest).ok()?
        else {
            return None;
        };
        let size = usize::try_from(size).ok()?;
        let chunk = rest.get(start..)?;
        if chunk.get(size..size.checked_add(2)?)? != b"\r\n" {
            return None;
        }
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &chunk[size + 2..];
    }
}

/// Returns whether a body ends with the output of a stage or the end mark of a stream.
pub(crate) fn has_complete_output(body: &[u8]) -> bool {
    let last = body.trim_ascii().rsplit(|byte| *byte == b'\n').next();
    let Ok(last) = serde_json::from_slice::<Value>(last.unwrap_or_default()) else {
        return false;
    };
    last.get("end") == Some(&Value::Bool(true)) || last.get("output").is_some()
}
