//! Asks the leading control host over one connection: claims and deferred requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::Display;
use linnet_claim::{CallAnswer, CallReply, CallRequest, ControlCall};
use linnet_wire::{PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

/// Calls that may wait to be sent.
const MAX_QUEUED: usize = 1_024;

/// Steps that may wait to be recorded later; past it the oldest stay unrecorded, and a resend of
/// such a request is told that it may have run.
const MAX_LATER: usize = 4_096;

/// How long replies to calls are waited for on a connection that is about to be left.
const LAST_REPLIES_WAIT: Duration = Duration::from_millis(100);

/// Wait before the next control host is tried.
const ROTATE_WAIT: Duration = Duration::from_millis(30);

/// Wait before a step that must be recorded later is tried again, and how long one try may take.
const LATER_WAIT: Duration = Duration::from_millis(500);
const LATER_TIME: Duration = Duration::from_secs(2);

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CallFailure {
    /// It was certainly not taken.
    #[display("no control host took it")]
    NotTaken,
    /// It may be taken later.
    #[display("control did not answer in time")]
    Unknown,
}

/// A request and the step that is to be recorded later.
type LaterCall = (String, ControlCall);

struct QueuedCall {
    request: String,
    call: ControlCall,
    done: oneshot::Sender<CallReply>,
    claim: SendClaim,
}

/// Whether a call in the queue is sent or taken back: whoever asks first. Cheap to clone.
#[derive(Debug, Clone, Default)]
struct SendClaim(Arc<AtomicBool>);

impl SendClaim {
    /// Takes the call, to send it or to take it back; false where the other side has.
    fn take(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }
}

/// A handle to the task that keeps the connection.
#[derive(Clone)]
pub(crate) struct ControlLink {
    queue: mpsc::Sender<QueuedCall>,
    later: mpsc::Sender<LaterCall>,
}

/// The ends of the queues, for the tasks that serve them.
pub(crate) struct CallQueues {
    queue: mpsc::Receiver<QueuedCall>,
    later: mpsc::Receiver<LaterCall>,
}

impl ControlLink {
    /// Creates a link and the queues that its tasks serve.
    pub(crate) fn new() -> (Self, CallQueues) {
        let (queue, queue_end) = mpsc::channel(MAX_QUEUED);
        let (later, later_end) = mpsc::channel(MAX_LATER);
        let queues = CallQueues {
            queue: queue_end,
            later: later_end,
        };
        (Self { queue, later }, queues)
    }

    /// Commits a step within a time.
    ///
    /// A step that one host did not take is tried at the next. The same step sent twice counts
    /// once, by its own number.
    pub(crate) async fn submit(
        &self,
        request: &str,
        call: ControlCall,
        within: Duration,
    ) -> Result<CallAnswer, CallFailure> {
        let until = Instant::now() + within;
        let mut failure = CallFailure::NotTaken;
        while Instant::now() < until {
            let (done, reply) = oneshot::channel();
            let claim = SendClaim::default();
            let queued = QueuedCall {
                request: request.to_owned(),
                call: call.clone(),
                done,
                claim: claim.clone(),
            };
            if self.queue.try_send(queued).is_err() {
                return Err(failure);
            }
            match timeout_at(until, reply).await {
                Ok(Ok(CallReply {
                    answer: Some(answer),
                    ..
                })) => return Ok(answer),
                Ok(Ok(reply)) if reply.not_taken => sleep(ROTATE_WAIT).await,
                // Out of time before it was sent, which it is not any more.
                Err(_) if claim.take() => {}
                // Lost with its connection or out of time: it may have been taken.
                _ => failure = CallFailure::Unknown,
            }
        }
        Err(failure)
    }

    /// Records a step in the background, again and again until a voter has it.
    pub(crate) fn submit_later(&self, request: &str, call: ControlCall) {
        // A full queue leaves the step unrecorded, which a resend is told honestly.
        let _ = self.later.try_send((request.to_owned(), call));
    }
}

/// Serves both queues until the process ends.
pub(crate) async fn run_control_link(
    link: ControlLink,
    queues: CallQueues,
    identity: PeerIdentity,
    control: Vec<SocketAddr>,
) {
    ntex::rt::spawn(record_later(link, queues.later));
    let mut queue = queues.queue;
    let mut turn = 0;
    loop {
        let address = control[turn % control.len()];
        if let Ok((reader, mut writer)) = connect_peer(&identity, address).await
            && writer.send(&PeerGreeting::Calls).await.is_ok()
        {
            let _ = serve_queue(&mut queue, reader, writer).await;
        }
        turn += 1;
        refuse_waiting(&mut queue);
        sleep(ROTATE_WAIT).await;
    }
}

// What waits while no host can be reached is answered at once, so that callers are too.
fn refuse_waiting(queue: &mut mpsc::Receiver<QueuedCall>) {
    while let Ok(queued) = queue.try_recv() {
        let _ = queued.done.send(CallReply {
            number: 0,
            answer: None,
            not_taken: true,
        });
    }
}

type OpenCalls = Arc<Mutex<HashMap<u64, oneshot::Sender<CallReply>>>>;

/// Serves the queue over one connection until it is lost or its host does not lead.
async fn serve_queue(
    queue: &mut mpsc::Receiver<QueuedCall>,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let open = OpenCalls::default();
    tokio::select! {
        result = send_calls(queue, &open, writer) => result,
        result = take_replies(&open, reader) => result,
    }
}

async fn send_calls(
    queue: &mut mpsc::Receiver<QueuedCall>,
    open: &OpenCalls,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    let mut number = 0;
    while let Some(queued) = queue.recv().await {
        if !queued.claim.take() {
            continue;
        }
        number += 1;
        lock_open(open).insert(number, queued.done);
        let request = CallRequest {
            number,
            request: queued.request,
            call: queued.call,
        };
        writer.send(&request).await?;
    }
    Ok(())
}

async fn take_replies(open: &OpenCalls, mut reader: PeerReader) -> Result<(), WireError> {
    loop {
        let reply: CallReply = reader.receive().await?;
        let rotate = reply.answer.is_none();
        settle_call(open, reply);
        if rotate {
            return take_last_replies(open, reader).await;
        }
    }
}

/// Takes the replies to calls that were sent to a host before it refused one: it refuses them as well, and without its
/// reply nobody knows.
async fn take_last_replies(open: &OpenCalls, mut reader: PeerReader) -> Result<(), WireError> {
    let until = Instant::now() + LAST_REPLIES_WAIT;
    while !lock_open(open).is_empty() {
        let Ok(reply) = timeout_at(until, reader.receive()).await else {
            return Ok(());
        };
        settle_call(open, reply?);
    }
    Ok(())
}

fn settle_call(open: &OpenCalls, reply: CallReply) {
    if let Some(done) = lock_open(open).remove(&reply.number) {
        // Nobody waits any more where its time is over.
        let _ = done.send(reply);
    }
}

fn lock_open(open: &OpenCalls) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<CallReply>>> {
    open.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn record_later(link: ControlLink, mut later: mpsc::Receiver<LaterCall>) {
    while let Some((request, call)) = later.recv().await {
        while link
            .submit(&request, call.clone(), LATER_TIME)
            .await
            .is_err()
        {
            sleep(LATER_WAIT).await;
        }
    }
}

#[cfg(test)]
mod tests;
