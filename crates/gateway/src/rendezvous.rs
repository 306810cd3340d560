//! Rendezvous hashing: every process ranks the same names for the same key in the same order.

/// The hash state of a key, with which many names are scored.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScoreKey(u64);

impl ScoreKey {
    /// Hashes the key.
    pub(crate) fn new(key: &str) -> Self {
        Self(fold_bytes(FNV_OFFSET, key.bytes().chain([0])))
    }

    /// Returns the score of a name; the highest score ranks first.
    pub(crate) fn score(self, name: &str) -> u64 {
        // FNV-1a over both, then a finisher (splitmix64) that spreads the last bytes over all bits.
        let mut mixed = fold_bytes(self.0, name.bytes());
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a score by which names rank first in proportion to their weights.
    pub(crate) fn weighted_score(self, name: &str, weight: f64) -> f64 {
        // 53 bits make a number strictly between 0 and 1.
        let drawn = ((self.score(name) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -weight / drawn.ln()
    }
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fold_bytes(hash: u64, bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(hash, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns the score of one name for a key.
pub(crate) fn score(key: &str, name: &str) -> u64 {
    ScoreKey::new(key).score(name)
}
