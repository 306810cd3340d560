//! Stand-in for clients: one request on one connection.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};

pub struct Sent<'a> {
    pub entry: SocketAddr,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// Sends a request and reads the whole answer.
pub fn send(sent: &Sent<'_>, limit: Duration) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&sent.entry, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let start = format!("{} {} HTTP/1.1", sent.method, sent.path);
    http::write_message(&mut stream, &start, sent.headers, sent.body)?;
    let mut reader = BufReader::new(stream);
    let mut answer = http::read_head(&mut reader)?
        .ok_or_else(|| std::io::Error::other("closed without an answer"))?;
    http::read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}
