//! The targets that registered themselves, as one control host knows them.

mod address;

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use crate::message::HeardTarget;
use crate::{ServiceNames, TargetRecord, TargetState};

/// How long a target that left is remembered, so that a late heartbeat does not bring it back.
const GONE_KEPT: Duration = Duration::from_secs(600);

/// How long a heartbeat is passed on to other control hosts.
pub(crate) const HEARD_WINDOW: Duration = Duration::from_millis(1_000);

/// A target that is cold for longer than was known is told of anew where that is more than what
/// heartbeats are late by.
const COLD_TOLD: Duration = Duration::from_millis(250);

/// A target that is first heard at one of so many heartbeats has just started. The first one may get
/// lost on its way; later ones may as well be late ones of a start that is over.
const FIRST_HEARTBEATS: u64 = 2;

/// How a start of a target stands to the one that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartAge {
    /// It is over; what it says comes late.
    Former,
    /// It is the one that is held, or the first.
    Known,
    /// It has followed.
    Newer,
}

/// What a heartbeat or a word of another control host changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that followers need to know.
    Nothing,
    /// The target is new, or serves again.
    Registered,
    /// The target takes no new work from now on.
    Withdrawn,
}

struct Held {
    record: TargetRecord,
    heard: Instant,
    /// Number of the change that last altered the record.
    changed: u64,
    /// Until when the target is cold. It only moves later: a late heartbeat may tell of a time before.
    cold_until: Option<Instant>,
}

impl Held {
    /// Takes how much longer the target is cold; says whether others have to be told.
    fn take_cold(&mut self, cold_ms: u32, now: Instant) -> bool {
        if cold_ms == 0 {
            return false;
        }
        let until = now + Duration::from_millis(u64::from(cold_ms));
        let known = self.cold_until.unwrap_or(now);
        if until <= known {
            return false;
        }
        self.cold_until = Some(until);
        until.saturating_duration_since(known) > COLD_TOLD
    }

    /// Returns the record as it is told at a moment.
    fn told(&self, now: Instant) -> TargetRecord {
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
    held: HashMap<String, Held>,
    number: u64,
    /// The services that the configuration names, as far as was needed.
    services: Option<ServiceNames>,
    /// Services whose targets tell their birth. A heartbeat for one of these without it comes from another
    /// writer.
    born_services: HashSet<String>,
    /// The heartbeats that came to this host lately, in their order.
    heard_log: VecDeque<(Instant, String)>,
    /// The targets by the number of the change that last altered them.
    by_change: BTreeMap<u64, String>,
}

/// Records that changed, in the order of their changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ChangedTargets {
    /// The records.
    pub records: Vec<TargetRecord>,
    /// The number of the last change that they bring their reader to.
    pub number: u64,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the newest change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Takes a heartbeat that came to this host.
    pub fn take_heartbeat(&mut self, record: TargetRecord, now: Instant) -> RegistryChange {
        if self.age_of(&record.id, record.born) == StartAge::Former {
            return RegistryChange::Nothing;
        }
        let id = record.id.clone();
        let change = self.merge(record, now, now);
        if self.held.contains_key(&id) {
            self.note_heard_here(id, now);
        }
        change
    }

    /// Takes the word of a target that it leaves, of the start that it names or the newest; `None` where the
    /// target is not known.
    pub fn take_leave(
        &mut self,
        id: &str,
        born: Option<u64>,
        now: Instant,
    ) -> Option<RegistryChange> {
        let mut record = self.held.get(id)?.record.clone();
        if born.is_some_and(|born| born < record.born) {
            return Some(RegistryChange::Nothing);
        }
        record.state = TargetState::Gone;
        Some(self.merge(record, now, now))
    }

    /// Takes a record from another control host.
    pub fn take_record(&mut self, record: TargetRecord, now: Instant) -> RegistryChange {
        if !record.silent {
            // How lately the target was heard comes apart from its record. Until then it is taken
            // as heard now, so that it is not called silent before its next heartbeat.
            return self.merge(record, now, now);
        }
        match self.age_of(&record.id, record.born) {
            StartAge::Former => return RegistryChange::Nothing,
            StartAge::Newer => return self.replace(record, now, now),
            StartAge::Known => {}
        }
        match self.held.get(&record.id) {
            // Silence there is no news here: this host may have heard the target itself.
            Some(held) if held.record.state >= record.state => RegistryChange::Nothing,
            Some(held) => {
                let mut known = held.record.clone();
                known.state = record.state;
                let heard = held.heard;
                self.merge(known, heard, now)
            }
            None => self.insert(record, now, now),
        }
    }

    /// Takes the news that another control host heard a target.
    pub fn take_heard(&mut self, heard: &HeardTarget, now: Instant) -> RegistryChange {
        let contested = self.is_contested(&heard.id);
        let held = self.held.get_mut(&heard.id);
        let Some(held) = held.filter(|held| held.record.born == heard.born) else {
            return RegistryChange::Nothing;
        };
        let at = now
            .checked_sub(Duration::from_millis(heard.age_ms))
            .unwrap_or(now);
        held.heard = held.heard.max(at);
        held.record.sequence = held.record.sequence.max(heard.sequence);
        if !held.record.silent || contested {
            return RegistryChange::Nothing;
        }
        held.record.silent = false;
        let record = held.record.clone();
        self.mark_changed(&record.id);
        self.retire_others(&record, now);
        RegistryChange::Registered
    }

    /// Marks targets that were not heard for `span` as silent and forgets those long gone; returns
    /// the identities that became silent.
    pub fn expire(&mut self, now: Instant, span: Duration) -> Vec<String> {
        let by_change = &mut self.by_change;
        self.held.retain(|_, held| {
            let kept = held.record.state != TargetState::Gone || now - held.heard < GONE_KEPT;
            if !kept {
                by_change.remove(&held.changed);
            }
            kept
        });
        let mut silent = Vec::new();
        for held in self.held.values_mut() {
            let late = now.saturating_duration_since(held.heard) > span;
            if late && !held.record.silent && held.record.state != TargetState::Gone {
                held.record.silent = true;
                silent.push(held.record.id.clone());
            }
        }
        silent.iter().for_each(|id| self.mark_changed(id));
        silent
    }

    /// Returns the first records that changed after a change number, so many at most.
    pub fn changed_after(&self, number: u64, most: usize, now: Instant) -> ChangedTargets {
        let after = self.by_change.range(number.saturating_add(1)..).take(most);
        let held = after.filter_map(|(change, id)| Some((*change, self.held.get(id)?)));
        let held: Vec<(u64, &Held)> = held.collect();
        let is_rest = held.len() < most;
        let last = held.last().map_or(number, |(change, _)| *change);
        ChangedTargets {
            records: held.iter().map(|(_, held)| held.told(now)).collect(),
            number: if is_rest {
                self.number.max(number)
            } else {
                last
            },
        }
    }

    /// Returns the records that changed after a change number and get no new work.
    pub fn withdrawn_after(&self, number: u64, now: Instant) -> Vec<TargetRecord> {
        let after = self.by_change.range(number.saturating_add(1)..);
        let held = after.filter_map(|(_, id)| self.held.get(id));
        let withdrawn = held.filter(|held| held.record.state > TargetState::Ready);
        withdrawn.map(|held| held.told(now)).collect()
    }

    /// Gives a target the number of a new change.
    fn mark_changed(&mut self, id: &str) {
        let Some(held) = self.held.get_mut(id) else {
            return;
        };
        self.by_change.remove(&held.changed);
        self.number += 1;
        held.changed = self.number;
        self.by_change.insert(self.number, id.to_owned());
    }

    /// Returns when the newest start of a target began; nothing where the target is not known.
    pub fn born_of(&self, id: &str) -> Option<u64> {
        Some(self.held.get(id)?.record.born)
    }

    /// Returns every record.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.held.values().map(|held| &held.record)
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
    pub fn heard_since(&self, since: Option<Instant>, now: Instant) -> Vec<HeardTarget> {
        let begin = now.checked_sub(HEARD_WINDOW).unwrap_or(now);
        let since = since.map_or(begin, |since| since.max(begin));
        let mut told = HashSet::new();
        let lately = self.heard_log.iter().rev();
        let lately = lately.take_while(|(at, _)| *at >= since);
        let lately = lately.filter(|(_, id)| told.insert(id.as_str()));
        let heard = lately.filter_map(|(at, id)| {
            let record = &self.held.get(id)?.record;
            Some(HeardTarget {
                id: record.id.clone(),
                born: record.born,
                sequence: record.sequence,
                age_ms: now.saturating_duration_since(*at).as_millis() as u64,
            })
        });
        heard.collect()
    }

    /// Notes that a heartbeat of a target came to this host.
    fn note_heard_here(&mut self, id: String, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > HEARD_WINDOW;
        while self.heard_log.front().is_some_and(|(at, _)| is_old(at)) {
            self.heard_log.pop_front();
        }
        self.heard_log.push_back((now, id));
    }

    /// Says how a start of a target stands to the one that is held under its identity.
    fn age_of(&self, id: &str, born: u64) -> StartAge {
        match self.held.get(id).map(|held| born.cmp(&held.record.born)) {
            Some(Ordering::Less) => StartAge::Former,
            Some(Ordering::Greater) => StartAge::Newer,
            Some(Ordering::Equal) | None => StartAge::Known,
        }
    }

    /// Takes a newer start, of which nothing holds that was known of the one before.
    fn replace(&mut self, record: TargetRecord, heard: Instant, now: Instant) -> RegistryChange {
        if let Some(former) = self.held.remove(&record.id) {
            self.by_change.remove(&former.changed);
        }
        self.insert(record, heard, now)
    }

    fn merge(&mut self, record: TargetRecord, heard: Instant, now: Instant) -> RegistryChange {
        match self.age_of(&record.id, record.born) {
            StartAge::Former => return RegistryChange::Nothing,
            StartAge::Newer => return self.replace(record, heard, now),
            StartAge::Known => {}
        }
        let contested = self.is_contested(&record.id);
        let Some(held) = self.held.get_mut(&record.id) else {
            return self.insert(record, heard, now);
        };
        let colder = held.take_cold(record.cold_ms, now);
        let state = held.record.state.max(record.state);
        let newer = record.sequence > held.record.sequence;
        let before = held.record.clone();
        if newer {
            held.record = record;
            // A control host of an earlier build tells none.
            if held.record.version.is_empty() {
                held.record.version.clone_from(&before.version);
            }
        }
        held.record.state = state;
        held.record.silent = before.silent && (contested || heard <= held.heard);
        let returns = before.silent && !held.record.silent;
        held.heard = held.heard.max(heard);
        let worsened = state > before.state;
        let differs = worsened
            || colder
            || before.silent != held.record.silent
            || held.record.address != before.address
            || held.record.slots != before.slots
            || held.record.version != before.version;
        if !differs {
            return RegistryChange::Nothing;
        }
        let record = held.record.clone();
        self.mark_changed(&record.id);
        if returns {
            self.retire_others(&record, now);
        }
        if worsened {
            RegistryChange::Withdrawn
        } else {
            RegistryChange::Registered
        }
    }

    fn insert(&mut self, mut record: TargetRecord, heard: Instant, now: Instant) -> RegistryChange {
        if record.born > 0 {
            self.born_services.insert(record.service.clone());
        } else if self.born_services.contains(&record.service) {
            return RegistryChange::Nothing;
        }
        let starts = record.sequence <= FIRST_HEARTBEATS && !record.silent;
        if !(starts && self.is_named(&record.service)) && self.has_live_other(&record) {
            // Perhaps a late heartbeat of a start that is over, or one of another writer. Taking its word ended
            // the target that is there, for good; it waits until that one is silent.
            record.silent = true;
        }
        if record.state == TargetState::Ready && !record.silent {
            self.retire_others(&record, now);
        }
        let (state, id) = (record.state, record.id.clone());
        let mut held = Held {
            heard,
            changed: 0,
            cold_until: None,
            record,
        };
        held.take_cold(held.record.cold_ms, now);
        self.held.insert(id.clone(), held);
        self.mark_changed(&id);
        if state == TargetState::Ready {
            RegistryChange::Registered
        } else {
            RegistryChange::Withdrawn
        }
    }
}
