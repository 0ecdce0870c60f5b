//! Random identifiers.

use rand::RngExt;

/// Generates a random identifier, for example of an attempt or a call.
#[must_use]
pub fn id() -> u64 {
    rand::rng().random()
}
