//! Parts of stage pools.
//!
//! One entry host gathers the pieces for a pool, which fills calls best. What it sends and decides
//! grows with the pool, so a large one is split into parts by data hall, and a large hall again, each
//! with a host of its own.

use std::collections::{BTreeMap, HashMap};

use linnet_directory::TargetRecord;
use serde::{Deserialize, Serialize};

use crate::rendezvous;

/// The most targets for which one host gathers pieces.
const MAX_PART_TARGETS: usize = 24;

/// A part of the targets of one data hall.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolPart {
    /// The hall.
    pub hall: String,
    /// Which of its parts, from 0.
    pub number: u16,
    /// How many parts the hall has.
    pub of: u16,
}

/// A stage pool, or a part of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolKey {
    /// The service whose targets are meant.
    pub service: String,
    /// The part; nothing for all of them.
    pub part: Option<PoolPart>,
}

impl PoolKey {
    /// Names all targets of a service.
    pub fn whole(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            part: None,
        }
    }

    /// Returns the data hall of the part.
    pub(crate) fn hall(&self) -> Option<&str> {
        self.part.as_ref().map(|part| part.hall.as_str())
    }

    /// Says whether a target belongs to it. This follows from the key alone, so that a part that was
    /// made when the pool had another size still has its targets.
    pub(crate) fn holds(&self, record: &TargetRecord) -> bool {
        let in_part = |part: &PoolPart| {
            let number = rendezvous::score(&part.hall, &record.id) % u64::from(part.of.max(1));
            part.hall == record.hall && number == u64::from(part.number)
        };
        record.service == self.service && self.part.as_ref().is_none_or(in_part)
    }

    /// Returns the text by which hosts are ranked for it.
    pub(crate) fn label(&self) -> String {
        match &self.part {
            None => self.service.clone(),
            Some(part) => format!("{}/{}/{}", self.service, part.hall, part.number),
        }
    }
}

/// The parts of every pool, with the number of their targets.
#[derive(Debug, Default)]
pub(crate) struct PoolMap {
    parts: HashMap<String, Vec<(PoolKey, u32)>>,
}

impl PoolMap {
    /// Splits the pools of these targets.
    pub(crate) fn new(records: &[TargetRecord]) -> Self {
        let mut by_service: BTreeMap<&str, Vec<&TargetRecord>> = BTreeMap::new();
        for record in records {
            by_service.entry(&record.service).or_default().push(record);
        }
        let parts = by_service
            .into_iter()
            .map(|(service, records)| (service.to_owned(), split(service, &records)));
        Self {
            parts: parts.collect(),
        }
    }

    /// Returns the parts of a pool.
    pub(crate) fn parts_of(&self, service: &str) -> &[(PoolKey, u32)] {
        self.parts.get(service).map_or(&[], Vec::as_slice)
    }
}

fn split(service: &str, records: &[&TargetRecord]) -> Vec<(PoolKey, u32)> {
    if records.len() <= MAX_PART_TARGETS {
        return vec![(PoolKey::whole(service), records.len() as u32)];
    }
    let mut halls: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        *halls.entry(&record.hall).or_default() += 1;
    }
    let keys = halls.into_iter().flat_map(|(hall, count)| {
        let of = count.div_ceil(MAX_PART_TARGETS) as u16;
        (0..of).map(move |number| PoolKey {
            service: service.to_owned(),
            part: Some(PoolPart {
                hall: hall.to_owned(),
                number,
                of,
            }),
        })
    });
    let counted = keys.map(|key| {
        let held = records.iter().filter(|record| key.holds(record)).count();
        (key, held as u32)
    });
    counted.filter(|(_, count)| *count > 0).collect()
}

#[cfg(test)]
mod tests;
