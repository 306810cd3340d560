//! Just enough HTTP/1.1 to answer well, and to answer badly on purpose.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// The largest head and body that a fake reads, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A request as a fake sees it.
#[derive(Debug, Clone, Default)]
pub struct FakeRequest {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl FakeRequest {
    /// Returns a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value.as_str())
    }
}

/// Reads one request; nothing when the connection ended before one began.
///
/// # Errors
///
/// The socket's error, or `InvalidData` for what is no request.
pub async fn read_request<R: AsyncRead + Unpin>(
    socket: &mut R,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<FakeRequest>> {
    let mut request = loop {
        if let Some((request, used)) = parse_head(buffer)? {
            buffer.drain(..used);
            break request;
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if socket.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    while buffer.len() < length {
        if socket.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}

fn parse_head(buffer: &[u8]) -> io::Result<Option<(FakeRequest, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed
        .parse(buffer)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    let httparse::Status::Complete(used) = status else {
        return Ok(None);
    };
    let headers = parsed.headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value).into_owned();
        (header.name.to_ascii_lowercase(), value)
    });
    let request = FakeRequest {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        headers: headers.collect(),
        body: Vec::new(),
    };
    Ok(Some((request, used)))
}

/// Returns the bytes of an answer with a body of known length.
pub(crate) fn fixed_length_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut answer = response_head(status, headers);
    answer.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    answer.extend_from_slice(body);
    answer
}

/// Returns the head of an answer that goes on in chunks.
pub(crate) fn chunked_head(headers: &[(&str, &str)]) -> Vec<u8> {
    let mut answer = response_head(200, headers);
    answer.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
    answer
}

/// Returns one chunk; an empty one ends the body.
pub(crate) fn chunk(body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn response_head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Fake\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.into_bytes()
}
