//! How a host finds that a target has ended, and whom it accuses.
//!
//! A connection that breaks is no evidence: targets break answers off, connections are reset, halls are interrupted.
//! So the target is called anew. Where nothing listens any more it has ended, and all that this host had
//! running there is accused. Where no answer comes, its next start tells.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{CrashKey, RequestSubject};
use linnet_telemetry::EventCode;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Gateway;
use crate::ask::Ask;
use crate::coordinator::DueCall;
use crate::suspects::describe_subject;
use crate::target::{ChosenTarget, TargetStore};
use crate::upstream::ProbeOutcome;

/// How long a request waits to hear whether its target has ended, before it is sent to another one. A target
/// that listens or has ended answers within a round trip between halls, some 2 ms; one that does not
/// answer says nothing.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// How long an crash is known here, for requests that hear of their broken connection later than others.
const CRASH_RETENTION: Duration = Duration::from_secs(5);

/// How long the next start of a target that did not answer is waited for.
const RESTART_TIMEOUT: Duration = Duration::from_secs(15);

/// A request that was in flight at a target when its connection broke.
struct InterruptedRequest {
    /// The identity of this sending, for the log.
    id: String,
    subject: RequestSubject,
    ran: Duration,
}

/// What is known of the crash of a target.
enum CrashState {
    /// The target is being called.
    Probing {
        interrupted: Vec<InterruptedRequest>,
        waiting: Vec<oneshot::Sender<()>>,
    },
    /// It has ended.
    Crashed(Instant),
}

/// A target that broke its connections and did not answer.
struct UnresponsiveTarget {
    service: String,
    chosen: ChosenTarget,
    interrupted: Vec<InterruptedRequest>,
    since: Instant,
}

/// The states of targets that this host knows or looks for.
#[derive(Default)]
pub(crate) struct CrashTracker {
    states: RefCell<HashMap<CrashKey, CrashState>>,
    unresponsive: RefCell<Vec<UnresponsiveTarget>>,
}

impl CrashTracker {
    /// Forgets what is old.
    pub(crate) fn expire(&self, now: Instant) {
        self.states.borrow_mut().retain(|_, state| match state {
            CrashState::Probing { .. } => true,
            CrashState::Crashed(at) => now.saturating_duration_since(*at) < CRASH_RETENTION,
        });
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|one| now.saturating_duration_since(one.since) < RESTART_TIMEOUT);
    }

    /// Takes those unresponsive targets out of which the list of targets has another start.
    fn take_restarted(&self, targets: &TargetStore) -> Vec<UnresponsiveTarget> {
        let mut unresponsive = self.unresponsive.borrow_mut();
        let all = std::mem::take(&mut *unresponsive).into_iter();
        let has_restarted = |one: &UnresponsiveTarget| {
            let mut known = targets.of_service(&one.service);
            known.any(|target| {
                target.address == one.chosen.address
                    && (target.id != one.chosen.id || target.born > one.chosen.born)
            })
        };
        let (restarted, rest) = all.partition(has_restarted);
        *unresponsive = rest;
        restarted
    }
}

impl Gateway {
    /// Notes that a target broke the connection while a request was in flight there, and finds out whether
    /// the target has ended. Returns when that is known, or cannot be known soon.
    pub(crate) async fn probe_after_break(
        self: &Rc<Self>,
        service: &str,
        chosen: &ChosenTarget,
        ask: &Ask,
        sent: Instant,
    ) {
        // A target that was withdrawn states its connections itself.
        let Some(known) = self.targets.borrow().find(service, &chosen.id) else {
            return;
        };
        let interrupted = InterruptedRequest {
            id: ask.id.clone(),
            subject: ask.subject().clone(),
            ran: sent.elapsed(),
        };
        if known.born > chosen.born {
            let crash = CrashKey::new(&chosen.id, chosen.born);
            return self.record_target_crash(service, chosen, crash, &[interrupted]);
        }
        let Some(probe_done) = self.join_probe(service, chosen, interrupted) else {
            return;
        };
        // What the probe finds later counts all the same.
        let _ = timeout(PROBE_TIMEOUT, probe_done).await;
    }

    /// Adds a request to those that hear of the call to a target; the first one begins it. Returns nothing
    /// where the target is known to have ended.
    fn join_probe(
        self: &Rc<Self>,
        service: &str,
        chosen: &ChosenTarget,
        request: InterruptedRequest,
    ) -> Option<oneshot::Receiver<()>> {
        let crash = CrashKey::new(&chosen.id, chosen.born);
        let (done, probe_done) = oneshot::channel();
        let mut states = self.ends.states.borrow_mut();
        match states.get_mut(&crash) {
            Some(CrashState::Crashed(_)) => {
                drop(states);
                self.suspect_interrupted(chosen, crash, &[request]);
                return None;
            }
            Some(CrashState::Probing {
                interrupted,
                waiting,
            }) => {
                interrupted.push(request);
                waiting.push(done);
            }
            None => {
                let state = CrashState::Probing {
                    interrupted: vec![request],
                    waiting: vec![done],
                };
                states.insert(crash, state);
                // Goes on where the caller leaves meanwhile.
                let (service, chosen) = (service.to_owned(), chosen.clone());
                ntex::rt::spawn(probe_target(self.clone(), service, chosen, crash));
            }
        }
        Some(probe_done)
    }

    fn apply_probe(
        &self,
        service: String,
        chosen: ChosenTarget,
        crash: CrashKey,
        outcome: ProbeOutcome,
    ) {
        let state = self.ends.states.borrow_mut().remove(&crash);
        let Some(CrashState::Probing { interrupted, .. }) = state else {
            return;
        };
        match outcome {
            ProbeOutcome::Open => {}
            ProbeOutcome::Refused => {
                self.record_target_crash(&service, &chosen, crash, &interrupted)
            }
            ProbeOutcome::Silent => {
                let unresponsive = UnresponsiveTarget {
                    service,
                    chosen,
                    interrupted,
                    since: Instant::now(),
                };
                self.ends.unresponsive.borrow_mut().push(unresponsive);
            }
        }
    }

    /// Notes that a target has ended while these requests ran there.
    fn record_target_crash(
        &self,
        service: &str,
        chosen: &ChosenTarget,
        crash: CrashKey,
        interrupted: &[InterruptedRequest],
    ) {
        let state = CrashState::Crashed(Instant::now());
        self.ends.states.borrow_mut().insert(crash, state);
        let listed = self.targets.borrow().find(service, &chosen.id);
        if listed.is_some_and(|listed| listed.born == chosen.born) {
            self.note_unreachable(service, &chosen.id, "it has ended");
        }
        self.metrics.targets_ended.inc();
        let keys: Vec<String> = interrupted
            .iter()
            .map(|one| one.subject.key.to_string())
            .collect();
        let detail = format!(
            "service={service} address={} born={} requests={} keys={}",
            chosen.address,
            chosen.born,
            interrupted.len(),
            keys.join(",")
        );
        let code = EventCode::TargetEnded;
        self.config.recorder.record(code, &chosen.id, detail);
        self.suspect_interrupted(chosen, crash, interrupted);
    }

    fn suspect_interrupted(
        &self,
        chosen: &ChosenTarget,
        crash: CrashKey,
        interrupted: &[InterruptedRequest],
    ) {
        for one in interrupted {
            if self.suspects.record_crash(&one.subject, crash) {
                let record = self.suspects.record(one.subject.key);
                let ends = record.map_or(0, |record| record.crashes.len());
                let detail = format!(
                    "{} ran_ms={} ends={ends}",
                    describe_subject(&one.subject),
                    one.ran.as_millis()
                );
                let code = EventCode::RequestAccused;
                self.note_request(code, &one.id, &chosen.id, detail);
            }
        }
    }

    /// Notes that a target of a stage pool ended under a call with pieces of some requests.
    pub(crate) fn record_stage_crash(&self, call: &DueCall) {
        let mut interrupted: Vec<InterruptedRequest> = Vec::new();
        for piece in &call.pieces {
            if interrupted.iter().all(|one| one.subject.key != piece.key) {
                interrupted.push(InterruptedRequest {
                    id: piece.work.request.clone(),
                    subject: RequestSubject::unnamed(piece.key),
                    ran: call.began.elapsed(),
                });
            }
        }
        let chosen = ChosenTarget {
            id: call.target.clone(),
            born: call.born,
            address: call.address,
            hall: call.hall.clone(),
        };
        let crash = CrashKey::new(&chosen.id, chosen.born);
        self.record_target_crash(&call.pool.service, &chosen, crash, &interrupted);
    }

    /// Accuses the requests that were interrupted off by targets which did not answer and have started anew.
    pub(crate) fn record_restarts(&self) {
        let restarted = self.ends.take_restarted(&self.targets.borrow());
        for one in restarted {
            let crash = CrashKey::new(&one.chosen.id, one.chosen.born);
            self.record_target_crash(&one.service, &one.chosen, crash, &one.interrupted);
        }
    }
}

async fn probe_target(
    gateway: Rc<Gateway>,
    service: String,
    chosen: ChosenTarget,
    crash: CrashKey,
) {
    let outcome = gateway.pool.probe(chosen.address).await;
    gateway.apply_probe(service, chosen, crash, outcome);
}

#[cfg(test)]
mod tests;
