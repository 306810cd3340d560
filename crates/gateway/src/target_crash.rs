//! Detection of crashed targets, and of the requests that may have caused the crash.
//!
//! A broken connection alone is no evidence of a crash: targets abort responses, connections are
//! reset, and links between halls fail. So the host probes the target with a new connection. If the
//! connection is refused, the target has crashed, and all requests that this host had in flight
//! there become suspects. If the probe times out, a later incarnation of the target is the
//! evidence.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{CrashKey, RequestSubject};
use linnet_telemetry::EventCode;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::coordinator::DueCall;
use crate::prompt::{Prompt, describe_parts};
use crate::suspects::describe_subject;
use crate::target::{ChosenTarget, TargetStore};
use crate::upstream::ProbeOutcome;

/// How long a request waits for the result of the probe before it is sent to another target. A
/// target that listens answers a probe within a round trip between halls, some 2 ms; if it does not,
/// other hosts are asked, which takes some round trips more. A timeout proves nothing.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// How long the end of a body without framing waits for the result of the probe. Only if the target
/// does not accept connections does a probe take longer than a round trip; other hosts are asked then.
const CLOSE_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a crash is retained for requests that notice their broken connection later than others.
const CRASH_RETENTION: Duration = Duration::from_secs(5);

/// How long the restart of an unresponsive target is awaited.
const RESTART_TIMEOUT: Duration = Duration::from_secs(15);

/// A request that was in flight at a target when its connection broke.
struct InterruptedRequest {
    /// The request ID of this sending, for the log.
    id: String,
    subject: RequestSubject,
    prompt: Option<Rc<Prompt>>,
    ran: Duration,
}

impl InterruptedRequest {
    fn new(request: &CallerRequest, sent: Instant) -> Self {
        Self {
            id: request.id.clone(),
            subject: request.subject().clone(),
            prompt: request.prompt.clone(),
            ran: sent.elapsed(),
        }
    }
}

/// What is known of a target whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetState {
    Crashed,
    /// It accepts connections.
    Alive,
    Unknown,
}

/// What is known of the crash of a target.
enum CrashState {
    /// The probe is in progress.
    Probing {
        interrupted: Vec<InterruptedRequest>,
        waiting: Vec<oneshot::Sender<ProbeOutcome>>,
    },
    /// The target has crashed, as of this time.
    Crashed(Instant),
}

/// A target whose connections broke and whose probe timed out.
struct UnresponsiveTarget {
    service: String,
    chosen: ChosenTarget,
    interrupted: Vec<InterruptedRequest>,
    since: Instant,
}

/// Crashes of targets that this host knows of or is probing for.
#[derive(Default)]
pub(crate) struct CrashTracker {
    states: RefCell<HashMap<CrashKey, CrashState>>,
    unresponsive: RefCell<Vec<UnresponsiveTarget>>,
}

impl CrashTracker {
    /// Removes expired entries.
    pub(crate) fn expire(&self, now: Instant) {
        self.states.borrow_mut().retain(|_, state| match state {
            CrashState::Probing { .. } => true,
            CrashState::Crashed(at) => now.saturating_duration_since(*at) < CRASH_RETENTION,
        });
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|one| now.saturating_duration_since(one.since) < RESTART_TIMEOUT);
    }

    /// Removes and returns the unresponsive targets of which a newer incarnation is listed.
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
    /// Handles a connection that broke while a request was in flight at a target: finds out whether
    /// the target has crashed. Returns once that is known or the probe takes too long.
    pub(crate) async fn probe_after_break(
        self: &Rc<Self>,
        target: (&str, &ChosenTarget),
        request: &CallerRequest,
        sent: Instant,
    ) {
        let interrupted = InterruptedRequest::new(request, sent);
        self.probe_for_crash(target, Some(interrupted), sent, PROBE_TIMEOUT)
            .await;
    }

    /// Handles a body without framing that ended with its connection: finds out whether the target
    /// has crashed. Only then is the request one that the crash interrupted.
    pub(crate) async fn probe_after_close(
        self: &Rc<Self>,
        target: (&str, &ChosenTarget),
        request: &CallerRequest,
        sent: Instant,
    ) -> TargetState {
        let interrupted = InterruptedRequest::new(request, sent);
        let limit = CLOSE_PROBE_TIMEOUT.min(request.time_left() / 2);
        let state = self.probe_for_crash(target, None, sent, limit).await;
        if state == TargetState::Crashed {
            let chosen = target.1;
            let crash = CrashKey::new(&chosen.id, chosen.born);
            self.suspect_interrupted(target.0, chosen, crash, &[interrupted]);
        }
        state
    }

    /// Handles a target that refused a connection although no request was in flight there: finds out
    /// whether it crashed after an answer.
    pub(crate) async fn probe_after_refusal(self: &Rc<Self>, target: (&str, &ChosenTarget)) {
        if self.has_unsettled_run(target.1) {
            self.probe_for_crash(target, None, Instant::now(), PROBE_TIMEOUT)
                .await;
        }
    }

    /// Finds out whether targets crashed after their answers: those that closed an idle connection
    /// since, or that are listed with a new incarnation.
    pub(crate) fn check_answered_targets(self: &Rc<Self>) {
        for run in self.unsettled_runs() {
            let (gateway, chosen) = (self.clone(), run.chosen);
            let listed = self.targets.borrow().find(&run.service, &chosen.id);
            let has_restarted = listed.is_some_and(|listed| listed.born > chosen.born);
            if has_restarted || self.upstream.has_closed_idle(chosen.address) {
                ntex::rt::spawn(async move {
                    let target = (run.service.as_str(), &chosen);
                    let sent = Instant::now();
                    gateway
                        .probe_for_crash(target, None, sent, PROBE_TIMEOUT)
                        .await;
                });
            }
        }
    }

    async fn probe_for_crash(
        self: &Rc<Self>,
        (service, chosen): (&str, &ChosenTarget),
        interrupted: Option<InterruptedRequest>,
        sent: Instant,
        limit: Duration,
    ) -> TargetState {
        // A target that was withdrawn closes its connections itself.
        let Some(known) = self.targets.borrow().find(service, &chosen.id) else {
            return TargetState::Unknown;
        };
        if known.born > chosen.born {
            let crash = CrashKey::new(&chosen.id, chosen.born);
            self.record_target_crash(service, chosen, crash, interrupted.as_slice());
            return TargetState::Crashed;
        }
        let Some(probe_done) = self.join_probe((service, chosen), interrupted, sent) else {
            return TargetState::Crashed;
        };
        // The result of the probe is applied even if it arrives later.
        match timeout(limit, probe_done).await {
            Ok(Ok(ProbeOutcome::Open)) => TargetState::Alive,
            Ok(Ok(ProbeOutcome::Refused)) => TargetState::Crashed,
            Ok(Ok(ProbeOutcome::Silent) | Err(_)) | Err(_) => TargetState::Unknown,
        }
    }

    /// Waits for the probe of a target, and starts it if there is none. Returns `None` if the target
    /// is known to have crashed after the request was sent.
    fn join_probe(
        self: &Rc<Self>,
        (service, chosen): (&str, &ChosenTarget),
        request: Option<InterruptedRequest>,
        sent: Instant,
    ) -> Option<oneshot::Receiver<ProbeOutcome>> {
        let crash = CrashKey::new(&chosen.id, chosen.born);
        let (done, probe_done) = oneshot::channel();
        let mut states = self.crash_tracker.states.borrow_mut();
        match states.get_mut(&crash) {
            Some(CrashState::Crashed(at)) if sent <= *at => {
                drop(states);
                self.suspect_interrupted(service, chosen, crash, request.as_slice());
                return None;
            }
            Some(CrashState::Probing {
                interrupted,
                waiting,
            }) => {
                interrupted.extend(request);
                waiting.push(done);
            }
            // A target that took a request after its crash was recorded is not known to have crashed.
            Some(CrashState::Crashed(_)) | None => {
                let state = CrashState::Probing {
                    interrupted: request.into_iter().collect(),
                    waiting: vec![done],
                };
                states.insert(crash, state);
                // Continues even if the caller disconnects.
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
        let state = self.crash_tracker.states.borrow_mut().remove(&crash);
        let Some(CrashState::Probing {
            interrupted,
            waiting,
        }) = state
        else {
            return;
        };
        for done in waiting {
            // The request may have ended or may no longer wait.
            let _ = done.send(outcome);
        }
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
                self.crash_tracker
                    .unresponsive
                    .borrow_mut()
                    .push(unresponsive);
            }
        }
    }

    /// Records that a target has crashed while the given requests were in flight there.
    fn record_target_crash(
        &self,
        service: &str,
        chosen: &ChosenTarget,
        crash: CrashKey,
        interrupted: &[InterruptedRequest],
    ) {
        let state = CrashState::Crashed(Instant::now());
        self.crash_tracker.states.borrow_mut().insert(crash, state);
        let listed = self.targets.borrow().find(service, &chosen.id);
        if listed.is_some_and(|listed| listed.born == chosen.born) {
            self.record_unreachable(service, &chosen.id, "it has ended");
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
        self.suspect_interrupted(service, chosen, crash, interrupted);
    }

    fn suspect_interrupted(
        &self,
        service: &str,
        chosen: &ChosenTarget,
        crash: CrashKey,
        interrupted: &[InterruptedRequest],
    ) {
        let with_prompts = interrupted.iter().filter_map(|one| {
            let account = one.subject.account.as_str();
            Some((one.subject.key, account, one.prompt.as_deref()?))
        });
        self.accuse_parts(service, chosen, crash, with_prompts);
        for one in interrupted {
            self.metrics.requests_interrupted.inc();
            if self.suspects.record_crash(&one.subject, crash) {
                let record = self.suspects.record(one.subject.key);
                let ends = record.map_or(0, |record| record.crashes.len());
                let detail = format!(
                    "{} parts={} ran_ms={} ends={ends}",
                    describe_subject(&one.subject),
                    describe_parts(one.prompt.as_deref()),
                    one.ran.as_millis()
                );
                let code = EventCode::RequestAccused;
                self.record_request_event(code, &one.id, &chosen.id, detail);
            }
        }
    }

    /// Records that a target of a stage pool crashed during a call with pieces of some requests.
    pub(crate) fn record_stage_crash(&self, call: &DueCall) {
        let mut interrupted: Vec<InterruptedRequest> = Vec::new();
        for piece in &call.pieces {
            if interrupted
                .iter()
                .all(|one| one.subject.key != piece.request_key)
            {
                interrupted.push(InterruptedRequest {
                    id: piece.work.request.clone(),
                    subject: RequestSubject::unnamed(piece.request_key),
                    prompt: None,
                    ran: call.started.elapsed(),
                });
            }
        }
        let chosen = ChosenTarget {
            id: call.target.clone(),
            born: call.born,
            address: call.address,
            hall: call.hall.clone(),
            version: String::new(),
        };
        let crash = CrashKey::new(&chosen.id, chosen.born);
        self.record_target_crash(&call.pool.service, &chosen, crash, &interrupted);
    }

    /// Records the crashes of unresponsive targets that have restarted.
    pub(crate) fn record_restarts(&self) {
        let restarted = self.crash_tracker.take_restarted(&self.targets.borrow());
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
    let outcome = gateway.upstream.probe(chosen.address).await;
    gateway.apply_probe(service, chosen, crash, outcome);
}

#[cfg(test)]
mod tests;
