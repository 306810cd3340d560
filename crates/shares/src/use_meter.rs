//! Counts at an entry host what accounts ask of one pool.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};

use serde::{Deserialize, Serialize};

use crate::AccountKey;

/// Pairs of rank and account with a count of their own; bounds the memory between two reports.
const MAX_TRACKED: usize = 4_096;

/// Entries of a report; bounds the message.
const MAX_ENTRIES: usize = 64;

/// Entries of a report that sum the rest of a rank; the others stay free for single accounts.
const MAX_RANK_SUMS: usize = 32;

/// What one account asked of a pool since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUse<R> {
    /// Rank of the requests.
    pub rank: R,
    /// The account.
    pub account: AccountKey,
    /// Pieces of its requests, whether admitted or refused.
    pub pieces: u32,
}

/// What all accounts asked of a pool at one entry host since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseReport<R> {
    /// Number of the report; one more than that of the report before, wrapping.
    pub sequence: u32,
    /// Use by account, the largest first.
    pub uses: Vec<AccountUse<R>>,
}

/// Counts what accounts ask of one pool.
#[derive(Debug)]
pub struct UseMeter<R> {
    sequence: u32,
    counts: BTreeMap<(R, AccountKey), u32>,
    rank_sums: BTreeMap<R, u32>,
    unreported: u64,
}

impl<R: Copy + Ord> Default for UseMeter<R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<R: Copy + Ord> UseMeter<R> {
    /// Creates a meter without counts.
    pub fn new() -> Self {
        // A random start tells the reports of a restarted host from repeated ones.
        let sequence = RandomState::new().hash_one(()) as u32;
        Self {
            sequence,
            counts: BTreeMap::new(),
            rank_sums: BTreeMap::new(),
            unreported: 0,
        }
    }

    /// Counts the pieces of a request.
    pub fn record(&mut self, rank: R, account: AccountKey, pieces: u32) {
        if pieces == 0 {
            return;
        }
        let key = (rank, account);
        if let Some(count) = self.counts.get_mut(&key) {
            *count = count.saturating_add(pieces);
        } else if account != AccountKey::OTHERS && self.counts.len() < MAX_TRACKED {
            self.counts.insert(key, pieces);
        } else if self.rank_sums.contains_key(&rank) || self.rank_sums.len() < MAX_TRACKED {
            add_to_rank(&mut self.rank_sums, rank, pieces);
        } else {
            self.unreported += u64::from(pieces);
        }
    }

    /// Returns the counts since the last report and resets them; `None` if there was no use.
    pub fn take_report(&mut self) -> Option<UseReport<R>> {
        if self.counts.is_empty() && self.rank_sums.is_empty() {
            return None;
        }
        self.sequence = self.sequence.wrapping_add(1);
        Some(UseReport {
            sequence: self.sequence,
            uses: self.take_uses(),
        })
    }

    fn take_uses(&mut self) -> Vec<AccountUse<R>> {
        let mut sums = std::mem::take(&mut self.rank_sums);
        let mut report = sorted_uses(std::mem::take(&mut self.counts));
        if report.len() + sums.len() > MAX_ENTRIES {
            // Only a rank with a request has a sum, so counting all ranks leaves room enough.
            let ranks = count_ranks(&report, &sums).min(MAX_RANK_SUMS);
            let rest = report.split_off(report.len().min(MAX_ENTRIES - ranks));
            for entry in rest {
                add_to_rank(&mut sums, entry.rank, entry.pieces);
            }
        }
        let sums = sums
            .into_iter()
            .map(|(rank, sum)| ((rank, AccountKey::OTHERS), sum));
        report.extend(sorted_uses(sums));
        let cut = report.split_off(report.len().min(MAX_ENTRIES));
        self.unreported += cut.iter().map(|entry| u64::from(entry.pieces)).sum::<u64>();
        report.sort_by_key(|entry| Reverse(entry.pieces));
        report
    }

    /// Returns the pieces that no report could name because of too many ranks, and resets their number.
    pub fn take_unreported(&mut self) -> u64 {
        std::mem::take(&mut self.unreported)
    }

    /// Returns the pieces that no report could name because of too many ranks, since
    /// [`Self::take_unreported`] was last called.
    pub fn unreported_pieces(&self) -> u64 {
        self.unreported
    }
}

fn add_to_rank<R: Copy + Ord>(sums: &mut BTreeMap<R, u32>, rank: R, pieces: u32) {
    let sum = sums.entry(rank).or_default();
    *sum = sum.saturating_add(pieces);
}

fn sorted_uses<R>(counts: impl IntoIterator<Item = ((R, AccountKey), u32)>) -> Vec<AccountUse<R>> {
    let counts = counts.into_iter();
    let mut uses: Vec<_> = counts
        .map(|((rank, account), pieces)| AccountUse {
            rank,
            account,
            pieces,
        })
        .collect();
    uses.sort_by_key(|entry| Reverse(entry.pieces));
    uses
}

fn count_ranks<R: Copy + Ord>(uses: &[AccountUse<R>], sums: &BTreeMap<R, u32>) -> usize {
    let mut ranks: Vec<R> = uses.iter().map(|entry| entry.rank).collect();
    ranks.extend(sums.keys().copied());
    ranks.sort_unstable();
    ranks.dedup();
    ranks.len()
}
