//! What the tasks of one entry host share.

mod send_permits;
mod target_health;
mod target_list;

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

use crate::Protocol;
use crate::budget::{BudgetRule, RetryBudget};
use crate::coordinator::Coordinator;
use crate::engine::EnginePlacer;
use crate::metrics::GatewayMetrics;
use crate::notice_book::NoticeBook;
use crate::open_request::OpenCount;
use crate::rate_turn::RateTurns;
use crate::rollouts::RolloutWatch;
use crate::stage_call::StageCaller;
use crate::stage_client::StageClient;
use crate::suspects::SuspectWatch;
use crate::target::TargetBook;
use crate::target_end::TargetEnds;
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
    pub protocol: Protocol,
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
    pub hall_regions: BTreeMap<String, String>,
    /// Where other entry hosts reach it.
    pub peer_address: SocketAddr,
    /// Repeated sendings that are allowed in any window, as a part of the requests.
    pub retry_ratio: f64,
    /// Repeated sendings that are allowed beyond that, over all hosts.
    pub retry_slack: f64,
    /// The window.
    pub retry_window: Duration,
    /// How long a request waits, on a host that has just started, for the first configuration and the
    /// first targets.
    pub max_startup_wait: Duration,
    /// Bytes of calls to stage targets that this host sends in a second before other hosts send them
    /// in its place.
    pub shared_bytes_per_s: f64,
}

/// What the tasks of one entry host share; all on one thread.
pub struct Gateway {
    pub(crate) config: GatewayConfig,
    route_table: watch::Sender<Option<Rc<RouteTable>>>,
    pub(crate) directory: RefCell<DirectoryView>,
    pub(crate) targets: Rc<RefCell<TargetBook>>,
    pub(crate) connections: UpstreamPool,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) engine_placer: Rc<RefCell<EnginePlacer>>,
    pub(crate) wait_model: RefCell<WaitModel>,
    pub(crate) stage_client: StageClient,
    pub(crate) coordinator: Rc<Coordinator>,
    pub(crate) suspects: SuspectWatch,
    pub(crate) crash_tracker: TargetEnds,
    pub(crate) rollouts: RolloutWatch,
    /// What targets have asked of this host.
    pub(crate) notices: Rc<NoticeBook>,
    /// The targets for which this host gives leave to send.
    send_permit_issuer: RateTurns,
    /// Requests that wait until a target takes requests again.
    pub(crate) waiting_requests: OpenCount,
    pub(crate) stopping: Cell<bool>,
    /// When requests that are still in flight are given up, since the process is about to end.
    stop_deadline: watch::Sender<Option<Instant>>,
    pub(crate) open_requests: OpenCount,
    /// Wakes the task that works the list of targets out anew.
    targets_changed: Notify,
    /// Wakes requests that wait for the first targets.
    target_list_updates: watch::Sender<()>,
    started_at: Instant,
    /// Metrics of this host.
    pub metrics: GatewayMetrics,
    entry_host_record: watch::Sender<Option<GatewayRecord>>,
}

impl Gateway {
    /// Creates a gateway that knows nothing yet, and starts its tasks.
    pub fn new(config: GatewayConfig) -> Rc<Self> {
        let record = GatewayRecord {
            name: config.name.clone(),
            hall: config.hall.clone(),
            peer: config.peer_address,
            stopping: false,
        };
        let pool = UpstreamPool::default();
        let metrics = GatewayMetrics::new();
        let targets: Rc<RefCell<TargetBook>> = Rc::default();
        let notices = Rc::new(NoticeBook::new(config.recorder.clone(), targets.clone()));
        let caller = StageCaller::new(config.protocol.clone(), pool.clone(), notices.clone());
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
            stage_client: StageClient::new(
                config.identity.clone(),
                config.name.clone(),
                config.hall.clone(),
                coordinator.clone(),
                engines.clone(),
            ),
            wait_model: RefCell::default(),
            route_table: watch::Sender::new(None),
            directory: RefCell::default(),
            targets,
            retry_budget: RefCell::new(RetryBudget::new(rule)),
            engine_placer: engines.clone(),
            coordinator,
            connections: pool,
            suspects: SuspectWatch::default(),
            crash_tracker: TargetEnds::default(),
            rollouts: RolloutWatch::default(),
            notices,
            send_permit_issuer: RateTurns::default(),
            waiting_requests: OpenCount::default(),
            stopping: Cell::new(false),
            stop_deadline: watch::Sender::new(None),
            open_requests: OpenCount::default(),
            targets_changed: Notify::new(),
            target_list_updates: watch::Sender::new(()),
            started_at: Instant::now(),
            metrics,
            entry_host_record: watch::Sender::new(Some(record)),
            config,
        });
        let weak = Rc::downgrade(&gateway);
        gateway.coordinator.set_end_watch(Box::new(move |call| {
            if let Some(gateway) = weak.upgrade() {
                gateway.note_call_end(call);
            }
        }));
        let weak = Rc::downgrade(&gateway);
        gateway
            .coordinator
            .set_call_watch(Box::new(move |call, end, took| {
                if let Some(gateway) = weak.upgrade() {
                    gateway.count_call(call, end, took);
                }
            }));
        gateway.install_permit_requester();
        ntex::rt::spawn(run_maintenance(gateway.clone()));
        ntex::rt::spawn(target_list::run_target_refresh(gateway.clone()));
        gateway
    }

    /// Returns a receiver of this host's record, for the control hosts.
    pub fn subscribe_record(&self) -> watch::Receiver<Option<GatewayRecord>> {
        self.entry_host_record.subscribe()
    }

    /// Returns the version of the configuration that is in force here; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.route_table().map_or(0, |table| table.config().version)
    }

    /// Returns the routes that are in force here; nothing before any were.
    pub(crate) fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    /// Returns the routes that are in force here, and waits for the first ones for at most
    /// `patience`.
    pub(crate) async fn wait_for_route_table(&self, max_wait: Duration) -> Option<Rc<RouteTable>> {
        let mut changes = self.route_table.subscribe();
        let first = changes.wait_for(Option::is_some);
        let found = tokio::time::timeout(max_wait, first).await.ok()?;
        found.ok()?.clone()
    }

    /// Says why new callers should not come here; nothing where they should.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.stopping.get() {
            return Some(NotReady::Stopping);
        }
        if self.route_table.borrow().is_some() {
            return None;
        }
        let heard = self.directory.borrow().is_connected();
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
    pub fn begin_stop(&self, deadline: Instant) {
        self.stopping.set(true);
        self.stage_client.begin_stop();
        self.stop_deadline.send_replace(Some(deadline));
        self.entry_host_record.send_modify(|record| {
            if let Some(record) = record {
                record.stopping = true;
            }
        });
    }

    /// Resolves when what is in flight has to be given up.
    pub(crate) async fn wait_for_stop_deadline(&self) {
        let mut stop_deadline = self.stop_deadline.subscribe();
        loop {
            let at = *stop_deadline.borrow_and_update();
            match at {
                Some(at) => return tokio::time::sleep_until(at.into()).await,
                None if stop_deadline.changed().await.is_err() => return,
                None => {}
            }
        }
    }

    /// Takes an update of the directory.
    pub fn apply_update(&self, from: SocketAddr, update: DirectoryUpdate) {
        self.take_suspects(&update.suspects);
        self.notices.rates.take_told(&update.rates);
        let targets_updated = !update.targets.is_empty();
        let evacuated = update.evacuations.is_some();
        // The control host is told right after this that the update was taken, and the target then that
        // it gets no more work.
        let withdraws_active_target = self.withdraws_active_target(&update);
        let entry_hosts_changed = update.gateways.is_some();
        self.directory
            .borrow_mut()
            .take(from, update, Instant::now());
        let rollouts_changed = self.refresh_rollouts();
        if entry_hosts_changed {
            self.refresh_entry_hosts();
        }
        if evacuated {
            self.record_evacuations();
        }
        if withdraws_active_target || evacuated || rollouts_changed {
            self.refresh_targets();
        } else if targets_updated {
            self.targets_changed.notify_one();
        }
    }

    fn record_evacuations(&self) {
        let view = self.directory.borrow();
        let halls: Vec<&str> = view.evacuations().evacuated_halls().collect();
        self.metrics.halls_evacuated.set(halls.len() as i64);
        let detail = format!("halls={}", halls.join(","));
        self.record_event(EventCode::EvacuationInForce, &detail);
    }

    /// Says whether an update takes a target out that gets work here.
    fn withdraws_active_target(&self, update: &DirectoryUpdate) -> bool {
        let targets = self.targets.borrow();
        let mut records = update.targets.iter();
        records.any(|record| {
            record.state > TargetState::Ready && targets.has(&record.service, &record.id)
        })
    }

    /// Returns the newest configuration that came here.
    pub fn current_document(&self) -> Option<Arc<HeldDocument>> {
        self.directory.borrow().document().cloned()
    }

    /// Takes a configuration; a newer one comes into force.
    pub fn apply_document(&self, document: HeldDocument) {
        let newer = self.directory.borrow_mut().take_document(document);
        if newer {
            self.activate_configuration();
        }
    }

    /// Hears that a control host was lost.
    pub fn mark_control_lost(&self, from: SocketAddr) {
        self.directory.borrow_mut().lose(from);
        self.refresh_rollouts();
        self.refresh_entry_hosts();
        self.targets_changed.notify_one();
    }

    fn activate_configuration(&self) {
        let view = self.directory.borrow();
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
                self.route_table.send_replace(Some(table));
                self.record_event(EventCode::RoutingInForce, &detail);
            }
            // Control hosts check before they accept, so this is a newer program's form.
            Err(fault) => self.record_event(EventCode::RoutingRefused, &fault),
        }
    }

    fn refresh_entry_hosts(&self) {
        let gateways = self.directory.borrow().gateways();
        self.stage_client.set_gateways(gateways);
    }

    /// Returns the way to stage targets.
    pub(crate) fn stage_caller(&self) -> &StageCaller {
        &self.coordinator.caller
    }

    /// Returns how many entry hosts are known, this one among them.
    pub(crate) fn entry_host_count(&self) -> usize {
        self.stage_client.gateway_count()
    }

    pub(crate) fn record_event(&self, code: EventCode, detail: &str) {
        self.config.recorder.record(code, "", detail);
    }

    pub(crate) fn record_request_event(
        &self,
        code: EventCode,
        id: &str,
        peer: &str,
        detail: String,
    ) {
        self.config.recorder.record_request(code, id, peer, detail);
    }
}

/// Between two rounds of closing what has rested too long.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

async fn run_maintenance(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        gateway.connections.close_expired();
        gateway.expire_suspects();
        gateway.crash_tracker.expire(Instant::now());
        gateway.expire_notices();
        gateway.coordinator.dispatch_all();
        gateway.stage_client.probe_cut_halls();
        // Hosts that no control host names any more stay while they are reached.
        if gateway.stage_client.keeps_unnamed() {
            gateway.refresh_entry_hosts();
        }
        gateway.directory.borrow_mut().forget_past(Instant::now());
        gateway
            .metrics
            .connections_opened
            .set(gateway.connections.opened_count() as i64);
        gateway
            .metrics
            .requests_open
            .set(gateway.open_requests.get() as i64);
        gateway
            .metrics
            .config_version
            .set(gateway.config_version() as i64);
        let hosts = gateway.entry_host_count() as i64;
        gateway.metrics.hosts_known.set(hosts);
    }
}

#[cfg(test)]
pub(crate) mod tests;
