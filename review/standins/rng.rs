//! A small generator of pseudo-random numbers.

use std::sync::atomic::{AtomicU64, Ordering};

pub struct Rng(AtomicU64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1))
    }

    pub fn next(&self) -> u64 {
        let state = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    pub fn hex(&self) -> String {
        format!("{:016x}", self.next())
    }
}
