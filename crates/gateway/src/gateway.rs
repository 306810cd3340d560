//! What the tasks of one entry host share.

mod rates;
mod target_list;
mod target_notes;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use linnet_directory::{DirectoryUpdate, DirectoryView, GatewayRecord, HeldDocument, TargetState};
use linnet_routing::{RouteTable, RoutingConfig};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::PeerIdentity;
use tokio::sync::{Notify, watch};

use crate::Dialect;
use crate::budget::{BudgetRule, RetryBudget};
use crate::coordinator::Coordinator;
use crate::engine::EnginePlacer;
use crate::metrics::GatewayMetrics;
use crate::notice_store::NoticeStore;
use crate::open_request::OpenCount;
use crate::rollouts::RolloutWatch;
use crate::send_permit_issuer::SendPermitIssuer;
use crate::stage_call::StageCaller;
use crate::stage_client::StageClient;
use crate::suspects::SuspectTracker;
use crate::target::TargetStore;
use crate::target_crash::CrashTracker;
use crate::upstream::UpstreamPool;
use crate::wait_model::WaitModel;

/// Why new callers should not come to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotReady {
    /// It is about to end.
    #[display("stopping")]
    Stopping,
    /// It has no configuration and hears no control host.
    #[display("no control host is heard")]
    NoControlHost,
    /// It has no configuration.
    #[display("no configuration yet")]
    NoConfiguration,
}

/// Reads a valid configuration from the bytes of a document.
pub type ConfigReader = Box<dyn Fn(&[u8]) -> Result<RoutingConfig, String>>;

/// What a gateway needs to start.
pub struct GatewayConfig {
    /// How callers and targets speak.
    pub dialect: Dialect,
    /// Reads the configuration.
    pub read_config: ConfigReader,
    /// Name, keys and clock towards peers.
    pub identity: PeerIdentity,
    /// Where events go.
    pub recorder: Arc<EventRecorder>,
    /// Name of this host.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// The region of each data hall that is known.
    pub halls: BTreeMap<String, String>,
    /// Where other entry hosts reach it.
    pub peer: SocketAddr,
    /// Repeated sendings that are allowed in any window, as a part of the requests.
    pub retry_ratio: f64,
    /// Repeated sendings that are allowed beyond that, over all hosts.
    pub retry_slack: f64,
    /// The window.
    pub retry_window: Duration,
    /// How long a request waits, on a host that has just started, for the first configuration and the
    /// first targets.
    pub start_patience: Duration,
    /// Bytes of calls to stage targets that this host sends in a second before other hosts send them
    /// in its place.
    pub shared_bytes_per_s: f64,
}

/// What the tasks of one entry host share; all on one thread.
pub struct Gateway {
    pub(crate) config: GatewayConfig,
    table: watch::Sender<Option<Rc<RouteTable>>>,
    pub(crate) view: RefCell<DirectoryView>,
    pub(crate) targets: Rc<RefCell<TargetStore>>,
    pub(crate) pool: UpstreamPool,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) engines: Rc<RefCell<EnginePlacer>>,
    pub(crate) waits: RefCell<WaitModel>,
    pub(crate) stages: StageClient,
    pub(crate) coordinator: Rc<Coordinator>,
    pub(crate) suspects: SuspectTracker,
    pub(crate) ends: CrashTracker,
    pub(crate) rollouts: RolloutWatch,
    /// What targets have asked of this host.
    pub(crate) notices: Rc<NoticeStore>,
    /// The targets for which this host gives leave to send.
    rate_turns: SendPermitIssuer,
    /// Requests that wait until a target takes requests again.
    pub(crate) waiting: OpenCount,
    pub(crate) stopping: Cell<bool>,
    /// When requests that are still in flight are given up, since the process is about to end.
    give_up_at: watch::Sender<Option<Instant>>,
    pub(crate) open_requests: OpenCount,
    /// Wakes the task that works the list of targets out anew.
    targets_due: Notify,
    /// Wakes requests that wait for the first targets.
    target_lists: watch::Sender<()>,
    started: Instant,
    /// Metrics of this host.
    pub metrics: GatewayMetrics,
    gateway_record: watch::Sender<Option<GatewayRecord>>,
}

impl Gateway {
    /// Creates a gateway that knows nothing yet, and starts its tasks.
    pub fn new(config: GatewayConfig) -> Rc<Self> {
        let record = GatewayRecord {
            name: config.name.clone(),
            hall: config.hall.clone(),
            peer: config.peer,
            stopping: false,
        };
        let pool = UpstreamPool::default();
        let metrics = GatewayMetrics::new();
        let targets: Rc<RefCell<TargetStore>> = Rc::default();
        let notices = Rc::new(NoticeStore::new(config.recorder.clone(), targets.clone()));
        let caller = StageCaller::new(config.dialect.clone(), pool.clone(), notices.clone());
        let coordinator = Rc::new(Coordinator::new(
            caller,
            config.recorder.clone(),
            config.shared_bytes_per_s,
        ));
        let rule = BudgetRule {
            ratio: config.retry_ratio,
            slack: config.retry_slack,
            window: config.retry_window,
        };
        let engines = Rc::new(RefCell::new(EnginePlacer::default()));
        let gateway = Rc::new(Self {
            stages: StageClient::new(
                config.identity.clone(),
                config.name.clone(),
                config.hall.clone(),
                coordinator.clone(),
                engines.clone(),
            ),
            waits: RefCell::default(),
            table: watch::Sender::new(None),
            view: RefCell::default(),
            targets,
            budget: RefCell::new(RetryBudget::new(rule)),
            engines: engines.clone(),
            coordinator,
            pool,
            suspects: SuspectTracker::default(),
            ends: CrashTracker::default(),
            rollouts: RolloutWatch::default(),
            notices,
            rate_turns: SendPermitIssuer::default(),
            waiting: OpenCount::default(),
            stopping: Cell::new(false),
            give_up_at: watch::Sender::new(None),
            open_requests: OpenCount::default(),
            targets_due: Notify::new(),
            target_lists: watch::Sender::new(()),
            started: Instant::now(),
            metrics,
            gateway_record: watch::Sender::new(Some(record)),
            config,
        });
        let watching = Rc::downgrade(&gateway);
        gateway.coordinator.set_end_watch(Box::new(move |call| {
            if let Some(gateway) = watching.upgrade() {
                gateway.record_stage_crash(call);
            }
        }));
        let watching = Rc::downgrade(&gateway);
        gateway
            .coordinator
            .set_call_watch(Box::new(move |call, end, took| {
                if let Some(gateway) = watching.upgrade() {
                    gateway.count_call(call, end, took);
                }
            }));
        gateway.watch_rates();
        ntex::rt::spawn(keep_house(gateway.clone()));
        ntex::rt::spawn(target_list::keep_targets(gateway.clone()));
        gateway
    }

    /// Returns a receiver of this host's record, for the control hosts.
    pub fn record(&self) -> watch::Receiver<Option<GatewayRecord>> {
        self.gateway_record.subscribe()
    }

    /// Returns the version of the configuration that is in force here; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.table().map_or(0, |table| table.config().version)
    }

    /// Returns the routes that are in force here; nothing before any were.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the routes that are in force here, and waits for the first ones for at most
    /// `patience`.
    pub(crate) async fn table_within(&self, patience: Duration) -> Option<Rc<RouteTable>> {
        let mut changes = self.table.subscribe();
        let first = changes.wait_for(Option::is_some);
        let found = tokio::time::timeout(patience, first).await.ok()?;
        found.ok()?.clone()
    }

    /// Says why new callers should not come here; nothing where they should.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.stopping.get() {
            return Some(NotReady::Stopping);
        }
        if self.table.borrow().is_some() {
            return None;
        }
        let heard = self.view.borrow().is_connected();
        Some(if heard {
            NotReady::NoConfiguration
        } else {
            NotReady::NoControlHost
        })
    }

    /// Returns how many requests are in flight.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Begins a planned stop: callers should go elsewhere, what is in flight goes on until `give_up`,
    /// when it is answered that there is no answer.
    pub fn begin_stop(&self, give_up: Instant) {
        self.stopping.set(true);
        self.stages.begin_stop();
        self.give_up_at.send_replace(Some(give_up));
        self.gateway_record.send_modify(|record| {
            if let Some(record) = record {
                record.stopping = true;
            }
        });
    }

    /// Resolves when what is in flight has to be given up.
    pub(crate) async fn stop_reached(&self) {
        let mut give_up_at = self.give_up_at.subscribe();
        loop {
            let at = *give_up_at.borrow_and_update();
            match at {
                Some(at) => return tokio::time::sleep_until(at.into()).await,
                None if give_up_at.changed().await.is_err() => return,
                None => {}
            }
        }
    }

    /// Takes an update of the directory.
    pub fn take_update(&self, from: SocketAddr, update: DirectoryUpdate) {
        self.merge_suspects(&update.suspects);
        self.notices.rates.apply_published(&update.rates);
        let targets_changed = !update.targets.is_empty();
        let evacuated = update.evacuations.is_some();
        // The control host is told right after this that the update was taken, and the target then that
        // it gets no more work.
        let withdraws = self.withdraws(&update);
        let gateways_changed = update.gateways.is_some();
        self.view.borrow_mut().take(from, update, Instant::now());
        let rolls = self.refresh_rollouts();
        if gateways_changed {
            self.refresh_gateways();
        }
        if evacuated {
            self.note_evacuations();
        }
        if withdraws || evacuated || rolls {
            self.refresh_targets();
        } else if targets_changed {
            self.targets_due.notify_one();
        }
    }

    fn note_evacuations(&self) {
        let view = self.view.borrow();
        let halls: Vec<&str> = view.evacuations().evacuated_halls().collect();
        self.metrics.halls_evacuated.set(halls.len() as i64);
        let detail = format!("halls={}", halls.join(","));
        self.note(EventCode::EvacuationInForce, &detail);
    }

    /// Says whether an update takes a target out that gets work here.
    fn withdraws(&self, update: &DirectoryUpdate) -> bool {
        let targets = self.targets.borrow();
        let mut records = update.targets.iter();
        records.any(|record| {
            record.state > TargetState::Ready && targets.contains(&record.service, &record.id)
        })
    }

    /// Returns the newest configuration that came here.
    pub fn held_document(&self) -> Option<Arc<HeldDocument>> {
        self.view.borrow().document().cloned()
    }

    /// Takes a configuration; a newer one comes into force.
    pub fn take_document(&self, document: HeldDocument) {
        let newer = self.view.borrow_mut().take_document(document);
        if newer {
            self.put_in_force();
        }
    }

    /// Hears that a control host was lost.
    pub fn lose_control(&self, from: SocketAddr) {
        self.view.borrow_mut().lose(from);
        self.refresh_rollouts();
        self.refresh_gateways();
        self.targets_due.notify_one();
    }

    fn put_in_force(&self) {
        let view = self.view.borrow();
        let Some(document) = view.document() else {
            return;
        };
        match (self.config.read_config)(document.body()) {
            Ok(config) => {
                let detail = format!(
                    "version={} routes={} services={} accounts={}",
                    config.version,
                    config.routes.len(),
                    config.services.len(),
                    config.accounts.len()
                );
                let table = Rc::new(RouteTable::new(config));
                self.coordinator.set_services(&table);
                self.targets.borrow_mut().set_services(table.config());
                self.table.send_replace(Some(table));
                self.note(EventCode::RoutingInForce, &detail);
            }
            // Control hosts check before they accept, so this is a newer program's form.
            Err(fault) => self.note(EventCode::RoutingRefused, &fault),
        }
    }

    fn refresh_gateways(&self) {
        let gateways = self.view.borrow().gateways();
        self.stages.set_gateways(gateways);
    }

    /// Returns the way to stage targets.
    pub(crate) fn stage_caller(&self) -> &StageCaller {
        &self.coordinator.caller
    }

    /// Returns how many entry hosts are known, this one among them.
    pub(crate) fn gateway_count(&self) -> usize {
        self.stages.gateway_count()
    }

    pub(crate) fn note(&self, code: EventCode, detail: &str) {
        self.config.recorder.record(code, "", detail);
    }

    pub(crate) fn note_request(&self, code: EventCode, id: &str, peer: &str, detail: String) {
        self.config.recorder.record_request(code, id, peer, detail);
    }
}

/// Between two rounds of closing what has rested too long.
const HOUSE_PERIOD: Duration = Duration::from_millis(250);

async fn keep_house(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(HOUSE_PERIOD).await;
        gateway.pool.close_rested();
        gateway.expire_suspects();
        gateway.ends.expire(Instant::now());
        gateway.expire_notices();
        gateway.coordinator.dispatch_all();
        gateway.stages.probe_cut_halls();
        // Hosts that no control host names any more stay while they are reached.
        if gateway.stages.keeps_unnamed() {
            gateway.refresh_gateways();
        }
        gateway.view.borrow_mut().forget_past(Instant::now());
        gateway
            .metrics
            .connections_opened
            .set(gateway.pool.opened() as i64);
        gateway
            .metrics
            .requests_open
            .set(gateway.open_requests.get() as i64);
        gateway
            .metrics
            .config_version
            .set(gateway.config_version() as i64);
        let hosts = gateway.gateway_count() as i64;
        gateway.metrics.hosts_known.set(hosts);
    }
}

#[cfg(test)]
pub(crate) mod tests;
