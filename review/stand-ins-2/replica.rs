//! A sound replica of a plain service: it works on a number of requests at once, queues a few more, and
//! answers each with its seal.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{read_request, Request};

/// How a replica serves.
#[derive(Clone, Copy)]
pub struct Service {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// Length of the body of an answer.
    pub answer_bytes: usize,
}

/// A request that a replica received, other than with a status of its own that says it did not run.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub arrived: Instant,
    /// When the last byte of the answer was handed to the system.
    pub answered: Option<Instant>,
}

struct State {
    id: String,
    service: Service,
    is_running: AtomicBool,
    places: Mutex<(usize, usize)>,
    freed: Condvar,
    runs: Mutex<Vec<Run>>,
    sockets: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
}

/// A replica. Cheap to clone.
#[derive(Clone)]
pub struct Replica {
    pub address: SocketAddr,
    zone: &'static str,
    state: Arc<State>,
}

impl Replica {
    pub fn start(id: &str, address: SocketAddr, zone: &'static str, service: Service) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        listener.set_nonblocking(true).expect("non-blocking listener");
        let state = Arc::new(State {
            id: id.to_owned(),
            service,
            is_running: AtomicBool::new(true),
            places: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            sockets: Mutex::default(),
            sequence: AtomicU64::new(0),
        });
        let accepting = state.clone();
        spawn(move || {
            while accepting.is_running.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((socket, _)) => accept(&accepting, socket),
                    Err(_) => sleep(Duration::from_millis(2)),
                }
            }
        });
        Self { address, zone, state }
    }

    pub fn id(&self) -> &str {
        &self.state.id
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }

    /// Returns the next heartbeat, with a sequence number of its own.
    pub fn next_heartbeat(&self, service: &str, state: &str) -> Request {
        let sequence = self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.address, self.zone, self.state.service.slots
        );
        Request::new("PUT", &format!("/-/instances/{}", self.id()))
            .header("Host", "control")
            .header("Content-Type", "application/json")
            .body(body.as_bytes())
    }

    pub fn leave(&self) -> Request {
        Request::new("DELETE", &format!("/-/instances/{}", self.id())).header("Host", "control")
    }

    /// Ends the process: its connections are closed, whatever runs on them.
    pub fn end(&self) {
        self.state.is_running.store(false, Ordering::SeqCst);
        for socket in self.state.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn accept(state: &Arc<State>, socket: TcpStream) {
    let _ = socket.set_nonblocking(false);
    let _ = socket.set_nodelay(true);
    let _ = socket.set_read_timeout(Some(Duration::from_secs(120)));
    let Ok(kept) = socket.try_clone() else { return };
    state.sockets.lock().unwrap().push(kept);
    let state = state.clone();
    spawn(move || serve(&state, socket));
}

fn serve(state: &State, socket: TcpStream) {
    let Ok(mut writer) = socket.try_clone() else { return };
    let mut reader = BufReader::with_capacity(64 * 1024, socket);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let arrived = Instant::now();
        let id = request.find("attempt-id").unwrap_or_default().to_owned();
        let named = request.find("expect-instance");
        let is_another = named.is_some_and(|named| named != state.id);
        let sent = match (is_another, id.is_empty()) {
            (true, _) => write_answer(&mut writer, 421, &id, None, b""),
            (_, true) => write_answer(&mut writer, 400, &id, None, b""),
            _ if !enter(state) => write_answer(&mut writer, 503, &id, None, b""),
            _ => run(state, &mut writer, id, arrived),
        };
        if !sent {
            break;
        }
    }
}

/// Takes a place in the queue, and then a slot; returns false if the replica is full.
fn enter(state: &State) -> bool {
    let mut places = state.places.lock().unwrap();
    if places.0 >= state.service.slots && places.1 >= state.service.queue {
        return false;
    }
    places.1 += 1;
    while places.0 >= state.service.slots {
        places = state.freed.wait(places).unwrap();
    }
    places.1 -= 1;
    places.0 += 1;
    true
}

fn run(state: &State, writer: &mut TcpStream, id: String, arrived: Instant) -> bool {
    let number = {
        let mut runs = state.runs.lock().unwrap();
        runs.push(Run { id: id.clone(), arrived, answered: None });
        runs.len() - 1
    };
    sleep(state.service.work);
    state.places.lock().unwrap().0 -= 1;
    state.freed.notify_all();
    let body = vec![b'x'; state.service.answer_bytes];
    let seal = format!("{}.{}.{}", state.id, id, body.len());
    let sent = write_answer(writer, 200, &id, Some(&seal), &body);
    if sent {
        state.runs.lock().unwrap()[number].answered = Some(Instant::now());
    }
    sent
}

fn write_answer(writer: &mut TcpStream, status: u16, id: &str, seal: Option<&str>, body: &[u8]) -> bool {
    let seal = match seal {
        Some(seal) => format!("Response-Seal: {seal}\r\n"),
        None => "Not-Executed: 1\r\n".to_owned(),
    };
    let head = format!("HTTP/1.1 {status} Answer\r\nAttempt-Id: {id}\r\n{seal}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes).and_then(|()| writer.flush()).is_ok()
}
