//! The rules of sending keep their promises in every reachable state, and the check finds every mistake
//! that is put into them.

use jackdawtally_spec::sending::{Kind, Rules, State};
use pathfinding::prelude::{bfs, bfs_reach};

#[test]
fn no_reachable_state_breaks_a_promise() {
    for kind in [Kind::Idempotent, Kind::Once] {
        let reachable = bfs_reach(State::new(kind), |s| s.next(Rules::Correct));

        let mut visited = 0_usize;
        for state in reachable {
            visited += 1;
            assert!(!state.broken(), "{state:#?}");
        }

        println!("{kind:?}: {visited} states visited");
        assert!(
            visited > 300,
            "the exploration stopped early: {visited} states"
        );
    }
}

#[test]
fn every_mistake_is_found() {
    let mistakes = [
        (Rules::NoExpectedServer, Kind::Idempotent),
        (Rules::LostMeansNotRun, Kind::Once),
        (Rules::AgainAfterLost, Kind::Once),
        (Rules::LastReplyDecides, Kind::Idempotent),
    ];

    for (mistake, kind) in mistakes {
        let path = bfs(&State::new(kind), |s| s.next(mistake), State::broken);

        let path = path.unwrap_or_else(|| panic!("{mistake:?} wasn't found"));
        println!("{mistake:?} is found after {} steps", path.len() - 1);
    }
}
