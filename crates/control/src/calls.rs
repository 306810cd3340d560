//! Serves the calls of entry hosts, on one connection per entry host.

use std::sync::Arc;

use linnet_claim::{
    CallReply, CallRequest, ClaimCommand, ClaimReply, ControlCall, ControlReply, DeferredCommand,
    DeferredCommandReply,
};
use linnet_quorum::{ProposeError, Replica};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::{PeerReader, PeerWriter, WireError};
use tokio::sync::mpsc;

use crate::machine::{ControlCommand, ControlCommandReply, ControlMachine};

/// Maximum number of concurrent calls per connection.
const MAX_OPEN_CALLS: usize = 512;

/// Serves one entry host until its connection ends. Calls are proposed concurrently, so that they
/// share disk syncs.
pub(crate) async fn serve_calls(
    replica: &Replica,
    machine: &ControlMachine,
    recorder: &Arc<EventRecorder>,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let (replies, outbox) = mpsc::channel(MAX_OPEN_CALLS);
    let peer = reader.peer().to_owned();
    tokio::select! {
        result = receive_requests(replica, machine, recorder, &peer, reader, replies) => result,
        result = send_replies(outbox, writer) => result,
    }
}

async fn receive_requests(
    replica: &Replica,
    machine: &ControlMachine,
    recorder: &Arc<EventRecorder>,
    peer: &str,
    mut reader: PeerReader,
    replies: mpsc::Sender<CallReply>,
) -> Result<(), WireError> {
    let open_calls = Arc::new(tokio::sync::Semaphore::new(MAX_OPEN_CALLS));
    loop {
        let request: CallRequest = reader.receive().await?;
        let Ok(permit) = open_calls.clone().acquire_owned().await else {
            return Ok(());
        };
        let (replica, machine) = (replica.clone(), machine.clone());
        let replies = replies.clone();
        let (recorder, peer) = (recorder.clone(), peer.to_owned());
        ntex::rt::spawn(async move {
            let _permit = permit;
            let event = CallEvent::of(&request);
            let reply = execute_call(&replica, &machine, request).await;
            if let Some(event) = event {
                event.record(&recorder, &peer, &reply);
            }
            let _ = replies.send(reply).await;
        });
    }
}

async fn send_replies(
    mut outbox: mpsc::Receiver<CallReply>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    while let Some(reply) = outbox.recv().await {
        writer.send(&reply).await?;
    }
    Ok(())
}

/// Executes one call: a query under the lease, a command by committing it.
async fn execute_call(
    replica: &Replica,
    machine: &ControlMachine,
    request: CallRequest,
) -> CallReply {
    let id = request.id;
    let command = match request.call {
        ControlCall::Claim(step) => ControlCommand::Claim(step),
        ControlCall::Deferred(step) => ControlCommand::Deferred(step),
        ControlCall::Query(query) => {
            let has_lease = replica.has_valid_lease();
            let result = has_lease.then(|| ControlReply::Query(machine.query_deferred(&query)));
            return CallReply {
                id,
                result,
                not_applied: !has_lease,
            };
        }
    };
    let bytes = postcard::to_stdvec(&command).unwrap_or_default();
    let outcome = replica.propose(bytes).await;
    let not_taken = matches!(outcome, Err(ref error) if !matches!(error, ProposeError::Unknown));
    let result = outcome
        .ok()
        .and_then(|bytes| postcard::from_bytes(&bytes).ok())
        .and_then(|reply| match reply {
            ControlCommandReply::Claim(reply) => Some(ControlReply::Claim(reply)),
            ControlCommandReply::Deferred(reply) => Some(ControlReply::Deferred(reply)),
            _ => None,
        });
    CallReply {
        id,
        result,
        not_applied: not_taken,
    }
}

/// The event of a call, recorded once its outcome is known.
struct CallEvent {
    code: EventCode,
    detail: String,
    request: String,
}

impl CallEvent {
    /// Returns the event of a call. There is none for renewals and releases of leases of deferred
    /// requests, nor for queries, which are too frequent.
    fn of(request: &CallRequest) -> Option<Self> {
        let (code, detail) = match &request.call {
            ControlCall::Claim(step) => claim_event(step),
            ControlCall::Deferred(step) => deferred_event(step)?,
            ControlCall::Query(_) => return None,
        };
        Some(Self {
            code,
            detail,
            request: request.request.clone(),
        })
    }

    fn record(self, recorder: &EventRecorder, peer: &str, reply: &CallReply) {
        let is_accepted = matches!(
            reply.result,
            Some(
                ControlReply::Claim(ClaimReply::Granted | ClaimReply::Recorded)
                    | ControlReply::Deferred(
                        DeferredCommandReply::Accepted
                            | DeferredCommandReply::Taken(_)
                            | DeferredCommandReply::Recorded
                    )
            )
        );
        let code = if is_accepted {
            self.code
        } else {
            EventCode::ClaimRefused
        };
        recorder.record_request(code, &self.request, peer, self.detail);
    }
}

fn claim_event(step: &ClaimCommand) -> (EventCode, String) {
    match step {
        ClaimCommand::Open { claim, .. } => (
            EventCode::ClaimCommitted,
            format!("open claim={claim:016x}"),
        ),
        ClaimCommand::Finish { claim, .. } => (
            EventCode::ClaimFinished,
            format!("finish claim={claim:016x}"),
        ),
        ClaimCommand::Release { claim, .. } => (
            EventCode::ClaimFinished,
            format!("release claim={claim:016x}"),
        ),
    }
}

fn deferred_event(step: &DeferredCommand) -> Option<(EventCode, String)> {
    let event = match step {
        DeferredCommand::Accept { job, .. } => (EventCode::DeferredAccepted, job.handle.clone()),
        DeferredCommand::TakeOver { handle, .. } => (EventCode::DeferredTaken, handle.clone()),
        DeferredCommand::Finish { handle, .. } => (EventCode::DeferredFinished, handle.clone()),
        DeferredCommand::Acknowledge { handle, .. } => {
            (EventCode::DeferredAcknowledged, handle.clone())
        }
        DeferredCommand::Renew { .. } | DeferredCommand::Release { .. } => return None,
    };
    Some(event)
}
