//! Leave to run a request that may end its targets.
//!
//! One host, the same one for all as far as they know the same hosts, lets such a request run once at a time.
//! Nobody is asked for any other request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{RequestKey, RequestStatus};
use linnet_telemetry::EventCode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::ask::Ask;
use crate::suspects::describe_subject;
use crate::{Gateway, Refusal, RefusalReason};

/// Between two questions whether a request may run now.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// How long a request waits for its permit at most, and the part of the time that is left to it. An end is
/// decided on after 150 ms; a run of a plain request takes less than that.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1_000);
const MAX_PERMIT_WAIT_FRACTION: f64 = 0.25;

/// When a caller should come back whose request did not get its permit.
const PERMIT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What the host that gives turns answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunPermitReply {
    /// It may run now.
    Granted,
    /// It runs elsewhere, or it is not decided yet what holds of it.
    Busy,
    /// It is held.
    Held,
}

/// Where a permit was given.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RunPermitOrigin {
    /// By this host.
    Here,
    /// By another one, under a number of this host's.
    Remote(SocketAddr, u64),
}

/// Leave to run a request, given back when it is dropped.
pub(crate) struct RunPermit {
    gateway: Rc<Gateway>,
    key: RequestKey,
    origin: RunPermitOrigin,
    /// Whether the request has not been sent since it got its permit.
    unused: bool,
}

impl RunPermit {
    /// Notes that the request is sent.
    pub(crate) fn mark_sent(&mut self) {
        self.unused = false;
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        match self.origin {
            RunPermitOrigin::Here => self.gateway.suspects.end_run(self.key),
            RunPermitOrigin::Remote(address, number) => {
                // What came of the run reaches that host before it lets the request run again.
                let record = self.gateway.suspects.record(self.key);
                self.gateway.stages.tell_suspect(address, record);
                self.gateway.stages.end_turn(address, number);
            }
        }
    }
}

/// Lets a request run: at once where nothing is held against it, after the others of its kind where it is
/// suspect. `permit` keeps the leave that it needed.
///
/// # Errors
///
/// [`RefusalReason::EndsTargets`] where it is held, [`RefusalReason::Overloaded`] where it did not get its
/// permit in time.
pub(crate) async fn acquire_run_permit(
    gateway: &Rc<Gateway>,
    ask: &Ask,
    permit: &mut Option<RunPermit>,
) -> Result<(), Refusal> {
    // The stages of a request run between its permit and its sending.
    if permit.as_ref().is_some_and(|permit| permit.unused) {
        return Ok(());
    }
    let max_wait = MAX_PERMIT_WAIT.min(ask.time_left().mul_f64(MAX_PERMIT_WAIT_FRACTION));
    let until = Instant::now() + max_wait;
    loop {
        match gateway.suspects.status(ask) {
            RequestStatus::Clear => return Ok(()),
            RequestStatus::Suspect if permit.is_some() => return Ok(()),
            RequestStatus::Held { trial_due: false } => return Err(held(gateway, ask)),
            RequestStatus::Undecided => {}
            RequestStatus::Held { trial_due: true } => {
                // One of those that come is the trial; the others have nothing to wait for.
                *permit = request_run_permit(gateway, ask)
                    .await
                    .map_err(|_| held(gateway, ask))?;
                return Ok(());
            }
            RequestStatus::Suspect => match request_run_permit(gateway, ask).await {
                Ok(granted) => {
                    *permit = granted;
                    return Ok(());
                }
                Err(RunPermitReply::Held) => return Err(held(gateway, ask)),
                Err(_) => {}
            },
        }
        if Instant::now() + POLL_INTERVAL > until {
            return Err(permit_timeout(ask));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Asks the host that gives turns; returns its reply where it gave none.
async fn request_run_permit(
    gateway: &Rc<Gateway>,
    ask: &Ask,
) -> Result<Option<RunPermit>, RunPermitReply> {
    let key = ask.subject().key;
    let (reply, origin) = match gateway.stages.turn_host(key) {
        None => (
            gateway.issue_run_permit(key, &ask.id),
            RunPermitOrigin::Here,
        ),
        Some(address) => {
            // That host may not have heard yet what is held against the request.
            let stages = &gateway.stages;
            stages.tell_suspect(address, gateway.suspects.record(key));
            let (reply, number) = stages.ask_turn(address, key, &ask.id).await;
            (reply, RunPermitOrigin::Remote(address, number))
        }
    };
    if reply != RunPermitReply::Granted {
        return Err(reply);
    }
    ask.apart.set(true);
    Ok(Some(RunPermit {
        gateway: gateway.clone(),
        key,
        origin,
        unused: true,
    }))
}

fn held(gateway: &Gateway, ask: &Ask) -> Refusal {
    let key = ask.subject().key;
    gateway.suspects.record_refusal(key);
    let record = gateway.suspects.record(key);
    let (ends, age_ms) = record.map_or((0, 0), |record| (record.crashes.len(), record.age_ms));
    let detail = format!(
        "{ends} targets ended while this request ran, the last one {age_ms} ms ago; key={key}"
    );
    Refusal::new(RefusalReason::EndsTargets, detail)
}

fn permit_timeout(ask: &Ask) -> Refusal {
    let key = ask.subject().key;
    let detail = format!("targets ended under this request; it runs once at a time; key={key}");
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(PERMIT_RETRY_AFTER)
}

impl Gateway {
    /// Decides, for all hosts, whether a request may run now; counts it as running where it may.
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
                    self.note_request(EventCode::RequestTried, id, "", detail);
                }
            }
            RequestStatus::Clear | RequestStatus::Suspect => {}
        }
        RunPermitReply::Granted
    }
}
