//! Relays between processes. Links can be cut silently in either direction.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Links that are cut, as pairs of sender and receiver names.
#[derive(Clone, Default)]
pub struct LinkRules {
    cuts: Arc<Mutex<HashSet<(String, String)>>>,
}

impl LinkRules {
    /// Blocks all bytes from one process to another; `*` matches any process.
    pub fn cut(&self, from: &str, to: &str) {
        self.cuts
            .lock()
            .unwrap()
            .insert((from.to_owned(), to.to_owned()));
    }

    pub fn cut_both(&self, one: &str, other: &str) {
        self.cut(one, other);
        self.cut(other, one);
    }

    pub fn heal(&self) {
        self.cuts.lock().unwrap().clear();
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let cuts = self.cuts.lock().unwrap();
        cuts.iter()
            .any(|(a, b)| (a == "*" || a == from) && (b == "*" || b == to))
    }

    async fn wait_for_link(&self, from: &str, to: &str) {
        while self.is_cut(from, to) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Forwards every connection to the process `to` unless the link is cut. The name of the connecting
/// process is read from the first handshake message.
pub async fn run_relay(listener: TcpListener, target: SocketAddr, to: String, rules: LinkRules) {
    while let Ok((client, _)) = listener.accept().await {
        let (to, rules) = (to.clone(), rules.clone());
        tokio::spawn(async move {
            let _ = relay_connection(client, target, to, rules).await;
        });
    }
}

async fn relay_connection(
    mut client: TcpStream,
    target: SocketAddr,
    to: String,
    rules: LinkRules,
) -> std::io::Result<()> {
    let mut length = [0; 2];
    client.read_exact(&mut length).await?;
    let mut hello = vec![0; u16::from_le_bytes(length) as usize];
    client.read_exact(&mut hello).await?;
    let ((_, from), _): ((String, String), _) =
        postcard::take_from_bytes(&hello).map_err(std::io::Error::other)?;
    rules.wait_for_link(&from, &to).await;
    let mut server = TcpStream::connect(target).await?;
    server.set_nodelay(true)?;
    client.set_nodelay(true)?;
    server.write_all(&length).await?;
    server.write_all(&hello).await?;
    let (mut client_read, mut client_write) = client.split();
    let (mut server_read, mut server_write) = server.split();
    let upstream = forward_bytes(&mut client_read, &mut server_write, &rules, &from, &to);
    let downstream = forward_bytes(&mut server_read, &mut client_write, &rules, &to, &from);
    tokio::select! {
        result = upstream => result,
        result = downstream => result,
    }
}

async fn forward_bytes(
    source: &mut (impl AsyncReadExt + Unpin),
    sink: &mut (impl AsyncWriteExt + Unpin),
    rules: &LinkRules,
    from: &str,
    to: &str,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = source.read(&mut buffer).await?;
        rules.wait_for_link(from, to).await;
        if length == 0 {
            return Ok(());
        }
        sink.write_all(&buffer[..length]).await?;
    }
}
