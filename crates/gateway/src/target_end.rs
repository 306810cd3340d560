//! How a host finds that a target has ended, and whom it accuses.
//!
//! A connection that breaks is no evidence: targets break answers off, connections are reset, halls are cut.
//! So the target is called anew. Where nothing listens any more it has ended, and all that this host had
//! running there is accused. Where no answer comes, its next start tells.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{EndKey, RequestSubject};
use linnet_telemetry::EventCode;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::coordinator::DueCall;
use crate::suspects::describe;
use crate::target::{Chosen, TargetBook};
use crate::upstream::ProbeOutcome;

/// How long a request waits to hear whether its target has ended, before it is sent to another one. A target
/// that listens or has ended answers within a round trip between halls, some 2 ms; one that does not
/// answer says nothing.
pub(crate) const PROBE_PATIENCE: Duration = Duration::from_millis(25);

/// How long an end is known here, for requests that hear of their broken connection later than others.
const END_KEPT: Duration = Duration::from_secs(5);

/// How long the next start of a target that did not answer is waited for.
const START_AWAITED: Duration = Duration::from_secs(15);

/// A request that was in flight at a target when its connection broke.
struct CutRequest {
    /// The identity of this sending, for the log.
    id: String,
    subject: RequestSubject,
    ran: Duration,
}

/// What is known of the end of a target.
enum EndState {
    /// The target is being called.
    Probing {
        cut: Vec<CutRequest>,
        waiting: Vec<oneshot::Sender<()>>,
    },
    /// It has ended.
    Ended(Instant),
}

/// A target that broke its connections and did not answer.
struct SilentTarget {
    service: String,
    chosen: Chosen,
    cut: Vec<CutRequest>,
    since: Instant,
}

/// The ends of targets that this host knows or looks for.
#[derive(Default)]
pub(crate) struct TargetEnds {
    known: RefCell<HashMap<EndKey, EndState>>,
    silent: RefCell<Vec<SilentTarget>>,
}

impl TargetEnds {
    /// Forgets what is old.
    pub(crate) fn expire(&self, now: Instant) {
        self.known.borrow_mut().retain(|_, state| match state {
            EndState::Probing { .. } => true,
            EndState::Ended(at) => now.saturating_duration_since(*at) < END_KEPT,
        });
        let mut silent = self.silent.borrow_mut();
        silent.retain(|one| now.saturating_duration_since(one.since) < START_AWAITED);
    }

    /// Takes those silent targets out of which the list of targets has another start.
    fn started_anew(&self, targets: &TargetBook) -> Vec<SilentTarget> {
        let mut silent = self.silent.borrow_mut();
        let all = std::mem::take(&mut *silent).into_iter();
        let is_over = |one: &SilentTarget| {
            let mut known = targets.of_service(&one.service);
            known.any(|target| {
                target.address == one.chosen.address
                    && (target.id != one.chosen.id || target.born > one.chosen.born)
            })
        };
        let (over, rest) = all.partition(is_over);
        *silent = rest;
        over
    }
}

impl Gateway {
    /// Notes that a target broke the connection while a request was in flight there, and finds out whether
    /// the target has ended. Returns when that is known, or cannot be known soon.
    pub(crate) async fn note_break(
        self: &Rc<Self>,
        service: &str,
        chosen: &Chosen,
        ask: &CallerRequest,
        sent: Instant,
    ) {
        // A target that was withdrawn ends its connections itself.
        let Some(known) = self.targets.borrow().find(service, &chosen.id) else {
            return;
        };
        let cut = CutRequest {
            id: ask.id.clone(),
            subject: ask.subject().clone(),
            ran: sent.elapsed(),
        };
        if known.born > chosen.born {
            let end = EndKey::new(&chosen.id, chosen.born);
            return self.note_end(service, chosen, end, &[cut]);
        }
        let Some(probed) = self.join_probe(service, chosen, cut) else {
            return;
        };
        // What the probe finds later counts all the same.
        let _ = timeout(PROBE_PATIENCE, probed).await;
    }

    /// Adds a request to those that hear of the call to a target; the first one begins it. Returns nothing
    /// where the target is known to have ended.
    fn join_probe(
        self: &Rc<Self>,
        service: &str,
        chosen: &Chosen,
        request: CutRequest,
    ) -> Option<oneshot::Receiver<()>> {
        let end = EndKey::new(&chosen.id, chosen.born);
        let (done, probed) = oneshot::channel();
        let mut ends = self.crash_tracker.known.borrow_mut();
        match ends.get_mut(&end) {
            Some(EndState::Ended(_)) => {
                drop(ends);
                self.accuse(chosen, end, &[request]);
                return None;
            }
            Some(EndState::Probing { cut, waiting }) => {
                cut.push(request);
                waiting.push(done);
            }
            None => {
                let state = EndState::Probing {
                    cut: vec![request],
                    waiting: vec![done],
                };
                ends.insert(end, state);
                // Goes on where the caller leaves meanwhile.
                let (service, chosen) = (service.to_owned(), chosen.clone());
                ntex::rt::spawn(probe_target(self.clone(), service, chosen, end));
            }
        }
        Some(probed)
    }

    fn take_probe(&self, service: String, chosen: Chosen, end: EndKey, outcome: ProbeOutcome) {
        let state = self.crash_tracker.known.borrow_mut().remove(&end);
        let Some(EndState::Probing { cut, .. }) = state else {
            return;
        };
        match outcome {
            ProbeOutcome::Open => {}
            ProbeOutcome::Refused => self.note_end(&service, &chosen, end, &cut),
            ProbeOutcome::Silent => {
                let silent = SilentTarget {
                    service,
                    chosen,
                    cut,
                    since: Instant::now(),
                };
                self.crash_tracker.silent.borrow_mut().push(silent);
            }
        }
    }

    /// Notes that a target has ended while these requests ran there.
    fn note_end(&self, service: &str, chosen: &Chosen, end: EndKey, cut: &[CutRequest]) {
        let state = EndState::Ended(Instant::now());
        self.crash_tracker.known.borrow_mut().insert(end, state);
        let listed = self.targets.borrow().find(service, &chosen.id);
        if listed.is_some_and(|listed| listed.born == chosen.born) {
            self.record_unreachable(service, &chosen.id, "it has ended");
        }
        self.metrics.targets_ended.inc();
        let keys: Vec<String> = cut.iter().map(|one| one.subject.key.to_string()).collect();
        let detail = format!(
            "service={service} address={} born={} requests={} keys={}",
            chosen.address,
            chosen.born,
            cut.len(),
            keys.join(",")
        );
        let code = EventCode::TargetEnded;
        self.config.recorder.record(code, &chosen.id, detail);
        self.accuse(chosen, end, cut);
    }

    fn accuse(&self, chosen: &Chosen, end: EndKey, cut: &[CutRequest]) {
        for one in cut {
            if self.suspects.accuse(&one.subject, end) {
                let record = self.suspects.record(one.subject.key);
                let ends = record.map_or(0, |record| record.ends.len());
                let detail = format!(
                    "{} ran_ms={} ends={ends}",
                    describe(&one.subject),
                    one.ran.as_millis()
                );
                let code = EventCode::RequestAccused;
                self.record_request_event(code, &one.id, &chosen.id, detail);
            }
        }
    }

    /// Notes that a target of a stage pool ended under a call with pieces of some requests.
    pub(crate) fn note_call_end(&self, call: &DueCall) {
        let mut cut: Vec<CutRequest> = Vec::new();
        for piece in &call.pieces {
            if cut.iter().all(|one| one.subject.key != piece.request_key) {
                cut.push(CutRequest {
                    id: piece.work.request.clone(),
                    subject: RequestSubject::unnamed(piece.request_key),
                    ran: call.started.elapsed(),
                });
            }
        }
        let chosen = Chosen {
            id: call.target.clone(),
            born: call.born,
            address: call.address,
            hall: call.hall.clone(),
        };
        let end = EndKey::new(&chosen.id, chosen.born);
        self.note_end(&call.pool.service, &chosen, end, &cut);
    }

    /// Accuses the requests that were cut off by targets which did not answer and have started anew.
    pub(crate) fn note_starts(&self) {
        let over = self.crash_tracker.started_anew(&self.targets.borrow());
        for one in over {
            let end = EndKey::new(&one.chosen.id, one.chosen.born);
            self.note_end(&one.service, &one.chosen, end, &one.cut);
        }
    }
}

async fn probe_target(gateway: Rc<Gateway>, service: String, chosen: Chosen, end: EndKey) {
    let outcome = gateway.upstream.probe(chosen.address).await;
    gateway.take_probe(service, chosen, end, outcome);
}

#[cfg(test)]
mod tests;
