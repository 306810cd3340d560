//! Permits to run a request that may crash targets.
//!
//! One host issues the permits for such a request and lets it run once at a time. All hosts that
//! know the same hosts agree on the issuer. Other requests need no permit. The same holds for
//! trials of a held part of prompts, under the key of the part.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{PartKey, PartStatus, RequestKey, RequestStatus};
use linnet_telemetry::EventCode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::caller_request::CallerRequest;
use crate::part_suspects::describe_part;
use crate::suspects::describe_subject;
use crate::{Gateway, Refusal, RefusalReason};

/// Interval between two attempts to get a permit.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Longest wait for a permit, absolute and as a fraction of the time that is left to the request.
/// The decision about a crash is made after 150 ms, and a run of a non-streaming request takes less
/// than this wait.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1_000);
const MAX_PERMIT_WAIT_FRACTION: f64 = 0.25;

/// Time after which a caller should retry a request that got no permit.
const PERMIT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The reply of the issuing host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunPermitReply {
    /// The request may run now.
    Granted,
    /// The request runs elsewhere, or its status is undecided.
    Busy,
    /// The request is held.
    Held,
}

/// Where a permit was issued.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RunPermitOrigin {
    /// By this host.
    Local,
    /// By another host, under a number that this host assigned.
    Remote(SocketAddr, u64),
}

/// Permission to run a request, returned when dropped.
pub(crate) struct RunPermit {
    gateway: Rc<Gateway>,
    key: RequestKey,
    origin: RunPermitOrigin,
    /// Whether the request has not been sent since the permit was issued.
    unused: bool,
}

impl RunPermit {
    /// Records that the request is sent.
    pub(crate) fn mark_sent(&mut self) {
        self.unused = false;
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        match self.origin {
            RunPermitOrigin::Local => self.gateway.suspects.end_run(self.key),
            RunPermitOrigin::Remote(address, number) => {
                // The issuer must receive the outcome of the run before it lets the request run
                // again.
                let record = self.gateway.suspects.record(self.key);
                self.gateway
                    .stage_client
                    .send_suspect_record(address, record);
                self.gateway
                    .stage_client
                    .release_run_permit(address, number);
            }
        }
    }
}

/// The permits that a request holds.
#[derive(Default)]
pub(crate) struct RunPermits {
    /// To run it, if it is a suspect.
    request: Option<RunPermit>,
    /// To run it as the trial of a held part of its prompt.
    part: Option<RunPermit>,
}

impl RunPermits {
    /// Records that the request is sent.
    pub(crate) fn mark_sent(&mut self) {
        let all = self.request.iter_mut().chain(&mut self.part);
        all.for_each(RunPermit::mark_sent);
    }

    /// Returns whether the request runs, or may run, as the trial of a part.
    pub(crate) fn has_part_permit(&self) -> bool {
        self.part.is_some()
    }

    /// Returns whether the request may run as the trial of a part.
    pub(crate) fn is_part_trial(&self) -> bool {
        self.part.as_ref().is_some_and(|permit| permit.unused)
    }
}

/// Acquires permission to run a request of a service: at once if there is no evidence against it or
/// the parts of its prompt, and after other runs of the same request if it is a suspect. `permits`
/// receives the permits that are needed.
///
/// # Errors
///
/// [`RefusalReason::CrashesTargets`] if the request or a part is held, [`RefusalReason::Overloaded`]
/// if it did not get a permit in time.
pub(crate) async fn acquire_run_permits(
    gateway: &Rc<Gateway>,
    service: &str,
    request: &CallerRequest,
    permits: &mut RunPermits,
) -> Result<(), Refusal> {
    let max_wait = MAX_PERMIT_WAIT.min(request.time_left().mul_f64(MAX_PERMIT_WAIT_FRACTION));
    let until = Instant::now() + max_wait;
    if !permits.is_part_trial() {
        permits.part = acquire_part_permit(gateway, service, request, until).await?;
    }
    acquire_request_permit(gateway, request, &mut permits.request, until).await
}

/// Waits for the decision about the parts of a prompt, and acquires a permit if it is to run as the
/// trial of a held one.
async fn acquire_part_permit(
    gateway: &Rc<Gateway>,
    service: &str,
    request: &CallerRequest,
    until: Instant,
) -> Result<Option<RunPermit>, Refusal> {
    loop {
        match gateway.parts.status(service, request) {
            PartStatus::Clear | PartStatus::Suspect => return Ok(None),
            PartStatus::Held { part, trial_due } => {
                if !trial_due {
                    return Err(gateway.refuse_held_part(part));
                }
                // One of the arriving requests becomes the trial; the others need not wait for it.
                let permit = request_run_permit(gateway, request, part.permit_key()).await;
                let permit = permit.map_err(|_| gateway.refuse_held_part(part))?;
                // The issuer may not have the record of the part yet.
                if gateway.parts.is_trial_due(part) {
                    gateway.parts.record_trial(part);
                }
                return Ok(Some(permit));
            }
            PartStatus::Undecided => {}
        }
        if Instant::now() + POLL_INTERVAL > until {
            let detail = "targets crashed under requests with a part of its prompt; whether that part is held is decided shortly";
            let refusal = Refusal::new(RefusalReason::Overloaded, detail);
            return Err(refusal.with_retry_after(PERMIT_RETRY_AFTER));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn acquire_request_permit(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    permit: &mut Option<RunPermit>,
    until: Instant,
) -> Result<(), Refusal> {
    // The stages of a request run after the permit is issued and before the request is sent.
    if permit.as_ref().is_some_and(|permit| permit.unused) {
        return Ok(());
    }
    loop {
        match gateway.suspects.status(request) {
            RequestStatus::Clear => return Ok(()),
            RequestStatus::Suspect if permit.is_some() => return Ok(()),
            RequestStatus::Held { trial_due: false } => return Err(held(gateway, request)),
            RequestStatus::Undecided => {}
            RequestStatus::Held { trial_due: true } => {
                // One of the arriving requests becomes the trial; the others need not wait for it.
                let key = request.subject().key;
                let granted = request_run_permit(gateway, request, key).await;
                *permit = Some(granted.map_err(|_| held(gateway, request))?);
                return Ok(());
            }
            RequestStatus::Suspect => {
                let key = request.subject().key;
                match request_run_permit(gateway, request, key).await {
                    Ok(granted) => {
                        *permit = Some(granted);
                        return Ok(());
                    }
                    Err(RunPermitReply::Held) => return Err(held(gateway, request)),
                    Err(_) => {}
                }
            }
        }
        if Instant::now() + POLL_INTERVAL > until {
            return Err(permit_timeout(request));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Requests a permit from the issuing host; returns its reply if no permit was issued.
async fn request_run_permit(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    key: RequestKey,
) -> Result<RunPermit, RunPermitReply> {
    let (reply, origin) = match gateway.stage_client.run_permit_host(key) {
        None => (
            gateway.issue_run_permit(key, &request.id),
            RunPermitOrigin::Local,
        ),
        Some(address) => {
            // The issuer may not have received the suspect record yet.
            let stages = &gateway.stage_client;
            stages.send_suspect_record(address, gateway.suspects.record(key));
            let (reply, number) = stages.request_run_permit(address, key, &request.id).await;
            (reply, RunPermitOrigin::Remote(address, number))
        }
    };
    if reply != RunPermitReply::Granted {
        return Err(reply);
    }
    request.isolated.set(true);
    Ok(RunPermit {
        gateway: gateway.clone(),
        key,
        origin,
        unused: true,
    })
}

/// Returns the refusal of a request that is suspected of crashing targets. Until a trial has confirmed
/// that, the caller may return when the next trial is due.
pub(crate) fn refuse_suspected(
    is_confirmed: bool,
    time_to_trial: Option<Duration>,
    detail: String,
) -> Refusal {
    if is_confirmed {
        return Refusal::new(RefusalReason::CrashesTargets, detail);
    }
    // It may have been released since the decision to refuse.
    let wait = time_to_trial.unwrap_or_default().max(PERMIT_RETRY_AFTER);
    Refusal::new(RefusalReason::MayCrashTargets, detail).with_retry_after(wait)
}

fn held(gateway: &Gateway, request: &CallerRequest) -> Refusal {
    let key = request.subject().key;
    gateway.suspects.record_refusal(key);
    let record = gateway.suspects.record(key);
    let (ends, age_ms) = record.map_or((0, 0), |record| (record.crashes.len(), record.age_ms));
    let (is_confirmed, wait) = gateway.suspects.trial_state(key);
    let detail = format!(
        "{ends} targets ended while this request ran, the last one {age_ms} ms ago; confirmed={is_confirmed} key={key}"
    );
    refuse_suspected(is_confirmed, wait, detail)
}

fn permit_timeout(request: &CallerRequest) -> Refusal {
    let key = request.subject().key;
    let detail = format!("targets ended under this request; it runs once at a time; key={key}");
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(PERMIT_RETRY_AFTER)
}

impl Gateway {
    /// Decides, for all hosts, whether a request may run now, and marks it as running if so.
    pub(crate) fn issue_run_permit(&self, key: RequestKey, id: &str) -> RunPermitReply {
        if self.parts.contains(key.into()) {
            return self.issue_trial_permit(key.into(), id);
        }
        match self.suspects.status_of(key) {
            RequestStatus::Held { trial_due: false } => return RunPermitReply::Held,
            RequestStatus::Undecided => return RunPermitReply::Busy,
            _ if !self.suspects.begin_run(key) => return RunPermitReply::Busy,
            RequestStatus::Held { trial_due: true } => {
                self.suspects.record_trial(key);
                if let Some(record) = self.suspects.record(key) {
                    let detail = format!(
                        "{} trials={}",
                        describe_subject(&record.subject),
                        record.trials
                    );
                    self.record_request_event(EventCode::RequestTried, id, "", detail);
                }
            }
            RequestStatus::Clear | RequestStatus::Suspect => {}
        }
        RunPermitReply::Granted
    }

    /// Decides, for all hosts, whether a request with a held part may run now as its trial.
    fn issue_trial_permit(&self, part: PartKey, id: &str) -> RunPermitReply {
        if !self.parts.is_trial_due(part) {
            return RunPermitReply::Held;
        }
        if !self.suspects.begin_run(part.permit_key()) {
            return RunPermitReply::Busy;
        }
        self.parts.record_trial(part);
        if let Some(record) = self.parts.record(part) {
            let detail = format!(
                "{} trials={}",
                describe_part(&record.subject),
                record.trials
            );
            self.record_request_event(EventCode::PartTried, id, "", detail);
        }
        RunPermitReply::Granted
    }
}
