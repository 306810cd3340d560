//! Detection of crashed targets, and of the requests that may have caused the crash.
//!
//! A broken connection alone is no evidence of a crash: targets abort responses, connections are
//! reset, and links between halls fail. So the host probes the target with a new connection. If the
//! connection is refused, the target has crashed, and all requests that this host had in flight
//! there become suspects. If the probe times out, a later incarnation of the target is the
//! evidence.

mod tracker;

use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{CrashKey, RequestSubject};
use linnet_telemetry::EventCode;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::coordinator::DueCall;
use crate::part_suspects::InterruptedPrompt;
use crate::prompt::describe_parts;
use crate::suspects::describe_subject;
use crate::target::ChosenTarget;
use crate::target_state::{PROBE_TIMEOUT, TargetState};
use crate::upstream::ProbeOutcome;
use tracker::{CrashProbe, InterruptedRequest, UnresponsiveTarget, first_crash};

pub(crate) use tracker::CrashTracker;

/// How long the end of a body without framing waits for the result of one probe. Only if the target
/// does not accept connections does a probe take longer than a round trip; other hosts are asked then.
const CLOSE_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// What shows that a target has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashEvidence {
    /// Nothing listens at its address.
    Refusal,
    /// A newer incarnation is listed.
    Restart,
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
        let limit = CLOSE_PROBE_TIMEOUT.min(request.time_left() / 2);
        if !self.targets.borrow().contains(target.0, &target.1.id) {
            return self.probe_withdrawn(target.1, limit).await;
        }
        let interrupted = InterruptedRequest::new(request, sent);
        let state = self.probe_for_crash(target, None, sent, limit).await;
        if state == TargetState::Crashed {
            let (service, chosen) = target;
            let listed = self.targets.borrow().find(service, &chosen.id);
            let mut incarnations = std::iter::once(chosen).chain(&listed);
            let crash = incarnations.find_map(|one| self.crash_tracker.crash_after(one, sent));
            let crash = crash.unwrap_or_else(|| first_crash(chosen));
            self.suspect_interrupted(service, chosen, crash, &[interrupted]);
        }
        state
    }

    /// Counts a request as interrupted if its target, which accepts connections, turns out to have
    /// started again.
    pub(crate) fn await_restart(
        &self,
        (service, chosen): (&str, &ChosenTarget),
        request: &CallerRequest,
        sent: Instant,
    ) {
        // The end of a target that was withdrawn is no crash.
        if !self.targets.borrow().contains(service, &chosen.id) {
            return;
        }
        let unresponsive = UnresponsiveTarget {
            service: service.to_owned(),
            chosen: chosen.clone(),
            interrupted: vec![InterruptedRequest::new(request, sent)],
            since: Instant::now(),
        };
        self.crash_tracker.await_restart(unresponsive);
    }

    /// Finds out whether a target that is no longer listed still runs. Its end is no crash that its
    /// requests could have caused.
    async fn probe_withdrawn(&self, chosen: &ChosenTarget, limit: Duration) -> TargetState {
        match timeout(limit, self.upstream.probe(chosen.address)).await {
            Ok(ProbeOutcome::Open) => TargetState::Alive,
            Ok(ProbeOutcome::Refused | ProbeOutcome::Silent) | Err(_) => TargetState::Unknown,
        }
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
        if let Some(crash) = self.crash_tracker.crash_after(chosen, sent) {
            self.suspect_interrupted(service, chosen, crash, interrupted.as_slice());
            return TargetState::Crashed;
        }
        let mut running = chosen;
        if known.born > chosen.born {
            let accepted_at = self.upstream.accepted_at(chosen.address);
            if !self.crash_tracker.is_up_again(chosen, accepted_at) {
                let evidence = CrashEvidence::Restart;
                self.record_target_crash(service, chosen, evidence, interrupted.as_slice());
                return TargetState::Crashed;
            }
            // The request was sent after the restart that is listed now.
            running = &known;
        }
        let probe_done = self.join_probe((service, running), interrupted);
        // The result of the probe is applied even if it arrives later.
        match timeout(limit, probe_done).await {
            Ok(Ok(ProbeOutcome::Open)) => TargetState::Alive,
            Ok(Ok(ProbeOutcome::Refused)) => TargetState::Crashed,
            Ok(Ok(ProbeOutcome::Silent) | Err(_)) | Err(_) => TargetState::Unknown,
        }
    }

    /// Waits for the probe of a target, and starts it if there is none.
    fn join_probe(
        self: &Rc<Self>,
        (service, chosen): (&str, &ChosenTarget),
        request: Option<InterruptedRequest>,
    ) -> oneshot::Receiver<ProbeOutcome> {
        let (done, probe_done) = oneshot::channel();
        let mut states = self.crash_tracker.states.borrow_mut();
        let state = states.entry(first_crash(chosen)).or_default();
        if state.probe.is_none() {
            // Continues even if the caller disconnects.
            let (service, chosen) = (service.to_owned(), chosen.clone());
            ntex::rt::spawn(probe_target(self.clone(), service, chosen));
        }
        let probe = state.probe.get_or_insert_default();
        probe.interrupted.extend(request);
        probe.waiting.push(done);
        probe_done
    }

    fn apply_probe(&self, service: String, chosen: ChosenTarget, outcome: ProbeOutcome) {
        let mut states = self.crash_tracker.states.borrow_mut();
        let state = states.get_mut(&first_crash(&chosen));
        let Some(probe) = state.and_then(|state| state.probe.take()) else {
            return;
        };
        drop(states);
        let CrashProbe {
            interrupted,
            waiting,
        } = probe;
        for done in waiting {
            // The request may have ended or may no longer wait.
            let _ = done.send(outcome);
        }
        match outcome {
            ProbeOutcome::Open => {}
            ProbeOutcome::Refused => {
                let evidence = CrashEvidence::Refusal;
                self.record_target_crash(&service, &chosen, evidence, &interrupted);
            }
            ProbeOutcome::Silent => {
                let unresponsive = UnresponsiveTarget {
                    service,
                    chosen,
                    interrupted,
                    since: Instant::now(),
                };
                self.crash_tracker.await_restart(unresponsive);
            }
        }
    }

    /// Records that a target has crashed while the given requests were in flight there.
    fn record_target_crash(
        &self,
        service: &str,
        chosen: &ChosenTarget,
        evidence: CrashEvidence,
        interrupted: &[InterruptedRequest],
    ) {
        let accepted_at = self.upstream.accepted_at(chosen.address);
        let mut states = self.crash_tracker.states.borrow_mut();
        let state = states.entry(first_crash(chosen)).or_default();
        // The incarnation that is listed now may be the one that was up after the last crash.
        let is_another = evidence == CrashEvidence::Refusal && state.is_up_again(accepted_at);
        let number = state.record_crash(is_another, Instant::now());
        drop(states);
        let crash = first_crash(chosen).nth(number);
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
            "service={service} address={} born={} crash={number} requests={} keys={}",
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
            Some(InterruptedPrompt {
                request: one.subject.key,
                account: &one.subject.account,
                prompt: one.prompt.as_deref()?,
                counted_run: one.counted_run,
            })
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
                    counted_run: None,
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
        let evidence = CrashEvidence::Refusal;
        self.record_target_crash(&call.pool.service, &chosen, evidence, &interrupted);
    }

    /// Records the crashes of unresponsive targets that have restarted.
    pub(crate) fn record_restarts(&self) {
        let restarted = self.crash_tracker.take_restarted(&self.targets.borrow());
        for one in restarted {
            let evidence = CrashEvidence::Restart;
            self.record_target_crash(&one.service, &one.chosen, evidence, &one.interrupted);
        }
    }
}

async fn probe_target(gateway: Rc<Gateway>, service: String, chosen: ChosenTarget) {
    let outcome = gateway.upstream.probe(chosen.address).await;
    gateway.apply_probe(service, chosen, outcome);
}

#[cfg(test)]
mod tests;
