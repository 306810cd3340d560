//! Measures how many pieces per second arrive at a pool, by rank.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::figures::{MAX_FIGURE, decay};

/// Time constant of the rates.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Maximum number of ranks with a rate of their own.
const MAX_RANKS: usize = 64;

/// Lower rates, in pieces per second, are dropped: they are rounded to 0.
const MIN_RATE: f64 = 0.5;

/// Pieces of a rank, decayed.
#[derive(Debug, Clone, Copy)]
struct RankArrivals {
    pieces: f64,
    updated_at: Instant,
}

impl RankArrivals {
    fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.pieces * decay(elapsed, RATE_TIME) / RATE_TIME.as_secs_f64()
    }
}

/// Arriving pieces per second, by rank.
#[derive(Debug)]
pub(crate) struct ArrivalMeter<R> {
    ranks: BTreeMap<R, RankArrivals>,
}

impl<R> Default for ArrivalMeter<R> {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
        }
    }
}

impl<R: Copy + Ord> ArrivalMeter<R> {
    pub(crate) fn record(&mut self, rank: R, pieces: u32, now: Instant) {
        if !self.ranks.contains_key(&rank) {
            self.make_room(now);
        }
        let none = RankArrivals {
            pieces: 0.0,
            updated_at: now,
        };
        let arrivals = self.ranks.entry(rank).or_insert(none);
        let faded = arrivals.rate(now) * RATE_TIME.as_secs_f64();
        arrivals.pieces = (faded + f64::from(pieces)).min(MAX_FIGURE);
        arrivals.updated_at = arrivals.updated_at.max(now);
    }

    /// Returns the rates by rank, without those that are rounded to 0.
    pub(crate) fn rates(&self, now: Instant) -> Vec<(R, u32)> {
        let rates = self.ranks.iter().map(|(rank, one)| (*rank, one.rate(now)));
        let current = rates.filter(|(_, rate)| *rate >= MIN_RATE);
        current
            .map(|(rank, rate)| (rank, rate.round() as u32))
            .collect()
    }

    /// Drops faded ranks, and the lowest rate if there are still too many.
    fn make_room(&mut self, now: Instant) {
        if self.ranks.len() < MAX_RANKS {
            return;
        }
        self.ranks.retain(|_, one| one.rate(now) >= MIN_RATE);
        if self.ranks.len() < MAX_RANKS {
            return;
        }
        let rates = self.ranks.iter().map(|(rank, one)| (*rank, one.rate(now)));
        let lowest = rates.min_by(|one, other| one.1.total_cmp(&other.1));
        if let Some((rank, _)) = lowest {
            self.ranks.remove(&rank);
        }
    }
}
