//! The roll-outs of all services, as a state machine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{RolloutCause, RolloutOrder, RolloutRecord, RolloutState, VersionStatus};

/// Roll-outs of one service that are remembered.
const MAX_RECORDS_PER_SERVICE: usize = 8;

/// How long after its time an order counts as a repeat of the one that has ended, in milliseconds: its
/// acknowledgement may have been lost.
const REPEAT_WINDOW_MS: u64 = 10_000;

/// The share that goes to a version once all requests do, in thousandths.
const FULL_PERMILLE: u16 = 1_000;

/// A change of the book.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Change nothing, and answer what is held.
    Query {
        /// The service.
        service: String,
    },
    /// Begin a roll-out.
    Start {
        /// What the operator asked.
        order: RolloutOrder,
        /// The versions that targets of the service have, without the one that is asked.
        former: Vec<String>,
        /// When the order came, in Unix milliseconds.
        now_ms: u64,
    },
    /// Send another share of the requests to the version.
    SetShare {
        /// The service.
        service: String,
        /// The roll-out that is meant, by [`RolloutRecord::revision`] and [`RolloutRecord::step`].
        expected: (u64, u64),
        /// The share, in thousandths.
        permille: u16,
        /// What decided it.
        cause: RolloutCause,
    },
    /// End a roll-out.
    Finish {
        /// The service.
        service: String,
        /// The roll-out that is meant, by its revision.
        revision: u64,
        /// Whether all requests go to the version from now on, or none.
        completed: bool,
        /// What decided it.
        cause: RolloutCause,
    },
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// The newest roll-out of the service is this one; nothing where there never was any.
    Newest(Option<RolloutRecord>),
    /// Another one is under way, so that none was begun.
    InProgress(RolloutRecord),
}

/// The newest roll-outs of each service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStore {
    /// By service, the newest last.
    services: BTreeMap<String, Vec<RolloutRecord>>,
}

impl RolloutStore {
    /// Returns the newest roll-out of a service.
    pub fn newest(&self, service: &str) -> Option<&RolloutRecord> {
        self.services.get(service)?.last()
    }

    /// Returns the roll-outs of a service that are remembered, the oldest first.
    pub fn history(&self, service: &str) -> &[RolloutRecord] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the newest roll-out of each service.
    pub fn all_newest(&self) -> impl Iterator<Item = (&str, &RolloutRecord)> {
        let all = self.services.iter();
        all.filter_map(|(service, records)| Some((service.as_str(), records.last()?)))
    }

    /// Returns the roll-outs that are under way.
    pub fn in_progress(&self) -> impl Iterator<Item = (&str, &RolloutRecord)> {
        self.all_newest().filter(|(_, one)| one.is_in_progress())
    }

    /// Says what holds of targets of a version.
    pub fn version_status(&self, service: &str, version: &str) -> VersionStatus {
        let newest = self.newest(service);
        newest.map_or(VersionStatus::Unrestricted, |one| {
            one.version_status(version)
        })
    }

    /// Takes a committed command.
    pub fn apply(&mut self, command: &RolloutCommand) -> RolloutOutcome {
        match command {
            RolloutCommand::Query { service } => self.held(service),
            RolloutCommand::Start {
                order,
                former,
                now_ms,
            } => self.begin(order, former, *now_ms),
            RolloutCommand::SetShare {
                service,
                expected,
                permille,
                cause,
            } => {
                let newest = self.newest_mut(service);
                let matching = newest.filter(|one| (one.revision, one.step) == *expected);
                if let Some(record) = matching.filter(|one| one.is_in_progress()) {
                    record.permille = (*permille).min(FULL_PERMILLE);
                    record.cause = cause.clone();
                    record.step += 1;
                }
                self.held(service)
            }
            RolloutCommand::Finish {
                service,
                revision,
                completed,
                cause,
            } => {
                let newest = self.newest_mut(service);
                let matching =
                    newest.filter(|one| one.revision == *revision && one.is_in_progress());
                if let Some(record) = matching {
                    end(record, *completed, cause.clone());
                }
                self.held(service)
            }
        }
    }

    fn begin(&mut self, order: &RolloutOrder, former: &[String], now_ms: u64) -> RolloutOutcome {
        if let Some(newest) = self.newest(&order.service) {
            if is_repeat(newest, order, now_ms) {
                return RolloutOutcome::Newest(Some(newest.clone()));
            }
            if newest.is_in_progress() {
                return RolloutOutcome::InProgress(newest.clone());
            }
        }
        let records = self.services.entry(order.service.clone()).or_default();
        let record = RolloutRecord {
            revision: records.last().map_or(0, |last| last.revision) + 1,
            step: 0,
            version: order.version.clone(),
            former: former.to_vec(),
            started_ms: now_ms,
            duration_ms: order.duration_ms,
            permille: 0,
            state: RolloutState::InProgress,
            cause: RolloutCause::Ordered,
        };
        records.push(record.clone());
        let past = records.len().saturating_sub(MAX_RECORDS_PER_SERVICE);
        records.drain(..past);
        RolloutOutcome::Newest(Some(record))
    }

    /// Takes what another process knows; says whether that is news.
    pub fn merge(&mut self, reported: &Self) -> bool {
        let mut changed = false;
        for (service, records) in &reported.services {
            let Some(last) = records.last() else {
                continue;
            };
            let age = |one: &RolloutRecord| (one.revision, one.step);
            if self
                .newest(service)
                .is_none_or(|known| age(known) < age(last))
            {
                self.services.insert(service.clone(), records.clone());
                changed = true;
            }
        }
        changed
    }

    fn held(&self, service: &str) -> RolloutOutcome {
        RolloutOutcome::Newest(self.newest(service).cloned())
    }

    fn newest_mut(&mut self, service: &str) -> Option<&mut RolloutRecord> {
        self.services.get_mut(service)?.last_mut()
    }
}

fn end(record: &mut RolloutRecord, completed: bool, cause: RolloutCause) {
    (record.state, record.permille) = match completed {
        true => (RolloutState::Completed, FULL_PERMILLE),
        false => (RolloutState::Reverted, 0),
    };
    record.cause = cause;
    record.step += 1;
}

/// Says whether an order asks what is under way or was done already. One that was reverted may be asked anew
/// later, when its targets have been mended.
fn is_repeat(known: &RolloutRecord, order: &RolloutOrder, now_ms: u64) -> bool {
    if known.version != order.version {
        return false;
    }
    let is_recent = known.started_ms + known.duration_ms + REPEAT_WINDOW_MS > now_ms;
    match known.state {
        RolloutState::InProgress => known.duration_ms == order.duration_ms,
        RolloutState::Completed => true,
        RolloutState::Reverted => known.duration_ms == order.duration_ms && is_recent,
    }
}

#[cfg(test)]
mod tests;
