//! What a control host keeps of targets and subscribers.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_quarantine::SuspectBook;
use linnet_rate::RateBook;
use linnet_rollout::{EvidenceBook, ExposureRule};
use linnet_wire::MessageVersion;

use super::suspects::LivingTargets;
use crate::{DocumentWant, GatewayRecord, OwnGateways, Registry};

/// What a subscriber told.
#[derive(Debug, Clone)]
pub(crate) struct SubscriberState {
    pub(crate) control: bool,
    pub(crate) acknowledged: u64,
    pub(crate) gateway: Option<GatewayRecord>,
    /// The version of the configuration that it told last.
    pub(crate) document_version: u64,
    /// What it wants of a configuration.
    pub(crate) want: Option<DocumentWant>,
    /// Whether it wants to be told of targets and entry hosts by this control host.
    pub(crate) lists: bool,
    /// The form of its messages; nothing until its first report has told that.
    pub(crate) form: Option<MessageVersion>,
}

#[derive(Default)]
pub(crate) struct NodeState {
    pub(crate) registry: Registry,
    /// What is held against requests that may end targets.
    pub(crate) suspects: SuspectBook,
    pub(crate) living: LivingTargets,
    /// The rates that targets named to entry hosts.
    pub(crate) rates: RateBook,
    /// What entry hosts counted for roll-outs.
    pub(crate) evidence: EvidenceBook,
    /// What a version may be exposed to before it is known to be good.
    pub(crate) exposure: ExposureRule,
    pub(crate) subscribers: BTreeMap<u64, SubscriberState>,
    pub(crate) next_subscriber: u64,
    /// Entry hosts that were lost without a word, and until when they are told on.
    pub(crate) lost_gateways: BTreeMap<String, (GatewayRecord, Instant)>,
    /// What other control hosts told of the entry hosts that they hear.
    told_gateways: BTreeMap<SocketAddr, ToldGateways>,
    gateway_list: Option<GatewayList>,
}

/// The entry hosts that another control host hears.
struct ToldGateways {
    told: OwnGateways,
    /// Until when they count although that control host was lost.
    lost: Option<Instant>,
}

/// The entry hosts as they are told, kept until one of them changes. Working the list of 295 out for each
/// of as many subscribers took 23 ms a change, 76 ms of a control host with 0.3 of a core, and takes
/// 0.08 ms (`measure_lists_of_entry_hosts`, release build). After a loss of power 580 hosts and targets
/// come in a second.
struct GatewayList {
    list: Arc<[GatewayRecord]>,
    /// Those of them that this control host hears itself, or lost.
    own: Arc<OwnGateways>,
    /// When the first host that was lost is not told any more.
    until: Instant,
}

/// How long an entry host that was lost without a word is told on. It may be cut off from the control
/// hosts only, and the others should meet it at the same places then.
const LOST_GATEWAY_TOLD: Duration = Duration::from_secs(15);

impl NodeState {
    /// Returns the entry hosts that are heard, or were until a moment ago, by name.
    pub(crate) fn gateways(&mut self, now: Instant) -> Arc<[GatewayRecord]> {
        if let Some(kept) = self.gateway_list.as_ref().filter(|kept| now < kept.until) {
            return kept.list.clone();
        }
        let own = Arc::new(self.list_own(now));
        let list: Arc<[GatewayRecord]> = self.list_gateways(now, &own).into();
        let lost = self.lost_gateways.values().map(|(_, until)| *until);
        let told = self.told_gateways.values().filter_map(|told| told.lost);
        self.gateway_list = Some(GatewayList {
            list: list.clone(),
            own,
            until: lost.chain(told).min().unwrap_or(now + LOST_GATEWAY_TOLD),
        });
        list
    }

    /// Returns the entry hosts that this control host hears itself, and those that it lost a moment ago.
    pub(crate) fn own_gateways(&mut self, now: Instant) -> Arc<OwnGateways> {
        if self
            .gateway_list
            .as_ref()
            .is_none_or(|kept| now >= kept.until)
        {
            self.gateways(now);
        }
        let kept = self.gateway_list.as_ref();
        kept.map_or_else(Arc::default, |kept| kept.own.clone())
    }

    fn list_own(&mut self, now: Instant) -> OwnGateways {
        let heard = self.subscribers.values();
        let mut heard: Vec<GatewayRecord> = heard.filter_map(|one| one.gateway.clone()).collect();
        heard.sort();
        let names: HashSet<&str> = heard.iter().map(|one| one.name.as_str()).collect();
        self.lost_gateways
            .retain(|name, (_, until)| *until > now && !names.contains(name.as_str()));
        let lost = self
            .lost_gateways
            .values()
            .map(|(record, _)| record.clone());
        let lost = lost.collect();
        OwnGateways { heard, lost }
    }

    /// Takes the entry hosts that another control host hears. One of them that was lost here has gone there: how it
    /// ends there is what counts.
    pub(crate) fn take_gateways(&mut self, from: SocketAddr, told: OwnGateways) {
        for record in &told.heard {
            self.lost_gateways.remove(&record.name);
        }
        let told = ToldGateways { told, lost: None };
        self.told_gateways.insert(from, told);
        self.gateway_list = None;
    }

    /// Notes that another control host was lost: those that it heard are told on for a while, in which they find
    /// another one.
    pub(crate) fn lose_control(&mut self, from: SocketAddr, now: Instant) {
        if let Some(told) = self.told_gateways.get_mut(&from) {
            told.lost = Some(now + LOST_GATEWAY_TOLD);
        }
        self.gateway_list = None;
    }

    /// Returns the entry hosts that any control host hears, or lost a moment ago, by name.
    fn list_gateways(&mut self, now: Instant, own: &OwnGateways) -> Vec<GatewayRecord> {
        self.told_gateways
            .retain(|_, told| told.lost.is_none_or(|until| until > now));
        let told = self.told_gateways.values().map(|told| &told.told);
        let all = std::iter::once(own).chain(told);
        let mut by_name: BTreeMap<&str, &GatewayRecord> = BTreeMap::new();
        for record in all.clone().flat_map(|one| &one.heard) {
            let known = by_name.entry(&record.name).or_insert(record);
            // Whoever heard that it stops is right.
            if record.stopping {
                *known = record;
            }
        }
        for record in all.flat_map(|one| &one.lost) {
            by_name.entry(&record.name).or_insert(record);
        }
        by_name.into_values().cloned().collect()
    }

    /// Says whether a subscriber wants targets and entry hosts from here.
    pub(crate) fn wants_lists(&self, number: u64) -> bool {
        let subscriber = self.subscribers.get(&number);
        subscriber.is_some_and(|subscriber| subscriber.lists)
    }

    /// Takes what a subscriber tells of itself; says whether that changes the entry hosts. Nothing where
    /// the subscriber is not known.
    pub(crate) fn set_gateway(&mut self, number: u64, told: Option<GatewayRecord>) -> Option<bool> {
        let subscriber = self.subscribers.get_mut(&number)?;
        let changes = subscriber.gateway != told;
        if changes {
            subscriber.gateway = told;
            self.gateway_list = None;
        }
        Some(changes)
    }

    /// Forgets a subscriber. One that did not say that it stops may come back.
    pub(crate) fn lose_subscriber(&mut self, number: u64, now: Instant) {
        let lost = self.subscribers.remove(&number);
        let record = lost.and_then(|subscriber| subscriber.gateway);
        if let Some(record) = record.filter(|record| !record.stopping) {
            let until = now + LOST_GATEWAY_TOLD;
            self.lost_gateways
                .insert(record.name.clone(), (record, until));
        }
        self.gateway_list = None;
    }
}

#[cfg(test)]
mod tests;
