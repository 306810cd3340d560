//! Commits claims through one connection to the leading control host.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::Display;
use linnet_claim::{ClaimAnswer, ClaimCommand, ClaimReply, ClaimRequest};
use linnet_wire::{PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

/// Claims that may wait to be sent.
const MAX_QUEUED: usize = 1_024;

/// Steps that may wait to be recorded later; past it the oldest stay unrecorded, and a resend of
/// such a request is told that it may have run.
const MAX_LATER: usize = 4_096;

/// Wait before the next control host is tried.
const ROTATE_WAIT: Duration = Duration::from_millis(30);

/// Wait before a step that must be recorded later is tried again, and how long one try may take.
const LATER_WAIT: Duration = Duration::from_millis(500);
const LATER_TIME: Duration = Duration::from_secs(2);

/// Why a claim has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum ClaimFailure {
    /// It was certainly not taken.
    #[display("no control host took the claim")]
    NotTaken,
    /// It may be taken later.
    #[display("the claim was not answered in time")]
    Unknown,
}

/// A request and the step of its claim that is to be recorded later.
type LaterClaim = (String, ClaimCommand);

struct QueuedClaim {
    request: String,
    command: ClaimCommand,
    done: oneshot::Sender<ClaimReply>,
}

/// A handle to the task that keeps the connection.
#[derive(Clone)]
pub(crate) struct ClaimLink {
    queue: mpsc::Sender<QueuedClaim>,
    later: mpsc::Sender<LaterClaim>,
}

/// The ends of the queues, for the tasks that serve them.
pub(crate) struct ClaimQueues {
    queue: mpsc::Receiver<QueuedClaim>,
    later: mpsc::Receiver<LaterClaim>,
}

impl ClaimLink {
    /// Creates a link and the queues that its tasks serve.
    pub(crate) fn new() -> (Self, ClaimQueues) {
        let (queue, queue_end) = mpsc::channel(MAX_QUEUED);
        let (later, later_end) = mpsc::channel(MAX_LATER);
        let queues = ClaimQueues {
            queue: queue_end,
            later: later_end,
        };
        (Self { queue, later }, queues)
    }

    /// Commits a step within a time.
    ///
    /// A step that one host did not take is tried at the next. The same step sent twice counts
    /// once, by the number of its claim.
    pub(crate) async fn submit(
        &self,
        request: &str,
        command: ClaimCommand,
        within: Duration,
    ) -> Result<ClaimAnswer, ClaimFailure> {
        let until = Instant::now() + within;
        let mut failure = ClaimFailure::NotTaken;
        while Instant::now() < until {
            let (done, reply) = oneshot::channel();
            let queued = QueuedClaim {
                request: request.to_owned(),
                command: command.clone(),
                done,
            };
            if self.queue.try_send(queued).is_err() {
                return Err(failure);
            }
            match timeout_at(until, reply).await {
                Ok(Ok(ClaimReply {
                    answer: Some(answer),
                    ..
                })) => return Ok(answer),
                Ok(Ok(reply)) if reply.not_taken => sleep(ROTATE_WAIT).await,
                // Lost with its connection or out of time: it may have been taken.
                _ => failure = ClaimFailure::Unknown,
            }
        }
        Err(failure)
    }

    /// Records a step in the background, again and again until a voter has it.
    pub(crate) fn submit_later(&self, request: &str, command: ClaimCommand) {
        // A full queue leaves the step unrecorded, which a resend is told honestly.
        let _ = self.later.try_send((request.to_owned(), command));
    }
}

/// Serves both queues until the process ends.
pub(crate) async fn run_claim_link(
    link: ClaimLink,
    queues: ClaimQueues,
    identity: PeerIdentity,
    control: Vec<SocketAddr>,
) {
    ntex::rt::spawn(record_later(link, queues.later));
    let mut queue = queues.queue;
    let mut turn = 0;
    loop {
        let address = control[turn % control.len()];
        if let Ok((reader, mut writer)) = connect_peer(&identity, address).await
            && writer.send(&PeerGreeting::Claims).await.is_ok()
        {
            let _ = serve_queue(&mut queue, reader, writer).await;
        }
        turn += 1;
        refuse_waiting(&mut queue);
        sleep(ROTATE_WAIT).await;
    }
}

// What waits while no host can be reached is answered at once, so that callers are too.
fn refuse_waiting(queue: &mut mpsc::Receiver<QueuedClaim>) {
    while let Ok(queued) = queue.try_recv() {
        let _ = queued.done.send(ClaimReply {
            number: 0,
            answer: None,
            not_taken: true,
        });
    }
}

type OpenClaims = Arc<Mutex<HashMap<u64, oneshot::Sender<ClaimReply>>>>;

/// Serves the queue over one connection until it is lost or its host does not lead.
async fn serve_queue(
    queue: &mut mpsc::Receiver<QueuedClaim>,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let open = OpenClaims::default();
    tokio::select! {
        result = send_claims(queue, &open, writer) => result,
        result = take_replies(&open, reader) => result,
    }
}

async fn send_claims(
    queue: &mut mpsc::Receiver<QueuedClaim>,
    open: &OpenClaims,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    let mut number = 0;
    while let Some(queued) = queue.recv().await {
        number += 1;
        lock_open(open).insert(number, queued.done);
        let request = ClaimRequest {
            number,
            request: queued.request,
            command: queued.command,
        };
        writer.send(&request).await?;
    }
    Ok(())
}

async fn take_replies(open: &OpenClaims, mut reader: PeerReader) -> Result<(), WireError> {
    loop {
        let reply: ClaimReply = reader.receive().await?;
        let rotate = reply.answer.is_none();
        if let Some(done) = lock_open(open).remove(&reply.number) {
            let _ = done.send(reply);
        }
        if rotate {
            return Ok(());
        }
    }
}

fn lock_open(open: &OpenClaims) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<ClaimReply>>> {
    open.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn record_later(link: ClaimLink, mut later: mpsc::Receiver<LaterClaim>) {
    while let Some((request, command)) = later.recv().await {
        while link
            .submit(&request, command.clone(), LATER_TIME)
            .await
            .is_err()
        {
            sleep(LATER_WAIT).await;
        }
    }
}
