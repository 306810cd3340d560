//! Sends claims and commands on deferred requests to the leading control host over one connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::Display;
use linnet_claim::{CallReply, CallRequest, ControlCall, ControlReply};
use linnet_wire::{PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

/// The maximum number of calls queued for sending.
const MAX_QUEUED_CALLS: usize = 1_024;

/// The maximum number of queued background calls. Beyond it new calls are dropped; a resend of such
/// a request gets the error that the request may have run.
const MAX_BACKGROUND_CALLS: usize = 4_096;

/// How long to wait for outstanding replies before a connection is closed.
const LAST_REPLIES_TIMEOUT: Duration = Duration::from_millis(100);

/// The delay before the next control host is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(30);

/// The delay between two attempts of a background call, and the timeout of one attempt.
const BACKGROUND_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const BACKGROUND_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CallFailure {
    /// The command was certainly not applied.
    #[display("no control host applied the command")]
    NotApplied,
    /// The command may have been applied, or may be applied later.
    #[display("no reply from the control host in time")]
    Unknown,
}

/// The request id and call of a command that is submitted in the background.
type BackgroundCall = (String, ControlCall);

struct QueuedCall {
    request: String,
    call: ControlCall,
    done: oneshot::Sender<CallReply>,
    token: SendToken,
}

/// Decides whether a queued call is sent or withdrawn: the side that takes the token first decides.
/// Clones share one token.
#[derive(Debug, Clone, Default)]
struct SendToken(Arc<AtomicBool>);

impl SendToken {
    /// Takes the token in order to send or withdraw the call. Returns false if it was already
    /// taken.
    fn try_take(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }
}

/// A handle to the task that maintains the connection.
#[derive(Clone)]
pub(crate) struct ControlLink {
    queue: mpsc::Sender<QueuedCall>,
    background: mpsc::Sender<BackgroundCall>,
}

/// The receivers of the queues, for the tasks that serve them.
pub(crate) struct CallQueues {
    queue: mpsc::Receiver<QueuedCall>,
    background: mpsc::Receiver<BackgroundCall>,
}

impl ControlLink {
    /// Creates a link and the queues for its tasks.
    pub(crate) fn new() -> (Self, CallQueues) {
        let (queue, queue_receiver) = mpsc::channel(MAX_QUEUED_CALLS);
        let (background, background_receiver) = mpsc::channel(MAX_BACKGROUND_CALLS);
        let queues = CallQueues {
            queue: queue_receiver,
            background: background_receiver,
        };
        (Self { queue, background }, queues)
    }

    /// Submits a call and waits for its reply for at most `limit`.
    ///
    /// A call that one host did not apply is sent to the next. A command that is applied twice has
    /// no further effect, as it carries its own claim or lease id.
    pub(crate) async fn submit(
        &self,
        request: &str,
        call: ControlCall,
        limit: Duration,
    ) -> Result<ControlReply, CallFailure> {
        let deadline = Instant::now() + limit;
        let mut failure = CallFailure::NotApplied;
        while Instant::now() < deadline {
            let (done, reply) = oneshot::channel();
            let token = SendToken::default();
            let queued = QueuedCall {
                request: request.to_owned(),
                call: call.clone(),
                done,
                token: token.clone(),
            };
            if self.queue.try_send(queued).is_err() {
                return Err(failure);
            }
            match timeout_at(deadline, reply).await {
                Ok(Ok(CallReply {
                    result: Some(reply),
                    ..
                })) => return Ok(reply),
                Ok(Ok(reply)) if reply.not_applied => sleep(RECONNECT_DELAY).await,
                // Timed out before it was sent. Taking the token prevents it from being sent later.
                Err(_) if token.try_take() => {}
                // The connection was lost or the call timed out after sending: it may be applied.
                _ => failure = CallFailure::Unknown,
            }
        }
        Err(failure)
    }

    /// Submits a call in the background, retrying until there is a reply.
    pub(crate) fn submit_in_background(&self, request: &str, call: ControlCall) {
        // With a full queue the call is dropped; a resend then gets the error that the request may
        // have run.
        let _ = self.background.try_send((request.to_owned(), call));
    }
}

/// Serves both queues until the process ends.
pub(crate) async fn run_control_link(
    link: ControlLink,
    queues: CallQueues,
    identity: PeerIdentity,
    control: Vec<SocketAddr>,
) {
    ntex::rt::spawn(run_background_calls(link, queues.background));
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
        refuse_queued(&mut queue);
        sleep(RECONNECT_DELAY).await;
    }
}

// Calls that are still queued when a connection has ended or could not be opened were not sent.
// `ControlLink::submit` queues them again until their time limit.
fn refuse_queued(queue: &mut mpsc::Receiver<QueuedCall>) {
    while let Ok(queued) = queue.try_recv() {
        let _ = queued.done.send(CallReply {
            id: 0,
            result: None,
            not_applied: true,
        });
    }
}

type OpenCalls = Arc<Mutex<HashMap<u64, oneshot::Sender<CallReply>>>>;

/// Serves the queue over one connection until the connection is lost or its host is not the leader.
async fn serve_queue(
    queue: &mut mpsc::Receiver<QueuedCall>,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let open = OpenCalls::default();
    tokio::select! {
        result = send_calls(queue, &open, writer) => result,
        result = receive_replies(&open, reader) => result,
    }
}

async fn send_calls(
    queue: &mut mpsc::Receiver<QueuedCall>,
    open: &OpenCalls,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    let mut id = 0;
    while let Some(queued) = queue.recv().await {
        if !queued.token.try_take() {
            continue;
        }
        id += 1;
        lock_open(open).insert(id, queued.done);
        let request = CallRequest {
            id,
            request: queued.request,
            call: queued.call,
        };
        writer.send(&request).await?;
    }
    Ok(())
}

async fn receive_replies(open: &OpenCalls, mut reader: PeerReader) -> Result<(), WireError> {
    loop {
        let reply: CallReply = reader.receive().await?;
        let rotate = reply.result.is_none();
        complete_call(open, reply);
        if rotate {
            return receive_last_replies(open, reader).await;
        }
    }
}

/// Receives the replies to calls that were sent to a host before it refused one. It refuses these
/// as well; without its reply it would be unknown whether they were applied.
async fn receive_last_replies(open: &OpenCalls, mut reader: PeerReader) -> Result<(), WireError> {
    let deadline = Instant::now() + LAST_REPLIES_TIMEOUT;
    while !lock_open(open).is_empty() {
        let Ok(reply) = timeout_at(deadline, reader.receive()).await else {
            return Ok(());
        };
        complete_call(open, reply?);
    }
    Ok(())
}

fn complete_call(open: &OpenCalls, reply: CallReply) {
    if let Some(done) = lock_open(open).remove(&reply.id) {
        // The receiver is gone if the call has timed out.
        let _ = done.send(reply);
    }
}

fn lock_open(open: &OpenCalls) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<CallReply>>> {
    open.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run_background_calls(link: ControlLink, mut background: mpsc::Receiver<BackgroundCall>) {
    while let Some((request, call)) = background.recv().await {
        while link
            .submit(&request, call.clone(), BACKGROUND_CALL_TIMEOUT)
            .await
            .is_err()
        {
            sleep(BACKGROUND_RETRY_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests;
