//! The state that the tasks of one entry host share.

mod account_share_lines;
mod maintenance;
mod queue_returns;
mod send_permits;
mod target_health;
mod target_list;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;
use linnet_directory::{
    DirectoryUpdate, DirectoryView, EntryHostRecord, HostDelay, RoleStatement, StoredDocument,
    TargetState,
};
use linnet_paths::PeerHost;
use linnet_retries::BudgetRule;
use linnet_routing::{RouteTable, RoutingConfig};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::PeerIdentity;
use tokio::sync::{Notify, watch};

use crate::Protocol;
use crate::config_age::ConfigAge;
use crate::coordinator::Coordinator;
use crate::engine::EnginePlacer;
use crate::host_load::{HostLoad, run_delay_sampling};
use crate::metrics::GatewayMetrics;
use crate::notice_store::NoticeStore;
use crate::open_request::OpenRequestCount;
use crate::overload::{OverloadControl, OverloadPolicy, report_account_use};
use crate::part_suspects::PartTracker;
use crate::planned_stop::StopTime;
use crate::retry_budget::RetryBudget;
use crate::rollouts::RolloutTracker;
use crate::run_times::RunTimes;
use crate::send_permit_issuer::SendPermitIssuer;
use crate::stage_call::StageTargetClient;
use crate::stage_client::StageClient;
use crate::stream_origins::StreamOrigins;
use crate::suspects::SuspectTracker;
use crate::target::TargetStore;
use crate::target_crash::CrashTracker;
use crate::target_links::{TargetLinks, TunnelContext};
use crate::upstream::UpstreamPool;
use crate::wait_model::WaitModel;

/// The reason why a host is not ready for new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotReady {
    /// It is about to stop.
    #[display("stopping")]
    Stopping,
    /// It has no configuration and is connected to no control host.
    #[display("no control host is heard")]
    NoControlHost,
    /// It is connected to a control host and has no configuration yet.
    #[display("no configuration yet")]
    NoConfiguration,
}

/// Parses and validates the configuration in a document body.
pub type ConfigReader = Box<dyn Fn(&[u8]) -> Result<RoutingConfig, String>>;

/// What a gateway needs to start.
pub struct GatewayConfig {
    /// The protocol towards callers and targets.
    pub protocol: Protocol,
    /// Parses the configuration.
    pub read_config: ConfigReader,
    /// Name, keys and clock used towards peers.
    pub identity: PeerIdentity,
    /// Receives the events.
    pub recorder: Arc<EventRecorder>,
    /// Name of this host.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Region of each known data hall.
    pub hall_regions: BTreeMap<String, String>,
    /// Address for connections of other entry hosts.
    pub peer_address: SocketAddr,
    /// Retries that are allowed in any window, as a share of the requests.
    pub retry_ratio: f64,
    /// Retries that are allowed in any window beyond that share, over all hosts.
    pub retry_slack: f64,
    /// Length of the window.
    pub retry_window: Duration,
    /// Interval between heartbeats of a target.
    pub heartbeat_interval: Duration,
    /// Maximum time that a request waits, shortly after the start of the host, for the first
    /// configuration and the first targets.
    pub max_startup_wait: Duration,
    /// Bytes per second of calls to stage targets that this host sends itself; beyond that it
    /// delegates calls to other entry hosts.
    pub shared_bytes_per_s: f64,
    /// Processor time of this host in thousandths of a core; 0 if it is not known.
    pub processor_capacity: u32,
    /// The address to connect to in place of the registered one of a target.
    pub target_address_map: BTreeMap<IpAddr, IpAddr>,
    /// The enabled policies for overloaded stage pools.
    pub overload: OverloadPolicy,
}

/// The state that the tasks of one entry host share. All of them run on one thread.
pub struct Gateway {
    pub(crate) config: GatewayConfig,
    route_table: watch::Sender<Option<Rc<RouteTable>>>,
    pub(crate) config_age: ConfigAge,
    pub(crate) directory: RefCell<DirectoryView>,
    pub(crate) targets: Rc<RefCell<TargetStore>>,
    pub(crate) upstream: UpstreamPool,
    pub(crate) retry_budget: Rc<RetryBudget>,
    pub(crate) stream_origins: StreamOrigins,
    pub(crate) engine_placer: Rc<RefCell<EnginePlacer>>,
    pub(crate) wait_model: RefCell<WaitModel>,
    pub(crate) overload: OverloadControl,
    /// The delay that this host itself adds to requests.
    pub(crate) host_load: Rc<HostLoad>,
    pub(crate) stage_client: StageClient,
    pub(crate) coordinator: Rc<Coordinator>,
    pub(crate) suspects: SuspectTracker,
    pub(crate) parts: PartTracker,
    pub(crate) crash_tracker: CrashTracker,
    pub(crate) rollouts: RolloutTracker,
    /// Back-offs, leave notices and rate limits that targets sent to this host.
    pub(crate) notices: Rc<NoticeStore>,
    /// Issues send permits for the targets that this host is responsible for.
    send_permit_issuer: SendPermitIssuer,
    /// Counts requests that wait until a target accepts requests again.
    pub(crate) waiting_requests: OpenRequestCount,
    /// How long requests take.
    pub(crate) run_times: RefCell<RunTimes>,
    /// Set once the process is about to stop.
    stop_time: watch::Sender<Option<StopTime>>,
    pub(crate) open_requests: OpenRequestCount,
    /// Wakes the task that recomputes the list of targets.
    targets_changed: Notify,
    /// Wakes requests that wait for the first targets.
    pub(crate) target_list_updates: watch::Sender<()>,
    started_at: Instant,
    /// Metrics of this host.
    pub metrics: GatewayMetrics,
    entry_host_record: watch::Sender<Option<EntryHostRecord>>,
}

impl Gateway {
    /// Creates a gateway without configuration or targets, and starts its tasks.
    pub fn new(config: GatewayConfig) -> Rc<Self> {
        let record = EntryHostRecord {
            name: config.name.clone(),
            hall: config.hall.clone(),
            peer: config.peer_address,
            stopping: false,
            role: RoleStatement {
                capacity: config.processor_capacity,
                delay: HostDelay::Timely,
            },
        };
        let metrics = GatewayMetrics::new();
        let links = TargetLinks::new(TunnelContext {
            identity: config.identity.clone(),
            recorder: config.recorder.clone(),
            metrics: metrics.clone(),
        });
        let host_load = Rc::new(HostLoad::default());
        let links = links
            .with_address_map(config.target_address_map.clone())
            .with_host_load(host_load.clone());
        let id_header = config.protocol.headers.request_id.clone();
        let pool = UpstreamPool::new(links, id_header);
        let targets: Rc<RefCell<TargetStore>> = Rc::default();
        let notices = NoticeStore::new(config.recorder.clone(), targets.clone());
        let notices = notices.with_foreign_counters(metrics.foreign_responses.clone());
        let notices = Rc::new(notices);
        let caller = StageTargetClient::new(config.protocol.clone(), pool.clone(), notices.clone());
        let coordinator = Rc::new(Coordinator::new(
            caller,
            config.recorder.clone(),
            config.shared_bytes_per_s,
            config.overload.for_accounts(0),
        ));
        let rule = BudgetRule {
            ratio: config.retry_ratio,
            slack: config.retry_slack,
            window: config.retry_window,
        };
        let budget = RetryBudget::new(&config.name, rule, config.recorder.clone(), metrics.clone());
        let engines = Rc::new(RefCell::new(EnginePlacer::default()));
        let gateway = Rc::new(Self {
            stage_client: StageClient::new(
                config.identity.clone(),
                record.clone(),
                coordinator.clone(),
                engines.clone(),
                metrics.clone(),
            ),
            wait_model: RefCell::default(),
            overload: OverloadControl::new(config.overload),
            host_load,
            route_table: watch::Sender::new(None),
            config_age: ConfigAge::default(),
            directory: RefCell::default(),
            targets,
            retry_budget: Rc::new(budget),
            stream_origins: StreamOrigins::default(),
            engine_placer: engines.clone(),
            coordinator,
            upstream: pool,
            suspects: SuspectTracker::default(),
            parts: PartTracker::default(),
            crash_tracker: CrashTracker::default(),
            rollouts: RolloutTracker::default(),
            notices,
            send_permit_issuer: SendPermitIssuer::default(),
            waiting_requests: OpenRequestCount::default(),
            run_times: RefCell::default(),
            stop_time: watch::Sender::new(None),
            open_requests: OpenRequestCount::default(),
            targets_changed: Notify::new(),
            target_list_updates: watch::Sender::new(()),
            started_at: Instant::now(),
            metrics,
            entry_host_record: watch::Sender::new(Some(record)),
            config,
        });
        let weak = Rc::downgrade(&gateway);
        gateway
            .coordinator
            .set_target_crash_observer(Box::new(move |call| {
                if let Some(gateway) = weak.upgrade() {
                    gateway.record_stage_crash(call);
                }
            }));
        let weak = Rc::downgrade(&gateway);
        gateway
            .coordinator
            .set_call_observer(Box::new(move |call, end, took| {
                if let Some(gateway) = weak.upgrade() {
                    gateway.count_call(call, end, took);
                }
            }));
        let policy = gateway.overload.policy();
        gateway.stage_client.set_overload(policy);
        gateway.install_permit_requester();
        if gateway.config.overload.fair_shares {
            ntex::rt::spawn(report_account_use(Rc::downgrade(&gateway)));
        }
        if gateway.config.overload.queue_returns {
            ntex::rt::spawn(queue_returns::run_queue_returns(Rc::downgrade(&gateway)));
        }
        ntex::rt::spawn(run_delay_sampling(gateway.clone()));
        ntex::rt::spawn(maintenance::run_maintenance(gateway.clone()));
        ntex::rt::spawn(maintenance::run_path_probes(gateway.upstream.clone()));
        ntex::rt::spawn(target_list::run_target_refresh(gateway.clone()));
        gateway
    }

    /// Returns a receiver of this host's record, which is reported to the control hosts.
    pub fn subscribe_record(&self) -> watch::Receiver<Option<EntryHostRecord>> {
        self.entry_host_record.subscribe()
    }

    /// Returns the version of the active configuration; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.route_table().map_or(0, |table| table.config().version)
    }

    /// Returns the active route table; `None` before the first configuration.
    pub(crate) fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    /// Returns the active route table, waiting for the first one for at most `max_wait`.
    pub(crate) async fn wait_for_route_table(&self, max_wait: Duration) -> Option<Rc<RouteTable>> {
        let mut changes = self.route_table.subscribe();
        let first = changes.wait_for(Option::is_some);
        let found = tokio::time::timeout(max_wait, first).await.ok()?;
        found.ok()?.clone()
    }

    /// Returns why new callers should not use this host; `None` if it is ready.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.is_stopping() {
            return Some(NotReady::Stopping);
        }
        if self.route_table.borrow().is_some() {
            return None;
        }
        let is_connected = self.directory.borrow().is_connected();
        Some(if is_connected {
            NotReady::NoConfiguration
        } else {
            NotReady::NoControlHost
        })
    }

    /// Returns the number of requests in flight.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Returns the number of connections to targets that this host has open for other entry hosts.
    pub fn served_tunnels(&self) -> usize {
        self.upstream.links().served_count()
    }

    /// Begins a planned stop. New callers should use other hosts; requests in flight continue until
    /// `deadline` and are then answered with a refusal.
    pub fn begin_stop(&self, deadline: Instant) {
        self.stage_client.begin_stop();
        let began = Instant::now();
        self.stop_time
            .send_replace(Some(StopTime { began, deadline }));
        self.entry_host_record.send_modify(|record| {
            if let Some(record) = record {
                record.stopping = true;
            }
        });
    }

    /// Returns the times of the planned stop; `None` if the process is not about to stop.
    pub(crate) fn stop_time(&self) -> Option<StopTime> {
        *self.stop_time.borrow()
    }

    /// Returns whether the process is about to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_time().is_some()
    }

    /// Waits until a planned stop begins.
    pub(crate) async fn wait_for_stop(&self) -> StopTime {
        let mut stop_time = self.stop_time.subscribe();
        loop {
            let stop = *stop_time.borrow_and_update();
            match stop {
                Some(stop) => return stop,
                None if stop_time.changed().await.is_err() => pending().await,
                None => {}
            }
        }
    }

    /// Resolves when requests in flight have to be aborted.
    pub(crate) async fn wait_for_stop_deadline(&self) {
        let stop = self.wait_for_stop().await;
        tokio::time::sleep_until(stop.deadline.into()).await;
    }

    /// States to the other hosts whether this one delays its work, and ranks it for roles accordingly.
    pub(crate) fn set_delay(&self, delay: HostDelay) {
        self.stage_client.set_delay(delay);
        self.entry_host_record.send_modify(|record| {
            if let Some(record) = record {
                record.role.delay = delay;
            }
        });
    }

    /// Applies an update of the directory.
    pub fn apply_update(&self, from: SocketAddr, update: DirectoryUpdate) {
        self.merge_suspects(&update.suspects);
        self.merge_parts(&update.parts);
        self.notices.rates.apply_published(&update.rate_limits);
        let targets_updated = !update.targets.is_empty();
        let evacuated = update.evacuations.is_some();
        // After this returns, the control host receives the acknowledgement of the update and in
        // turn notifies the target that it gets no more work. A withdrawn target must therefore be
        // out of the list by then.
        let withdraws_active_target = self.withdraws_active_target(&update);
        let entry_hosts_changed = update.entry_hosts.is_some();
        if !update.leaderless {
            self.retry_budget.record_leader_contact();
        }
        let now = Instant::now();
        self.config_age.record_heard(now);
        let origins = &self.stream_origins;
        origins.record_listed(&update.targets);
        let mut directory = self.directory.borrow_mut();
        let has_gap = directory.apply_update(from, update, now);
        drop(directory);
        origins.record_update(has_gap);
        self.update_isolation();
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
        let revision = view.evacuations().total_revision();
        self.metrics.halls_evacuated.set(halls.len() as i64);
        self.metrics.evacuation_revision.set(revision as i64);
        let detail = format!("halls={} revision={revision}", halls.join(","));
        self.record_event(EventCode::EvacuationInForce, &detail);
    }

    /// Returns whether an update withdraws a target that this host sends work to.
    fn withdraws_active_target(&self, update: &DirectoryUpdate) -> bool {
        let targets = self.targets.borrow();
        let mut records = update.targets.iter();
        records.any(|record| {
            record.state > TargetState::Ready && targets.contains(&record.service, &record.id)
        })
    }

    /// Returns the newest configuration document that this host has received.
    pub fn current_document(&self) -> Option<Arc<StoredDocument>> {
        self.directory.borrow().document().cloned()
    }

    /// Stores a configuration document and activates it if it is newer than the current one.
    pub fn apply_document(&self, document: StoredDocument) {
        let newer = self.directory.borrow_mut().set_newer_document(document);
        if newer {
            self.activate_configuration();
        }
    }

    /// Records that the connection to a control host was lost.
    pub fn mark_control_lost(&self, from: SocketAddr) {
        self.directory.borrow_mut().mark_control_lost(from);
        self.update_isolation();
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
                let policy = self.overload.set_accounts(config.accounts.len());
                self.coordinator.set_overload(policy);
                self.stage_client.set_overload(policy);
                let table = Rc::new(RouteTable::new(config));
                self.coordinator.set_services(&table);
                self.targets.borrow_mut().set_services(table.config());
                self.route_table.send_replace(Some(table));
                self.config_age.record_applied(Instant::now());
                self.record_event(EventCode::RoutingInForce, &detail);
            }
            // Control hosts validate a configuration before they accept it, so this one has the
            // format of a newer program version.
            Err(fault) => self.record_event(EventCode::RoutingRefused, &fault),
        }
    }

    fn refresh_entry_hosts(&self) {
        let gateways = self.directory.borrow().entry_hosts();
        let peers = gateways.iter();
        let peers = peers.filter(|host| host.name != self.config.name && !host.stopping);
        self.upstream.links().set_peers(peers.map(|host| PeerHost {
            name: host.name.clone(),
            address: host.peer,
        }));
        self.stage_client.set_entry_hosts(gateways);
        self.retry_budget
            .set_hosts(&self.stage_client.entry_host_names());
    }

    /// Returns the client that calls stage targets.
    pub(crate) fn stage_caller(&self) -> &StageTargetClient {
        &self.coordinator.caller
    }

    /// Returns the number of known entry hosts, including this one.
    pub(crate) fn entry_host_count(&self) -> usize {
        self.stage_client.entry_host_count()
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

#[cfg(test)]
pub(crate) mod tests;
