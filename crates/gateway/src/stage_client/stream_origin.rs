//! The entry hosts that hold the origin of a stream, so that a caller can take it up at any host,
//! also after the first one was lost.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};
use linnet_streams::{StreamKey, StreamOrigin};
use linnet_wire::MessageVersion;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::StageClient;
use crate::piece_message::PieceRequest;
use crate::rendezvous;

/// Number of hosts that hold an origin, besides the one that serves the stream.
const HOLDERS: usize = 3;

/// Number of groups of streams, each with holders of its own. It bounds the hosts to which each host
/// keeps a connection for this.
const SHARDS: u8 = 8;

/// Delay before a holder that gave no reply is asked again.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(20);

/// Timeout for the reply of a holder.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);

/// What the holders of a stream say of its origin.
#[derive(Debug, Default)]
pub(crate) struct OriginLookup {
    /// The origin, if a holder knows it.
    pub(crate) origin: Option<StreamOrigin>,
    /// Number of holders that do not know it.
    pub(crate) unknown: usize,
    /// Number of holders that gave no reply.
    pub(crate) unreached: usize,
}

/// What one holder of a stream says of its origin.
enum HolderReply {
    Found(StreamOrigin),
    Unknown,
    Unreached,
}

impl StageClient {
    /// Sends the origin of a stream to its holders; to one whose connection is lost, once it is open
    /// again.
    pub(crate) fn send_stream_origin(
        &self,
        stream: StreamKey,
        origin: &StreamOrigin,
        lifetime: Duration,
    ) {
        for address in self.stream_holders(stream) {
            self.connect_or_check(address);
            if !self.supports(address, MessageVersion::V7) {
                continue;
            }
            let request = PieceRequest::BindStream {
                stream,
                origin: origin.clone(),
                lifetime_ms: lifetime.as_millis() as u64,
            };
            self.send_to(address, request, |_| {});
        }
    }

    /// Asks the holders of a stream for its origin, until one of them knows it. Those that give no reply
    /// are asked again until `give_up_at`.
    pub(crate) async fn request_stream_origin(
        &self,
        stream: StreamKey,
        give_up_at: Instant,
    ) -> OriginLookup {
        let holders = self.stream_holders(stream).into_iter();
        let asked = holders.map(|address| self.ask_holder_until(address, stream, give_up_at));
        let mut asked: FuturesUnordered<_> = asked.collect();
        let mut lookup = OriginLookup::default();
        while let Some(reply) = asked.next().await {
            match reply {
                HolderReply::Found(origin) => {
                    lookup.origin = Some(origin);
                    break;
                }
                HolderReply::Unknown => lookup.unknown += 1,
                HolderReply::Unreached => lookup.unreached += 1,
            }
        }
        lookup
    }

    async fn ask_holder_until(
        &self,
        address: SocketAddr,
        stream: StreamKey,
        give_up_at: Instant,
    ) -> HolderReply {
        loop {
            let reply = self.ask_holder(address, stream).await;
            let is_over = Instant::now() >= give_up_at || !self.is_known(address);
            if is_over || !matches!(reply, HolderReply::Unreached) {
                return reply;
            }
            sleep(ASK_AGAIN_DELAY).await;
        }
    }

    async fn ask_holder(&self, address: SocketAddr, stream: StreamKey) -> HolderReply {
        if !self.connect_or_check(address) {
            return HolderReply::Unreached;
        }
        if !self.supports(address, MessageVersion::V7) {
            return HolderReply::Unknown;
        }
        let number = self.next_number();
        let (done, reply) = oneshot::channel();
        let request = PieceRequest::FindStream { number, stream };
        self.send_to(address, request, |link| {
            link.pending_streams.insert(number, done);
        });
        let reply = timeout(FIND_TIMEOUT, reply).await;
        if let Some(link) = self.state.borrow_mut().links.get_mut(&address) {
            link.pending_streams.remove(&number);
        }
        match reply {
            Ok(Ok(Some(origin))) => HolderReply::Found(origin),
            Ok(Ok(None)) => HolderReply::Unknown,
            Ok(Err(_)) | Err(_) => HolderReply::Unreached,
        }
    }

    pub(super) fn complete_stream(
        &self,
        address: SocketAddr,
        number: u64,
        origin: Option<StreamOrigin>,
    ) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.pending_streams.remove(&number)) {
            // The receiver is gone if another holder was faster.
            let _ = waiter.send(origin);
        }
    }

    /// Returns the other hosts that hold the origin of a stream: the best one of each hall first, since
    /// halls are cut off and lost as a whole.
    fn stream_holders(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let label = format!("stream-{}", stream.shard(SHARDS));
        let mut ranked: Vec<(u64, String, Option<SocketAddr>)> = {
            let state = self.state.borrow();
            let others = state.entry_hosts.iter();
            let others = others.filter(|host| host.name != self.own.name && !host.stopping);
            let scored = others.map(|host| {
                let score = rendezvous::score(&label, &host.name);
                (score, host.hall.clone(), Some(host.peer))
            });
            scored.collect()
        };
        let own = rendezvous::score(&label, &self.own.name);
        ranked.push((own, self.own.hall.clone(), None));
        ranked.sort_by_key(|(score, ..)| Reverse(*score));
        let mut halls = BTreeSet::new();
        let (first, rest): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(_, hall, _)| halls.insert(hall.clone()));
        let holders = first.into_iter().chain(rest).take(HOLDERS);
        holders.filter_map(|(.., address)| address).collect()
    }
}
