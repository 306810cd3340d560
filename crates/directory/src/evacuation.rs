//! Evacuations: data halls whose targets get no new work, by an operator's order.
//!
//! An order goes through the replicated log like the configuration, but is independent of its
//! versions. Each change to a hall raises the hall's revision, and of two states of a hall the one
//! with the higher revision is in force, so no process returns to an older state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The evacuation state of one hall.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallEvacuation {
    /// Rises with each change; 0 before any order.
    pub revision: u64,
    /// Whether targets of the hall get no new work.
    pub evacuated: bool,
}

/// An operator's order, as a control host proposes it to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Name of the data hall.
    pub hall: String,
    /// Whether to evacuate the hall, or to return it to service.
    pub evacuated: bool,
    /// Revision of the hall that the control host knew when the order arrived. A duplicate of the
    /// order that is committed late, after other orders, carries an outdated revision and changes
    /// nothing.
    pub seen_revision: u64,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOutcome {
    /// The hall is in the ordered state.
    InEffect(HallEvacuation),
    /// The hall has changed since the revision that the order carries; the order was not applied.
    Outdated(HallEvacuation),
}

/// The evacuation state of every hall that was ever named in an order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStore {
    halls: BTreeMap<String, HallEvacuation>,
}

impl EvacuationStore {
    /// Returns the evacuation state of a hall.
    pub fn state_of(&self, hall: &str) -> HallEvacuation {
        self.halls.get(hall).copied().unwrap_or_default()
    }

    /// Returns whether targets of a hall get no new work.
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.state_of(hall).evacuated
    }

    /// Returns the evacuated halls.
    pub fn evacuated_halls(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.halls.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(hall, _)| hall.as_str())
    }

    /// Returns the sum of the revisions of all halls, which rises with each change of any hall.
    pub fn total_revision(&self) -> u64 {
        self.halls.values().map(|state| state.revision).sum()
    }

    /// Applies a committed order.
    pub fn apply(&mut self, order: &EvacuationOrder) -> EvacuationOutcome {
        let known = self.state_of(&order.hall);
        if known.evacuated == order.evacuated {
            return EvacuationOutcome::InEffect(known);
        }
        if known.revision != order.seen_revision {
            return EvacuationOutcome::Outdated(known);
        }
        let state = HallEvacuation {
            revision: known.revision + 1,
            evacuated: order.evacuated,
        };
        self.halls.insert(order.hall.clone(), state);
        EvacuationOutcome::InEffect(state)
    }

    /// Merges the state that another process has; returns the halls that this returned to service.
    pub fn merge(&mut self, other: &Self) -> Vec<String> {
        let mut returned = Vec::new();
        for (hall, state) in &other.halls {
            let known = self.state_of(hall);
            if state.revision <= known.revision {
                continue;
            }
            if known.evacuated && !state.evacuated {
                returned.push(hall.clone());
            }
            self.halls.insert(hall.clone(), *state);
        }
        returned
    }
}

#[cfg(test)]
mod tests;
