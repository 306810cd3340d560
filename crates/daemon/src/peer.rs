//! The peer port.

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

/// Maximum number of concurrent peer connections; further ones are closed at once.
const MAX_PEER_CONNECTIONS: usize = 4_096;

/// Interval at which the key file is reloaded.
const KEY_RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the handshake within which a peer must send its greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts and serves peer connections, one task each, until the process ends. `serve` is called with the
/// greeting of each connection.
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
    // Its reference count is the number of open connections plus one.
    let connection_count = Rc::new(());
    loop {
        let Ok((socket, address)) = listener.accept().await else {
            // Out of file descriptors: other connections may close in the meantime.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&connection_count) > MAX_PEER_CONNECTIONS {
            continue;
        }
        let counted = connection_count.clone();
        let (serve, identity, recorder) = (serve.clone(), identity.clone(), recorder.clone());
        ntex::rt::spawn(async move {
            let _counted = counted;
            let greeted = async {
                let (mut reader, writer) = accept_peer(&identity, socket, address).await?;
                let greeting = timeout(GREETING_TIMEOUT, reader.receive()).await;
                Ok::<_, WireError>((greeting, reader, writer))
            };
            match greeted.await {
                Ok((Ok(Ok(greeting)), reader, writer)) => {
                    // The peer, which opened the connection, reports its loss.
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

/// Starts a thread that reloads the key file periodically, so that keys are rotated without a restart.
/// An invalid file is reported once per error, and the current keys stay in use.
pub fn watch_key_file(keys: PeerKeyRing, path: PathBuf) {
    std::thread::spawn(move || {
        let mut last_error = String::new();
        loop {
            std::thread::sleep(KEY_RELOAD_INTERVAL);
            let error = match keys.reload(&path) {
                Ok(()) => String::new(),
                Err(error) => error.to_string(),
            };
            if !error.is_empty() && error != last_error {
                log::error!(target: "linnetdale", "cannot reload the shared keys, the current ones stay in use: {error}");
            }
            last_error = error;
        }
    });
}
