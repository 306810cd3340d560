//! Divides a capacity by weighted max-min fairness.

/// What an account asks for, and the weight of its share.
#[derive(Debug, Clone, Copy)]
pub struct WeightedDemand {
    /// Demand, in units per second.
    pub demand: f64,
    /// Weight, above zero.
    pub weight: f64,
}

/// Returns the factor `f` for which the sum of `min(demand, f * weight)` equals the capacity.
///
/// Infinite if the capacity is sufficient for all demand.
pub fn fill_factor(demands: &[WeightedDemand], capacity: f64) -> f64 {
    let mut demands = demands.to_vec();
    demands.sort_by(|a, b| (a.demand / a.weight).total_cmp(&(b.demand / b.weight)));
    let mut capacity = capacity;
    let mut weight: f64 = demands.iter().map(|entry| entry.weight).sum();
    for entry in &demands {
        let factor = capacity / weight;
        if entry.demand > factor * entry.weight {
            return factor;
        }
        capacity -= entry.demand;
        weight -= entry.weight;
    }
    f64::INFINITY
}
