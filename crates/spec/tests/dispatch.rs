//! Exhaustive search of the dispatch model: the correct rules keep their invariants in every reachable
//! state, and each deliberate error is detected.

use jackdawtally_spec::dispatch::{RequestKind, Rules, State};
use pathfinding::prelude::{bfs, bfs_reach};

#[test]
fn no_reachable_state_violates_an_invariant() {
    for kind in [RequestKind::Idempotent, RequestKind::NonIdempotent] {
        let reachable = bfs_reach(State::new(kind), |s| s.successors(Rules::Correct));

        let mut visited = 0_usize;
        for state in reachable {
            visited += 1;
            assert!(
                !state.violates_invariant(),
                "invariant violated in {state:#?}"
            );
        }

        println!("{kind:?}: {visited} states visited");
        assert!(visited > 300, "the search visited only {visited} states");
    }
}

#[test]
fn every_deliberate_error_is_detected() {
    let faulty_rules = [
        (Rules::NoExpectedServer, RequestKind::Idempotent),
        (Rules::LostMeansNotRun, RequestKind::NonIdempotent),
        (Rules::RetryAfterLost, RequestKind::NonIdempotent),
        (Rules::LastReplyDecides, RequestKind::Idempotent),
    ];

    for (rules, kind) in faulty_rules {
        let path = bfs(
            &State::new(kind),
            |s| s.successors(rules),
            State::violates_invariant,
        );

        let path = path.unwrap_or_else(|| panic!("no violation found with {rules:?}"));
        println!("{rules:?}: violation found after {} steps", path.len() - 1);
    }
}
