//! The registered targets, as one control host knows them.

mod address;

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::message::ForwardedHeartbeat;
use crate::{ServiceNames, TargetRecord, TargetState};

/// How long a withdrawn target is remembered, so that a late heartbeat does not register it again.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// How long after its arrival a heartbeat is forwarded to other control hosts.
pub(crate) const FORWARD_WINDOW: Duration = Duration::from_millis(1_000);

/// A target whose cold period is extended is sent to followers again only if the extension exceeds
/// the usual delay of heartbeats.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(250);

/// A target whose first received heartbeat has at most this sequence number has just started. The
/// first heartbeat may be lost; later ones may be delayed ones of a former incarnation.
const MAX_FIRST_SEQUENCE: u64 = 2;

/// How an incarnation of a target relates to the recorded one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IncarnationAge {
    /// It has ended; its messages are late.
    Former,
    /// It is the recorded one, or the target is not recorded.
    Current,
    /// It started after the recorded one.
    Newer,
}

/// The change caused by a heartbeat or by a message of another control host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that followers need.
    Unchanged,
    /// The target is new, or is available again.
    Registered,
    /// The target accepts no new work from now on.
    Withdrawn,
}

struct TargetEntry {
    record: TargetRecord,
    last_heartbeat: Instant,
    /// Highest sequence number of any heartbeat. A forwarded heartbeat carries no record, so the
    /// record may be that of an earlier one.
    last_sequence: u64,
    /// Revision at which the record last changed.
    revision: u64,
    /// End of the cold period. It only moves later, since a late heartbeat may describe an earlier
    /// state.
    cold_until: Option<Instant>,
}

impl TargetEntry {
    /// Extends the cold period; returns whether followers need the new end.
    fn extend_cold(&mut self, cold_ms: u32, now: Instant) -> bool {
        if cold_ms == 0 {
            return false;
        }
        let until = now + Duration::from_millis(u64::from(cold_ms));
        let current_end = self.cold_until.unwrap_or(now);
        if until <= current_end {
            return false;
        }
        self.cold_until = Some(until);
        until.saturating_duration_since(current_end) > MIN_COLD_EXTENSION
    }

    /// Returns the record as of `now`.
    fn record_at(&self, now: Instant) -> TargetRecord {
        let mut record = self.record.clone();
        record.cold_ms = self.cold_until.map_or(0, |until| {
            until.saturating_duration_since(now).as_millis() as u32
        });
        record
    }
}

/// Targets by identity.
///
/// Invariant: the state of one incarnation of a target only goes from ready to draining to gone, in
/// whatever order and through whichever control host its messages arrive; a later incarnation
/// starts afresh, and messages of an earlier one are ignored.
#[derive(Default)]
pub struct Registry {
    targets: HashMap<String, TargetEntry>,
    revision: u64,
    /// The services that the configuration names, as of the last new target whose acceptance
    /// depended on them.
    services: Option<ServiceNames>,
    /// Services whose targets report a start time. A heartbeat for one of these without a start
    /// time comes from another sender.
    services_with_start_time: HashSet<String>,
    /// Heartbeats that this host received recently, in order of arrival.
    heartbeat_log: VecDeque<(Instant, String)>,
    /// Targets by the revision at which they last changed.
    by_revision: BTreeMap<u64, String>,
}

/// Records that changed, in order of their revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangedTargets {
    /// Records as of the time of the query.
    pub records: Vec<TargetRecord>,
    /// Revision that the reader has after these records.
    pub revision: u64,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a heartbeat that this host received.
    pub fn apply_heartbeat(&mut self, record: TargetRecord, now: Instant) -> RegistryChange {
        if self.compare_incarnation(&record.id, record.born) == IncarnationAge::Former {
            return RegistryChange::Unchanged;
        }
        let id = record.id.clone();
        let change = self.merge(record, now, now);
        if self.targets.contains_key(&id) {
            self.log_heartbeat(id, now);
        }
        change
    }

    /// Withdraws a target that announced its stop: the incarnation that started at `born`, or the
    /// newest one. Returns `None` if the target is not known.
    pub fn deregister(
        &mut self,
        id: &str,
        born: Option<u64>,
        now: Instant,
    ) -> Option<RegistryChange> {
        let mut record = self.targets.get(id)?.record.clone();
        if born.is_some_and(|born| born < record.born) {
            return Some(RegistryChange::Unchanged);
        }
        record.state = TargetState::Gone;
        Some(self.merge(record, now, now))
    }

    /// Merges a record from another control host.
    pub fn merge_record(&mut self, record: TargetRecord, now: Instant) -> RegistryChange {
        if !record.silent {
            // The time of the last heartbeat is sent separately from the record. Until it arrives,
            // the heartbeat is dated now, so that the target is not marked silent before its next
            // heartbeat.
            return self.merge(record, now, now);
        }
        match self.compare_incarnation(&record.id, record.born) {
            IncarnationAge::Former => return RegistryChange::Unchanged,
            IncarnationAge::Newer => return self.replace(record, now, now),
            IncarnationAge::Current => {}
        }
        match self.targets.get(&record.id) {
            // Silence at the other host is no reason to change the record: this host may have
            // received heartbeats itself.
            Some(entry) if entry.record.state >= record.state => RegistryChange::Unchanged,
            Some(entry) => {
                let mut known = entry.record.clone();
                known.state = record.state;
                let last_heartbeat = entry.last_heartbeat;
                self.merge(known, last_heartbeat, now)
            }
            None => self.insert(record, now, now),
        }
    }

    /// Applies a heartbeat that another control host received and forwarded.
    pub fn apply_forwarded_heartbeat(
        &mut self,
        heartbeat: &ForwardedHeartbeat,
        now: Instant,
    ) -> RegistryChange {
        let address_taken = self.is_address_taken(&heartbeat.id);
        let entry = self.targets.get_mut(&heartbeat.id);
        let Some(entry) = entry.filter(|entry| entry.record.born == heartbeat.born) else {
            return RegistryChange::Unchanged;
        };
        let at = now
            .checked_sub(Duration::from_millis(heartbeat.age_ms))
            .unwrap_or(now);
        entry.last_heartbeat = entry.last_heartbeat.max(at);
        entry.last_sequence = entry.last_sequence.max(heartbeat.sequence);
        if !entry.record.silent || address_taken {
            return RegistryChange::Unchanged;
        }
        entry.record.silent = false;
        let record = entry.record.clone();
        self.mark_changed(&record.id);
        self.retire_others_at_address(&record, now);
        RegistryChange::Registered
    }

    /// Marks targets without a heartbeat for `silence_timeout` as silent and removes those that
    /// were withdrawn long ago; returns the identities of the targets that became silent.
    pub fn expire(&mut self, now: Instant, silence_timeout: Duration) -> Vec<String> {
        let by_revision = &mut self.by_revision;
        self.targets.retain(|_, entry| {
            let kept = entry.record.state != TargetState::Gone
                || now - entry.last_heartbeat < GONE_RETENTION;
            if !kept {
                by_revision.remove(&entry.revision);
            }
            kept
        });
        let mut silent = Vec::new();
        for entry in self.targets.values_mut() {
            let overdue = now.saturating_duration_since(entry.last_heartbeat) > silence_timeout;
            if overdue && !entry.record.silent && entry.record.state != TargetState::Gone {
                entry.record.silent = true;
                silent.push(entry.record.id.clone());
            }
        }
        silent.iter().for_each(|id| self.mark_changed(id));
        silent
    }

    /// Returns the first `limit` records that changed after a revision.
    pub fn changed_after(&self, revision: u64, limit: usize, now: Instant) -> ChangedTargets {
        let after = self
            .by_revision
            .range(revision.saturating_add(1)..)
            .take(limit);
        let entries = after.filter_map(|(revision, id)| Some((*revision, self.targets.get(id)?)));
        let entries: Vec<(u64, &TargetEntry)> = entries.collect();
        let is_last_part = entries.len() < limit;
        let last = entries.last().map_or(revision, |(revision, _)| *revision);
        ChangedTargets {
            records: entries
                .iter()
                .map(|(_, entry)| entry.record_at(now))
                .collect(),
            revision: if is_last_part {
                self.revision.max(revision)
            } else {
                last
            },
        }
    }

    /// Returns the records that changed after a revision and get no new work.
    pub fn withdrawn_after(&self, revision: u64, now: Instant) -> Vec<TargetRecord> {
        let after = self.by_revision.range(revision.saturating_add(1)..);
        let entries = after.filter_map(|(_, id)| self.targets.get(id));
        let withdrawn = entries.filter(|entry| entry.record.state > TargetState::Ready);
        withdrawn.map(|entry| entry.record_at(now)).collect()
    }

    /// Assigns a new revision to a target.
    fn mark_changed(&mut self, id: &str) {
        let Some(entry) = self.targets.get_mut(id) else {
            return;
        };
        self.by_revision.remove(&entry.revision);
        self.revision += 1;
        entry.revision = self.revision;
        self.by_revision.insert(self.revision, id.to_owned());
    }

    /// Returns the start time of the newest incarnation of a target; `None` if the target is not
    /// known.
    pub fn born_of(&self, id: &str) -> Option<u64> {
        Some(self.targets.get(id)?.record.born)
    }

    /// Returns every target with the highest sequence number of its heartbeats.
    pub(crate) fn last_sequences(&self) -> impl Iterator<Item = (&TargetRecord, u64)> {
        let entries = self.targets.values();
        entries.map(|entry| (&entry.record, entry.last_sequence))
    }

    /// Returns every record.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values().map(|entry| &entry.record)
    }

    /// Returns the total slots of the available targets of a service, by version.
    pub fn slots_by_version(&self, service: &str) -> BTreeMap<String, u32> {
        let mut slots = BTreeMap::new();
        let ready = |record: &&TargetRecord| {
            record.service == service && record.state == TargetState::Ready && !record.silent
        };
        for record in self.records().filter(ready) {
            *slots.entry(record.version.clone()).or_default() += record.slots;
        }
        slots
    }

    /// Returns the targets that sent a heartbeat to this host after `since`, or within
    /// [`FORWARD_WINDOW`] if `since` is `None`.
    pub fn heartbeats_since(
        &self,
        since: Option<Instant>,
        now: Instant,
    ) -> Vec<ForwardedHeartbeat> {
        let begin = now.checked_sub(FORWARD_WINDOW).unwrap_or(now);
        let since = since.map_or(begin, |since| since.max(begin));
        let mut seen = HashSet::new();
        let recent = self.heartbeat_log.iter().rev();
        let recent = recent.take_while(|(at, _)| *at >= since);
        let recent = recent.filter(|(_, id)| seen.insert(id.as_str()));
        let heartbeats = recent.filter_map(|(at, id)| {
            let record = &self.targets.get(id)?.record;
            Some(ForwardedHeartbeat {
                id: record.id.clone(),
                born: record.born,
                sequence: record.sequence,
                age_ms: now.saturating_duration_since(*at).as_millis() as u64,
            })
        });
        heartbeats.collect()
    }

    /// Records that this host received a heartbeat of a target.
    fn log_heartbeat(&mut self, id: String, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > FORWARD_WINDOW;
        while self.heartbeat_log.front().is_some_and(|(at, _)| is_old(at)) {
            self.heartbeat_log.pop_front();
        }
        self.heartbeat_log.push_back((now, id));
    }

    /// Compares an incarnation of a target with the recorded one.
    fn compare_incarnation(&self, id: &str, born: u64) -> IncarnationAge {
        match self
            .targets
            .get(id)
            .map(|entry| born.cmp(&entry.record.born))
        {
            Some(Ordering::Less) => IncarnationAge::Former,
            Some(Ordering::Greater) => IncarnationAge::Newer,
            Some(Ordering::Equal) | None => IncarnationAge::Current,
        }
    }

    /// Replaces a record by that of a newer incarnation, which inherits nothing.
    fn replace(
        &mut self,
        record: TargetRecord,
        last_heartbeat: Instant,
        now: Instant,
    ) -> RegistryChange {
        if let Some(former) = self.targets.remove(&record.id) {
            self.by_revision.remove(&former.revision);
        }
        self.insert(record, last_heartbeat, now)
    }

    fn merge(
        &mut self,
        record: TargetRecord,
        last_heartbeat: Instant,
        now: Instant,
    ) -> RegistryChange {
        match self.compare_incarnation(&record.id, record.born) {
            IncarnationAge::Former => return RegistryChange::Unchanged,
            IncarnationAge::Newer => return self.replace(record, last_heartbeat, now),
            IncarnationAge::Current => {}
        }
        let address_taken = self.is_address_taken(&record.id);
        let Some(entry) = self.targets.get_mut(&record.id) else {
            return self.insert(record, last_heartbeat, now);
        };
        let cold_extended = entry.extend_cold(record.cold_ms, now);
        let state = entry.record.state.max(record.state);
        let is_newer = record.sequence > entry.record.sequence;
        entry.last_sequence = entry.last_sequence.max(record.sequence);
        let before = entry.record.clone();
        if is_newer {
            entry.record = record;
            // A control host of an earlier build does not send the version.
            if entry.record.version.is_empty() {
                entry.record.version.clone_from(&before.version);
            }
        }
        entry.record.state = state;
        entry.record.silent =
            before.silent && (address_taken || last_heartbeat <= entry.last_heartbeat);
        let recovered = before.silent && !entry.record.silent;
        entry.last_heartbeat = entry.last_heartbeat.max(last_heartbeat);
        let withdrawn = state > before.state;
        let has_changed = withdrawn
            || cold_extended
            || before.silent != entry.record.silent
            || entry.record.address != before.address
            || entry.record.slots != before.slots
            || entry.record.version != before.version;
        if !has_changed {
            return RegistryChange::Unchanged;
        }
        let record = entry.record.clone();
        self.mark_changed(&record.id);
        if recovered {
            self.retire_others_at_address(&record, now);
        }
        if withdrawn {
            RegistryChange::Withdrawn
        } else {
            RegistryChange::Registered
        }
    }

    fn insert(
        &mut self,
        mut record: TargetRecord,
        last_heartbeat: Instant,
        now: Instant,
    ) -> RegistryChange {
        if record.born > 0 {
            self.services_with_start_time.insert(record.service.clone());
        } else if self.services_with_start_time.contains(&record.service) {
            return RegistryChange::Unchanged;
        }
        let just_started = record.sequence <= MAX_FIRST_SEQUENCE && !record.silent;
        if !(just_started && self.is_configured(&record.service))
            && self.shares_live_address(&record)
        {
            // This may be a late heartbeat of a former incarnation, or one of another sender.
            // Accepting it would retire the live target at that address for good, so the new target
            // counts as silent until the live one is silent.
            record.silent = true;
        }
        if record.state == TargetState::Ready && !record.silent {
            self.retire_others_at_address(&record, now);
        }
        let (state, id) = (record.state, record.id.clone());
        let mut entry = TargetEntry {
            last_heartbeat,
            last_sequence: record.sequence,
            revision: 0,
            cold_until: None,
            record,
        };
        entry.extend_cold(entry.record.cold_ms, now);
        self.targets.insert(id.clone(), entry);
        self.mark_changed(&id);
        if state == TargetState::Ready {
            RegistryChange::Registered
        } else {
            RegistryChange::Withdrawn
        }
    }
}

#[cfg(test)]
mod tests;
