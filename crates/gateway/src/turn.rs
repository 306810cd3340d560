//! Leave to run a request that may end its targets.
//!
//! One host, the same one for all as far as they know the same hosts, lets such a request run once at a time.
//! Nobody is asked for any other request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{RequestKey, RequestStanding};
use linnet_telemetry::EventCode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::caller_request::CallerRequest;
use crate::suspects::describe;
use crate::{Gateway, Refusal, RefusalReason};

/// Between two questions whether a request may run now.
const ASK_PERIOD: Duration = Duration::from_millis(40);

/// How long a request waits for its turn at most, and the part of the time that is left to it. An end is
/// decided on after 150 ms; a run of a plain request takes less than that.
const TURN_PATIENCE: Duration = Duration::from_millis(1_000);
const TURN_PART: f64 = 0.25;

/// When a caller should come back whose request did not get its turn.
const TURN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What the host that gives turns answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TurnAnswer {
    /// It may run now.
    Granted,
    /// It runs elsewhere, or it is not decided yet what holds of it.
    Busy,
    /// It is held.
    Held,
}

/// Where a turn was given.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TurnHome {
    /// By this host.
    Here,
    /// By another one, under a number of this host's.
    Remote(SocketAddr, u64),
}

/// Leave to run a request, given back when it is dropped.
pub(crate) struct RunTurn {
    gateway: Rc<Gateway>,
    key: RequestKey,
    home: TurnHome,
    /// Whether the request has not been sent since it got its turn.
    unused: bool,
}

impl RunTurn {
    /// Notes that the request is sent.
    pub(crate) fn note_sending(&mut self) {
        self.unused = false;
    }
}

impl Drop for RunTurn {
    fn drop(&mut self) {
        match self.home {
            TurnHome::Here => self.gateway.suspects.end_turn(self.key),
            TurnHome::Remote(address, number) => {
                // What came of the run reaches that host before it lets the request run again.
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

/// Lets a request run: at once where nothing is held against it, after the others of its kind where it is
/// suspect. `turn` keeps the leave that it needed.
///
/// # Errors
///
/// [`RefusalReason::CrashesTargets`] where it is held, [`RefusalReason::Overloaded`] where it did not get its
/// turn in time.
pub(crate) async fn take_turn(
    gateway: &Rc<Gateway>,
    ask: &CallerRequest,
    turn: &mut Option<RunTurn>,
) -> Result<(), Refusal> {
    // The stages of a request run between its turn and its sending.
    if turn.as_ref().is_some_and(|turn| turn.unused) {
        return Ok(());
    }
    let patience = TURN_PATIENCE.min(ask.time_left().mul_f64(TURN_PART));
    let until = Instant::now() + patience;
    loop {
        match gateway.suspects.standing(ask) {
            RequestStanding::Free => return Ok(()),
            RequestStanding::Suspect if turn.is_some() => return Ok(()),
            RequestStanding::Held { trial_due: false } => return Err(held(gateway, ask)),
            RequestStanding::Undecided => {}
            RequestStanding::Held { trial_due: true } => {
                // One of those that come is the trial; the others have nothing to wait for.
                *turn = ask_turn(gateway, ask)
                    .await
                    .map_err(|_| held(gateway, ask))?;
                return Ok(());
            }
            RequestStanding::Suspect => match ask_turn(gateway, ask).await {
                Ok(granted) => {
                    *turn = granted;
                    return Ok(());
                }
                Err(TurnAnswer::Held) => return Err(held(gateway, ask)),
                Err(_) => {}
            },
        }
        if Instant::now() + ASK_PERIOD > until {
            return Err(no_turn(ask));
        }
        sleep(ASK_PERIOD).await;
    }
}

/// Asks the host that gives turns; returns its answer where it gave none.
async fn ask_turn(
    gateway: &Rc<Gateway>,
    ask: &CallerRequest,
) -> Result<Option<RunTurn>, TurnAnswer> {
    let key = ask.subject().key;
    let (answer, home) = match gateway.stage_client.run_permit_host(key) {
        None => (gateway.grant_turn(key, &ask.id), TurnHome::Here),
        Some(address) => {
            // That host may not have heard yet what is held against the request.
            let stages = &gateway.stage_client;
            stages.send_suspect_record(address, gateway.suspects.record(key));
            let (answer, number) = stages.request_run_permit(address, key, &ask.id).await;
            (answer, TurnHome::Remote(address, number))
        }
    };
    if answer != TurnAnswer::Granted {
        return Err(answer);
    }
    ask.isolated.set(true);
    Ok(Some(RunTurn {
        gateway: gateway.clone(),
        key,
        home,
        unused: true,
    }))
}

fn held(gateway: &Gateway, ask: &CallerRequest) -> Refusal {
    let key = ask.subject().key;
    gateway.suspects.note_refused(key);
    let record = gateway.suspects.record(key);
    let (ends, age_ms) = record.map_or((0, 0), |record| (record.ends.len(), record.age_ms));
    let detail = format!(
        "{ends} targets ended while this request ran, the last one {age_ms} ms ago; key={key}"
    );
    Refusal::new(RefusalReason::CrashesTargets, detail)
}

fn no_turn(ask: &CallerRequest) -> Refusal {
    let key = ask.subject().key;
    let detail = format!("targets ended under this request; it runs once at a time; key={key}");
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(TURN_RETRY_AFTER)
}

impl Gateway {
    /// Decides, for all hosts, whether a request may run now; counts it as running where it may.
    pub(crate) fn grant_turn(&self, key: RequestKey, id: &str) -> TurnAnswer {
        match self.suspects.standing_of(key) {
            RequestStanding::Held { trial_due: false } => return TurnAnswer::Held,
            RequestStanding::Undecided => return TurnAnswer::Busy,
            _ if !self.suspects.begin_turn(key) => return TurnAnswer::Busy,
            RequestStanding::Held { trial_due: true } => {
                self.suspects.note_trial(key);
                if let Some(record) = self.suspects.record(key) {
                    let detail = format!("{} trials={}", describe(&record.subject), record.trials);
                    self.record_request_event(EventCode::RequestTried, id, "", detail);
                }
            }
            RequestStanding::Free | RequestStanding::Suspect => {}
        }
        TurnAnswer::Granted
    }
}
