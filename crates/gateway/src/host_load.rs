//! Measures the delay that this host itself adds to requests, and refuses requests that it cannot
//! serve in time. The decisions are those of `linnet_hostload`.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::HostDelay;
use linnet_hostload::{ConnectMeter, DelayMeter, OwnTime, RequestShedder, RoleYield, ShedDecision};
use linnet_telemetry::EventCode;
use tokio::time::sleep_until;

use crate::caller_request::CallerRequest;
use crate::metrics::RefusalCause;
use crate::overload::account_key;
use crate::rank::Rank;
use crate::{Gateway, Refusal, RefusalReason};

/// Interval between two samples while the host has work, and while it has next to none.
const BUSY_SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
const IDLE_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of open requests from which on a host has work.
const BUSY_REQUESTS: usize = 4;

/// Divisor of the delay of new connections. A request passes the links of the host less often than
/// its processor, and large messages delay others on a narrow link at any load.
const CONNECT_DELAY_DIVISOR: u32 = 4;

/// Delay from which on a line is written.
const REPORTED_DELAY: Duration = Duration::from_millis(50);

/// Interval between two lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Order in which requests are served while the host is overloaded: by rank, and within a rank those
/// first that can still meet their objective. Callers that were refused return late; if they were served
/// like others, nearly all would be late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LoadClass {
    rank: Rank,
    is_late: bool,
}

impl LoadClass {
    fn new(request: &CallerRequest) -> Self {
        Self {
            rank: request.rank,
            is_late: request.objective_left().is_zero(),
        }
    }
}

/// The delay that a host itself adds to requests.
#[derive(Default)]
pub(crate) struct HostLoad {
    processing: RefCell<DelayMeter>,
    connecting: RefCell<ConnectMeter<SocketAddr>>,
    shedder: RefCell<RequestShedder<LoadClass>>,
    own_time: Cell<OwnTime>,
    roles: RefCell<RoleYield>,
}

impl HostLoad {
    /// Records how long a direct connection to a target took to open.
    pub(crate) fn record_connect(&self, target: SocketAddr, took: Duration) {
        let now = Instant::now();
        self.connecting.borrow_mut().record(target, took, now);
    }

    /// Returns for how long work that is due waits for the processor.
    pub(crate) fn processing_delay(&self) -> Duration {
        self.processing.borrow().standing_delay(Instant::now())
    }

    /// Returns by how much new connections are delayed.
    pub(crate) fn connect_delay(&self) -> Duration {
        self.connecting.borrow().standing_delay(Instant::now())
    }

    /// Returns the limit of the requests per second, for the log; `-` if there is none.
    fn limit(&self) -> String {
        let limit = self.shedder.borrow().limit();
        limit.map_or_else(|| "-".to_owned(), |limit| format!("{limit:.0}"))
    }

    /// Returns how many requests per second arrive that were refused before.
    fn returned_rate(&self) -> f64 {
        self.shedder.borrow().returned_rate()
    }

    /// Records how late a timer was while `open` requests were in flight. Returns what the host states
    /// of its delay from now on, if that changed.
    fn record_lateness(&self, lateness: Duration, open: usize) -> Option<HostDelay> {
        let now = Instant::now();
        self.processing.borrow_mut().record(lateness, now);
        let connecting = self.connect_delay() / CONNECT_DELAY_DIVISOR;
        let delay = self.processing_delay().max(connecting);
        self.shedder.borrow_mut().update(delay, open, now);
        let mut roles = self.roles.borrow_mut();
        let has_changed = roles.update(delay, now);
        has_changed.then(|| match roles.is_yielded() {
            true => HostDelay::Delayed,
            false => HostDelay::Timely,
        })
    }

    /// Records that a request was served.
    pub(crate) fn record_completed(&self) {
        self.shedder.borrow_mut().record_completed();
    }

    /// Records how long a request took that was answered or reached its deadline, without the time
    /// that its targets were expected to need.
    pub(crate) fn record_own_time(&self, request: &CallerRequest, planned: Duration) {
        let time = request.arrived_at.elapsed().saturating_sub(planned);
        let delay = self.processing_delay().max(request.host_delay.get());
        let mut own_time = self.own_time.get();
        own_time.record(time, delay);
        self.own_time.set(own_time);
    }

    /// Returns how long a request that arrives now will wait for this host in all.
    fn forecast_own_time(&self) -> Duration {
        self.own_time.get().forecast(self.processing_delay())
    }

    /// Returns whether a request would wait for this host until its deadline.
    fn is_hopeless(&self, request: &CallerRequest) -> bool {
        self.forecast_own_time() >= request.time_left()
    }

    /// Decides whether this host processes a request.
    fn decide(&self, request: &CallerRequest) -> ShedDecision {
        let account = account_key(request.account.as_deref());
        let mut shedder = self.shedder.borrow_mut();
        if was_refused(request) {
            shedder.record_returned();
        }
        shedder.decide(LoadClass::new(request), account, fastrand::f64())
    }
}

/// Returns whether the time that a request has left shows that its caller was refused before.
fn was_refused(request: &CallerRequest) -> bool {
    !request.age.is_zero()
}

/// Refuses a request if this host is overloaded itself and serves others first, or if the request would
/// wait for this host until its deadline.
pub(crate) fn check_host_load(gateway: &Gateway, request: &CallerRequest) -> Result<(), Refusal> {
    let load = &gateway.host_load;
    let decision = load.decide(request);
    let is_hopeless = load.is_hopeless(request);
    let refused = is_hopeless || decision != ShedDecision::Admitted;
    if refused && gateway.overload.policy().planned_returns {
        let control = &gateway.overload;
        control.record_admission(request.rank, refused, Instant::now());
    }
    if !refused {
        request.host_delay.set(load.processing_delay());
        return Ok(());
    }
    let admitted = match decision {
        ShedDecision::Admitted => 1.0,
        ShedDecision::Refused { admitted } => admitted,
    };
    Err(overload_refusal(gateway, request, admitted, is_hopeless))
}

/// Counts a refusal and returns it. The limit admits a share of such requests; a hopeless one is refused
/// whatever it admits.
fn overload_refusal(
    gateway: &Gateway,
    request: &CallerRequest,
    admitted: f64,
    is_hopeless: bool,
) -> Refusal {
    let load = &gateway.host_load;
    let draw = fastrand::f64();
    let wait = load
        .shedder
        .borrow()
        .return_wait(was_refused(request), draw);
    gateway.metrics.count_refusal(RefusalCause::Host, wait);
    let detail = format!(
        "this host is overloaded: processing_ms={} connect_ms={} limit_per_s={} admit_permille={:.0} returned_per_s={:.0} late={} own_ms={} hopeless={is_hopeless}",
        load.processing_delay().as_millis(),
        load.connect_delay().as_millis(),
        load.limit(),
        admitted * 1_000.0,
        load.returned_rate(),
        LoadClass::new(request).is_late,
        load.forecast_own_time().as_millis()
    );
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(wait)
}

/// Measures how late timers of this host are.
pub(crate) async fn run_delay_sampling(gateway: Rc<Gateway>) {
    let mut reported_at: Option<Instant> = None;
    loop {
        let is_busy = gateway.open_requests() >= BUSY_REQUESTS;
        let interval = match is_busy {
            true => BUSY_SAMPLE_INTERVAL,
            false => IDLE_SAMPLE_INTERVAL,
        };
        let due = Instant::now() + interval;
        sleep_until(due.into()).await;
        let open = gateway.open_requests();
        if let Some(delay) = gateway.host_load.record_lateness(due.elapsed(), open) {
            state_delay(&gateway, delay);
        }
        report(&gateway, &mut reported_at);
    }
}

/// States the delay of this host to the others, and writes a line.
fn state_delay(gateway: &Gateway, delay: HostDelay) {
    let is_yielded = delay == HostDelay::Delayed;
    let code = match is_yielded {
        true => EventCode::RolesYielded,
        false => EventCode::RolesResumed,
    };
    gateway.record_event(code, &delay_detail(gateway));
    gateway.metrics.roles_yielded.set(i64::from(is_yielded));
    gateway.set_delay(delay);
}

/// Returns what a line tells of the delay of this host.
fn delay_detail(gateway: &Gateway) -> String {
    let load = &gateway.host_load;
    format!(
        "processing_ms={} connect_ms={} limit_per_s={} open_requests={} pools={}",
        load.processing_delay().as_millis(),
        load.connect_delay().as_millis(),
        load.limit(),
        gateway.open_requests(),
        gateway.stage_client.coordinated_pool_labels()
    )
}

/// Updates the metrics, and writes a line while requests are delayed and once they no longer are.
fn report(gateway: &Gateway, reported_at: &mut Option<Instant>) {
    let load = &gateway.host_load;
    let (processing, connecting) = (load.processing_delay(), load.connect_delay());
    let metrics = &gateway.metrics;
    metrics
        .processing_delay_ms
        .set(processing.as_millis() as i64);
    metrics.connect_delay_ms.set(connecting.as_millis() as i64);
    let limit = load.shedder.borrow().limit();
    metrics
        .admission_limit_per_s
        .set(limit.unwrap_or_default() as i64);
    metrics.returned_per_s.set(load.returned_rate() as i64);
    let is_delayed = processing.max(connecting) >= REPORTED_DELAY;
    let is_due = reported_at.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL);
    if is_delayed && is_due {
        gateway.record_event(EventCode::HostDelayed, &delay_detail(gateway));
        *reported_at = Some(Instant::now());
    } else if !is_delayed && is_due && reported_at.take().is_some() {
        gateway.record_event(EventCode::HostRecovered, &delay_detail(gateway));
    }
}

#[cfg(test)]
mod tests;
