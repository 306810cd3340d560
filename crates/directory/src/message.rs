//! Messages between control hosts and the processes that follow them.

use std::net::SocketAddr;

use linnet_quarantine::{PartRecord, SuspectRecord};
use linnet_quorum::{Member, Members, NodeId};
use linnet_rate::RateObservation;
use linnet_rollout::{PhaseCounts, ReporterCounts, RolloutStore};
use serde::{Deserialize, Serialize};

use crate::{DocumentKey, EvacuationStore, PayloadKey};

/// The readiness that a target reports. One incarnation of a target never returns to an earlier
/// state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetState {
    /// It accepts new work.
    Ready,
    /// It finishes its current work and accepts no new work.
    Draining,
    /// It has stopped for good.
    Gone,
}

/// A target, as its newest incarnation registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity of the target. A new incarnation has another identity, or the same one with a later
    /// `born`.
    pub id: String,
    /// When the incarnation started, in Unix milliseconds by its own clock; 0 for targets with a
    /// new identity at each start.
    pub born: u64,
    /// Service that the target belongs to.
    pub service: String,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data hall of the target.
    pub hall: String,
    /// Number of requests that the target processes at a time.
    pub slots: u32,
    /// Readiness that the target reports.
    pub state: TargetState,
    /// Rises with each heartbeat.
    pub sequence: u64,
    /// Whether several heartbeats were missed.
    pub silent: bool,
    /// How much longer the target is cold, in milliseconds; 0 if it is not.
    pub cold_ms: u32,
    /// Version of the target's software; empty if unknown. Sent in an [`UpdateTail`].
    #[serde(skip)]
    pub version: String,
}

/// A process that serves callers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryHostRecord {
    /// Name of its host.
    pub name: String,
    /// Data hall of its host.
    pub hall: String,
    /// Address at which peers connect to it.
    pub peer: SocketAddr,
    /// Whether it is about to stop.
    pub stopping: bool,
    /// What it states for the choice of hosts for roles. Sent behind all other tails.
    #[serde(skip)]
    pub role: RoleStatement,
}

/// What an entry host states for the choice of hosts for the roles of pools. Builds that do not know
/// roles send none, which is read as the default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RoleStatement {
    /// Processor capacity in thousandths of a core; 0 if it is not known.
    pub capacity: u32,
    /// Whether the host delays its work.
    pub delay: HostDelay,
}

/// Whether a host delays whatever it does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostDelay {
    /// The host does not tell.
    #[default]
    Unknown,
    /// It does its work in time.
    Timely,
    /// Its work has waited for its processor or its links for some time.
    Delayed,
}

/// The first message of a subscriber.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubscriberHello {
    /// Whether the subscriber is a control host, which needs every heartbeat.
    pub is_control: bool,
}

/// A report of a subscriber: sent periodically and after each applied update.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubscriberReport {
    /// Record of the subscriber if it serves callers.
    pub entry_host: Option<EntryHostRecord>,
    /// Revision of the last update that was applied.
    pub acknowledged: u64,
    /// Version of the configuration that it has; 0 for none.
    pub document_version: u64,
    /// Which part of a configuration this control host should send.
    pub document_request: Option<DocumentRequest>,
    /// Whether this control host should send the lists of targets and entry hosts.
    pub wants_lists: bool,
    /// Suspected requests whose records changed, up to a maximum per message.
    pub suspects: Vec<SuspectRecord>,
    /// Distinguishes incarnations of the subscriber. Sent in a [`ReportTail`].
    #[serde(skip)]
    pub incarnation: u64,
    /// Counts for roll-outs. Sent in a [`ReportTail`].
    #[serde(skip)]
    pub phase_counts: Vec<PhaseCounts>,
    /// Changed rate limits that targets announced, up to a maximum per message. Sent after the
    /// [`ReportTail`].
    #[serde(skip)]
    pub rate_limits: Vec<RateObservation>,
    /// Suspected parts of prompts whose records changed, up to a maximum per message. Sent after the
    /// rate limits.
    #[serde(skip)]
    pub parts: Vec<PartRecord>,
}

/// A subscriber's request for a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRequest {
    /// The requested configuration.
    pub key: DocumentKey,
    /// The configuration that the subscriber has; changes against it are sufficient.
    pub base: Option<DocumentKey>,
    /// The payload of which the subscriber has the first bytes.
    pub partial: Option<PayloadKey>,
    /// Number of the request. It changes when the subscriber switches to another source.
    pub attempt: u32,
    /// Bytes of that payload that the subscriber has.
    pub offset: u32,
    /// End of the range that may be sent, in bytes.
    pub limit: u32,
}

/// A part of a payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// The payload.
    pub payload: PayloadKey,
    /// Position of the bytes in the payload.
    pub offset: u32,
    /// Bytes of the part.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// What a control host pushes to a subscriber. An empty update is a keep-alive.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// Revision of the registry that the subscriber has after this update.
    pub revision: u64,
    /// The configuration that this control host has, if it changed.
    pub offer: Option<DocumentKey>,
    /// The next part of the configuration that the subscriber requested.
    pub part: Option<DocumentPart>,
    /// The evacuations of halls, if they changed. Always complete, since they take only a few bytes
    /// per hall.
    pub evacuations: Option<EvacuationStore>,
    /// Whether the subscriber now has all targets and entry hosts, as far as a control host can
    /// know: nothing is waiting to be sent, and the control host has run long enough to receive
    /// heartbeats from all.
    pub lists_complete: bool,
    /// Targets that changed.
    pub targets: Vec<TargetRecord>,
    /// All known entry hosts, if they changed.
    pub entry_hosts: Option<Vec<EntryHostRecord>>,
    /// Peer addresses of all members of the cluster, if they changed.
    pub control_addresses: Option<Vec<SocketAddr>>,
    /// Heartbeats received since the last update; sent to control hosts only.
    pub heartbeats: Vec<ForwardedHeartbeat>,
    /// Suspected requests whose records changed, up to a maximum per message.
    pub suspects: Vec<SuspectRecord>,
    /// The roll-outs of services, if they changed. Sent in an [`UpdateTail`].
    #[serde(skip)]
    pub rollouts: Option<RolloutStore>,
    /// Counts for roll-outs that entry hosts reported since the last update; sent to control hosts
    /// only, in an [`UpdateTail`].
    #[serde(skip)]
    pub reporter_counts: Vec<ReporterCounts>,
    /// The entry hosts connected to this control host, if they changed; sent to control hosts only,
    /// in an [`UpdateTail`].
    #[serde(skip)]
    pub local_entry_hosts: Option<LocalEntryHosts>,
    /// Whether this control host is not in contact with a leader, so that the configuration and
    /// orders that it sends may be outdated. Sent in an [`UpdateTail`].
    #[serde(skip)]
    pub leaderless: bool,
    /// Changed rate limits that targets announced, up to a maximum per message. Sent after the
    /// [`UpdateTail`].
    #[serde(skip)]
    pub rate_limits: Vec<RateObservation>,
    /// Suspected parts of prompts whose records changed, up to a maximum per message. Sent after the
    /// rate limits.
    #[serde(skip)]
    pub parts: Vec<PartRecord>,
}

/// The bytes that follow an update since message version 3.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpdateTail {
    /// The version of each target of the update, in the same order.
    versions: Vec<String>,
    rollouts: Option<RolloutStore>,
    reporter_counts: Vec<ReporterCounts>,
    local_entry_hosts: Option<LocalEntryHosts>,
    leaderless: bool,
}

/// The bytes that follow an update behind the suspected parts: what the entry hosts in its lists state
/// for roles, in the same order. A list is empty if no host in it states anything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoleTail {
    all: Vec<RoleStatement>,
    connected: Vec<RoleStatement>,
    disconnected: Vec<RoleStatement>,
}

/// The entry hosts that are or were connected to one control host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalEntryHosts {
    /// Entry hosts that are connected.
    pub connected: Vec<EntryHostRecord>,
    /// Entry hosts that disconnected recently without announcing a stop. They may be cut off from
    /// the control hosts only.
    pub disconnected: Vec<EntryHostRecord>,
}

/// The bytes that follow a report since message version 3.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportTail {
    /// Distinguishes incarnations of a subscriber.
    pub(crate) incarnation: u64,
    pub(crate) phase_counts: Vec<PhaseCounts>,
}

impl DirectoryUpdate {
    /// Returns the tail to send after the update; `None` if it would be empty.
    pub(crate) fn tail(&self) -> Option<UpdateTail> {
        let tail = UpdateTail {
            versions: self.targets.iter().map(|one| one.version.clone()).collect(),
            rollouts: self.rollouts.clone(),
            reporter_counts: self.reporter_counts.clone(),
            local_entry_hosts: self.local_entry_hosts.clone(),
            leaderless: self.leaderless,
        };
        (tail != UpdateTail::default()).then_some(tail)
    }

    /// Returns what the entry hosts in the update state for roles; `None` if none does.
    pub(crate) fn role_tail(&self) -> Option<RoleTail> {
        let local = self.local_entry_hosts.as_ref();
        let tail = RoleTail {
            all: role_statements(self.entry_hosts.as_deref()),
            connected: role_statements(local.map(|local| local.connected.as_slice())),
            disconnected: role_statements(local.map(|local| local.disconnected.as_slice())),
        };
        (tail != RoleTail::default()).then_some(tail)
    }

    /// Adds what the entry hosts in the update state for roles.
    pub(crate) fn with_roles(mut self, tail: RoleTail) -> Self {
        if let Some(all) = &mut self.entry_hosts {
            set_roles(all, tail.all);
        }
        if let Some(local) = &mut self.local_entry_hosts {
            set_roles(&mut local.connected, tail.connected);
            set_roles(&mut local.disconnected, tail.disconnected);
        }
        self
    }

    /// Adds the content of the tails that followed the update.
    pub(crate) fn with_tails(
        mut self,
        tail: UpdateTail,
        rate_limits: Vec<RateObservation>,
        parts: Vec<PartRecord>,
    ) -> Self {
        self.rate_limits = rate_limits;
        self.parts = parts;
        for (target, version) in self.targets.iter_mut().zip(tail.versions) {
            target.version = version;
        }
        self.rollouts = tail.rollouts;
        self.reporter_counts = tail.reporter_counts;
        self.local_entry_hosts = tail.local_entry_hosts;
        self.leaderless = tail.leaderless;
        self
    }
}

fn role_statements(hosts: Option<&[EntryHostRecord]>) -> Vec<RoleStatement> {
    let hosts = hosts.unwrap_or_default();
    let is_stated = |host: &EntryHostRecord| host.role != RoleStatement::default();
    match hosts.iter().any(is_stated) {
        true => hosts.iter().map(|host| host.role).collect(),
        false => Vec::new(),
    }
}

fn set_roles(hosts: &mut [EntryHostRecord], roles: Vec<RoleStatement>) {
    for (host, role) in hosts.iter_mut().zip(roles) {
        host.role = role;
    }
}

/// A heartbeat that a control host forwards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardedHeartbeat {
    /// Identity of the target.
    pub id: String,
    /// Incarnation of the target; see [`TargetRecord::born`].
    pub born: u64,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Time since the heartbeat was received, in milliseconds.
    pub age_ms: u64,
}

/// A request of one process to a control host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum DirectoryCall {
    /// Returns the identity and the cluster of the control host.
    Identify,
    /// Makes the control host a founder of a cluster.
    Form { cluster: u64, founders: Members },
    /// Adds a replica to the members.
    Join(Member),
    /// Commits a command and returns the reply of the state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// The reply of a control host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum DirectoryReply {
    /// The reply to `Identify`.
    Identity {
        member: Member,
        cluster: Option<u64>,
        members: Members,
        leader: Option<NodeId>,
        /// Whether the log contains only the founding entry.
        founding_only: bool,
        /// Index of the last log entry.
        last: u64,
    },
    /// The call succeeded.
    Done,
    /// The reply to `Command`.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// This control host does not lead; carries the leader's address if it is known.
    NotLeader(Option<SocketAddr>),
    /// The call was refused, for the given reason.
    Refused(String),
}

#[cfg(test)]
pub(crate) mod tests;
