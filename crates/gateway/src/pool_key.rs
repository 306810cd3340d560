//! Parts of stage pools.
//!
//! One entry host gathers the pieces for a pool, which fills calls best. What it sends and decides
//! grows with the pool, so a large one is split into parts by data hall, and a large hall again, each
//! with a host of its own.

use std::collections::{BTreeMap, HashMap};

use linnet_directory::TargetRecord;
use serde::{Deserialize, Serialize};

use crate::caller_request::Prompt;
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
        record.service == self.service && self.holds_target(&record.hall, &record.id)
    }

    /// Says whether a target of its service belongs to it, by the target's hall and identity.
    pub(crate) fn holds_target(&self, hall: &str, id: &str) -> bool {
        self.part
            .as_ref()
            .is_none_or(|part| part.hall == hall && part.number == part_number(hall, id, part.of))
    }

    /// Returns the text by which hosts are ranked for it.
    pub(crate) fn label(&self) -> String {
        match &self.part {
            None => self.service.clone(),
            Some(part) => format!("{}/{}/{}", self.service, part.hall, part.number),
        }
    }
}

/// The most engines among which one host places prompts: it looks at each of them for each prompt.
const MAX_PLACED_TARGETS: u32 = 192;

/// Names the engines among which a prompt is placed: all of a service, or a part of one hall where they are many. The
/// prompts with the same shared parts come to the same engines, which hold them then.
pub(crate) fn place_key(service: &str, halls: &[(String, u32)], prompt: &Prompt) -> PoolKey {
    let all: u32 = halls.iter().map(|(_, count)| count).sum();
    if all <= MAX_PLACED_TARGETS {
        return PoolKey::whole(service);
    }
    let key = prompt.affinity_key();
    let parts = halls.iter().flat_map(|(hall, count)| {
        let of = count.div_ceil(MAX_PLACED_TARGETS) as u16;
        let weight = f64::from(*count) / f64::from(of);
        (0..of).map(move |number| {
            let part = PoolPart {
                hall: hall.clone(),
                number,
                of,
            };
            let label = format!("{hall}/{number}");
            (key.weighted_score(&label, weight), part)
        })
    });
    let first = parts.max_by(|a, b| a.0.total_cmp(&b.0));
    PoolKey {
        service: service.to_owned(),
        part: first.map(|(_, part)| part),
    }
}

/// Returns in which of so many parts of its hall a target is.
fn part_number(hall: &str, id: &str, of: u16) -> u16 {
    (rendezvous::score(hall, id) % u64::from(of.max(1))) as u16
}

/// The parts of every pool, with the number of their targets.
#[derive(Debug, Default)]
pub(crate) struct PoolMap {
    parts: HashMap<String, Vec<(PoolKey, u32)>>,
}

impl PoolMap {
    /// Splits the pools of these targets, each given by its service, hall and identity.
    pub(crate) fn new<'a>(targets: impl Iterator<Item = (&'a str, &'a str, &'a str)>) -> Self {
        let mut by_service: BTreeMap<&str, HallTargets<'_>> = BTreeMap::new();
        for (service, hall, id) in targets {
            let halls = by_service.entry(service).or_default();
            halls.entry(hall).or_default().push(id);
        }
        let parts = by_service
            .into_iter()
            .map(|(service, halls)| (service.to_owned(), split(service, &halls)));
        Self {
            parts: parts.collect(),
        }
    }

    /// Takes the pool of one service anew, from the hall and identity of each of its targets.
    pub(crate) fn replace<'a>(
        &mut self,
        service: &str,
        targets: impl Iterator<Item = (&'a str, &'a str)>,
    ) {
        let mut halls = HallTargets::new();
        for (hall, id) in targets {
            halls.entry(hall).or_default().push(id);
        }
        match halls.is_empty() {
            true => self.parts.remove(service),
            false => self
                .parts
                .insert(service.to_owned(), split(service, &halls)),
        };
    }

    /// Returns the parts of a pool.
    pub(crate) fn parts_of(&self, service: &str) -> &[(PoolKey, u32)] {
        self.parts.get(service).map_or(&[], Vec::as_slice)
    }
}

/// The targets of one service by hall.
type HallTargets<'a> = BTreeMap<&'a str, Vec<&'a str>>;

fn split(service: &str, halls: &HallTargets<'_>) -> Vec<(PoolKey, u32)> {
    let all: usize = halls.values().map(Vec::len).sum();
    if all <= MAX_PART_TARGETS {
        return vec![(PoolKey::whole(service), all as u32)];
    }
    let parts = halls.iter().flat_map(|(hall, ids)| {
        let of = ids.len().div_ceil(MAX_PART_TARGETS) as u16;
        let key = move |number| PoolKey {
            service: service.to_owned(),
            part: Some(PoolPart {
                hall: (*hall).to_owned(),
                number,
                of,
            }),
        };
        let counts = count_parts(hall, ids, of).into_iter();
        (0..of).map(key).zip(counts)
    });
    parts.filter(|(_, count)| *count > 0).collect()
}

/// Counts the targets in each of so many parts of a hall, in one walk over them: a walk for each part would take a
/// time that grows with the square of the pool.
fn count_parts(hall: &str, ids: &[&str], of: u16) -> Vec<u32> {
    let mut counts = vec![0; usize::from(of)];
    for id in ids {
        counts[usize::from(part_number(hall, id, of))] += 1;
    }
    counts
}

#[cfg(test)]
mod tests;
