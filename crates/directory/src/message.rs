//! What control hosts and the processes that follow them tell each other.

use std::net::SocketAddr;

use linnet_quarantine::SuspectRecord;
use linnet_quorum::{Member, Members, NodeId};
use linnet_rate::RateWord;
use linnet_rollout::{PhaseCounts, ReporterCounts, RolloutStore};
use serde::{Deserialize, Serialize};

use crate::{DocumentKey, EvacuationBook, PayloadKey};

/// What a target says of its readiness. A later state never gives way to an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and takes no new work.
    Draining,
    /// It has left for good.
    Gone,
}

/// A target, as its newest start registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Its identity. Another start may have another, or the same with a later `born`.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock; 0 where each start has an identity of its own.
    pub born: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// What it says of its readiness.
    pub state: TargetState,
    /// Rises with each heartbeat.
    pub sequence: u64,
    /// Whether several heartbeats were missed.
    pub silent: bool,
    /// How much longer it is cold, in milliseconds; 0 where it is not.
    pub cold_ms: u32,
    /// The version of its software; empty where it is not known. It travels in an [`UpdateTail`].
    #[serde(skip)]
    pub version: String,
}

/// A process that takes callers' requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GatewayRecord {
    /// Name of its host.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Whether it is about to end.
    pub stopping: bool,
}

/// The first message of a subscriber.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubscriberHello {
    /// Whether it is a control host, which wants to know of every heartbeat.
    pub control: bool,
}

/// What a subscriber sends now and then, and whenever it took an update.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubscriberReport {
    /// The subscriber, where it takes callers' requests.
    pub gateway: Option<GatewayRecord>,
    /// The number of the last update that it took.
    pub acknowledged: u64,
    /// The version of the configuration that it has; 0 for none.
    pub document_version: u64,
    /// What this control host should send of a configuration.
    pub want: Option<DocumentWant>,
    /// Whether this control host should tell of targets and entry hosts.
    pub lists: bool,
    /// What changed of what the subscriber holds against requests, a part of it at most.
    pub suspects: Vec<SuspectRecord>,
    /// Tells the starts of the subscriber apart. It travels in a [`ReportTail`].
    #[serde(skip)]
    pub start: u64,
    /// What it counted for roll-outs. It travels in a [`ReportTail`].
    #[serde(skip)]
    pub counted: Vec<PhaseCounts>,
    /// What changed of the rates that targets named to it, a part of it at most. It travels behind the
    /// [`ReportTail`].
    #[serde(skip)]
    pub rates: Vec<RateWord>,
}

/// What a subscriber wants of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentWant {
    /// The configuration.
    pub key: DocumentKey,
    /// The one that it has; what changed since then is enough.
    pub base: Option<DocumentKey>,
    /// The payload of which it has a beginning.
    pub begun: Option<PayloadKey>,
    /// Tells apart the turns in which sources are asked.
    pub attempt: u32,
    /// Bytes of that payload that it has.
    pub offset: u32,
    /// Up to which byte more may be sent.
    pub until: u32,
}

/// Some bytes of a payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// The payload.
    pub payload: PayloadKey,
    /// Where in it the bytes stand.
    pub offset: u32,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// What a control host pushes to a subscriber. An empty one is a sign of life.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DirectoryUpdate {
    /// Number of the change that the update brings the subscriber to.
    pub number: u64,
    /// The configuration that this control host holds, where that changed.
    pub offer: Option<DocumentKey>,
    /// The next part of the configuration that the subscriber wants.
    pub part: Option<DocumentPart>,
    /// The evacuations of halls, where they changed; a few bytes a hall, so always all of them.
    pub evacuations: Option<EvacuationBook>,
    /// Whether the subscriber has with this all targets and entry hosts that there are, as far as a control
    /// host can know: nothing of it waits, and the control host has run for long enough to hear of all.
    pub lists_whole: bool,
    /// Targets that changed.
    pub targets: Vec<TargetRecord>,
    /// All entry hosts that this control host hears, where that changed.
    pub gateways: Option<Vec<GatewayRecord>>,
    /// Peer addresses of all members of the cluster, where that changed.
    pub controls: Option<Vec<SocketAddr>>,
    /// Targets that were heard since the last update; for control hosts only.
    pub heard: Vec<HeardTarget>,
    /// What changed of what is held against requests, a part of it at most.
    pub suspects: Vec<SuspectRecord>,
    /// The roll-outs of services, where they changed. They travel in an [`UpdateTail`].
    #[serde(skip)]
    pub rollouts: Option<RolloutStore>,
    /// What entry hosts counted for roll-outs since the last update; for control hosts only. It travels in an
    /// [`UpdateTail`].
    #[serde(skip)]
    pub counted: Vec<ReporterCounts>,
    /// The entry hosts that this control host hears itself, where they changed; for control hosts only. They travel in
    /// an [`UpdateTail`].
    #[serde(skip)]
    pub own_gateways: Option<OwnGateways>,
    /// Whether this control host hears no leader: what it tells of configurations and orders may be old. It travels in
    /// an [`UpdateTail`].
    #[serde(skip)]
    pub unled: bool,
    /// What changed of the rates that targets named, a part of it at most. It travels behind the [`UpdateTail`].
    #[serde(skip)]
    pub rates: Vec<RateWord>,
}

/// What stands behind an update since the third form.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpdateTail {
    /// The version of each target of the update, in their order.
    versions: Vec<String>,
    rollouts: Option<RolloutStore>,
    counted: Vec<ReporterCounts>,
    own_gateways: Option<OwnGateways>,
    unled: bool,
}

/// The entry hosts that one control host hears itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnGateways {
    /// Those that it hears.
    pub heard: Vec<GatewayRecord>,
    /// Those that it lost without a word a while ago: they may be cut off from the control hosts only.
    pub lost: Vec<GatewayRecord>,
}

/// What stands behind a report since the third form.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportTail {
    /// Tells the starts of a subscriber apart.
    pub(crate) start: u64,
    pub(crate) counted: Vec<PhaseCounts>,
}

impl DirectoryUpdate {
    /// Returns what stands behind it on the wire; nothing where that says nothing.
    pub(crate) fn tail(&self) -> Option<UpdateTail> {
        let tail = UpdateTail {
            versions: self.targets.iter().map(|one| one.version.clone()).collect(),
            rollouts: self.rollouts.clone(),
            counted: self.counted.clone(),
            own_gateways: self.own_gateways.clone(),
            unled: self.unled,
        };
        (tail != UpdateTail::default()).then_some(tail)
    }

    /// Takes what stood behind it.
    pub(crate) fn with_tails(mut self, tail: UpdateTail, rates: Vec<RateWord>) -> Self {
        self.rates = rates;
        for (target, version) in self.targets.iter_mut().zip(tail.versions) {
            target.version = version;
        }
        self.rollouts = tail.rollouts;
        self.counted = tail.counted;
        self.own_gateways = tail.own_gateways;
        self.unled = tail.unled;
        self
    }
}

/// A heartbeat that a control host passes on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeardTarget {
    /// The target.
    pub id: String,
    /// Its start; see [`TargetRecord::born`].
    pub born: u64,
    /// The sequence of the heartbeat.
    pub sequence: u64,
    /// How long ago it came, in milliseconds.
    pub age_ms: u64,
}

/// What one process asks of a control host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum DirectoryCall {
    /// Who are you, and of which cluster?
    Identify,
    /// Become a founder of this cluster.
    Form { cluster: u64, founders: Members },
    /// Take this replica in as a member.
    Join(Member),
    /// Commit this command and answer what the state machine answered.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// What a control host answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum DirectoryReply {
    /// To `Identify`.
    Identity {
        member: Member,
        cluster: Option<u64>,
        members: Members,
        leader: Option<NodeId>,
        /// Whether the log holds nothing but the founding entry.
        unled: bool,
        /// The end of the log.
        last: u64,
    },
    /// It is done.
    Done,
    /// To `Command`.
    Answer(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Ask the leader, where it is known.
    NotLeader(Option<SocketAddr>),
    /// It was refused.
    Refused(String),
}

#[cfg(test)]
pub(crate) mod tests;
