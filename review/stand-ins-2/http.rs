//! HTTP/1.1 over plain sockets, for clients, the operator and replicas.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request, or what a replica read of one.
#[derive(Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &str, path: &str) -> Self {
        Self { method: method.to_owned(), path: path.to_owned(), ..Self::default() }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    pub fn find(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        if !self.body.is_empty() || self.method != "GET" {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        to.write_all(head.as_bytes())?;
        to.write_all(&self.body)?;
        to.flush()
    }
}

/// The head of an answer.
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn find(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn length(&self) -> Option<usize> {
        self.find("content-length")?.parse().ok()
    }
}

/// A complete answer.
pub struct Answer {
    pub status: u16,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut all = headers.iter();
    let found = all.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_lines(from: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a request; `None` if the connection ended before one began.
pub fn read_request(from: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_lines(from)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        path: words.next().unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = request.find("content-length").and_then(|value| value.parse().ok()).unwrap_or(0usize);
    request.body = vec![0; length];
    from.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Reads the head of an answer.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Head> {
    let (first, headers) = read_lines(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok(Head { status: status.ok_or(io::ErrorKind::InvalidData)?, headers })
}

/// Reads a complete answer with a length.
pub fn read_answer(from: &mut impl BufRead) -> io::Result<Answer> {
    let head = read_head(from)?;
    let mut body = vec![0; head.length().unwrap_or(0)];
    from.read_exact(&mut body)?;
    Ok(Answer { status: head.status })
}

/// Opens a connection whose reads and writes have a limit.
pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(limit))?;
    socket.set_write_timeout(Some(limit))?;
    Ok(socket)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(to: SocketAddr, request: &Request, limit: Duration) -> Option<Answer> {
    let mut socket = connect(to, limit).ok()?;
    request.write(&mut socket).ok()?;
    read_answer(&mut BufReader::new(socket)).ok()
}
