//! Weights of the data halls for the prompts of a service.

use crate::target::TargetStore;

/// Minimum weight of a data hall.
const MIN_WEIGHT: f64 = 0.02;

/// The amount of work that the engines of each data hall should get, relative to other halls.
#[derive(Debug, Default)]
pub(crate) struct HallWeights<'a> {
    by_hall: Vec<(&'a str, f64)>,
}

impl<'a> HallWeights<'a> {
    /// Creates weights by which each data hall gets requests in proportion to its targets for the
    /// stages with large results, so that these need not cross halls.
    pub(crate) fn new(store: &'a TargetStore, service: &str, stage_service: &str) -> Self {
        let stages = store.hall_counts(stage_service);
        let weight = |(hall, engines): &'a (String, u32)| {
            let found = stages.iter().find(|(other, _)| other == hall);
            let stages = found.map_or(0.0, |(_, count)| f64::from(*count));
            // A hall without stage targets still serves prompts that need none.
            let weight = (stages / f64::from(*engines)).max(MIN_WEIGHT);
            (hall.as_str(), weight)
        };
        Self {
            by_hall: store.hall_counts(service).iter().map(weight).collect(),
        }
    }

    pub(super) fn of(&self, hall: &str) -> f64 {
        let found = self.by_hall.iter().find(|(other, _)| *other == hall);
        found.map_or(1.0, |(_, weight)| *weight)
    }
}
