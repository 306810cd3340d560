//! Relays between processes, which can be cut in silence, each way apart.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The links that are cut, as pairs of names from sender to receiver.
#[derive(Clone, Default)]
pub struct CutRules {
    cuts: Arc<Mutex<HashSet<(String, String)>>>,
}

impl CutRules {
    /// Cuts what goes from one process to another; `*` stands for any.
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

    async fn wait_open(&self, from: &str, to: &str) {
        while self.is_cut(from, to) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Passes every connection on to the process `to`, as long as the link is not cut. Who calls is
/// read from the first message of the handshake.
pub async fn run_relay(listener: TcpListener, target: SocketAddr, to: String, rules: CutRules) {
    while let Ok((near, _)) = listener.accept().await {
        let (to, rules) = (to.clone(), rules.clone());
        tokio::spawn(async move {
            let _ = relay_connection(near, target, to, rules).await;
        });
    }
}

async fn relay_connection(
    mut near: TcpStream,
    target: SocketAddr,
    to: String,
    rules: CutRules,
) -> std::io::Result<()> {
    let mut length = [0; 2];
    near.read_exact(&mut length).await?;
    let mut hello = vec![0; u16::from_le_bytes(length) as usize];
    near.read_exact(&mut hello).await?;
    let ((_, from), _): ((String, String), _) =
        postcard::take_from_bytes(&hello).map_err(std::io::Error::other)?;
    rules.wait_open(&from, &to).await;
    let mut far = TcpStream::connect(target).await?;
    far.set_nodelay(true)?;
    near.set_nodelay(true)?;
    far.write_all(&length).await?;
    far.write_all(&hello).await?;
    let (mut near_read, mut near_write) = near.split();
    let (mut far_read, mut far_write) = far.split();
    let there = pass_bytes(&mut near_read, &mut far_write, &rules, &from, &to);
    let back = pass_bytes(&mut far_read, &mut near_write, &rules, &to, &from);
    tokio::select! {
        result = there => result,
        result = back => result,
    }
}

async fn pass_bytes(
    source: &mut (impl AsyncReadExt + Unpin),
    sink: &mut (impl AsyncWriteExt + Unpin),
    rules: &CutRules,
    from: &str,
    to: &str,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = source.read(&mut buffer).await?;
        rules.wait_open(from, to).await;
        if length == 0 {
            return Ok(());
        }
        sink.write_all(&buffer[..length]).await?;
    }
}
