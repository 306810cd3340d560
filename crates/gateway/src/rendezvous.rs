//! Rendezvous hashing: every process ranks the same names for the same key alike.

/// Returns the score of a name for a key; the highest score is the first choice.
pub(crate) fn score(key: &str, name: &str) -> u64 {
    // FNV-1a over both, then a finisher (splitmix64) that spreads the last bytes over all bits.
    let bytes = key.bytes().chain([0]).chain(name.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mut mixed = hash;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns a score such that names come first in proportion to their weights.
pub(crate) fn weighted_score(key: &str, name: &str, weight: f64) -> f64 {
    // 53 bits make a number between 0 and 1, never either.
    let drawn = ((score(key, name) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / drawn.ln()
}
