//! The steps of opening a connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use futures_util::stream::{FuturesUnordered, StreamExt};
use linnet_paths::{
    AnswerTally, Certainty, ConnectFailure, ConnectPlan, MAX_ASKED, PathVerdict, PeerAnswer,
};
use linnet_telemetry::EventCode;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{TargetLinks, TunnelContext};
use crate::dead_peer::detect_dead_tunnel;
use crate::rendezvous::ScoreKey;
use crate::tunnel::{TunnelReply, TunnelStream, open_tunnel};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for opening a connection for another host.
pub(crate) const SERVE_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout for asking all peers together. A caller waits for it in addition to the head start of the
/// direct attempt.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);

/// A new connection to a target.
pub(crate) enum TargetSocket {
    Direct(TcpStream),
    /// Through the peer with this address.
    Tunnel(TunnelStream, SocketAddr),
}

/// Time without an answer after which another peer is asked as well.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Peers that are asked at the same time for a request: more would add to the load of busy hosts.
const MAX_ASKED_AT_ONCE: usize = 2;

/// What a connection is opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectPurpose {
    /// A request, or a check of the path to a silent target.
    Request,
    /// The check whether a target crashed while requests ran on it.
    CrashCheck,
}

/// Why no connection to a target could be opened.
#[derive(Debug, Display)]
#[display("{cause}")]
pub(crate) struct LinkError {
    cause: String,
    /// Whether the target is down as far as can be known, rather than only cut off from this host.
    pub(crate) is_down: bool,
    /// Whether nothing listens at its address.
    pub(crate) is_refused: bool,
}

/// A direct attempt that failed.
struct DirectError {
    failure: ConnectFailure,
    cause: String,
}

/// The answers of peers if none opened a connection.
struct AskError {
    verdict: PathVerdict,
    /// Whether all peers that could not reach the target were refused.
    is_refused: bool,
}

impl TargetLinks {
    /// Opens a connection to a target, through a peer if this host cannot reach it.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if neither this host nor a peer that was asked reaches the target.
    pub(crate) async fn connect(
        self: &Rc<Self>,
        target: SocketAddr,
        purpose: ConnectPurpose,
    ) -> Result<TargetSocket, LinkError> {
        let plan = self.paths.borrow().plan(target, Instant::now());
        match plan {
            ConnectPlan::Tunnel => match self.ask_peers(target, purpose).await {
                Ok((tunnel, peer)) => Ok(TargetSocket::Tunnel(tunnel, peer)),
                Err(answers) => Err(self.conclude(target, None, &answers)),
            },
            ConnectPlan::Direct { head_start } if self.has_peers() => {
                self.connect_with_fallback(target, purpose, head_start)
                    .await
            }
            // That the target was down for a request is not enough to conclude that it crashed.
            ConnectPlan::DirectOnly if purpose == ConnectPurpose::CrashCheck => {
                self.connect_with_fallback(target, purpose, CONNECT_TIMEOUT)
                    .await
            }
            _ => match self.connect_direct(target, CONNECT_TIMEOUT).await {
                Ok(socket) => Ok(TargetSocket::Direct(socket)),
                Err(error) => Err(LinkError {
                    is_down: true,
                    is_refused: error.failure == ConnectFailure::Refused,
                    cause: error.cause,
                }),
            },
        }
    }

    /// Makes a direct attempt, and asks peers if it fails or takes longer than the head start.
    async fn connect_with_fallback(
        self: &Rc<Self>,
        target: SocketAddr,
        purpose: ConnectPurpose,
        head_start: Duration,
    ) -> Result<TargetSocket, LinkError> {
        let links = self.clone();
        let mut direct =
            Box::pin(async move { links.connect_direct(target, CONNECT_TIMEOUT).await });
        let mut asking = Box::pin(self.ask_peers(target, purpose));
        let failed = match timeout(head_start, &mut direct).await {
            Ok(Ok(socket)) => return Ok(TargetSocket::Direct(socket)),
            Ok(Err(error)) => error,
            Err(_) => tokio::select! {
                direct = &mut direct => match direct {
                    Ok(socket) => return Ok(TargetSocket::Direct(socket)),
                    Err(error) => error,
                },
                asked = &mut asking => match asked {
                    Ok((tunnel, peer)) => {
                        let links = self.clone();
                        // Only a failed direct attempt shows that the path is lost.
                        ntex::rt::spawn(async move {
                            if let Err(error) = direct.await {
                                links.record_lost(target, peer, &error.cause);
                            }
                        });
                        return Ok(TargetSocket::Tunnel(tunnel, peer));
                    }
                    Err(answers) => {
                        return match direct.await {
                            Ok(socket) => Ok(TargetSocket::Direct(socket)),
                            Err(error) => Err(self.conclude(target, Some(error), &answers)),
                        };
                    }
                },
            },
        };
        match asking.await {
            Ok((tunnel, peer)) => {
                self.record_lost(target, peer, &failed.cause);
                Ok(TargetSocket::Tunnel(tunnel, peer))
            }
            Err(answers) => Err(self.conclude(target, Some(failed), &answers)),
        }
    }

    /// Makes a direct attempt without asking peers.
    pub(crate) async fn probe_direct(&self, target: SocketAddr) -> Option<TcpStream> {
        self.connect_direct(target, CONNECT_TIMEOUT).await.ok()
    }

    /// Opens a direct connection on behalf of another host.
    ///
    /// # Errors
    ///
    /// The reply to the other host if the connection could not be opened.
    pub(crate) async fn connect_for_peer(
        &self,
        target: SocketAddr,
    ) -> Result<TcpStream, TunnelReply> {
        let now = Instant::now();
        if self.paths.borrow().is_lost(target) {
            return Err(self.lost_reply());
        }
        let known_failure = self.paths.borrow().recent_failure(target, now);
        let failure = match known_failure {
            Some(failure) => failure,
            None => match self.connect_direct(target, SERVE_CONNECT_TIMEOUT).await {
                Ok(socket) => {
                    detect_dead_tunnel(&socket);
                    let _ = socket.set_nodelay(true);
                    return Ok(socket);
                }
                Err(error) => error.failure,
            },
        };
        if self.paths.borrow().is_cut_off() {
            return Err(self.lost_reply());
        }
        Err(match failure {
            ConnectFailure::Refused => TunnelReply::Refused,
            ConnectFailure::Silent => TunnelReply::Silent,
        })
    }

    /// Returns the reply for a target that this host has lost, or may have lost as well.
    fn lost_reply(&self) -> TunnelReply {
        if self.paths.borrow().has_lost_most() {
            TunnelReply::CutOff
        } else {
            TunnelReply::PathLost
        }
    }

    async fn connect_direct(
        &self,
        target: SocketAddr,
        limit: Duration,
    ) -> Result<TcpStream, DirectError> {
        let (address, started) = (self.connect_address(target), Instant::now());
        let error = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(socket)) => {
                self.host_load.record_connect(target, started.elapsed());
                self.record_open(target);
                return Ok(socket);
            }
            Ok(Err(error)) => DirectError {
                failure: match error.kind() {
                    ErrorKind::ConnectionRefused => ConnectFailure::Refused,
                    _ => ConnectFailure::Silent,
                },
                cause: error.to_string(),
            },
            Err(_) => DirectError {
                failure: ConnectFailure::Silent,
                cause: format!("not established within {} ms", limit.as_millis()),
            },
        };
        let mut paths = self.paths.borrow_mut();
        paths.record_failure(target, error.failure, Instant::now());
        Err(error)
    }

    /// Asks peers until one opens a connection, and returns that peer as well. For a request the next
    /// one is asked if the one before did not answer quickly, for a crash check, which has little
    /// time, all are asked at once.
    async fn ask_peers(
        &self,
        target: SocketAddr,
        purpose: ConnectPurpose,
    ) -> Result<(TunnelStream, SocketAddr), AskError> {
        let mut tally = self.begin_tally(target, purpose);
        let (mut asked, mut is_refused) = (Vec::new(), true);
        let asking = async {
            let context = self.context.as_ref()?;
            let mut opening = FuturesUnordered::new();
            while tally.is_open() {
                let (at_once, interval) = match purpose {
                    ConnectPurpose::Request => (MAX_ASKED_AT_ONCE, ASK_INTERVAL),
                    ConnectPurpose::CrashCheck => (MAX_ASKED, Duration::ZERO),
                };
                let next = (opening.len() < at_once)
                    .then(|| self.choose_peer(context, target, &asked))
                    .flatten();
                if let Some(peer) = next {
                    asked.push(peer);
                    opening.push(self.ask_peer(context, peer, target));
                }
                let answer = match timeout(interval, opening.next()).await {
                    Ok(answer) => answer,
                    Err(_) if next.is_some() => continue,
                    Err(_) => opening.next().await,
                };
                match answer? {
                    (Ok(tunnel), peer) => return Some((tunnel, peer)),
                    (Err(answer), _) => {
                        tally.add(answer);
                        is_refused &= answer != PeerAnswer::Silent;
                    }
                }
            }
            None
        };
        if let Ok(Some(opened)) = timeout(ASK_TIMEOUT, asking).await {
            return Ok(opened);
        }
        let peers = self.peers.borrow();
        let peers_left = peers.may_be_reached(target, Instant::now());
        Err(AskError {
            verdict: tally.verdict(peers_left),
            is_refused,
        })
    }

    fn begin_tally(&self, target: SocketAddr, purpose: ConnectPurpose) -> AnswerTally {
        let certainty = match purpose {
            ConnectPurpose::CrashCheck => Certainty::Crash,
            ConnectPurpose::Request if self.paths.borrow().is_in_doubt() => Certainty::InDoubt,
            ConnectPurpose::Request => Certainty::Usual,
        };
        let peers = self.peers.borrow();
        let agreeing = peers.agreeing_count(target, Instant::now());
        AnswerTally::new(certainty, peers.count(), agreeing)
    }

    /// Asks one peer for a connection, and records its answer.
    async fn ask_peer(
        &self,
        context: &TunnelContext,
        peer: SocketAddr,
        target: SocketAddr,
    ) -> (Result<TunnelStream, PeerAnswer>, SocketAddr) {
        let opened = open_tunnel(&context.identity, peer, target).await;
        let answer = match &opened {
            Ok(_) => PeerAnswer::Opened,
            Err(answer) => *answer,
        };
        if opened.is_ok() {
            context.metrics.tunnels_opened.inc();
        }
        let mut peers = self.peers.borrow_mut();
        peers.record(peer, target, answer, Instant::now());
        (opened, peer)
    }

    /// Returns the peer to ask next.
    fn choose_peer(
        &self,
        context: &TunnelContext,
        target: SocketAddr,
        asked: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let key = ScoreKey::new(&format!("{}/{target}", context.identity.name));
        let score = |name: &str, weight: f64| key.weighted_score(name, weight);
        let peers = self.peers.borrow();
        peers.choose(target, asked, Instant::now(), score)
    }

    /// Records that neither this host nor the peers that were asked reach a target.
    fn conclude(
        &self,
        target: SocketAddr,
        direct: Option<DirectError>,
        answers: &AskError,
    ) -> LinkError {
        let is_down = answers.verdict == PathVerdict::Down;
        let is_refused = match &direct {
            Some(error) => error.failure == ConnectFailure::Refused && answers.is_refused,
            // This host has not tried, so only peers can have been refused.
            None => {
                let peers = self.peers.borrow();
                peers.are_all_refused(target, Instant::now())
            }
        };
        let cause = direct.map_or("path lost".to_owned(), |error| error.cause);
        if is_down {
            let mut paths = self.paths.borrow_mut();
            paths.record_down(target, Instant::now());
        } else {
            self.record(EventCode::PathUnknown, target, format!("cause={cause}"));
        }
        LinkError {
            cause: format!("{cause}; no other host opened a connection"),
            is_down,
            is_refused: is_down && is_refused,
        }
    }
}
