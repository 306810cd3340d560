//! Asking the host that gives leave to send to a target which names a rate.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use linnet_wire::MessageVersion;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::StageClient;
use crate::piece_message::PieceRequest;
use crate::rate_turn::{RateAnswer, RateAsk};
use crate::rendezvous;

/// How long the host that gives leave may take.
const RATE_TIMEOUT: Duration = Duration::from_millis(100);

/// Who gives leave to send to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RateHost {
    /// This host.
    Here,
    /// Another one.
    Remote(SocketAddr),
    /// One that this host does not reach.
    Unreached,
}

impl StageClient {
    /// Returns the host that gives leave to send to a target in a hall. It is one of that hall for as long as any is
    /// known there: of two sides that are cut off from each other only one has the hall.
    pub(crate) fn rate_host(&self, target: &str, hall: &str) -> RateHost {
        for address in self.rate_candidates(target, hall) {
            let Some(address) = address else {
                return RateHost::Here;
            };
            // Asked first, since that opens the connection.
            if self.is_reachable(address) {
                return RateHost::Remote(address);
            }
        }
        RateHost::Unreached
    }

    /// Returns the hosts that may give leave for a target, the best first; nothing in place of the address of this one.
    fn rate_candidates(&self, target: &str, hall: &str) -> Vec<Option<SocketAddr>> {
        let state = self.state.borrow();
        let others = state.gateways.iter();
        let others = others.filter(|one| one.name != self.name && !one.stopping);
        let others = others.map(|one| (one.hall.as_str(), one.name.as_str(), Some(one.peer)));
        let mut known: Vec<(&str, &str, Option<SocketAddr>)> = others.collect();
        if !state.stopping || known.is_empty() {
            known.push((&self.hall, &self.name, None));
        }
        // One of an earlier build gives no leave.
        let speaks = |address: &Option<SocketAddr>| {
            let link = address.and_then(|address| state.links.get(&address));
            link.is_none_or(|link| link.form >= MessageVersion::V4)
        };
        known.retain(|(.., address)| speaks(address));
        if known.iter().any(|(of, ..)| *of == hall) {
            known.retain(|(of, ..)| *of == hall);
        }
        let scored = known.into_iter();
        let scored = scored.map(|(_, name, address)| (rendezvous::score(target, name), address));
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = scored.collect();
        ranked.sort_by_key(|one| Reverse(*one));
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Says whether this host is alone as far as it knows, or reaches another one. It opens a connection where it has
    /// none.
    pub(crate) fn reaches_any(&self) -> bool {
        let others: Vec<SocketAddr> = {
            let state = self.state.borrow();
            let others = state.gateways.iter().filter(|one| one.name != self.name);
            others.map(|one| one.peer).collect()
        };
        if others.is_empty() || others.iter().any(|one| self.state.borrow().is_up(*one)) {
            return true;
        }
        others.into_iter().any(|one| self.is_reachable(one))
    }

    /// Asks another host for leave; without an answer in time there is none for now.
    pub(crate) async fn ask_rate(&self, address: SocketAddr, ask: RateAsk) -> RateAnswer {
        let number = self.next_number();
        let (done, answer) = oneshot::channel();
        self.send_to(address, PieceRequest::TakeRate { number, ask }, |link| {
            link.rates.insert(number, done);
        });
        let asked = RateQuestion {
            client: self.clone(),
            address,
            number,
        };
        let answer = timeout(RATE_TIMEOUT, answer).await;
        drop(asked);
        match answer {
            Ok(Ok(answer)) => answer,
            _ => RateAnswer::UNREACHED,
        }
    }

    pub(super) fn take_rate_answer(&self, address: SocketAddr, number: u64, answer: RateAnswer) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.rates.remove(&number)) {
            // Nobody waits any more where the request ended meanwhile.
            let _ = waiter.send(answer);
        }
    }
}

/// Forgets a question when nobody waits for its answer any more.
struct RateQuestion {
    client: StageClient,
    address: SocketAddr,
    number: u64,
}

impl Drop for RateQuestion {
    fn drop(&mut self) {
        let mut state = self.client.state.borrow_mut();
        if let Some(link) = state.links.get_mut(&self.address) {
            link.rates.remove(&self.number);
        }
    }
}
