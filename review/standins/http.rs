//! HTTP/1.1 over blocking sockets: reading and writing of single messages.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(bad("line cut short"));
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| bad("head cut short"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("no header"))?;
        message
            .headers
            .push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body that a head announces.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_answer: bool,
) -> io::Result<()> {
    let chunked = message
        .header("Transfer-Encoding")
        .is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            let line = read_line(reader)?.ok_or_else(|| bad("chunk missing"))?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| bad("chunk size"))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            let end = read_line(reader)?.ok_or_else(|| bad("chunk end"))?;
            if size == 0 {
                if !end.is_empty() {
                    while read_line(reader)?.is_some_and(|line| !line.is_empty()) {}
                }
                return Ok(());
            }
        }
    }
    if let Some(length) = message.header("Content-Length") {
        let length = length.parse().map_err(|_| bad("length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if is_answer {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Writes a request or an answer with a length.
pub fn write_message(
    writer: &mut impl Write,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    writer.write_all(&bytes)?;
    writer.flush()
}

/// Sends one request on a new connection and reads the whole answer.
pub fn exchange(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    write_message(&mut stream, start, headers, body)?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?.ok_or_else(|| bad("no answer"))?;
    read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}
