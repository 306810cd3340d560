//! The directory as an entry host sees it through the control hosts that it follows.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_rollout::{RolloutStore, VersionStatus};

use crate::serve::UPDATE_INTERVAL;
use crate::{
    DirectoryUpdate, EntryHostRecord, EvacuationStore, StoredDocument, TargetRecord, TargetState,
};

/// What one control host sent.
#[derive(Default)]
struct ControlSource {
    targets: HashMap<String, TargetRecord>,
    entry_hosts: Vec<EntryHostRecord>,
    connected: bool,
    /// Whether it has sent all targets and entry hosts.
    complete: bool,
    /// When its last update arrived.
    heard_at: Option<Instant>,
    /// When the last update arrived after which it had nothing more to send, while it was in contact
    /// with a leader.
    current_at: Option<Instant>,
}

/// The union of what the control hosts sent.
///
/// Invariants: the configuration only moves to a higher version, and the evacuation of a hall to a
/// higher revision; an incarnation of a target that any control host reported as withdrawn stays
/// withdrawn. What a lost control host sent stays until another one has sent complete lists. So a
/// data hall that is cut off continues with the last known state, and so does a fleet whose control
/// hosts were all restarted and learn of each target only with its next heartbeat.
#[derive(Default)]
pub struct DirectoryView {
    document: Option<Arc<StoredDocument>>,
    sources: BTreeMap<SocketAddr, ControlSource>,
    /// The newest withdrawn incarnation of each target.
    withdrawn: BTreeMap<String, u64>,
    evacuations: EvacuationStore,
    rollouts: RolloutStore,
    /// When the cold period of a target ends, by identity.
    cold: HashMap<String, Instant>,
    /// Available targets as of the last call of [`DirectoryView::take_changes`].
    listed: HashMap<String, TargetRecord>,
    /// Targets that may have changed since then.
    changed: BTreeSet<String>,
    /// Whether something changed since then that may affect every target.
    all_changed: bool,
    /// When the last update arrived, unless all connections were lost since.
    heard_at: Option<Instant>,
}

/// The changes of the available targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChanges {
    /// The complete list.
    All(Vec<TargetRecord>),
    /// Only the changed targets: the cost depends on their number and not on the size of the fleet.
    Partial {
        /// Targets that became available, are a new incarnation, or have another record.
        listed: Vec<TargetRecord>,
        /// Targets that are no longer available.
        unlisted: Vec<TargetRecord>,
    },
}

/// Minimum cold period of the targets of a hall that is returned to service: two heartbeat
/// intervals of 1.2 s. The targets may have become cold shortly before, and report that only with
/// their next heartbeat.
const COLD_AFTER_EVACUATION: Duration = Duration::from_millis(2_400);

/// Longest time between two updates after which nothing was missed. Control hosts send one each
/// [`UPDATE_INTERVAL`]; what came and went between two later ones may be in neither.
const MAX_UPDATE_GAP: Duration = UPDATE_INTERVAL.saturating_mul(2);

impl DirectoryView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an update on targets and entry hosts. Returns whether targets that were listed before it
    /// for a short time may have been missed.
    pub fn apply_update(
        &mut self,
        from: SocketAddr,
        update: DirectoryUpdate,
        now: Instant,
    ) -> bool {
        let former = self.heard_at.replace(now);
        let is_late = |at| now.saturating_duration_since(at) > MAX_UPDATE_GAP;
        let source = self.sources.entry(from).or_default();
        if !source.connected {
            // A control host sends everything again after a reconnect.
            self.changed
                .extend(source.targets.drain().map(|(id, _)| id));
            *source = ControlSource::default();
            source.connected = true;
        }
        source.heard_at = Some(now);
        if update.lists_complete && !update.leaderless {
            source.current_at = Some(now);
        }
        for record in update.targets {
            if record.state > TargetState::Ready {
                let known = self
                    .withdrawn
                    .entry(record.id.clone())
                    .or_insert(record.born);
                *known = record.born.max(*known);
            }
            if record.cold_ms > 0 {
                let until = now + Duration::from_millis(u64::from(record.cold_ms));
                extend_cold(&mut self.cold, &record.id, until);
            }
            self.changed.insert(record.id.clone());
            let known = source.targets.get(&record.id);
            if known.is_none_or(|known| known.born <= record.born) {
                source.targets.insert(record.id.clone(), record);
            }
        }
        if let Some(entry_hosts) = update.entry_hosts {
            source.entry_hosts = entry_hosts;
        }
        if update.lists_complete && !source.complete {
            source.complete = true;
            self.remove_lost_sources();
        }
        if let Some(received) = &update.rollouts {
            self.all_changed |= self.rollouts.merge(received);
        }
        if let Some(received) = &update.evacuations {
            self.all_changed = true;
            let returned = self.evacuations.merge(received);
            self.extend_cold_of_halls(&returned, now);
        }
        former.is_none_or(is_late)
    }

    fn extend_cold_of_halls(&mut self, halls: &[String], now: Instant) {
        let until = now + COLD_AFTER_EVACUATION;
        let sources = self.sources.values();
        let records = sources.flat_map(|source| source.targets.values());
        for record in records.filter(|record| halls.contains(&record.hall)) {
            extend_cold(&mut self.cold, &record.id, until);
        }
    }

    /// Returns the roll-outs of services.
    pub fn rollouts(&self) -> &RolloutStore {
        &self.rollouts
    }

    /// Returns the evacuations of halls.
    pub fn evacuations(&self) -> &EvacuationStore {
        &self.evacuations
    }

    /// Stores a configuration if it is newer than the current one; returns whether it is.
    pub fn set_newer_document(&mut self, offered: StoredDocument) -> bool {
        let newer = match &self.document {
            Some(current) => offered.version() > current.version(),
            None => true,
        };
        if newer {
            self.document = Some(Arc::new(offered));
        }
        newer
    }

    /// Handles the loss of the connection to a control host.
    pub fn mark_control_lost(&mut self, from: SocketAddr) {
        if let Some(source) = self.sources.get_mut(&from) {
            source.connected = false;
        }
        if !self.is_connected() {
            self.heard_at = None;
        }
        self.remove_lost_sources();
    }

    fn remove_lost_sources(&mut self) {
        let is_complete = |source: &ControlSource| source.connected && source.complete;
        if self.sources.values().any(is_complete) {
            let lost = self.sources.extract_if(.., |_, source| !source.connected);
            let forgotten = lost.flat_map(|(_, source)| source.targets.into_keys());
            self.changed.extend(forgotten);
        }
    }

    /// Returns the newest configuration.
    pub fn document(&self) -> Option<&Arc<StoredDocument>> {
        self.document.as_ref()
    }

    /// Returns whether any control host is connected.
    pub fn is_connected(&self) -> bool {
        self.sources.values().any(|source| source.connected)
    }

    /// Returns whether the lists are known to be as current as at a time: every connected control host has
    /// sent an update since then, and one that has a leader had nothing more to send. A connection that
    /// was cut counts as open until the silence timeout is over.
    pub fn is_current_since(&self, since: Instant) -> bool {
        let is_after = |at: Option<Instant>| at.is_some_and(|at| at >= since);
        let connected = || self.sources.values().filter(|source| source.connected);
        connected().all(|source| is_after(source.heard_at))
            && connected().any(|source| is_after(source.current_at))
    }

    fn is_available(&self, id: &str, record: &TargetRecord) -> bool {
        let withdrawn = self.withdrawn.get(id);
        let is_withdrawn = withdrawn.is_some_and(|born| *born >= record.born);
        let standing = self
            .rollouts
            .version_status(&record.service, &record.version);
        let is_closed = standing == VersionStatus::Excluded;
        !record.silent
            && !is_withdrawn
            && !is_closed
            && !self.evacuations.is_evacuated(&record.hall)
    }

    /// Returns the changes of the available targets since the last call.
    pub fn take_changes(&mut self, now: Instant) -> TargetChanges {
        let changed = std::mem::take(&mut self.changed);
        if std::mem::take(&mut self.all_changed) {
            let available = self.available_targets(now);
            let by_id = available.iter().map(|one| (one.id.clone(), one.clone()));
            self.listed = by_id.collect();
            return TargetChanges::All(available);
        }
        let (mut listed, mut unlisted) = (Vec::new(), Vec::new());
        for id in changed {
            let available = self.available_target(&id, now);
            let known = self.listed.get(&id);
            match (available, known) {
                (Some(record), Some(known)) if record == *known => {}
                (Some(record), _) => {
                    self.listed.insert(id, record.clone());
                    listed.push(record);
                }
                (None, _) => unlisted.extend(self.listed.remove(&id)),
            }
        }
        TargetChanges::Partial { listed, unlisted }
    }

    /// Makes the next call of [`DirectoryView::take_changes`] list an available target again, for a
    /// caller that has removed it on its own.
    pub fn relist(&mut self, id: &str) {
        if self.listed.remove(id).is_some() {
            self.changed.insert(id.to_owned());
        }
    }

    /// Returns the number of available targets as of the last call of
    /// [`DirectoryView::take_changes`].
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Returns the record of a target if it is available.
    fn available_target(&self, id: &str, now: Instant) -> Option<TargetRecord> {
        let records = self
            .sources
            .values()
            .filter_map(|source| source.targets.get(id));
        let newest = records.clone().map(|record| record.born).max()?;
        let available = records.filter(|one| one.born == newest && self.is_available(id, one));
        // Of records with the same sequence number the first is used, as in `available_targets`.
        let record = available.reduce(|known, one| match one.sequence > known.sequence {
            true => one,
            false => known,
        })?;
        Some(self.with_cold(record, now))
    }

    fn with_cold(&self, record: &TargetRecord, now: Instant) -> TargetRecord {
        let mut record = record.clone();
        record.cold_ms = self.cold.get(&record.id).map_or(0, |until| {
            until.saturating_duration_since(now).as_millis() as u32
        });
        record
    }

    /// Returns every available target, with the rest of its cold period.
    pub fn available_targets(&self, now: Instant) -> Vec<TargetRecord> {
        // The newest incarnation of each target, and its record if that is available. A former
        // incarnation is not used, even if the newest one is silent or was reported by only one
        // control host.
        let mut incarnations: BTreeMap<&str, (u64, Option<&TargetRecord>)> = BTreeMap::new();
        for (id, record) in self.sources.values().flat_map(|source| &source.targets) {
            let newest = incarnations.entry(id).or_insert((record.born, None));
            if record.born > newest.0 {
                *newest = (record.born, None);
            }
            let is_newer = newest
                .1
                .is_none_or(|known| record.sequence > known.sequence);
            if record.born == newest.0 && is_newer && self.is_available(id, record) {
                newest.1 = Some(record);
            }
        }
        let available = incarnations.into_values().filter_map(|(_, record)| record);
        available
            .map(|record| self.with_cold(record, now))
            .collect()
    }

    /// Returns every entry host that any control host reported, by name.
    pub fn entry_hosts(&self) -> Vec<EntryHostRecord> {
        let all = self.sources.values().flat_map(|source| &source.entry_hosts);
        let mut by_name: BTreeMap<&str, &EntryHostRecord> = BTreeMap::new();
        for entry_host in all {
            let known = by_name.entry(&entry_host.name).or_insert(entry_host);
            if entry_host.stopping {
                *known = entry_host;
            }
        }
        by_name.into_values().cloned().collect()
    }

    /// Removes withdrawn targets that no control host reports any more, and cold periods that have
    /// ended.
    pub fn prune(&mut self, now: Instant) {
        self.cold.retain(|_, until| *until > now);
        let sources = &self.sources;
        let is_reported = |id: &str| {
            let mut all = sources.values();
            all.any(|source| source.targets.contains_key(id))
        };
        self.withdrawn.retain(|id, _| is_reported(id));
    }
}

fn extend_cold(cold: &mut HashMap<String, Instant>, id: &str, until: Instant) {
    let known = cold.entry(id.to_owned()).or_insert(until);
    *known = until.max(*known);
}
