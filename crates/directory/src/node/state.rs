//! The state of targets and subscribers on a control host.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_quarantine::{PartStore, SuspectStore};
use linnet_rate::RateStore;
use linnet_rollout::{EvidenceStore, ExposureLimit};
use linnet_wire::MessageVersion;

use super::order_admission::SuspensionMeter;
use super::suspects::LivenessProbes;
use crate::{DocumentRequest, EntryHostRecord, LocalEntryHosts, Registry};

/// The state that a subscriber reported.
#[derive(Debug, Clone)]
pub(crate) struct SubscriberState {
    pub(crate) is_control: bool,
    pub(crate) acknowledged: u64,
    pub(crate) entry_host: Option<EntryHostRecord>,
    /// Version of the configuration in its last report.
    pub(crate) document_version: u64,
    /// Its current request for a configuration.
    pub(crate) document_request: Option<DocumentRequest>,
    /// Whether this control host sends it the lists of targets and entry hosts.
    pub(crate) wants_lists: bool,
    /// Its message version; `None` until its first report reveals it.
    pub(crate) message_version: Option<MessageVersion>,
}

#[derive(Default)]
pub(crate) struct NodeState {
    pub(crate) registry: Registry,
    /// Suspensions of this process, after which orders of operators may be outdated.
    pub(crate) suspensions: SuspensionMeter,
    /// Requests suspected of crashing targets.
    pub(crate) suspects: SuspectStore,
    /// Parts of prompts suspected of crashing targets.
    pub(crate) parts: PartStore,
    pub(crate) liveness_probes: LivenessProbes,
    /// Rate limits that targets announced to entry hosts.
    pub(crate) rate_limits: RateStore,
    /// Counts for roll-outs, reported by entry hosts.
    pub(crate) evidence: EvidenceStore,
    /// Limit on the requests that a version may receive before it is known to be good.
    pub(crate) exposure: ExposureLimit,
    pub(crate) subscribers: BTreeMap<u64, SubscriberState>,
    pub(crate) last_subscriber_id: u64,
    /// Entry hosts that disconnected without announcing a stop, and until when they stay in the
    /// list.
    pub(crate) disconnected_entry_hosts: BTreeMap<String, (EntryHostRecord, Instant)>,
    /// The entry hosts that other control hosts reported.
    remote_entry_hosts: BTreeMap<SocketAddr, RemoteEntryHosts>,
    cached_list: Option<CachedList>,
}

/// The entry hosts connected to another control host.
struct RemoteEntryHosts {
    entry_hosts: LocalEntryHosts,
    /// Until when they stay in the list after the connection to that control host was lost.
    lost_until: Option<Instant>,
}

/// The list of entry hosts, cached until one of them changes. Building the list of 295 hosts for
/// each of as many subscribers took 23 ms per change, or 76 ms on a control host with 0.3 of a
/// core; with the cache it takes 0.08 ms (`measure_lists_of_entry_hosts`, release build). After a
/// power loss, 580 hosts and targets register within a second.
struct CachedList {
    list: Arc<[EntryHostRecord]>,
    /// The entry hosts of the list that are or were connected to this control host.
    local: Arc<LocalEntryHosts>,
    /// When the first disconnected host leaves the list.
    until: Instant,
}

/// How long an entry host that disconnected without announcing a stop stays in the list. It may be
/// cut off from the control hosts only, and then the others should still reach it at the same
/// address.
const LOST_ENTRY_HOST_RETENTION: Duration = Duration::from_secs(15);

impl NodeState {
    /// Returns the entry hosts that are connected, or were until recently, by name.
    pub(crate) fn entry_hosts(&mut self, now: Instant) -> Arc<[EntryHostRecord]> {
        if let Some(cached) = self
            .cached_list
            .as_ref()
            .filter(|cached| now < cached.until)
        {
            return cached.list.clone();
        }
        let local = Arc::new(self.collect_local(now));
        let list: Arc<[EntryHostRecord]> = self.collect_all(now, &local).into();
        let lost = self
            .disconnected_entry_hosts
            .values()
            .map(|(_, until)| *until);
        let expiring = self
            .remote_entry_hosts
            .values()
            .filter_map(|remote| remote.lost_until);
        self.cached_list = Some(CachedList {
            list: list.clone(),
            local,
            until: lost
                .chain(expiring)
                .min()
                .unwrap_or(now + LOST_ENTRY_HOST_RETENTION),
        });
        list
    }

    /// Returns the entry hosts that are connected to this control host, and those that disconnected
    /// recently.
    pub(crate) fn local_entry_hosts(&mut self, now: Instant) -> Arc<LocalEntryHosts> {
        if self
            .cached_list
            .as_ref()
            .is_none_or(|cached| now >= cached.until)
        {
            self.entry_hosts(now);
        }
        let cached = self.cached_list.as_ref();
        cached.map_or_else(Arc::default, |cached| cached.local.clone())
    }

    fn collect_local(&mut self, now: Instant) -> LocalEntryHosts {
        let connected = self.subscribers.values();
        let mut connected: Vec<EntryHostRecord> =
            connected.filter_map(|one| one.entry_host.clone()).collect();
        connected.sort();
        let names: HashSet<&str> = connected.iter().map(|one| one.name.as_str()).collect();
        self.disconnected_entry_hosts
            .retain(|name, (_, until)| *until > now && !names.contains(name.as_str()));
        let lost = self
            .disconnected_entry_hosts
            .values()
            .map(|(record, _)| record.clone());
        let disconnected = lost.collect();
        LocalEntryHosts {
            connected,
            disconnected,
        }
    }

    /// Stores the entry hosts connected to another control host. One that disconnected here is
    /// removed from the local list: from now on only the reports of the other control host apply to
    /// it.
    pub(crate) fn set_remote_entry_hosts(
        &mut self,
        from: SocketAddr,
        entry_hosts: LocalEntryHosts,
    ) {
        for record in &entry_hosts.connected {
            self.disconnected_entry_hosts.remove(&record.name);
        }
        let remote = RemoteEntryHosts {
            entry_hosts,
            lost_until: None,
        };
        self.remote_entry_hosts.insert(from, remote);
        self.cached_list = None;
    }

    /// Handles the loss of the connection to another control host: the entry hosts that it reported
    /// stay in the list for a while, in which they connect to another one.
    pub(crate) fn mark_control_lost(&mut self, from: SocketAddr, now: Instant) {
        if let Some(remote) = self.remote_entry_hosts.get_mut(&from) {
            remote.lost_until = Some(now + LOST_ENTRY_HOST_RETENTION);
        }
        self.cached_list = None;
    }

    /// Returns the entry hosts that are connected to any control host, or were until recently, by
    /// name.
    fn collect_all(&mut self, now: Instant, local: &LocalEntryHosts) -> Vec<EntryHostRecord> {
        self.remote_entry_hosts
            .retain(|_, remote| remote.lost_until.is_none_or(|until| until > now));
        let mut by_name: BTreeMap<&str, &EntryHostRecord> = BTreeMap::new();
        for record in self.reachable(local).flat_map(|one| &one.connected) {
            let known = by_name.entry(&record.name).or_insert(record);
            // A control host that received the announcement of a stop overrides the others.
            if record.stopping {
                *known = record;
            }
        }
        // An entry host that a lost control host reported may have started again since, so these
        // reports only add entry hosts that no other control host reports.
        let lost = self.remote_entry_hosts.values();
        let lost = lost.filter(|remote| remote.lost_until.is_some());
        let lost: Vec<&LocalEntryHosts> = lost.map(|remote| &remote.entry_hosts).collect();
        let former = lost.iter().flat_map(|one| &one.connected);
        let disconnected = self.reachable(local).chain(lost.iter().copied());
        for record in former.chain(disconnected.flat_map(|one| &one.disconnected)) {
            by_name.entry(&record.name).or_insert(record);
        }
        by_name.into_values().cloned().collect()
    }

    /// Returns the reports of this control host and of those that it is connected to.
    fn reachable<'a>(
        &'a self,
        local: &'a LocalEntryHosts,
    ) -> impl Iterator<Item = &'a LocalEntryHosts> {
        let remote = self.remote_entry_hosts.values();
        let connected = remote.filter(|remote| remote.lost_until.is_none());
        std::iter::once(local).chain(connected.map(|remote| &remote.entry_hosts))
    }

    /// Returns whether a subscriber receives the lists of targets and entry hosts from this host.
    pub(crate) fn sends_lists_to(&self, subscriber_id: u64) -> bool {
        let subscriber = self.subscribers.get(&subscriber_id);
        subscriber.is_some_and(|subscriber| subscriber.wants_lists)
    }

    /// Stores the entry host record that a subscriber reported; returns whether it changed, or
    /// `None` if the subscriber is not known.
    pub(crate) fn set_entry_host(
        &mut self,
        subscriber_id: u64,
        record: Option<EntryHostRecord>,
    ) -> Option<bool> {
        let subscriber = self.subscribers.get_mut(&subscriber_id)?;
        let changed = subscriber.entry_host != record;
        if changed {
            subscriber.entry_host = record;
            self.cached_list = None;
        }
        Some(changed)
    }

    /// Removes a subscriber. One that did not announce a stop may reconnect.
    pub(crate) fn mark_subscriber_lost(&mut self, subscriber_id: u64, now: Instant) {
        let lost = self.subscribers.remove(&subscriber_id);
        let record = lost.and_then(|subscriber| subscriber.entry_host);
        if let Some(record) = record.filter(|record| !record.stopping) {
            let until = now + LOST_ENTRY_HOST_RETENTION;
            self.disconnected_entry_hosts
                .insert(record.name.clone(), (record, until));
        }
        self.cached_list = None;
    }
}

#[cfg(test)]
mod tests;
