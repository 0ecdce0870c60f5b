//! Copies of the store's objects: differences lead each copy to the newest state, whatever way they take.

#[path = "common/property.rs"]
mod property;

use std::time::Duration;

use jackdawtally::fleet::replica::{Difference, Era, ObjectChange, Position, Replica, Revision};
use jackdawtally::fleet::replicas::{ObjectsRequest, ReplicaStatus, Replicas};
use jackdawtally::fleet::replication::EncodedResponse;
use jackdawtally::fleet::transit_delay::TransitDelay;
use jackdawtally::frame::{LinkError, PACKED_SINCE};
use tokio::time::{self, Instant};

/// Age up to which a copy is trusted.
const MAX_AGE: Duration = Duration::from_secs(2);
const KIND: &str = "servers";

fn put(name: &str, revision: Revision) -> ObjectChange {
    ObjectChange {
        name: name.into(),
        revision,
        content: Some(format!("{name} at {revision}").into()),
    }
}

fn removal(name: &str) -> ObjectChange {
    ObjectChange {
        name: name.into(),
        revision: 0,
        content: None,
    }
}

fn at(revision: Revision) -> Position {
    Position { era: 0, revision }
}

fn difference(from: Option<Revision>, to: Revision, changes: Vec<ObjectChange>) -> Difference {
    Difference {
        from: from.map(at),
        to: at(to),
        changes,
        history: from.map(|_| Vec::new()),
    }
}

/// All objects of a store that was restored from an older copy.
fn restored(era: Era, to: Revision, changes: Vec<ObjectChange>) -> Difference {
    let to = Position { era, revision: to };
    Difference {
        to,
        ..difference(None, 0, changes)
    }
}

fn replica(differences: impl IntoIterator<Item = Difference>) -> Replica {
    let mut replica = Replica::default();
    for difference in differences {
        replica.merge(difference);
    }
    replica
}

/// The names and revisions of the objects of a copy.
fn objects(replica: &Replica) -> Vec<(String, Revision)> {
    let all = replica.difference(None).map(|d| d.changes);
    let all = all.unwrap_or_default().into_iter();
    all.map(|c| (c.name.to_string(), c.revision)).collect()
}

/// The state of an instance's only copy.
fn status(replicas: &Replicas) -> ReplicaStatus {
    replicas.statuses().remove(0)
}

/// The copies of an instance that learns from its peers.
fn follower() -> Replicas {
    let replicas = Replicas::default();
    let _ = replicas.add(KIND, MAX_AGE);
    replicas.set_follows_peers(true);
    replicas
}

#[test]
fn older_difference_changes_nothing() {
    let mut copy = replica([difference(None, 10, vec![put("a", 9)])]);

    let merged = copy.merge(difference(Some(5), 8, vec![removal("a")]));

    assert!(!merged);
    assert_eq!(objects(&copy), [("a".into(), 9)]);
}

#[test]
fn difference_that_skips_changes_is_rejected() {
    let mut copy = replica([difference(None, 10, vec![put("a", 9)])]);

    let merged = copy.merge(difference(Some(12), 14, vec![put("a", 13)]));

    assert!(!merged);
    assert_eq!(copy.position(), Some(at(10)));
}

#[test]
fn removed_object_is_part_of_later_differences() {
    let copy = replica([
        difference(None, 10, vec![put("a", 3), put("b", 4)]),
        difference(Some(10), 12, vec![removal("a")]),
    ]);

    let changes = copy.difference(Some(at(10))).expect("a difference").changes;

    assert_eq!(changes.len(), 1);
    assert_eq!(
        (changes[0].name.as_str(), &changes[0].content),
        ("a", &None)
    );
}

#[test]
fn object_that_came_and_went_before_a_list_is_removed_elsewhere() {
    let listed = replica([
        difference(None, 10, vec![]),
        difference(None, 20, vec![put("b", 18)]),
    ]);
    let mut behind = replica([
        difference(None, 10, vec![]),
        difference(Some(10), 15, vec![put("a", 14)]),
    ]);

    behind.merge(listed.difference(behind.position()).expect("a difference"));

    assert_eq!(objects(&behind), [("b".into(), 18)]);
}

#[test]
fn copy_that_lacks_a_removal_does_not_advance_without_it() {
    let listed = replica([difference(None, 20, vec![put("b", 4)])]);
    let mut behind = replica([difference(None, 10, vec![put("a", 3), put("b", 4)])]);

    let advanced = behind.advance(at(20), listed.last_change());

    assert!(!advanced);
    assert_eq!(behind.position(), Some(at(10)));
}

/// The store came back from an older copy and numbers its changes anew: the copy stayed as it was, and lists were
/// ignored, until the numbers had caught up.
#[test]
fn list_of_a_restored_store_replaces_later_revisions() {
    let mut copy = replica([difference(None, 300, vec![put("a", 299)])]);

    let merged = copy.merge(restored(1, 12, vec![put("b", 4)]));

    assert!(merged);
    assert_eq!(objects(&copy), [("b".into(), 4)]);
    let changes = copy.difference(Some(at(300))).expect("a difference");
    assert_eq!(changes.from, None);
}

#[test]
fn difference_of_an_earlier_era_is_ignored() {
    let mut copy = replica([
        difference(None, 300, vec![put("a", 299)]),
        restored(1, 12, vec![put("b", 4)]),
    ]);

    let changed = copy.merge(difference(Some(300), 310, vec![put("a", 305)]));
    let listed = copy.merge(difference(None, 310, vec![put("a", 305)]));
    let across = copy.merge(Difference {
        from: Some(at(300)),
        ..restored(2, 20, vec![put("c", 18)])
    });

    assert_eq!((changed, listed, across), (false, false, false));
    assert_eq!(objects(&copy), [("b".into(), 4)]);
}

/// A list contains changes that were made while it was read. A peer's difference up to an earlier one brought back what
/// they had replaced.
#[test]
fn older_content_does_not_replace_newer_content_of_a_list() {
    let mut copy = replica([difference(None, 10, vec![put("a", 12)])]);

    copy.merge(difference(Some(10), 11, vec![put("a", 11)]));

    assert_eq!(objects(&copy), [("a".into(), 12)]);
}

/// The past states that a difference names, or `None` if it doesn't name all.
fn past(difference: &Difference) -> Option<Vec<(String, Revision)>> {
    let states = difference.history.as_ref()?.iter();
    Some(states.map(|s| (s.name.to_string(), s.revision)).collect())
}

/// A difference named the last state of each object only, so that what came and went in between, or changed twice, was
/// unknown to all that are behind.
#[test]
fn difference_names_all_states_since_its_position() {
    let changes = vec![
        put("b", 11),
        put("c", 12),
        removal("c"),
        put("b", 14),
        put("a", 15),
    ];
    let ahead = replica([
        difference(None, 10, vec![put("a", 3), put("b", 4)]),
        difference(Some(10), 15, changes),
    ]);
    let mut behind = replica([difference(None, 10, vec![put("a", 3), put("b", 4)])]);

    let from_store = ahead.difference(Some(at(10))).expect("a difference");
    behind.merge(from_store.clone());
    let from_peer = behind.difference(Some(at(10))).expect("a difference");
    let later = behind.difference(Some(at(12))).expect("a difference");

    let names = |states: &[(&str, Revision)]| {
        let states = states.iter().map(|(name, at)| ((*name).to_owned(), *at));
        Some(states.collect::<Vec<_>>())
    };
    assert_eq!(past(&from_store), names(&[("b", 11), ("c", 12)]));
    assert_eq!(past(&from_peer), names(&[("b", 11), ("c", 12)]));
    assert_eq!(past(&later), names(&[]));
}

/// What a list replaces, or a difference of an older build, doesn't say what was in between.
#[test]
fn difference_across_a_gap_says_that_states_are_unknown() {
    let older_build = Difference {
        history: None,
        ..difference(Some(10), 20, vec![put("a", 18)])
    };
    for lossy in [difference(None, 20, vec![put("a", 18)]), older_build] {
        let copy = replica([
            difference(None, 10, vec![put("a", 3)]),
            difference(Some(10), 12, vec![put("a", 11)]),
            lossy,
            difference(Some(20), 25, vec![put("b", 24)]),
        ]);

        let across = copy.difference(Some(at(12))).expect("a difference");
        let after = copy.difference(Some(at(20))).expect("a difference");

        assert_eq!(past(&across), None);
        assert_eq!(past(&after), Some(vec![]));
    }
}

/// A copy remembers past states up to a bound, and says so where it has forgotten some.
#[test]
fn forgotten_states_are_not_taken_for_none() {
    let large = |revision| ObjectChange {
        content: Some("x".repeat(600 << 10).into()),
        ..put("a", revision)
    };
    let changes = vec![large(11), large(12), large(13)];
    let copy = replica([
        difference(None, 10, vec![put("a", 3)]),
        difference(Some(10), 13, changes),
    ]);

    let all = copy.difference(Some(at(10))).expect("a difference");
    let last = copy.difference(Some(at(11))).expect("a difference");

    assert_eq!(past(&all), None);
    assert_eq!(past(&last), Some(vec![("a".into(), 12)]));
}

/// The changes of a store, each of one of eight objects.
fn history(changes: Vec<(u8, bool)>) -> Vec<Difference> {
    let changes = (1..).zip(changes);
    let changes = changes.map(|(revision, (object, removed))| {
        let name = format!("o{}", object % 8);
        let change = if removed {
            removal(&name)
        } else {
            put(&name, revision)
        };
        difference(Some(revision - 1), revision, vec![change])
    });
    std::iter::once(difference(None, 0, vec![]))
        .chain(changes)
        .collect()
}

/// Whether the difference to the end, as the store's reader and a peer of it tell it, names each state since a revision.
fn difference_names_each_state(changes: Vec<(u8, bool)>, revision: u8) -> bool {
    let history = history(changes);
    let known = history.iter().take(usize::from(revision) + 1).cloned();
    let mut peer = replica(known);
    let from = peer.position().unwrap_or_default();
    let reader = replica(history.clone());
    let from_reader = reader.difference(Some(from)).expect("a difference");
    peer.merge(from_reader.clone());
    let from_peer = peer.difference(Some(from)).expect("a difference");
    let states = history.iter().flat_map(|d| &d.changes);
    let states = states.filter(|c| c.content.is_some() && c.revision > from.revision);
    let states: Vec<Revision> = states.map(|c| c.revision).collect();
    [from_reader, from_peer].into_iter().all(|difference| {
        let past = past(&difference).expect("no state is unknown");
        let last = difference.changes.iter().filter(|c| c.content.is_some());
        let mut named: Vec<Revision> = last.map(|c| c.revision).collect();
        named.extend(past.iter().map(|(_, revision)| revision));
        named.sort_unstable();
        named == states
    })
}

/// Whether two instances that read the store at some revisions, and exchange differences in between, end with
/// what the store had at their revisions.
fn copies_are_those_of_the_store(changes: Vec<(u8, bool)>, exchanges: Vec<(bool, u8)>) -> bool {
    let history = history(changes);
    let mut copies = [Replica::default(), Replica::default()];
    for (first, revision) in exchanges {
        let reader = usize::from(first);
        for difference in history.iter().take(usize::from(revision) + 1) {
            copies[reader].merge(difference.clone());
        }
        let own = copies[1 - reader].position();
        if let Some(difference) = copies[reader].difference(own) {
            copies[1 - reader].merge(difference);
        }
    }
    copies.iter().all(|copy| {
        let known = copy.position().map_or(0, |p| p.revision + 1);
        let known = usize::try_from(known).expect("a small number");
        objects(copy) == objects(&replica(history.iter().take(known).cloned()))
    })
}

#[test]
fn copies_that_exchange_differences_are_those_of_the_store() {
    property::check(copies_are_those_of_the_store as fn(Vec<(u8, bool)>, Vec<(bool, u8)>) -> bool);
}

#[test]
fn differences_name_each_state_in_between() {
    property::check(difference_names_each_state as fn(Vec<(u8, bool)>, u8) -> bool);
}

#[tokio::test(start_paused = true)]
async fn follower_requests_what_it_lacks_from_one_peer_only() {
    let (watcher, copy) = (follower(), follower());
    watcher.merge_store(
        KIND,
        difference(None, 10, vec![put("a", 9)]),
        Instant::now(),
    );
    let news = [status(&watcher)];

    let first = copy.receive_statuses(&news, Duration::ZERO);
    let second = copy.receive_statuses(&news, Duration::ZERO);

    let kind = KIND.into();
    assert_eq!(first.requests, [ObjectsRequest { kind, from: None }]);
    assert_eq!(second.requests, []);
}

#[tokio::test(start_paused = true)]
async fn unanswered_request_goes_to_another_peer() {
    let (watcher, copy) = (follower(), follower());
    watcher.merge_store(
        KIND,
        difference(None, 10, vec![put("a", 9)]),
        Instant::now(),
    );
    let _ = copy.receive_statuses(&[status(&watcher)], Duration::ZERO);

    time::advance(MAX_AGE / 2).await;
    let reaction = copy.receive_statuses(&[status(&watcher)], Duration::ZERO);

    assert_eq!(reaction.requests.len(), 1);
}

/// A large difference that was still on its way was requested from one peer after the other, over the same links.
#[tokio::test(start_paused = true)]
async fn request_whose_response_arrives_in_parts_goes_to_no_other_peer() {
    let (watcher, copy) = (follower(), follower());
    watcher.merge_store(
        KIND,
        difference(None, 10, vec![put("a", 9)]),
        Instant::now(),
    );
    let mut requests = 0;
    for _ in 0..4 {
        let reaction = copy.receive_statuses(&[status(&watcher)], Duration::ZERO);
        requests += reaction.requests.len();
        time::advance(MAX_AGE / 4).await;
        copy.record_part(KIND);
    }

    time::advance(MAX_AGE / 2).await;
    let late = copy.receive_statuses(&[status(&watcher)], Duration::ZERO);

    assert_eq!((requests, late.requests.len()), (1, 1));
}

/// Instances that had started at slightly different times requested complete lists from each other, some of them several,
/// of hundreds of KB each.
#[tokio::test(start_paused = true)]
async fn peer_that_listed_a_little_later_is_not_asked_for_everything() {
    let (peer, copy) = (follower(), follower());
    copy.merge_store(
        KIND,
        difference(None, 10, vec![put("a", 9)]),
        Instant::now(),
    );
    peer.merge_store(
        KIND,
        difference(None, 12, vec![put("a", 9)]),
        Instant::now(),
    );

    time::advance(MAX_AGE * 3 / 2).await;
    let early = copy.receive_statuses(&[status(&peer)], Duration::ZERO);
    time::advance(MAX_AGE).await;
    let late = copy.receive_statuses(&[status(&peer)], Duration::ZERO);

    assert_eq!((early.requests.len(), late.requests.len()), (0, 1));
}

#[tokio::test(start_paused = true)]
async fn confirmation_keeps_its_age_on_the_way() {
    let (watcher, copy) = (follower(), follower());
    let read_at = Instant::now();
    watcher.merge_store(KIND, difference(None, 10, vec![put("a", 9)]), read_at);
    let request = ObjectsRequest {
        kind: KIND.into(),
        from: None,
    };
    time::advance(Duration::from_secs(1)).await;
    let response = watcher.respond(&request).expect("the watcher has a copy");

    // The response took 700 ms longer than usual.
    time::advance(Duration::from_millis(700)).await;
    let _ = copy.receive_response(response, Duration::from_millis(700));

    assert_eq!(copy.confirmed(KIND), Some(read_at));
}

/// Each way between two instances takes time, so that a confirmation which came back appeared later than it was. With
/// slow instances it never grew old, although all watchers were gone.
#[tokio::test(start_paused = true)]
async fn confirmation_that_goes_round_grows_old() {
    let copies = [follower(), follower()];
    let listed = difference(None, 10, vec![put("a", 9)]);
    let read_at = Instant::now();
    copies[0].merge_store(KIND, listed.clone(), read_at);
    copies[1].merge_store(KIND, listed, read_at - MAX_AGE);
    assert!(copies[0].record_outage(KIND, read_at, read_at));

    for round in 0..40 {
        let news = [status(&copies[round % 2])];
        time::advance(Duration::from_millis(100)).await;
        let _ = copies[1 - round % 2].receive_statuses(&news, Duration::ZERO);
    }

    for copy in &copies {
        let late = Duration::from_millis(100);
        assert!(copy.confirmed(KIND) <= Some(read_at + late));
        assert!(copy.outage_end(KIND) <= Some(read_at + late));
    }
}

#[tokio::test(start_paused = true)]
async fn peer_that_is_behind_confirms_nothing() {
    let (behind, copy) = (follower(), follower());
    let read_at = Instant::now();
    copy.merge_store(KIND, difference(None, 12, vec![put("a", 11)]), read_at);
    time::advance(Duration::from_secs(1)).await;
    behind.merge_store(
        KIND,
        difference(None, 10, vec![put("a", 9)]),
        Instant::now(),
    );

    let reaction = copy.receive_statuses(&[status(&behind)], Duration::ZERO);

    assert_eq!(reaction.requests, []);
    assert_eq!(copy.confirmed(KIND), Some(read_at));
}

#[tokio::test(start_paused = true)]
async fn revision_without_changes_is_confirmed_without_a_request() {
    let (watcher, copy) = (follower(), follower());
    let listed = difference(None, 10, vec![put("a", 9)]);
    watcher.merge_store(KIND, listed.clone(), Instant::now());
    copy.merge_store(KIND, listed, Instant::now());
    time::advance(Duration::from_secs(1)).await;
    watcher.merge_store(KIND, difference(Some(10), 15, vec![]), Instant::now());

    let reaction = copy.receive_statuses(&[status(&watcher)], Duration::ZERO);

    assert_eq!(reaction.requests, []);
    assert_eq!(copy.position(KIND), Some(at(15)));
    assert_eq!(copy.confirmed(KIND), Some(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn instances_of_a_small_fleet_ignore_copies_of_peers() {
    let (watcher, copy) = (follower(), follower());
    copy.set_follows_peers(false);
    watcher.merge_store(
        KIND,
        difference(None, 10, vec![put("a", 9)]),
        Instant::now(),
    );

    let reaction = copy.receive_statuses(&[status(&watcher)], Duration::ZERO);

    assert_eq!(reaction.requests, []);
    assert_eq!(copy.position(KIND), None);
}

#[test]
fn frame_that_was_held_up_counts_as_older() {
    let mut delay = TransitDelay::default();
    // The clocks differ by 90 s; the third frame waited in the network for 3 s.
    let received = [
        (1_000, 91_002),
        (1_500, 91_502),
        (2_000, 95_002),
        (5_500, 95_503),
    ];

    let excess = received.map(|(sent, received)| delay.excess(sent, received).as_millis());

    assert_eq!(excess[..2], [0, 0]);
    assert!((2_900..=3_000).contains(&excess[2]), "{excess:?}");
    assert!(excess[3] < 20, "{excess:?}");
}

/// The response of an instance with an object of this content, as a peer with this version of the protocol gets it.
fn encoded(content: &str, protocol: u16) -> EncodedResponse {
    let replicas = follower();
    let change = ObjectChange {
        content: Some(content.into()),
        ..put("main", 11)
    };
    replicas.merge_store(KIND, difference(None, 11, vec![change]), Instant::now());
    let request = ObjectsRequest {
        kind: KIND.into(),
        from: None,
    };
    let response = replicas.respond(&request).expect("there is a copy");
    EncodedResponse::new(&replicas, &response, protocol)
}

#[tokio::test(start_paused = true)]
async fn large_difference_is_compressed_and_decoded_unchanged() {
    let content = "route and service ".repeat(10_000);

    let encoded = encoded(&content, PACKED_SINCE);

    assert!(encoded.packed && encoded.bytes.len() < content.len() / 10);
    let response = encoded.decode().expect("it is valid");
    let decoded = response.difference.changes[0].content.as_deref();
    assert_eq!(decoded, Some(content.as_str()));
}

/// A build that doesn't know the compressed form closes the link.
#[tokio::test(start_paused = true)]
async fn older_builds_get_large_differences_as_they_know_them() {
    let content = "route and service ".repeat(10_000);

    let encoded = encoded(&content, PACKED_SINCE - 1);

    assert!(!encoded.packed && encoded.decode().is_ok());
}

/// A few bytes could stand for more than there is memory.
#[tokio::test(start_paused = true)]
async fn compressed_difference_of_any_length_is_not_unpacked() {
    let mut encoded = encoded(&" ".repeat(20 << 20), PACKED_SINCE);
    assert!(encoded.bytes.len() < 100 << 10);

    assert_eq!(encoded.decode(), Err(LinkError::Oversized));

    encoded.bytes.truncate(encoded.bytes.len() / 2);
    assert_eq!(encoded.decode(), Err(LinkError::Malformed));
}

/// An instance that had been cut off from the store and all others made the whole fleet keep the entries of servers that
/// had left.
#[tokio::test(start_paused = true)]
async fn outage_in_which_the_store_served_others_is_none_for_them() {
    let (cut, served) = (follower(), follower());
    let start = Instant::now();
    for revision in 1..=10 {
        time::advance(MAX_AGE / 4).await;
        served.merge_store(KIND, difference(None, revision, vec![]), Instant::now());
    }
    cut.merge_store(KIND, difference(None, 10, vec![]), Instant::now());
    assert!(cut.record_outage(KIND, start, Instant::now()));

    let _ = served.receive_statuses(&cut.statuses(), Duration::ZERO);

    assert_eq!(served.outage_end(KIND), None);
}

#[tokio::test(start_paused = true)]
async fn outage_of_the_store_is_one_for_all() {
    let (told, telling) = (follower(), follower());
    for replicas in [&told, &telling] {
        replicas.merge_store(KIND, difference(None, 1, vec![]), Instant::now());
    }
    let start = Instant::now();
    time::advance(MAX_AGE).await;
    assert!(telling.record_outage(KIND, start, Instant::now()));

    let _ = told.receive_statuses(&telling.statuses(), Duration::ZERO);

    assert_eq!(told.outage_end(KIND), Some(Instant::now()));
}
