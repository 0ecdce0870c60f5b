//! Exhaustive search of the claim protocol model: the correct protocol keeps its invariants in every
//! reachable state, and each deliberate error is detected.

use jackdawtally_spec::{Protocol, State};
use pathfinding::prelude::{bfs, bfs_reach};

const FAULTY_PROTOCOLS: [Protocol; 6] = [
    Protocol::DispatchBeforeClaim,
    Protocol::ReleaseUnconfirmed,
    Protocol::RefuseWithoutRecord,
    Protocol::CompactWithoutFloor,
    Protocol::BelowFloorReportsNotRun,
    Protocol::NoReplyMeansNoEffect,
];

#[test]
fn no_reachable_state_violates_an_invariant() {
    let reachable = bfs_reach(State::default(), |s| s.successors(Protocol::Correct));

    let mut visited = 0_usize;
    for state in reachable {
        visited += 1;
        assert!(
            !state.violates_invariant(),
            "invariant violated in {state:#?}"
        );
    }

    println!("{visited} states visited");
    assert!(visited > 10_000, "the search visited only {visited} states");
}

#[test]
fn every_deliberate_error_is_detected() {
    for protocol in FAULTY_PROTOCOLS {
        let path = bfs(
            &State::default(),
            |s| s.successors(protocol),
            State::violates_invariant,
        );

        let path = path.unwrap_or_else(|| panic!("no violation found with {protocol:?}"));
        println!(
            "{protocol:?}: violation found after {} steps",
            path.len() - 1
        );
    }
}
