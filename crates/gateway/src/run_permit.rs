//! Permits to run a request that may crash targets.
//!
//! One host issues the permits for such a request and lets it run once at a time. All hosts that
//! know the same hosts agree on the issuer. Other requests need no permit.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{RequestKey, RequestStatus};
use linnet_telemetry::EventCode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::caller_request::CallerRequest;
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

/// Acquires permission to run a request: at once if there is no evidence against it, and after
/// other runs of the same request if it is a suspect. `permit` receives the permit, if one is
/// needed.
///
/// # Errors
///
/// [`RefusalReason::CrashesTargets`] if the request is held, [`RefusalReason::Overloaded`] if it
/// did not get a permit in time.
pub(crate) async fn acquire_run_permit(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    permit: &mut Option<RunPermit>,
) -> Result<(), Refusal> {
    // The stages of a request run after the permit is issued and before the request is sent.
    if permit.as_ref().is_some_and(|permit| permit.unused) {
        return Ok(());
    }
    let max_wait = MAX_PERMIT_WAIT.min(request.time_left().mul_f64(MAX_PERMIT_WAIT_FRACTION));
    let until = Instant::now() + max_wait;
    loop {
        match gateway.suspects.status(request) {
            RequestStatus::Clear => return Ok(()),
            RequestStatus::Suspect if permit.is_some() => return Ok(()),
            RequestStatus::Held { trial_due: false } => return Err(held(gateway, request)),
            RequestStatus::Undecided => {}
            RequestStatus::Held { trial_due: true } => {
                // One of the arriving requests becomes the trial; the others need not wait for it.
                *permit = request_run_permit(gateway, request)
                    .await
                    .map_err(|_| held(gateway, request))?;
                return Ok(());
            }
            RequestStatus::Suspect => match request_run_permit(gateway, request).await {
                Ok(granted) => {
                    *permit = granted;
                    return Ok(());
                }
                Err(RunPermitReply::Held) => return Err(held(gateway, request)),
                Err(_) => {}
            },
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
) -> Result<Option<RunPermit>, RunPermitReply> {
    let key = request.subject().key;
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
    Ok(Some(RunPermit {
        gateway: gateway.clone(),
        key,
        origin,
        unused: true,
    }))
}

fn held(gateway: &Gateway, request: &CallerRequest) -> Refusal {
    let key = request.subject().key;
    gateway.suspects.record_refusal(key);
    let record = gateway.suspects.record(key);
    let (ends, age_ms) = record.map_or((0, 0), |record| (record.crashes.len(), record.age_ms));
    let detail = format!(
        "{ends} targets ended while this request ran, the last one {age_ms} ms ago; key={key}"
    );
    Refusal::new(RefusalReason::CrashesTargets, detail)
}

fn permit_timeout(request: &CallerRequest) -> Refusal {
    let key = request.subject().key;
    let detail = format!("targets ended under this request; it runs once at a time; key={key}");
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(PERMIT_RETRY_AFTER)
}

impl Gateway {
    /// Decides, for all hosts, whether a request may run now, and marks it as running if so.
    pub(crate) fn issue_run_permit(&self, key: RequestKey, id: &str) -> RunPermitReply {
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
}
