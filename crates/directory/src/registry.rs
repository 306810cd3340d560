//! The targets that registered themselves, as one control host knows them.

mod address;

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::message::ForwardedHeartbeat;
use crate::{ServiceNames, TargetRecord, TargetState};

/// How long a target that left is remembered, so that a late heartbeat does not bring it back.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// How long a heartbeat is passed on to other control hosts.
pub(crate) const FORWARD_WINDOW: Duration = Duration::from_millis(1_000);

/// A target that is cold for longer than was known is told of anew where that is more than what
/// heartbeats are late by.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(250);

/// A target that is first heard at one of so many heartbeats has just started. The first one may get
/// lost on its way; later ones may as well be late ones of a start that is over.
const MAX_FIRST_SEQUENCE: u64 = 2;

/// How a start of a target stands to the one that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IncarnationAge {
    /// It is over; what it says comes late.
    Former,
    /// It is the one that is held, or the first.
    Current,
    /// It has followed.
    Newer,
}

/// What a heartbeat or a word of another control host changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that followers need to know.
    Unchanged,
    /// The target is new, or serves again.
    Registered,
    /// The target takes no new work from now on.
    Withdrawn,
}

struct TargetEntry {
    record: TargetRecord,
    last_heartbeat: Instant,
    /// Number of the change that last altered the record.
    revision: u64,
    /// Until when the target is cold. It only moves later: a late heartbeat may tell of a time before.
    cold_until: Option<Instant>,
}

impl TargetEntry {
    /// Takes how much longer the target is cold; says whether others have to be told.
    fn extend_cold(&mut self, cold_ms: u32, now: Instant) -> bool {
        if cold_ms == 0 {
            return false;
        }
        let until = now + Duration::from_millis(u64::from(cold_ms));
        let known = self.cold_until.unwrap_or(now);
        if until <= known {
            return false;
        }
        self.cold_until = Some(until);
        until.saturating_duration_since(known) > MIN_COLD_EXTENSION
    }

    /// Returns the record as it is told at a moment.
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
/// Invariant: the state of one start of a target only goes from ready to draining to gone, whatever order its
/// words arrive in and through whichever control host; a later start begins anew, and an earlier one is
/// not heard any more.
#[derive(Default)]
pub struct Registry {
    targets: HashMap<String, TargetEntry>,
    revision: u64,
    /// The services that the configuration names, as far as was needed.
    services: Option<ServiceNames>,
    /// Services whose targets tell their birth. A heartbeat for one of these without it comes from another
    /// writer.
    services_with_start_time: HashSet<String>,
    /// The heartbeats that came to this host lately, in their order.
    heartbeat_log: VecDeque<(Instant, String)>,
    /// The targets by the number of the change that last altered them.
    by_revision: BTreeMap<u64, String>,
}

/// Records that changed, in the order of their changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangedTargets {
    /// The records.
    pub records: Vec<TargetRecord>,
    /// The number of the last change that they bring their reader to.
    pub revision: u64,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes a heartbeat that came to this host.
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

    /// Takes the word of a target that it leaves, of the start that it names or the newest; `None` where the
    /// target is not known.
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

    /// Takes a record from another control host.
    pub fn merge_record(&mut self, record: TargetRecord, now: Instant) -> RegistryChange {
        if !record.silent {
            // How lately the target was heard comes apart from its record. Until then it is taken
            // as heard now, so that it is not called silent before its next heartbeat.
            return self.merge(record, now, now);
        }
        match self.compare_incarnation(&record.id, record.born) {
            IncarnationAge::Former => return RegistryChange::Unchanged,
            IncarnationAge::Newer => return self.replace(record, now, now),
            IncarnationAge::Current => {}
        }
        match self.targets.get(&record.id) {
            // Silence there is no news here: this host may have heard the target itself.
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

    /// Takes the news that another control host heard a target.
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
        entry.record.sequence = entry.record.sequence.max(heartbeat.sequence);
        if !entry.record.silent || address_taken {
            return RegistryChange::Unchanged;
        }
        entry.record.silent = false;
        let record = entry.record.clone();
        self.mark_changed(&record.id);
        self.retire_others_at_address(&record, now);
        RegistryChange::Registered
    }

    /// Marks targets that were not heard for `span` as silent and forgets those long gone; returns
    /// the identities that became silent.
    pub fn expire(&mut self, now: Instant, span: Duration) -> Vec<String> {
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
            let overdue = now.saturating_duration_since(entry.last_heartbeat) > span;
            if overdue && !entry.record.silent && entry.record.state != TargetState::Gone {
                entry.record.silent = true;
                silent.push(entry.record.id.clone());
            }
        }
        silent.iter().for_each(|id| self.mark_changed(id));
        silent
    }

    /// Returns the first records that changed after a change number, so many at most.
    pub fn changed_after(&self, revision: u64, limit: usize, now: Instant) -> ChangedTargets {
        let after = self
            .by_revision
            .range(revision.saturating_add(1)..)
            .take(limit);
        let entry = after.filter_map(|(revision, id)| Some((*revision, self.targets.get(id)?)));
        let entry: Vec<(u64, &TargetEntry)> = entry.collect();
        let is_last_part = entry.len() < limit;
        let last = entry.last().map_or(revision, |(revision, _)| *revision);
        ChangedTargets {
            records: entry
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

    /// Returns the records that changed after a change number and get no new work.
    pub fn withdrawn_after(&self, revision: u64, now: Instant) -> Vec<TargetRecord> {
        let after = self.by_revision.range(revision.saturating_add(1)..);
        let entry = after.filter_map(|(_, id)| self.targets.get(id));
        let withdrawn = entry.filter(|entry| entry.record.state > TargetState::Ready);
        withdrawn.map(|entry| entry.record_at(now)).collect()
    }

    /// Gives a target the number of a new change.
    fn mark_changed(&mut self, id: &str) {
        let Some(entry) = self.targets.get_mut(id) else {
            return;
        };
        self.by_revision.remove(&entry.revision);
        self.revision += 1;
        entry.revision = self.revision;
        self.by_revision.insert(self.revision, id.to_owned());
    }

    /// Returns when the newest start of a target began; nothing where the target is not known.
    pub fn born_of(&self, id: &str) -> Option<u64> {
        Some(self.targets.get(id)?.record.born)
    }

    /// Returns every record.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values().map(|entry| &entry.record)
    }

    /// Returns the slots of the targets of a service that take work, by their version.
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

    /// Returns the targets of which a heartbeat came to this host after a moment, or within the last
    /// [`HEARD_WINDOW`] where none is named.
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

    /// Notes that a heartbeat of a target came to this host.
    fn log_heartbeat(&mut self, id: String, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > FORWARD_WINDOW;
        while self.heartbeat_log.front().is_some_and(|(at, _)| is_old(at)) {
            self.heartbeat_log.pop_front();
        }
        self.heartbeat_log.push_back((now, id));
    }

    /// Says how a start of a target stands to the one that is held under its identity.
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

    /// Takes a newer start, of which nothing holds that was known of the one before.
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
        let newer = record.sequence > entry.record.sequence;
        let before = entry.record.clone();
        if newer {
            entry.record = record;
            // A control host of an earlier build tells none.
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
        let differs = withdrawn
            || cold_extended
            || before.silent != entry.record.silent
            || entry.record.address != before.address
            || entry.record.slots != before.slots
            || entry.record.version != before.version;
        if !differs {
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
            // Perhaps a late heartbeat of a start that is over, or one of another writer. Taking its word ended
            // the target that is there, for good; it waits until that one is silent.
            record.silent = true;
        }
        if record.state == TargetState::Ready && !record.silent {
            self.retire_others_at_address(&record, now);
        }
        let (state, id) = (record.state, record.id.clone());
        let mut entry = TargetEntry {
            last_heartbeat,
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
