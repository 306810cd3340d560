//! Serves the claims of entry hosts over one connection each.

use std::sync::Arc;

use linnet_claim::{ClaimAnswer, ClaimCommand, ClaimReply, ClaimRequest};
use linnet_quorum::{ProposeError, Replica};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::{PeerReader, PeerWriter, WireError};
use tokio::sync::mpsc;

use crate::machine::{ControlAnswer, ControlCommand};

/// Claims of one connection that may wait for their commit at one time.
const MAX_OPEN_CLAIMS: usize = 512;

/// Serves one entry host until its connection ends. Claims are proposed side by side, so that
/// they share one sync.
pub(crate) async fn serve_claims(
    replica: &Replica,
    recorder: &Arc<EventRecorder>,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let (replies, outbox) = mpsc::channel(MAX_OPEN_CLAIMS);
    let peer = reader.peer().to_owned();
    tokio::select! {
        result = take_requests(replica, recorder, &peer, reader, replies) => result,
        result = send_replies(outbox, writer) => result,
    }
}

async fn take_requests(
    replica: &Replica,
    recorder: &Arc<EventRecorder>,
    peer: &str,
    mut reader: PeerReader,
    replies: mpsc::Sender<ClaimReply>,
) -> Result<(), WireError> {
    let open = Arc::new(tokio::sync::Semaphore::new(MAX_OPEN_CLAIMS));
    loop {
        let request: ClaimRequest = reader.receive().await?;
        let Ok(permit) = open.clone().acquire_owned().await else {
            return Ok(());
        };
        let (replica, replies) = (replica.clone(), replies.clone());
        let (recorder, peer) = (recorder.clone(), peer.to_owned());
        ntex::rt::spawn(async move {
            let _permit = permit;
            let note = ClaimNote::of(&request);
            let reply = commit_claim(&replica, request).await;
            note.record(&recorder, &peer, &reply);
            let _ = replies.send(reply).await;
        });
    }
}

async fn send_replies(
    mut outbox: mpsc::Receiver<ClaimReply>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    while let Some(reply) = outbox.recv().await {
        writer.send(&reply).await?;
    }
    Ok(())
}

async fn commit_claim(replica: &Replica, request: ClaimRequest) -> ClaimReply {
    let command = ControlCommand::Claim(request.command);
    let bytes = postcard::to_stdvec(&command).unwrap_or_default();
    let outcome = replica.propose(bytes).await;
    let not_taken = matches!(outcome, Err(ref error) if !matches!(error, ProposeError::Unknown));
    let answer = outcome
        .ok()
        .and_then(|bytes| postcard::from_bytes(&bytes).ok())
        .and_then(|answer| match answer {
            ControlAnswer::Claim(answer) => Some(answer),
            _ => None,
        });
    ClaimReply {
        number: request.number,
        answer,
        not_taken,
    }
}

/// What the time line tells of a claim step, once its outcome is known.
struct ClaimNote {
    code: EventCode,
    step: &'static str,
    claim: u64,
    request: String,
}

impl ClaimNote {
    fn of(request: &ClaimRequest) -> Self {
        let (code, step, claim) = match &request.command {
            ClaimCommand::Open { claim, .. } => (EventCode::ClaimCommitted, "open", *claim),
            ClaimCommand::Finish { claim, .. } => (EventCode::ClaimFinished, "finish", *claim),
            ClaimCommand::Release { claim, .. } => (EventCode::ClaimFinished, "release", *claim),
        };
        Self {
            code,
            step,
            claim,
            request: request.request.clone(),
        }
    }

    fn record(&self, recorder: &EventRecorder, peer: &str, reply: &ClaimReply) {
        let detail = format!("{} claim={:016x}", self.step, self.claim);
        match &reply.answer {
            Some(ClaimAnswer::Granted | ClaimAnswer::Recorded) => {
                recorder.record_request(self.code, &self.request, peer, detail);
            }
            _ => recorder.record_request(EventCode::ClaimRefused, &self.request, peer, detail),
        }
    }
}
