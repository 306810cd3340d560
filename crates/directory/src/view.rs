//! The directory as an entry host sees it through all control hosts that it follows.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_rollout::{RolloutStore, VersionStatus};

use crate::{
    DirectoryUpdate, EvacuationBook, GatewayRecord, HeldDocument, TargetRecord, TargetState,
};

/// What one control host told.
#[derive(Default)]
struct Source {
    targets: HashMap<String, TargetRecord>,
    gateways: Vec<GatewayRecord>,
    connected: bool,
    /// Whether it told all that there is to tell.
    whole: bool,
}

/// The union of what the control hosts told.
///
/// Invariants: the configuration only moves to a higher version, and the evacuation of a hall to a higher
/// revision; a start of a target that any control host called withdrawn stays withdrawn. What a lost control host
/// told stays until another one has told all there is, so a data hall that is cut off goes on with what it
/// knows, and so does a fleet whose control hosts were all started anew and hear of each target only with
/// its next heartbeat.
#[derive(Default)]
pub struct DirectoryView {
    document: Option<Arc<HeldDocument>>,
    sources: BTreeMap<SocketAddr, Source>,
    /// The newest start of a target that was called withdrawn.
    withdrawn: BTreeMap<String, u64>,
    evacuations: EvacuationBook,
    rollouts: RolloutStore,
    /// Until when targets are cold, by identity.
    cold: HashMap<String, Instant>,
    /// The targets that took work when [`DirectoryView::list_changes`] looked last.
    listed: HashMap<String, TargetRecord>,
    /// The targets of which something was told since then.
    told: BTreeSet<String>,
    /// Whether something changed since then that may concern every target.
    all_changed: bool,
}

/// How the targets that take work have changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChanges {
    /// These are all.
    Whole(Vec<TargetRecord>),
    /// A few have changed: what this costs follows from them, not from the size of the fleet.
    Some {
        /// Those that take work since then, or are another start, or differ.
        listed: Vec<TargetRecord>,
        /// Those that do not any more.
        unlisted: Vec<TargetRecord>,
    },
}

/// How long the targets of a hall count as cold after it was taken back, unless they say that it is
/// longer. They may have become cold a moment before, and say so with their next heartbeat: two
/// periods of 1.2 s.
const COLD_AFTER_EVACUATION: Duration = Duration::from_millis(2_400);

impl DirectoryView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what an update tells of targets and entry hosts.
    pub fn take(&mut self, from: SocketAddr, update: DirectoryUpdate, now: Instant) {
        let source = self.sources.entry(from).or_default();
        if !source.connected {
            // A control host that comes back tells everything it knows anew.
            self.told.extend(source.targets.drain().map(|(id, _)| id));
            *source = Source::default();
            source.connected = true;
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
                note_cold(&mut self.cold, &record.id, until);
            }
            self.told.insert(record.id.clone());
            let known = source.targets.get(&record.id);
            if known.is_none_or(|known| known.born <= record.born) {
                source.targets.insert(record.id.clone(), record);
            }
        }
        if let Some(gateways) = update.gateways {
            source.gateways = gateways;
        }
        if update.lists_whole && !source.whole {
            source.whole = true;
            self.forget_lost();
        }
        if let Some(told) = &update.rollouts {
            self.all_changed |= self.rollouts.merge(told);
        }
        if let Some(told) = &update.evacuations {
            self.all_changed = true;
            let taken_back = self.evacuations.merge(told);
            self.note_taken_back(&taken_back, now);
        }
    }

    fn note_taken_back(&mut self, halls: &[String], now: Instant) {
        let until = now + COLD_AFTER_EVACUATION;
        let sources = self.sources.values();
        let records = sources.flat_map(|source| source.targets.values());
        for record in records.filter(|record| halls.contains(&record.hall)) {
            note_cold(&mut self.cold, &record.id, until);
        }
    }

    /// Returns the roll-outs of services.
    pub fn rollouts(&self) -> &RolloutStore {
        &self.rollouts
    }

    /// Returns the evacuations of halls.
    pub fn evacuations(&self) -> &EvacuationBook {
        &self.evacuations
    }

    /// Takes a configuration; says whether it is newer than the one before.
    pub fn take_document(&mut self, offered: HeldDocument) -> bool {
        let newer = match &self.document {
            Some(held) => offered.version() > held.version(),
            None => true,
        };
        if newer {
            self.document = Some(Arc::new(offered));
        }
        newer
    }

    /// Notes that a control host was lost.
    pub fn lose(&mut self, from: SocketAddr) {
        if let Some(source) = self.sources.get_mut(&from) {
            source.connected = false;
        }
        self.forget_lost();
    }

    fn forget_lost(&mut self) {
        let is_whole = |source: &Source| source.connected && source.whole;
        if self.sources.values().any(is_whole) {
            let lost = self.sources.extract_if(.., |_, source| !source.connected);
            let forgotten = lost.flat_map(|(_, source)| source.targets.into_keys());
            self.told.extend(forgotten);
        }
    }

    /// Returns the newest configuration that was told.
    pub fn document(&self) -> Option<&Arc<HeldDocument>> {
        self.document.as_ref()
    }

    /// Says whether any control host is heard.
    pub fn is_connected(&self) -> bool {
        self.sources.values().any(|source| source.connected)
    }

    fn takes_work(&self, id: &str, record: &TargetRecord) -> bool {
        let withdrawn = self.withdrawn.get(id);
        let withdrew = withdrawn.is_some_and(|born| *born >= record.born);
        let standing = self
            .rollouts
            .version_status(&record.service, &record.version);
        let is_closed = standing == VersionStatus::Excluded;
        !record.silent && !withdrew && !is_closed && !self.evacuations.is_evacuated(&record.hall)
    }

    /// Returns how the targets that take new work have changed since this was last asked.
    pub fn list_changes(&mut self, now: Instant) -> TargetChanges {
        let told = std::mem::take(&mut self.told);
        if std::mem::take(&mut self.all_changed) {
            let ready = self.ready_targets(now);
            let by_id = ready.iter().map(|one| (one.id.clone(), one.clone()));
            self.listed = by_id.collect();
            return TargetChanges::Whole(ready);
        }
        let (mut listed, mut unlisted) = (Vec::new(), Vec::new());
        for id in told {
            let ready = self.ready_target(&id, now);
            let known = self.listed.get(&id);
            match (ready, known) {
                (Some(ready), Some(known)) if ready == *known => {}
                (Some(ready), _) => {
                    self.listed.insert(id, ready.clone());
                    listed.push(ready);
                }
                (None, _) => unlisted.extend(self.listed.remove(&id)),
            }
        }
        TargetChanges::Some { listed, unlisted }
    }

    /// Has a target listed anew with the next look, where it still takes work: whoever asked for the changes has taken
    /// it out by itself.
    pub fn list_again(&mut self, id: &str) {
        if self.listed.remove(id).is_some() {
            self.told.insert(id.to_owned());
        }
    }

    /// Returns how many targets took work when [`DirectoryView::list_changes`] looked last.
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    /// Returns one target, where it takes new work.
    fn ready_target(&self, id: &str, now: Instant) -> Option<TargetRecord> {
        let told = self
            .sources
            .values()
            .filter_map(|source| source.targets.get(id));
        let newest = told.clone().map(|record| record.born).max()?;
        let ready = told.filter(|one| one.born == newest && self.takes_work(id, one));
        // Of records with one sequence the first counts, as for all targets.
        let record = ready.reduce(|known, one| match one.sequence > known.sequence {
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

    /// Returns every target that takes new work as far as is known, and how much longer it is cold.
    pub fn ready_targets(&self, now: Instant) -> Vec<TargetRecord> {
        // The newest start of each target that was told of, and its record where it takes work. A start that is
        // over is not used, also where the next one is silent or told by one host alone.
        let mut starts: BTreeMap<&str, (u64, Option<&TargetRecord>)> = BTreeMap::new();
        for (id, record) in self.sources.values().flat_map(|source| &source.targets) {
            let start = starts.entry(id).or_insert((record.born, None));
            if record.born > start.0 {
                *start = (record.born, None);
            }
            let is_newer = start.1.is_none_or(|known| record.sequence > known.sequence);
            if record.born == start.0 && is_newer && self.takes_work(id, record) {
                start.1 = Some(record);
            }
        }
        let ready = starts.into_values().filter_map(|(_, record)| record);
        ready.map(|record| self.with_cold(record, now)).collect()
    }

    /// Returns every entry host that any control host hears, by name.
    pub fn gateways(&self) -> Vec<GatewayRecord> {
        let all = self.sources.values().flat_map(|source| &source.gateways);
        let mut by_name: BTreeMap<&str, &GatewayRecord> = BTreeMap::new();
        for gateway in all {
            let known = by_name.entry(&gateway.name).or_insert(gateway);
            if gateway.stopping {
                *known = gateway;
            }
        }
        by_name.into_values().cloned().collect()
    }

    /// Forgets withdrawn targets that no control host names any more, and those that are not cold any
    /// more.
    pub fn forget_past(&mut self, now: Instant) {
        self.cold.retain(|_, until| *until > now);
        let sources = &self.sources;
        let is_named = |id: &str| {
            let mut all = sources.values();
            all.any(|source| source.targets.contains_key(id))
        };
        self.withdrawn.retain(|id, _| is_named(id));
    }
}

fn note_cold(cold: &mut HashMap<String, Instant>, id: &str, until: Instant) {
    let known = cold.entry(id.to_owned()).or_insert(until);
    *known = until.max(*known);
}
