//! A connection to another entry host that gathers pieces or places prompts.

use std::net::SocketAddr;

use linnet_telemetry::EventCode;
use linnet_wire::{MessageVersion, PeerGreeting, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::{IDLE_SILENCE_LIMIT, LinkState, RECONNECT_WAIT, SILENCE_LIMIT, StageClient};
use crate::first_form::{FirstReply, queue_request};
use crate::peer_queue::send_waiting;
use crate::piece_message::{PieceReply, PieceRequest};

/// How a connection ended, where it did not fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkEnd {
    /// The other side is lost, or was silent.
    Lost,
    /// Nothing needed it, and it is forgotten.
    Unused,
}

/// Keeps a connection to an entry host open for as long as that host is known and something needs it.
pub(super) async fn run_link(
    client: StageClient,
    address: SocketAddr,
    mut queue: mpsc::UnboundedReceiver<PieceRequest>,
) {
    while client.knows(address) {
        // Why it failed says nothing that its being lost does not.
        if let Ok(LinkEnd::Unused) = exchange(&client, address, &mut queue).await {
            return;
        }
        client.mark(address, LinkState::Lost);
        // What waits for this host goes to another one.
        while queue.try_recv().is_ok() {}
        sleep(RECONNECT_WAIT).await;
    }
    let link = {
        let mut state = client.state.borrow_mut();
        state.cut_halls = None;
        state.links.remove(&address)
    };
    drop(link);
}

async fn exchange(
    client: &StageClient,
    address: SocketAddr,
    queue: &mut mpsc::UnboundedReceiver<PieceRequest>,
) -> Result<LinkEnd, WireError> {
    let Ok(connected) = timeout(SILENCE_LIMIT, connect_peer(&client.identity, address)).await
    else {
        return Ok(LinkEnd::Lost);
    };
    let (reader, mut writer) = connected?;
    let mut reader = reader.with_silence_timeout(IDLE_SILENCE_LIMIT);
    writer.send(&PeerGreeting::Pieces).await?;
    let form = match reader.message_version() {
        Some(form) => form,
        None => first_sign(client, address, &mut reader).await?,
    };
    client.mark_up(address, form);
    tokio::select! {
        ended = take_replies(client, address, reader) => ended.map(|()| LinkEnd::Lost),
        ended = send_queued(client, address, form, queue, writer) => ended,
    }
}

/// Waits for the first sign of life of a host that announced no form, which tells it. Such a host sends one
/// within 400 ms; requests wait for it, or go elsewhere.
async fn first_sign(
    client: &StageClient,
    address: SocketAddr,
    reader: &mut PeerReader,
) -> Result<MessageVersion, WireError> {
    loop {
        take_reply(client, address, reader).await?;
        if let Some(form) = reader.message_version() {
            let detail = format!("peer={} form={form}", reader.peer());
            let recorder = &client.coordinator.recorder;
            recorder.record(EventCode::PeerEarlier, &address.to_string(), detail);
            return Ok(form);
        }
    }
}

async fn take_replies(
    client: &StageClient,
    address: SocketAddr,
    mut reader: PeerReader,
) -> Result<(), WireError> {
    loop {
        take_reply(client, address, &mut reader).await?;
    }
}

async fn take_reply(
    client: &StageClient,
    address: SocketAddr,
    reader: &mut PeerReader,
) -> Result<(), WireError> {
    let reply = reader.receive_versioned::<_, FirstReply>().await?;
    client.note_heard(address);
    match reply {
        PieceReply::Done { number, results } => client.take_done(address, number, results),
        PieceReply::Placed { number, engine } => client.take_placed(address, number, engine),
        PieceReply::Called { number, end } => client.take_called(address, number, end),
        PieceReply::Rate { number, answer } => client.take_rate_answer(address, number, answer),
        PieceReply::Turn { number, answer } => client.take_turn_answer(address, number, answer),
        PieceReply::Uses { pool, uses } => client.coordinator.set_uses(reader.peer(), &pool, &uses),
        PieceReply::Alive { loads } => client.take_loads(loads),
    }
    Ok(())
}

async fn send_queued(
    client: &StageClient,
    address: SocketAddr,
    form: MessageVersion,
    queue: &mut mpsc::UnboundedReceiver<PieceRequest>,
    mut writer: PeerWriter,
) -> Result<LinkEnd, WireError> {
    let put =
        |writer: &mut PeerWriter, request: &PieceRequest| queue_request(writer, form, request);
    // Ends once the other side is silent, which ends the connection.
    while let Some(period) = client.next_sign(address) {
        let request = match timeout(period, queue.recv()).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(LinkEnd::Lost),
            Err(_) if client.take_unused(address) => return Ok(LinkEnd::Unused),
            Err(_) => PieceRequest::Alive,
        };
        send_waiting(&request, queue, &mut writer, put).await?;
    }
    Ok(LinkEnd::Lost)
}
