//! Evacuations: data halls whose targets get no new work, by an operator's order.
//!
//! An order goes through the replicated log beside the configuration and is independent of its
//! versions. Each change of a hall raises the hall's revision, and of two beliefs about a hall the
//! one with the higher revision holds, so that no process goes back to an older one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What is known of the evacuation of one hall.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallEvacuation {
    /// Rises with each change; 0 before any order.
    pub revision: u64,
    /// Whether targets of the hall get no new work.
    pub evacuated: bool,
}

/// An order of an operator, as a control host hands it to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The data hall.
    pub hall: String,
    /// Whether it is to be evacuated, or taken back.
    pub evacuated: bool,
    /// The revision of the hall that the control host had seen when the order came. A copy of the
    /// order that is committed late, after other orders, names an older one and changes nothing.
    pub seen_revision: u64,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOutcome {
    /// The hall is as the order wants it.
    InEffect(HallEvacuation),
    /// The hall has changed since the revision that the order names; nothing was done.
    Outdated(HallEvacuation),
}

/// The evacuations of all halls for which there ever was an order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStore {
    halls: BTreeMap<String, HallEvacuation>,
}

impl EvacuationStore {
    /// Returns what is known of a hall.
    pub fn state_of(&self, hall: &str) -> HallEvacuation {
        self.halls.get(hall).copied().unwrap_or_default()
    }

    /// Says whether targets of a hall get no new work.
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.state_of(hall).evacuated
    }

    /// Returns the halls that are evacuated.
    pub fn evacuated_halls(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.halls.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(hall, _)| hall.as_str())
    }

    /// Takes a committed order.
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

    /// Takes what another process knows; returns the halls that were taken back by it.
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
