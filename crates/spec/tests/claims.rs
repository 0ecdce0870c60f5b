//! The claim protocol keeps its promises in every reachable state, and the check finds every mistake
//! that is put into it.

use jackdawtally_spec::{Protocol, State};
use pathfinding::prelude::{bfs, bfs_reach};

const MISTAKES: [Protocol; 6] = [
    Protocol::DispatchBeforeClaim,
    Protocol::ReleaseUnconfirmed,
    Protocol::RefuseWithoutNote,
    Protocol::CompactWithoutFloor,
    Protocol::BelowFloorSaysNotRun,
    Protocol::NoReplyMeansNoEffect,
];

#[test]
fn no_reachable_state_breaks_a_promise() {
    let reachable = bfs_reach(State::default(), |s| s.next(Protocol::Correct));

    let mut visited = 0_usize;
    for state in reachable {
        visited += 1;
        assert!(!state.broken(), "{state:#?}");
    }

    println!("{visited} states visited");
    assert!(
        visited > 10_000,
        "the exploration stopped early: {visited} states"
    );
}

#[test]
fn every_mistake_is_found() {
    for mistake in MISTAKES {
        let path = bfs(&State::default(), |s| s.next(mistake), State::broken);

        let path = path.unwrap_or_else(|| panic!("{mistake:?} wasn't found"));
        println!("{mistake:?} is found after {} steps", path.len() - 1);
    }
}
