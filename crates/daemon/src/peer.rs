//! The port for peers.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::{
    PeerGreeting, PeerIdentity, PeerKeyRing, PeerReader, PeerWriter, WireError, accept_peer,
};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Connections of peers at one time; more are closed at once.
const MAX_PEER_CONNECTIONS: usize = 4_096;

/// How often the key file is read again.
const KEY_RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// How long a peer may take to say what its connection is for.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves connections of peers, one task each, until the process ends. `serve` runs a connection
/// by its greeting.
pub async fn accept_peers<S, F>(
    listener: TcpListener,
    identity: PeerIdentity,
    recorder: Arc<EventRecorder>,
    serve: S,
) where
    S: Fn(PeerGreeting, PeerReader, PeerWriter) -> F + 'static,
    F: Future<Output = Result<(), WireError>> + 'static,
{
    let serve = Rc::new(serve);
    let open = Rc::new(());
    loop {
        let Ok((socket, address)) = listener.accept().await else {
            // Out of descriptors: waiting lets others end.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&open) > MAX_PEER_CONNECTIONS {
            continue;
        }
        let held = open.clone();
        let (serve, identity, recorder) = (serve.clone(), identity.clone(), recorder.clone());
        ntex::rt::spawn(async move {
            let _held = held;
            let greeted = async {
                let (mut reader, writer) = accept_peer(&identity, socket, address).await?;
                let greeting = timeout(GREETING_TIMEOUT, reader.receive()).await;
                Ok::<_, WireError>((greeting, reader, writer))
            };
            match greeted.await {
                Ok((Ok(Ok(greeting)), reader, writer)) => {
                    // A lost connection is the peer's matter to report.
                    let _ = serve(greeting, reader, writer).await;
                }
                Ok(_) => {}
                Err(error) if error.is_refusal() => {
                    recorder.record(EventCode::PeerRefused, &error.peer, error.to_string());
                }
                Err(_) => {}
            }
        });
    }
}

/// Reads the key file again and again on a thread of its own, so that keys roll without a stop.
/// A wrong file is reported once and the old keys stay.
pub fn watch_key_file(keys: PeerKeyRing, path: PathBuf) {
    std::thread::spawn(move || {
        let mut last_fault = String::new();
        loop {
            std::thread::sleep(KEY_RELOAD_INTERVAL);
            let fault = match keys.reload(&path) {
                Ok(()) => String::new(),
                Err(error) => error.to_string(),
            };
            if !fault.is_empty() && fault != last_fault {
                log::error!(target: "linnetdale", "{fault}; the keys read before stay in use");
            }
            last_fault = fault;
        }
    });
}
