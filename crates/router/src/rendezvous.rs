//! Rendezvous (highest random weight) hashing: all processes that know the same members rank them identically
//! for a key.

use xxhash_rust::xxh3;

/// Weight of `member` for `key`. The member with the highest weight is the first choice for the key.
#[must_use]
pub fn weight(key: u64, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), key)
}

/// Hash of a prompt prefix or a name, for use as a key.
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}
