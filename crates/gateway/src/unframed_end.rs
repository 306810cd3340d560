//! The ends of responses without a length or chunks, whose bodies end with their connections.
//!
//! A process that ends closes its connections like one that has sent a whole body. That its address accepts
//! a connection afterwards does not tell them apart: another process may listen there by then. What does is
//! another connection to the process that began the response, which stays open.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_telemetry::EventCode;
use tokio::time::sleep;

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::target::ChosenTarget;
use crate::target_state::TargetState;
use crate::upstream::{ConnectionLease, ExchangeKey, SpareConnection};

/// Interval between two probes of a target that is silent.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// How long after a target accepted a connection the ends of its former ones may still arrive. The system
/// ends the connections of a process within a millisecond; through another host that takes some more.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// A response whose body ends with its connection.
pub(crate) struct UnframedExchange {
    address: SocketAddr,
    exchange: ExchangeKey,
    /// Stays open until the end of the body has been judged.
    _spare: Rc<SpareConnection>,
}

impl UnframedExchange {
    /// Begins to watch over a response. Its body may end with its head if there was no spare connection
    /// before.
    pub(crate) fn new(lease: &ConnectionLease) -> UnframedExchange {
        let address = lease.address();
        let spare = lease.spare().filter(|spare| !spare.has_failed()).cloned();
        Self {
            address,
            exchange: lease.exchange(),
            _spare: spare.unwrap_or_else(|| lease.pool().hold_spare(address)),
        }
    }
}

impl Gateway {
    /// Finds out whether a body that ended with its connection is complete: only if its target is known
    /// to run on, which is [`TargetState::Alive`]. A target that is silent may still run while another of
    /// its connections is open, so it is probed again until `give_up_at`.
    pub(crate) async fn judge_unframed_end(
        self: &Rc<Self>,
        target: (&str, &ChosenTarget),
        request: &CallerRequest,
        (sent, give_up_at): (Instant, Instant),
        unframed: &UnframedExchange,
    ) -> TargetState {
        let UnframedExchange {
            address, exchange, ..
        } = *unframed;
        let ended_at = Instant::now();
        let ended_before = self.upstream.next_connection();
        let has_sibling = || self.upstream.has_sibling(address, exchange, ended_before);
        let had_sibling = has_sibling();
        let (mut probes, mut probed, mut state);
        probes = 0;
        loop {
            probes += 1;
            probed = self.probe_after_close(target, request, sent).await;
            state = self
                .prove_life(probed, target.1, address, has_sibling)
                .await;
            let may_be_proved = has_sibling() || target.1.born > 0;
            if state != TargetState::Unknown || !may_be_proved || Instant::now() >= give_up_at {
                break;
            }
            sleep(PROBE_INTERVAL).await;
        }
        if state == TargetState::Unproved {
            self.await_restart(target, request, sent);
        }
        self.metrics.count_unframed_end(state);
        let detail = format!(
            "address={address} verdict={state} probe={probed} probes={probes} sibling_before={had_sibling} \
             sibling_after={} took_ms={}",
            has_sibling(),
            ended_at.elapsed().as_millis()
        );
        let code = EventCode::UnframedEnded;
        self.record_request_event(code, &request.id, &target.1.id, detail);
        state
    }

    /// Finds out whether a target that was probed is the process that began a response: it has another
    /// connection of that process, or states the same start. Returns [`TargetState::Unknown`] if it does
    /// not answer.
    async fn prove_life(
        &self,
        probed: TargetState,
        chosen: &ChosenTarget,
        address: SocketAddr,
        has_sibling: impl Fn() -> bool,
    ) -> TargetState {
        if probed != TargetState::Alive {
            return probed;
        }
        sleep(SETTLE_TIME).await;
        if has_sibling() {
            return TargetState::Alive;
        }
        if chosen.born == 0 {
            return TargetState::Unproved;
        }
        let protocol = &self.config.protocol.targets;
        let asked = self.upstream.has_started_at(address, protocol, chosen.born);
        match asked.await {
            Some(true) => TargetState::Alive,
            Some(false) => TargetState::Unproved,
            None => TargetState::Unknown,
        }
    }
}
