//! A connection to another entry host that gathers pieces or places prompts.

use std::net::SocketAddr;

use linnet_wire::{PeerGreeting, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::{IDLE_SILENCE_LIMIT, LinkState, RECONNECT_WAIT, SILENCE_LIMIT, StageClient};
use crate::peer_queue::send_waiting;
use crate::piece_message::{PieceReply, PieceRequest};

/// Keeps a connection to an entry host open for as long as that host is known.
pub(super) async fn run_link(
    client: StageClient,
    address: SocketAddr,
    mut queue: mpsc::UnboundedReceiver<PieceRequest>,
) {
    while client.knows(address) {
        let _ = exchange(&client, address, &mut queue).await;
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
) -> Result<(), WireError> {
    let Ok(connected) = timeout(SILENCE_LIMIT, connect_peer(&client.identity, address)).await
    else {
        return Ok(());
    };
    let (reader, mut writer) = connected?;
    let reader = reader.with_silence_limit(IDLE_SILENCE_LIMIT);
    writer.send(&PeerGreeting::Pieces).await?;
    client.mark(address, LinkState::Up);
    tokio::select! {
        ended = take_replies(client, address, reader) => ended,
        ended = send_queued(client, address, queue, writer) => ended,
    }
}

async fn take_replies(
    client: &StageClient,
    address: SocketAddr,
    mut reader: PeerReader,
) -> Result<(), WireError> {
    loop {
        let reply = reader.receive::<PieceReply>().await?;
        client.note_heard(address);
        match reply {
            PieceReply::Done { number, results } => client.take_done(address, number, results),
            PieceReply::Placed { number, engine } => client.take_placed(address, number, engine),
            PieceReply::Called { number, end } => client.take_called(address, number, end),
            PieceReply::Turn { number, answer } => {
                client.take_turn_answer(address, number, answer);
            }
            PieceReply::Uses { pool, uses } => {
                client.coordinator.set_uses(reader.peer(), &pool, &uses);
            }
            PieceReply::Alive { loads } => client.take_loads(loads),
        }
    }
}

async fn send_queued(
    client: &StageClient,
    address: SocketAddr,
    queue: &mut mpsc::UnboundedReceiver<PieceRequest>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    // Ends once the other side is silent, which ends the connection.
    while let Some(period) = client.next_sign(address) {
        let request = match timeout(period, queue.recv()).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(_) => PieceRequest::Alive,
        };
        send_waiting(&request, queue, &mut writer).await?;
    }
    Ok(())
}
