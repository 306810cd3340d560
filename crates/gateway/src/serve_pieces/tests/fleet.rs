//! A light fleet around one entry host: other entry hosts that hand it pieces and prompts, and stage
//! targets that answer its calls. All but the host itself run on a thread of their own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linnet_quarantine::RequestKey;
use linnet_telemetry::HybridClock;
use linnet_wire::{PeerGreeting, PeerIdentity, PeerKey, PeerKeyRing, PeerReader, connect_peer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::caller_request::{Prompt, PromptPart, Rank};
use crate::engine::PlaceAsk;
use crate::piece::{ExpectedPieces, PieceBatch, PieceInput, StageWork};
use crate::piece_message::{PieceReply, PieceRequest};
use crate::pool_key::PoolKey;
use crate::stage_client::IDLE_PERIOD;

pub(super) const STAGE: &str = "stage";
pub(super) const ENGINES: &str = "engines";

/// Pieces of one request, and results that each of them takes.
pub(super) const PIECES: u32 = 16;
const INPUTS: usize = 8;

/// Time that a call takes beside its pieces, and for each of them.
pub(super) const CALL_MS: f64 = 150.0;
pub(super) const PIECE_MS: f64 = 1.3;

/// Time until an engine has read a prompt, and until its request has ended.
const READ_TIME: Duration = Duration::from_millis(150);
const RUN_TIME: Duration = Duration::from_millis(500);

/// Shared parts that prompts are drawn from.
const PARTS: u32 = 700;

/// What the other hosts ask of the one that is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Gather the pieces of a pool.
    Gather,
    /// Place prompts on engines.
    Place,
    /// Nothing: signs of life only.
    Rest,
}

pub(super) fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        name: name.to_owned(),
        keys: PeerKeyRing::new(vec![PeerKey::new("key", [7; 32])]),
        clock: Arc::new(HybridClock::new()),
    }
}

/// Answers calls of stage targets, each after the time that its pieces take.
pub(super) async fn run_target(listener: TcpListener) {
    while let Ok((socket, _)) = listener.accept().await {
        tokio::spawn(answer_calls(socket));
    }
}

async fn answer_calls(mut socket: TcpStream) -> std::io::Result<()> {
    let address = socket.local_addr()?;
    let mut taken = Vec::new();
    let mut made = 0_u64;
    loop {
        let (head, body) = read_call(&mut socket, &mut taken).await?;
        let answer = if head.starts_with("POST /run") {
            let pieces = body.split(|byte| *byte == b'\n').count() - 1;
            sleep(Duration::from_secs_f64(
                (CALL_MS + PIECE_MS * pieces as f64) / 1e3,
            ))
            .await;
            let handles =
                (0..pieces).map(|piece| format!("{address}/{:012x}\n", made + piece as u64));
            let handles: String = handles.collect();
            made += pieces as u64;
            handles
        } else {
            "{}".to_owned()
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            answer.len()
        );
        socket.write_all((head + &answer).as_bytes()).await?;
    }
}

async fn read_call(
    socket: &mut TcpStream,
    taken: &mut Vec<u8>,
) -> std::io::Result<(String, Vec<u8>)> {
    loop {
        if let Some(end) = taken.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&taken[..end]).into_owned();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .and_then(|value| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if taken.len() >= end + 4 + length {
                let body = taken[end + 4..end + 4 + length].to_vec();
                taken.drain(..end + 4 + length);
                return Ok((head, body));
            }
        }
        let mut bytes = [0; 16 * 1024];
        let count = socket.read(&mut bytes).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        taken.extend_from_slice(&bytes[..count]);
    }
}

/// Asks the host at `address` for its role, `per_s` times a second on the mean.
pub(super) async fn run_peer(number: usize, address: SocketAddr, role: Role, per_s: f64) {
    let me = identity(&format!("host-{number}"));
    let Ok((reader, mut writer)) = connect_peer(&me, address).await else {
        return;
    };
    if writer.send(&PeerGreeting::Pieces).await.is_err() {
        return;
    }
    let (requests, mut queue) = mpsc::unbounded_channel::<PieceRequest>();
    tokio::spawn(take_replies(reader, requests.clone()));
    tokio::spawn(ask_on(requests, role, per_s, number as u64));
    loop {
        let request = tokio::time::timeout(IDLE_PERIOD, queue.recv()).await;
        let request = match request {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(_) => PieceRequest::Alive,
        };
        if writer.send(&request).await.is_err() {
            return;
        }
    }
}

async fn ask_on(requests: mpsc::UnboundedSender<PieceRequest>, role: Role, per_s: f64, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut number = 0;
    if role == Role::Rest {
        return;
    }
    loop {
        let gap_s = -(1.0 - random.f64()).ln() / per_s;
        sleep(Duration::from_secs_f64(gap_s)).await;
        number += 1;
        let sent = match role {
            Role::Gather => batch_requests(number).map(|request| requests.send(request).is_ok()),
            _ => [
                true,
                true,
                send_place(&requests, number, random.u32(0..PARTS)),
            ],
        };
        if sent.contains(&false) {
            return;
        }
    }
}

fn send_place(requests: &mpsc::UnboundedSender<PieceRequest>, number: u64, part: u32) -> bool {
    let ask = place_ask(part);
    requests.send(PieceRequest::Place { number, ask }).is_ok()
}

/// What a host sends for a stage of one request: that pieces will come, that they are there, and the
/// pieces.
fn batch_requests(number: u64) -> [PieceRequest; 3] {
    let rank = Rank {
        account_priority: 1,
        route_priority: 1,
    };
    let expected = ExpectedPieces {
        pool: PoolKey::whole(STAGE),
        rank,
        pieces: PIECES,
    };
    let handle = |input| format!("127.0.0.1:45678/{:012x}", number * 16 + input);
    let batch = PieceBatch {
        number,
        pool: PoolKey::whole(STAGE),
        rank,
        first: false,
        wanted_ms: 1_500,
        remaining_ms: 6_000,
        hall: None,
        homes: None,
        result_bytes: 6_000,
        key: RequestKey::default(),
        apart: false,
        work: StageWork {
            request: format!("{number:016x}"),
            stage: 2,
            input: PieceInput::Results((0..INPUTS as u64).map(handle).collect()),
        },
        count: PIECES,
    };
    [
        PieceRequest::Expect { number, expected },
        PieceRequest::Arrived(number),
        PieceRequest::Run(batch),
    ]
}

fn place_ask(part: u32) -> PlaceAsk {
    PlaceAsk {
        service: ENGINES.to_owned(),
        prompt: Prompt {
            input_tokens: 15_000,
            max_output_tokens: 100,
            shared_parts: vec![PromptPart {
                id: format!("{part:08x}"),
                tokens: 13_000,
            }],
        },
        heavy_stage: None,
        results: Default::default(),
        avoid: Vec::new(),
        closed: Vec::new(),
        apart: false,
        homes: None,
    }
}

async fn take_replies(mut reader: PeerReader, requests: mpsc::UnboundedSender<PieceRequest>) {
    while let Ok(reply) = reader.receive::<PieceReply>().await {
        match reply {
            PieceReply::Done { results, .. } => {
                let free = PieceRequest::Free {
                    service: STAGE.to_owned(),
                    handles: results.into_iter().flatten().collect(),
                    bytes: 6_000,
                };
                let _ = requests.send(free);
            }
            PieceReply::Placed { number, .. } => {
                let requests = requests.clone();
                tokio::spawn(async move {
                    sleep(READ_TIME).await;
                    let _ = requests.send(PieceRequest::Read(number));
                    sleep(RUN_TIME).await;
                    let _ = requests.send(PieceRequest::End(number));
                });
            }
            _ => {}
        }
    }
}
