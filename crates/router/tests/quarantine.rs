//! What is suspected of requests that were open when servers crashed.

use std::time::Duration;

use jackdawtally::quarantine::{Notice, Quarantine, RequestIdentity, Standing, Subject, SuspectId};
use tokio::time::Instant;

fn request(id: SuspectId) -> RequestIdentity {
    RequestIdentity {
        request: Some(id),
        ..RequestIdentity::default()
    }
}

/// Time that a notice takes from one instance to the next.
const TRANSIT: Duration = Duration::from_millis(20);

/// Passes on what each instance has to tell all others; returns the number of notices.
fn exchange(instances: &mut [Quarantine], now: Instant) -> usize {
    let told: Vec<Vec<Notice>> = instances.iter_mut().map(Quarantine::take_notices).collect();
    for (to, instance) in instances.iter_mut().enumerate() {
        let others = told.iter().enumerate().filter(|(from, _)| *from != to);
        for notice in others.flat_map(|(_, notices)| notices) {
            instance.merge(notice, now);
        }
        instance.update(now);
    }
    told.iter().map(Vec::len).sum()
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

/// A loss of power hit more servers than there are crashes that an instance remembers: each crash that one told another
/// pushed out a further one there, which was then news again, without end.
#[test]
fn instances_fall_silent_after_more_crashes_than_they_remember() {
    let mut now = Instant::now();
    let mut instances: Vec<Quarantine> = (0..3)
        .map(|_| Quarantine::new(Subject::Requests, now))
        .collect();
    for id in 0..150 {
        let at = now + Duration::from_millis(id);
        let seen = usize::try_from(id % 3).expect("it is small");
        instances[seen].record_crash(&format!("w{id}@1").into(), at, &[request(id)], at);
    }
    now += Duration::from_millis(150);

    let mut told = vec![usize::MAX];
    while told.last() > Some(&0) && told.len() < 100 {
        now += TRANSIT;
        told.push(exchange(&mut instances, now));
        assert!(told.iter().skip(1).sum::<usize>() < 10_000, "{told:?}");
    }

    assert_eq!(told.last(), Some(&0), "{told:?}");
}

/// A notice that was under way while its crash was forgotten brought the crash back, dated later, and was passed on.
#[test]
fn forgotten_crash_is_not_news() {
    let seen = Instant::now();
    let mut known = Quarantine::new(Subject::Requests, seen);
    known.record_crash(&"w1@1".into(), seen, &[request(1)], seen);
    drop(known.take_notices());
    let later = seen + Duration::from_mins(2) + TRANSIT / 2;
    let late = known.all_notices(later - TRANSIT);
    known.update(later);

    for notice in &late {
        known.merge(notice, later);
    }

    assert!(!late.is_empty());
    assert!(known.is_clear(), "{known:?}");
    assert!(known.take_notices().is_empty());
}

/// An instance with as many quarantines as it keeps let a recent one go for each older one of a peer.
#[test]
fn older_quarantine_does_not_displace_a_later_one() {
    let now = Instant::now();
    let mut known = Quarantine::new(Subject::Requests, now);
    let notice = |id, age_ms| Notice::Quarantined {
        id,
        age_ms,
        crashes: 3,
    };

    (0..256).for_each(|id| known.merge(&notice(id, 1_000), now));
    known.merge(&notice(256, 2_000), now);

    let is_kept = |id| matches!(known.standing(&request(id), now), Standing::Quarantined(_));
    assert!((0..256).all(is_kept));
    assert!(!is_kept(256));
    assert_eq!(known.quarantined(now).count(), 256);
}

/// What was open at a crash that was older than all that are kept was held against another crash.
#[test]
fn crash_that_is_older_than_all_that_are_kept_accuses_nobody() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let mut known = Quarantine::new(Subject::Requests, start);
    for id in 0..64 {
        known.record_crash(&format!("w{id}@1").into(), now, &[request(id)], now);
    }
    drop(known.take_notices());

    known.record_crash(&"old@1".into(), start, &[request(1_000)], now);
    let told = known.take_notices();
    let suspects = known.all_notices(now).into_iter().filter(|notice| {
        let Notice::Crash { suspects, .. } = notice else {
            return false;
        };
        suspects.iter().any(|s| s.id == 1_000)
    });

    assert_eq!(suspects.count(), 0);
    assert!(told.is_empty(), "{told:?}");
}
