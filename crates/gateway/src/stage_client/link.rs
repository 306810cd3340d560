//! The task that runs one connection to another entry host.

use std::net::SocketAddr;

use std::collections::VecDeque;

use linnet_telemetry::EventCode;
use linnet_wire::{MessageVersion, PeerGreeting, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::batch_end::BatchEnd;
use super::{IDLE_SILENCE_TIMEOUT, LinkState, RECONNECT_DELAY, SILENCE_TIMEOUT, StageClient};
use crate::message_v1::{PieceReplyV1, queue_request};
use crate::peer_queue::write_queued;
use crate::piece_message::{PieceReply, PieceRequest};

/// Maximum number of origins of streams that are kept for a host whose connection is lost.
const MAX_KEPT_ORIGINS: usize = 1_024;

/// The reason why a connection ended without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkEnd {
    /// The peer was silent, or could not be reached in time.
    Lost,
    /// The connection was unused and has been removed.
    Unused,
}

/// Keeps a connection to an entry host open while that host is known and the connection is in use.
pub(super) async fn run_link(
    client: StageClient,
    address: SocketAddr,
    mut queue: mpsc::UnboundedReceiver<PieceRequest>,
) {
    while client.is_known(address) {
        // An error is handled like any other loss of the connection.
        if let Ok(LinkEnd::Unused) = run_connection(&client, address, &mut queue).await {
            return;
        }
        client.set_link_state(address, LinkState::Lost);
        let kept = discard_queued(&mut queue);
        client.keep_messages(address, kept);
        sleep(RECONNECT_DELAY).await;
    }
    let link = {
        let mut state = client.state.borrow_mut();
        state.unreachable_halls = None;
        state.links.remove(&address)
    };
    drop(link);
}

/// Discards queued requests: their reply channels were dropped, so the senders try another host. Returns
/// the newest origins of streams, which nobody sends again.
fn discard_queued(queue: &mut mpsc::UnboundedReceiver<PieceRequest>) -> VecDeque<PieceRequest> {
    let mut kept = VecDeque::new();
    while let Ok(request) = queue.try_recv() {
        if matches!(request, PieceRequest::BindStream { .. }) {
            kept.push_back(request);
        }
        if kept.len() > MAX_KEPT_ORIGINS {
            kept.pop_front();
        }
    }
    kept
}

async fn run_connection(
    client: &StageClient,
    address: SocketAddr,
    queue: &mut mpsc::UnboundedReceiver<PieceRequest>,
) -> Result<LinkEnd, WireError> {
    let Ok(connected) = timeout(SILENCE_TIMEOUT, connect_peer(&client.identity, address)).await
    else {
        return Ok(LinkEnd::Lost);
    };
    let (reader, mut writer) = connected?;
    let mut reader = reader.with_silence_timeout(IDLE_SILENCE_TIMEOUT);
    writer.send(&PeerGreeting::Pieces).await?;
    let version = match reader.message_version() {
        Some(version) => version,
        None => detect_message_version(client, address, &mut reader).await?,
    };
    client.mark_link_up(address, version);
    tokio::select! {
        ended = receive_replies(client, address, reader) => ended.map(|()| LinkEnd::Lost),
        ended = send_queued(client, address, version, queue, writer) => ended,
    }
}

/// Detects the message version of a host that announced none, by the first message from it. Such a
/// host sends a heartbeat within 400 ms; until then requests wait or go to another host.
async fn detect_message_version(
    client: &StageClient,
    address: SocketAddr,
    reader: &mut PeerReader,
) -> Result<MessageVersion, WireError> {
    loop {
        receive_reply(client, address, reader).await?;
        if let Some(version) = reader.message_version() {
            let detail = format!("peer={} form={version}", reader.peer());
            let recorder = &client.coordinator.recorder;
            recorder.record(EventCode::PeerEarlier, &address.to_string(), detail);
            return Ok(version);
        }
    }
}

async fn receive_replies(
    client: &StageClient,
    address: SocketAddr,
    mut reader: PeerReader,
) -> Result<(), WireError> {
    loop {
        receive_reply(client, address, &mut reader).await?;
    }
}

async fn receive_reply(
    client: &StageClient,
    address: SocketAddr,
    reader: &mut PeerReader,
) -> Result<(), WireError> {
    let reply = reader.receive_versioned::<_, PieceReplyV1>().await?;
    client.record_received(address);
    match reply {
        PieceReply::BatchDone { number, results } => {
            client.complete_batch(address, number, BatchEnd::Done(results));
        }
        PieceReply::BatchReturned { number } => client.return_batch(address, number),
        PieceReply::Placed { number, engine } => client.complete_placement(address, number, engine),
        PieceReply::DelegatedCallEnded { number, outcome } => {
            client.complete_call(address, number, outcome)
        }
        PieceReply::SendPermit { number, reply } => {
            client.complete_send_permit(address, number, reply)
        }
        PieceReply::StreamFound { number, origin } => {
            client.complete_stream(address, number, origin)
        }
        PieceReply::RunPermit { number, reply } => {
            client.complete_run_permit(address, number, reply)
        }
        PieceReply::TargetUsage { pool, usage } => {
            client
                .coordinator
                .set_peer_usage(reader.peer(), &pool, &usage)
        }
        PieceReply::Heartbeat { loads } => client.store_loads(loads),
        PieceReply::PoolTimes { times } => client.store_times(times),
        PieceReply::AccountLimits { pool, limits } => client.apply_account_limits(&pool, limits),
    }
    Ok(())
}

async fn send_queued(
    client: &StageClient,
    address: SocketAddr,
    version: MessageVersion,
    queue: &mut mpsc::UnboundedReceiver<PieceRequest>,
    mut writer: PeerWriter,
) -> Result<LinkEnd, WireError> {
    let put = |writer: &mut PeerWriter, request: &PieceRequest| {
        if client.is_withdrawn(address, request) {
            return Ok(false);
        }
        queue_request(writer, version, request)
    };
    // The loop, and with it the connection, ends once the peer is silent while requests are
    // pending.
    while let Some(interval) = client.heartbeat_interval(address) {
        let request = match timeout(interval, queue.recv()).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(LinkEnd::Lost),
            Err(_) if client.remove_if_unused(address) => return Ok(LinkEnd::Unused),
            Err(_) => PieceRequest::Heartbeat,
        };
        write_queued(&request, queue, &mut writer, put).await?;
    }
    Ok(LinkEnd::Lost)
}
