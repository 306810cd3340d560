//! A minimal HTTP/1.1 server side that can also send invalid responses.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// The maximum size of the request line and headers.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A request that a fake has received.
#[derive(Debug, Clone, Default)]
pub struct FakeRequest {
    /// The method.
    pub method: String,
    /// The path, including the query.
    pub path: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl FakeRequest {
    /// Returns the value of a header, or an empty string if the request has none of this name.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value.as_str())
    }
}

/// Reads one request; returns `None` if the connection closes before the headers are complete.
///
/// # Errors
///
/// Returns the error of the socket, `InvalidData` if the data is not a valid request or too large,
/// and `UnexpectedEof` if the connection closes within the body.
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

/// Encodes a response with a `content-length` header.
pub(crate) fn fixed_length_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut response = response_head(status, headers);
    response.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    response.extend_from_slice(body);
    response
}

/// Encodes the head of a response with a chunked body.
pub(crate) fn chunked_response_head(headers: &[(&str, &str)]) -> Vec<u8> {
    let mut response = response_head(200, headers);
    response.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
    response
}

/// Encodes the head of a response whose body ends with its connection.
pub(crate) fn unframed_response_head(headers: &[(&str, &str)]) -> Vec<u8> {
    let mut response = response_head(200, headers);
    response.extend_from_slice(b"\r\n");
    response
}

/// Encodes one chunk; an empty one ends the body.
pub(crate) fn encode_chunk(body: &[u8]) -> Vec<u8> {
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
