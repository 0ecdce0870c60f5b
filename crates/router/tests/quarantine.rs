//! What is suspected of requests that were open when servers crashed.

use std::time::Duration;

use jackdawtally::quarantine::{Quarantine, RequestIdentity, Standing, Subject, SuspectId};
use tokio::time::Instant;

fn request(id: SuspectId) -> RequestIdentity {
    RequestIdentity {
        request: Some(id),
        ..RequestIdentity::default()
    }
}

/// A loss of power made each request that was alone at a server suspected, which then had to be tried one at a time.
#[test]
fn request_alone_at_one_of_many_crashes_at_once_is_not_suspected() {
    let now = Instant::now();
    let mut known = Quarantine::new(Subject::Requests, now);

    for id in 1..=3 {
        let at = now + Duration::from_millis(id);
        known.record_crash(&format!("w{id}@1").into(), at, &[request(id)], at);
    }
    let changed = known.standing(&request(1), now);
    known.update(now + Duration::from_millis(20));
    let updated = known.standing(&request(1), now);

    assert_eq!([changed, updated], [Standing::Unsuspected; 2]);
}

/// A request that crashed its first server would have crashed the next one by its retry.
#[test]
fn request_alone_at_a_crash_is_suspected_at_once() {
    let now = Instant::now();
    let mut known = Quarantine::new(Subject::Requests, now);

    known.record_crash(&"w1@1".into(), now, &[request(1)], now);
    let changed = known.standing(&request(1), now);
    known.update(now + Duration::from_millis(20));
    let updated = known.standing(&request(1), now);

    for standing in [changed, updated] {
        assert!(matches!(standing, Standing::Suspected(_)), "{standing:?}");
    }
}
