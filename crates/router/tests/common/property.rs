//! Property tests with random cases that are the same in every run.

use quickcheck::{Gen, QuickCheck, Testable};

const MAX_SIZE: usize = 100;
const SEED: u64 = 0x7072_6f70;

/// Checks `property` with cases generated from a fixed seed.
pub fn check<T: Testable>(property: T) {
    let generator = Gen::from_size_and_seed(MAX_SIZE, SEED);
    QuickCheck::new().rng(generator).quickcheck(property);
}
