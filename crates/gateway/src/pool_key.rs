//! Partitions of stage pools and of engine pools.
//!
//! A single coordinator per pool fills calls best, but its traffic and work grow with the pool. A
//! large pool is therefore partitioned by data hall, and a large hall again; each partition has a
//! coordinator of its own.

use std::collections::{BTreeMap, HashMap};

use linnet_directory::TargetRecord;
use serde::{Deserialize, Serialize};

use crate::prompt::Prompt;
use crate::rendezvous;

/// Maximum number of targets in a pool with a single coordinator; larger pools are partitioned.
const MAX_PARTITION_TARGETS: usize = 24;

/// A partition of the targets of one data hall.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolPartition {
    /// The data hall.
    pub hall: String,
    /// Index of the partition in its hall, from 0.
    pub index: u16,
    /// Number of partitions in the hall.
    pub partition_count: u16,
}

/// Identifies a pool or a partition of one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolKey {
    /// The service that the targets belong to.
    pub service: String,
    /// The partition; `None` for the complete pool.
    pub partition: Option<PoolPartition>,
}

impl PoolKey {
    /// Returns the key of all targets of a service.
    pub fn whole(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            partition: None,
        }
    }

    /// Returns the data hall of the partition; `None` for a complete pool.
    pub(crate) fn hall(&self) -> Option<&str> {
        self.partition
            .as_ref()
            .map(|partition| partition.hall.as_str())
    }

    /// Returns whether a target belongs to the pool. The result follows from the key alone, so a
    /// partition that was formed when the pool had another size keeps its targets.
    pub(crate) fn contains(&self, record: &TargetRecord) -> bool {
        record.service == self.service && self.contains_target(&record.hall, &record.id)
    }

    /// Returns whether a target of the service, given by hall and id, belongs to the pool.
    pub(crate) fn contains_target(&self, hall: &str, id: &str) -> bool {
        self.partition.as_ref().is_none_or(|partition| {
            partition.hall == hall
                && partition.index == partition_index(hall, id, partition.partition_count)
        })
    }

    /// Returns the label for which entry hosts are ranked by rendezvous hashing.
    pub(crate) fn label(&self) -> String {
        match &self.partition {
            None => self.service.clone(),
            Some(partition) => format!("{}/{}/{}", self.service, partition.hall, partition.index),
        }
    }
}

/// Maximum number of engines with a single placer, which examines each of them for every prompt.
const MAX_PLACER_TARGETS: u32 = 192;

/// Returns the key of the engines among which a prompt is placed: all engines of a service, or a
/// partition of one hall if there are many. Prompts with the same shared parts map to the same
/// engines, which then have these cached.
pub(crate) fn placement_pool_key(
    service: &str,
    halls: &[(String, u32)],
    prompt: &Prompt,
) -> PoolKey {
    let total: u32 = halls.iter().map(|(_, count)| count).sum();
    if total <= MAX_PLACER_TARGETS {
        return PoolKey::whole(service);
    }
    let affinity = prompt.affinity_key();
    let partitions = halls.iter().flat_map(|(hall, count)| {
        let partition_count = count.div_ceil(MAX_PLACER_TARGETS) as u16;
        let weight = f64::from(*count) / f64::from(partition_count);
        (0..partition_count).map(move |index| {
            let partition = PoolPartition {
                hall: hall.clone(),
                index,
                partition_count,
            };
            let label = format!("{hall}/{index}");
            (affinity.weighted_score(&label, weight), partition)
        })
    });
    let best = partitions.max_by(|a, b| a.0.total_cmp(&b.0));
    PoolKey {
        service: service.to_owned(),
        partition: best.map(|(_, partition)| partition),
    }
}

/// Returns the index of the partition of its hall that a target belongs to.
fn partition_index(hall: &str, id: &str, partition_count: u16) -> u16 {
    (rendezvous::score(hall, id) % u64::from(partition_count.max(1))) as u16
}

/// The partitions of every pool, each with its number of targets.
#[derive(Debug, Default)]
pub(crate) struct PoolMap {
    partitions: HashMap<String, Vec<(PoolKey, u32)>>,
}

impl PoolMap {
    /// Partitions the pools of these targets, each given by service, hall and id.
    pub(crate) fn new<'a>(targets: impl Iterator<Item = (&'a str, &'a str, &'a str)>) -> Self {
        let mut by_service: BTreeMap<&str, TargetsByHall<'_>> = BTreeMap::new();
        for (service, hall, id) in targets {
            let halls = by_service.entry(service).or_default();
            halls.entry(hall).or_default().push(id);
        }
        let partitions = by_service
            .into_iter()
            .map(|(service, halls)| (service.to_owned(), split_pool(service, &halls)));
        Self {
            partitions: partitions.collect(),
        }
    }

    /// Replaces the partitions of one service, given the hall and id of each of its targets.
    pub(crate) fn replace_service<'a>(
        &mut self,
        service: &str,
        targets: impl Iterator<Item = (&'a str, &'a str)>,
    ) {
        let mut halls = TargetsByHall::new();
        for (hall, id) in targets {
            halls.entry(hall).or_default().push(id);
        }
        match halls.is_empty() {
            true => self.partitions.remove(service),
            false => self
                .partitions
                .insert(service.to_owned(), split_pool(service, &halls)),
        };
    }

    /// Returns the partitions of the pool of a service.
    pub(crate) fn partitions_of(&self, service: &str) -> &[(PoolKey, u32)] {
        self.partitions.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Ids of the targets of one service, by hall.
type TargetsByHall<'a> = BTreeMap<&'a str, Vec<&'a str>>;

fn split_pool(service: &str, halls: &TargetsByHall<'_>) -> Vec<(PoolKey, u32)> {
    let total: usize = halls.values().map(Vec::len).sum();
    if total <= MAX_PARTITION_TARGETS {
        return vec![(PoolKey::whole(service), total as u32)];
    }
    let partitions = halls.iter().flat_map(|(hall, ids)| {
        let partition_count = ids.len().div_ceil(MAX_PARTITION_TARGETS) as u16;
        let key = move |index| PoolKey {
            service: service.to_owned(),
            partition: Some(PoolPartition {
                hall: (*hall).to_owned(),
                index,
                partition_count,
            }),
        };
        let counts = partition_sizes(hall, ids, partition_count).into_iter();
        (0..partition_count).map(key).zip(counts)
    });
    partitions.filter(|(_, count)| *count > 0).collect()
}

/// Counts the targets in each partition of a hall in a single pass: a pass for each partition would
/// take time quadratic in the size of the pool.
fn partition_sizes(hall: &str, ids: &[&str], partition_count: u16) -> Vec<u32> {
    let mut counts = vec![0; usize::from(partition_count)];
    for id in ids {
        counts[usize::from(partition_index(hall, id, partition_count))] += 1;
    }
    counts
}

#[cfg(test)]
mod tests;
