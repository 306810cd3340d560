//! The requests and retries of one service at this host.

use std::collections::VecDeque;

use crate::BudgetRule;

/// Number of buckets in a window.
pub(crate) const BUCKETS: u64 = 40;

/// Number of buckets by which a retry may reach its target after it was sent.
const MAX_DELAY: u64 = 1;

/// Weights of the requests of a window and of the window before it. A window is allowed the larger
/// of the two, summed over all hosts. Fixed weights with a sum of 1 stay within that whichever is
/// larger at each host; the larger one of each host would not.
const WINDOW_WEIGHT: f64 = 0.5;
const PREVIOUS_WEIGHT: f64 = 0.5;

#[derive(Debug, Clone, Copy, Default)]
struct BucketCount {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Counts the requests and retries of a service over two windows, in buckets.
#[derive(Debug, Default)]
pub(crate) struct ServiceWindow {
    /// In ascending order of their numbers; without those that count nothing.
    buckets: VecDeque<BucketCount>,
    /// Retries that were allowed and not sent yet.
    pub(crate) reserved: u64,
}

impl ServiceWindow {
    pub(crate) fn add_request(&mut self, bucket: u64) {
        self.bucket_mut(bucket).requests += 1;
    }

    pub(crate) fn add_retry(&mut self, bucket: u64) {
        self.bucket_mut(bucket).retries += 1;
    }

    /// Takes back a retry that reached no target.
    pub(crate) fn remove_retry(&mut self, bucket: u64) {
        let mut buckets = self.buckets.iter_mut();
        if let Some(count) = buckets.find(|count| count.number == bucket) {
            count.retries = count.retries.saturating_sub(1);
        }
    }

    fn bucket_mut(&mut self, number: u64) -> &mut BucketCount {
        let oldest = number.saturating_sub(2 * BUCKETS + MAX_DELAY);
        while self.buckets.front().is_some_and(|one| one.number < oldest) {
            self.buckets.pop_front();
        }
        // A caller with an earlier time adds to the newest bucket.
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(BucketCount {
                number,
                ..BucketCount::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Returns the requests and retries from the start of a bucket on.
    pub(crate) fn counts_since(&self, bucket: u64) -> (u64, u64) {
        let counted = self.buckets.iter().filter(|one| one.number >= bucket);
        counted.fold((0, 0), |(requests, retries), one| {
            (requests + one.requests, retries + one.retries)
        })
    }

    /// Returns how many retries may be sent in bucket `now`, with `slack` retries beyond the share of
    /// the requests, so that each window that includes it stays within the rule.
    ///
    /// A window may start anywhere in a bucket: its requests are counted from the next bucket on,
    /// and its retries from the one before it, since retries of that one may arrive late.
    pub(crate) fn max_retries(&self, rule: &BudgetRule, slack: u64, now: u64) -> u64 {
        let totals = self.totals_until(now);
        let between = |from: u64, to: u64| {
            let (start, end) = (totals.before(from), totals.before(to));
            (end.0 - start.0, end.1 - start.1)
        };
        let end = now + 1;
        let starts = now.saturating_sub(BUCKETS)..=now + MAX_DELAY;
        let left = starts.map(|start| {
            let (in_window, _) = between(start + 1, end);
            let (previous, _) = between((start + 1).saturating_sub(BUCKETS), start);
            let backing = WINDOW_WEIGHT * in_window as f64 + PREVIOUS_WEIGHT * previous as f64;
            let (_, retries) = between(start.saturating_sub(MAX_DELAY), end);
            let allowed = (rule.ratio * backing) as u64 + slack;
            allowed.saturating_sub(retries)
        });
        left.min().unwrap_or(0)
    }

    fn totals_until(&self, now: u64) -> BucketTotals {
        let first = now.saturating_sub(2 * BUCKETS + MAX_DELAY);
        let mut totals = BucketTotals {
            first,
            sums: vec![(0, 0)],
        };
        let mut counted = self.buckets.iter().filter(|one| one.number >= first);
        let mut next = counted.next();
        for number in first..=now {
            let (mut requests, mut retries) = totals.sums[totals.sums.len() - 1];
            if let Some(count) = next.filter(|count| count.number == number) {
                requests += count.requests;
                retries += count.retries;
                next = counted.next();
            }
            totals.sums.push((requests, retries));
        }
        totals
    }
}

/// Requests and retries before each bucket, from a first one on.
struct BucketTotals {
    first: u64,
    sums: Vec<(u64, u64)>,
}

impl BucketTotals {
    /// Returns the requests and retries before a bucket; those up to the last one if it is later.
    fn before(&self, bucket: u64) -> (u64, u64) {
        let index = bucket.saturating_sub(self.first) as usize;
        self.sums[index.min(self.sums.len() - 1)]
    }
}
