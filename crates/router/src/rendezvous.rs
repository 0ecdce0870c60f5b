//! Rendezvous (highest random weight) hashing: all processes that know the same members rank them identically
//! for a key.

use xxhash_rust::xxh3;

/// Weight of `member` for `key`. The member with the highest weight is the first choice for the key.
#[must_use]
pub fn weight(key: u64, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), key)
}

/// As [`weight`], where a member with twice the `share` is the first choice for twice as many keys. Members of equal
/// shares are ranked as by [`weight`].
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "the upper bits suffice")]
pub fn shared_weight(key: u64, member: &str, share: f64) -> f64 {
    let fraction = (weight(key, member) as f64 + 0.5) / 2.0_f64.powi(64);
    -share / fraction.ln()
}

/// Hash of a prompt prefix or a name, for use as a key.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}
