//! The roll-outs of all services, as a state machine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{RolloutCause, RolloutOrder, RolloutRecord, RolloutState, VersionStatus};

/// Roll-out records that are retained for each service.
const MAX_RECORDS_PER_SERVICE: usize = 8;

/// Time after the planned end of a roll-out during which the same order counts as a repeat of it:
/// the acknowledgement of the first order may have been lost.
const REPEAT_WINDOW_MS: u64 = 10_000;

/// The share of a version that receives all requests, in thousandths.
const FULL_PERMILLE: u16 = 1_000;

/// A command for the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Change nothing and return the newest roll-out.
    Query {
        /// The service.
        service: String,
    },
    /// Start a roll-out.
    Start {
        /// The operator's order.
        order: RolloutOrder,
        /// The versions of the service's current targets, without the ordered one.
        former: Vec<String>,
        /// When the order was received, in Unix milliseconds.
        now_ms: u64,
    },
    /// Change the share of requests that the version receives.
    SetShare {
        /// The service.
        service: String,
        /// The expected [`RolloutRecord::revision`] and [`RolloutRecord::step`]; the command is
        /// ignored if they differ.
        expected: (u64, u64),
        /// The share, in thousandths.
        permille: u16,
        /// The reason.
        cause: RolloutCause,
    },
    /// End a roll-out.
    Finish {
        /// The service.
        service: String,
        /// The revision of the roll-out; the command is ignored if it differs.
        revision: u64,
        /// Whether the version receives all requests from now on, or none.
        completed: bool,
        /// The reason.
        cause: RolloutCause,
    },
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// The newest roll-out of the service, if there has been any.
    Newest(Option<RolloutRecord>),
    /// Another roll-out is in progress, so none was started.
    InProgress(RolloutRecord),
}

/// The most recent roll-outs of each service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStore {
    /// Records by service, the newest last.
    services: BTreeMap<String, Vec<RolloutRecord>>,
}

impl RolloutStore {
    /// Returns the newest roll-out of a service.
    pub fn newest(&self, service: &str) -> Option<&RolloutRecord> {
        self.services.get(service)?.last()
    }

    /// Returns the retained roll-outs of a service, the oldest first.
    pub fn history(&self, service: &str) -> &[RolloutRecord] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the newest roll-out of each service.
    pub fn all_newest(&self) -> impl Iterator<Item = (&str, &RolloutRecord)> {
        let all = self.services.iter();
        all.filter_map(|(service, records)| Some((service.as_str(), records.last()?)))
    }

    /// Returns the roll-outs that are in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = (&str, &RolloutRecord)> {
        self.all_newest().filter(|(_, one)| one.is_in_progress())
    }

    /// Returns how targets of a version are treated.
    pub fn version_status(&self, service: &str, version: &str) -> VersionStatus {
        let newest = self.newest(service);
        newest.map_or(VersionStatus::Unrestricted, |one| {
            one.version_status(version)
        })
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &RolloutCommand) -> RolloutOutcome {
        match command {
            RolloutCommand::Query { service } => self.newest_outcome(service),
            RolloutCommand::Start {
                order,
                former,
                now_ms,
            } => self.start(order, former, *now_ms),
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
                self.newest_outcome(service)
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
                    finish(record, *completed, cause.clone());
                }
                self.newest_outcome(service)
            }
        }
    }

    fn start(&mut self, order: &RolloutOrder, former: &[String], now_ms: u64) -> RolloutOutcome {
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
        let excess = records.len().saturating_sub(MAX_RECORDS_PER_SERVICE);
        records.drain(..excess);
        RolloutOutcome::Newest(Some(record))
    }

    /// Merges the records of another process and returns whether anything changed. Of two differing
    /// histories of a service, the one with the later newest record replaces the other.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (service, records) in &other.services {
            let Some(last) = records.last() else {
                continue;
            };
            let position = |one: &RolloutRecord| (one.revision, one.step);
            if self
                .newest(service)
                .is_none_or(|record| position(record) < position(last))
            {
                self.services.insert(service.clone(), records.clone());
                changed = true;
            }
        }
        changed
    }

    fn newest_outcome(&self, service: &str) -> RolloutOutcome {
        RolloutOutcome::Newest(self.newest(service).cloned())
    }

    fn newest_mut(&mut self, service: &str) -> Option<&mut RolloutRecord> {
        self.services.get_mut(service)?.last_mut()
    }
}

fn finish(record: &mut RolloutRecord, completed: bool, cause: RolloutCause) {
    (record.state, record.permille) = match completed {
        true => (RolloutState::Completed, FULL_PERMILLE),
        false => (RolloutState::Reverted, 0),
    };
    record.cause = cause;
    record.step += 1;
}

/// Returns whether an order repeats one that is in progress or done. A version that was reverted
/// may be ordered again later, once its targets have been fixed.
fn is_repeat(record: &RolloutRecord, order: &RolloutOrder, now_ms: u64) -> bool {
    if record.version != order.version {
        return false;
    }
    let is_recent = record.started_ms + record.duration_ms + REPEAT_WINDOW_MS > now_ms;
    match record.state {
        RolloutState::InProgress => record.duration_ms == order.duration_ms,
        RolloutState::Completed => true,
        RolloutState::Reverted => record.duration_ms == order.duration_ms && is_recent,
    }
}

#[cfg(test)]
mod tests;
