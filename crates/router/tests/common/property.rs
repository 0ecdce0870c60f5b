//! Properties over random cases that are the same in every run.

use quickcheck::{Gen, QuickCheck, Testable};

const SIZE: usize = 100;
const SEED: u64 = 0x7072_6f70;

/// Tries `property` on the fixed cases.
pub fn check<T: Testable>(property: T) {
    let cases = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(cases).quickcheck(property);
}
