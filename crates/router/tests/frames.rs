//! Frames between instances: sealed frames are decoded unchanged, and all others are rejected.

mod common;

use jackdawtally::claims::{Action, Entry, Operation, Outcome, Progress};
use jackdawtally::fleet::duties::poll::{InstanceCounts, Poll};
use jackdawtally::fleet::duties::{Duty, OrganisationCount, UsageReport};
use jackdawtally::fleet::isolated_instances::IsolationRecord;
use jackdawtally::fleet::object_history::PastState;
use jackdawtally::fleet::replica::{Difference, ObjectChange, Position};
use jackdawtally::fleet::replicas::{
    ConfirmationId, ObjectsPart, ObjectsRequest, ObjectsResponse, ReplicaStatus,
};
use jackdawtally::fleet_demand::ClassSummary;
use jackdawtally::frame::{self, Floor, FloorKind, Frame, Hello, LinkError, Seal, Side};
use jackdawtally::object::{Change, Edit, Object};
use jackdawtally::origin::{Origin, OriginGroup, OriginQuery, OriginReply};
use jackdawtally::pools::{BrittlePool, PoolCrashes, PoolDemand, PoolLimits};
use jackdawtally::quarantine::{self, Suspect};
use jackdawtally::rate_limit::Notice;
use jackdawtally::server_speed::{ServerSpeeds, SpeedSummary};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

const KEY: &str = "0123456789abcdef";
const NONCES: [[u8; 16]; 2] = [[1; 16], [2; 16]];

fn known_speeds() -> Vec<SpeedSummary> {
    let mut speeds = ServerSpeeds::default();
    speeds.record("engine-1", 120);
    speeds.summaries(0)
}

fn seal_pair() -> (Seal, Seal) {
    let seal = Seal::new(KEY, Side::Dialer, &NONCES);
    (seal.clone(), seal)
}

fn objects() -> Vec<Object> {
    vec![
        common::tier("x", 0),
        Object::Class(common::class("c", "x")),
        common::organisation("o", "c", &"ab".repeat(32)),
        Object::BackendServer(common::backend_server("e", 4)),
    ]
}

fn origin() -> Origin {
    Origin {
        service: "s".into(),
        version: "v1".into(),
    }
}

/// Frames of the protocol's version 3.
fn frames_of_version_3() -> Vec<Frame> {
    vec![
        Frame::Crashes(vec![PoolCrashes {
            pool: "m".into(),
            segments: vec![
                quarantine::Notice::Crash {
                    server: "w1@7".into(),
                    age_ms: 40,
                    suspects: vec![Suspect {
                        id: u64::MAX,
                        prompts: vec![1, 2],
                    }],
                },
                quarantine::Notice::Refutation {
                    server: "w1@7".into(),
                    age_ms: 140,
                },
                quarantine::Notice::Sound(vec![3, 4]),
                quarantine::Notice::Quarantined {
                    id: 5,
                    age_ms: 9,
                    crashes: 4,
                },
            ],
            requests: vec![quarantine::Notice::Sound(vec![7])],
        }]),
        Frame::Isolation(vec![IsolationRecord {
            id: "front-1".into(),
            incarnation: 4,
            sequence: 2,
            isolated: true,
        }]),
    ]
}

fn position(revision: u64) -> Position {
    Position { era: 1, revision }
}

/// Frames of the protocol's version 4.
fn frames_of_version_4() -> Vec<Frame> {
    vec![
        Frame::Replicas {
            sent_ms: 17,
            statuses: vec![ReplicaStatus {
                kind: "servers".into(),
                position: position(12),
                last_change: position(11),
                floor: position(3),
                confirmation: Some(ConfirmationId {
                    source: u64::MAX,
                    number: 4,
                }),
                age_ms: 40,
                outage_ms: Some(7),
                outage_for_ms: Some(8),
            }],
        },
        Frame::RequestObjects(ObjectsRequest {
            kind: "servers".into(),
            from: Some(position(9)),
        }),
        Frame::Objects(ObjectsPart {
            sent_ms: 18,
            last: true,
            packed: false,
            bytes: vec![7; 65_536],
        }),
    ]
}

/// Frames of the protocol's version 5.
fn frames_of_version_5() -> Vec<Frame> {
    vec![
        Frame::PollDuty(Poll {
            duty: Duty::UsageReports,
            holder: "front-1".into(),
            token: 1 << 33,
            round: 7,
            first: Some(353_445_120),
        }),
        Frame::DutyCounts(InstanceCounts {
            token: 1 << 33,
            round: 7,
            instance: "front-2".into(),
            start: 1_764_846_000_000,
            now_ms: 1_764_846_100_000,
            windows: vec![UsageReport {
                window: 353_445_120,
                counts: vec![OrganisationCount {
                    organisation: "o".into(),
                    requests: 412,
                }],
            }],
        }),
    ]
}

fn all_frames() -> Vec<Frame> {
    let operation = Operation {
        key: Uuid::now_v7(),
        attempt: u64::MAX,
        holder: 7,
        action: Action::Settle(Progress::Complete),
    };
    let entry = Entry {
        attempt: 1,
        holder: 2,
        progress: Progress::NotRun,
    };
    let change = Change {
        number: 1,
        id: "a".into(),
        operator: "ana".into(),
        at_ms: 5,
        edits: objects()
            .into_iter()
            .map(Edit::Put)
            .chain([Edit::Delete(common::tier("y", 1).key())])
            .collect(),
        before: vec![None, Some(common::tier("x", 3))],
    };
    vec![
        Frame::Heartbeat {
            number: 3,
            digest: u64::MAX,
            floors: vec![Floor {
                pool: "model/m".into(),
                kind: FloorKind::Hold,
                level: 2,
                ttl_ms: 1_500,
            }],
            demand: Some(PoolDemand {
                pool: "model/m".into(),
                classes: vec![ClassSummary {
                    class: "chat".into(),
                    gap_ms: f32::INFINITY,
                    prefill_servers: 0.5,
                    observed_servers: None,
                    slot_servers: 0.25,
                    prefill_ms: 40.0,
                    disturbed: 0.125,
                    crowded: 0.0,
                }],
                speeds: known_speeds(),
            }),
        },
        Frame::Instances(vec![common::instance_record("a", "north")]),
        Frame::RequestInstances,
        Frame::RequestChanges(9),
        Frame::Changes(vec![change]),
        Frame::Snapshot {
            number: 4,
            part: 0,
            parts: 1,
            objects: objects(),
        },
        Frame::Claim { call: 1, operation },
        Frame::ClaimReply {
            call: 1,
            outcome: Outcome::Taken(entry),
        },
        Frame::ServerLeaving {
            server: "e".into(),
            at_ms: 8,
        },
        Frame::RateLimits(vec![PoolLimits {
            pool: "model/m".into(),
            limits: vec![Notice {
                server: "e".into(),
                rate: Some(0.5),
                sequence: 3,
                age_ms: 70,
            }],
        }]),
        Frame::StreamOrigins(vec![OriginGroup {
            origin: origin(),
            streams: vec![1, u64::MAX],
        }]),
        Frame::FindOrigins(vec![OriginQuery {
            call: 5,
            stream: 1,
            hops: 8,
        }]),
        Frame::FoundOrigins(vec![OriginReply {
            call: 5,
            origin: Some(origin()),
        }]),
    ]
}

#[test]
fn object_of_any_size_is_decoded_unchanged() {
    let content = "x".repeat(100_000);
    let response = ObjectsResponse {
        status: ReplicaStatus {
            kind: "config".into(),
            position: position(12),
            last_change: position(12),
            floor: position(3),
            confirmation: None,
            age_ms: 40,
            outage_ms: None,
            outage_for_ms: None,
        },
        difference: Difference {
            from: Some(position(9)),
            to: position(12),
            changes: vec![ObjectChange {
                name: "main".into(),
                revision: 12,
                content: Some(content.into()),
            }],
            history: None,
        },
    };

    let decoded = frame::decode(&frame::encode(&response));

    assert_eq!(decoded, Ok(response));
}

/// A difference as builds before the history of objects have it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OlderDifference {
    #[serde(rename = "f")]
    from: Option<Position>,
    #[serde(rename = "t")]
    to: Position,
    #[serde(rename = "c")]
    changes: Vec<ObjectChange>,
}

/// Builds side by side: an older one reads a difference with a history, and what it sends has none.
#[test]
fn history_of_objects_is_optional() {
    let state = PastState {
        name: "a".into(),
        revision: 10,
        content: "x".into(),
    };
    let difference = Difference {
        from: Some(position(9)),
        to: position(12),
        changes: vec![],
        history: Some(vec![state]),
    };
    let older = OlderDifference {
        from: Some(position(9)),
        to: position(12),
        changes: vec![],
    };

    let read_by_older = frame::decode(&frame::encode(&difference));
    let read_from_older = frame::decode(&frame::encode(&older));

    assert_eq!(read_by_older, Ok(older));
    let without = Difference {
        history: None,
        ..difference
    };
    assert_eq!(read_from_older, Ok(without));
}

#[test]
fn every_frame_decodes_to_what_was_sealed() {
    let (mut seal, mut open) = seal_pair();
    let later = frames_of_version_3()
        .into_iter()
        .chain(frames_of_version_4())
        .chain(frames_of_version_5());
    for frame in all_frames().into_iter().chain(later) {
        let sealed = seal.seal(&frame);

        let opened = open.open(&sealed);

        assert_eq!(opened, Ok(frame));
    }
}

#[test]
fn an_altered_frame_is_rejected_as_foreign() {
    let (mut seal, open) = seal_pair();
    let sealed = seal.seal(&Frame::RequestChanges(9));
    for i in 0..sealed.len() {
        let mut altered = sealed.to_vec();
        altered[i] ^= 1;

        let opened = open.clone().open(&altered);

        assert_eq!(opened, Err(LinkError::Foreign), "byte {i}");
    }
}

#[test]
fn a_repeated_or_reordered_frame_is_rejected_as_replayed() {
    let (mut seal, mut open) = seal_pair();
    let first = seal.seal(&Frame::RequestInstances);
    let second = seal.seal(&Frame::RequestInstances);

    assert_eq!(open.clone().open(&second), Err(LinkError::Replayed));
    assert_eq!(open.open(&first), Ok(Frame::RequestInstances));
    assert_eq!(open.open(&first), Err(LinkError::Replayed));
}

#[test]
fn a_frame_of_another_fleet_link_or_direction_is_rejected_as_foreign() {
    let sealed = Seal::new(KEY, Side::Dialer, &NONCES).seal(&Frame::RequestInstances);
    let others = [
        Seal::new("another fleet's key", Side::Dialer, &NONCES),
        Seal::new(KEY, Side::Listener, &NONCES),
        Seal::new(KEY, Side::Dialer, &[[3; 16], [2; 16]]),
    ];

    for mut other in others {
        assert_eq!(other.open(&sealed), Err(LinkError::Foreign));
    }
}

#[test]
fn an_oversized_frame_is_rejected_before_it_is_decoded() {
    let (_, mut open) = seal_pair();

    let opened = open.open(&vec![0; frame::MAX_FRAME_BYTES + 1]);

    assert_eq!(opened, Err(LinkError::Oversized));
}

#[test]
fn a_proof_without_the_fleet_key_is_rejected_as_foreign() {
    let record = common::instance_record("a", "north");
    let hello = |key: &str| Hello {
        protocol: 1,
        protocol_min: 1,
        nonce: NONCES[1],
        record: record.clone(),
        proof: frame::proof(key, Side::Dialer, &NONCES, &record),
    };

    let own = frame::verify_proof(KEY, Side::Dialer, &NONCES, &hello(KEY));
    let foreign = frame::verify_proof(KEY, Side::Dialer, &NONCES, &hello("another fleet's key"));
    let mut altered = hello(KEY);
    altered.record.incarnation += 1;
    let altered = frame::verify_proof(KEY, Side::Dialer, &NONCES, &altered);

    assert_eq!(own, Ok(()));
    assert_eq!(foreign, Err(LinkError::Foreign));
    assert_eq!(altered, Err(LinkError::Foreign));
}

/// Limits of a tenth of 2,900 servers, which are repeated every 20 s over six links, take less than the 8 KB a
/// second that an instance has for control.
#[test]
fn notices_of_rate_limits_are_small() {
    let notice = |n: u64| Notice {
        server: format!("i-{n:010x}@{}", 1_780_000_000_000 + n).into(),
        rate: Some(2.5),
        sequence: 3,
        age_ms: 700,
    };
    let limits = vec![PoolLimits {
        pool: "jackdaw-pool".into(),
        limits: (0..290).map(notice).collect(),
    }];

    let bytes = frame::encode(&Frame::RateLimits(limits)).len();

    let per_second = bytes * 6 / 20;
    println!("{} bytes a notice, {per_second} a second", bytes / 290);
    assert!(per_second < 8_000, "{per_second}");
}

/// Sizes that docs/CAPACITY.md reckons with.
#[test]
fn frames_on_servers_in_trouble_are_small() {
    let suspects = (0..10).map(|n| Suspect {
        id: u64::MAX - n,
        prompts: vec![u64::MAX - n],
    });
    let notice = quarantine::Notice::Crash {
        server: "i-7f3a91c2aa@1764846000000".into(),
        age_ms: 340,
        suspects: suspects.collect(),
    };
    let crash = Frame::Crashes(vec![PoolCrashes {
        pool: "jackdaw-pool".into(),
        segments: vec![notice.clone()],
        requests: Vec::new(),
    }]);
    let crash_of_both = Frame::Crashes(vec![PoolCrashes {
        pool: "jackdaw-pool".into(),
        segments: vec![notice.clone()],
        requests: vec![notice],
    }]);
    let isolation = Frame::Isolation(vec![IsolationRecord {
        id: "front-hall-ganado-1".into(),
        incarnation: 1_764_846_000_000,
        sequence: 2,
        isolated: true,
    }]);
    let brittle = Frame::Brittle(vec![BrittlePool {
        pool: "jackdaw-pool".into(),
        age_ms: 340,
    }]);

    let sizes = [crash, isolation, brittle, crash_of_both].map(|f| frame::encode(&f).len());
    println!("{sizes:?}");

    assert!(sizes[0] <= 320, "{sizes:?}");
    assert!(sizes[1] <= 80, "{sizes:?}");
    assert!(sizes[3] <= 640, "{sizes:?}");
    assert!(sizes[2] <= 60, "{sizes:?}");
}

/// What a build without suspected requests knows of a frame on crashes.
#[derive(serde::Deserialize)]
enum OlderFrame {
    Crashes(Vec<OlderCrashes>),
}

#[derive(serde::Deserialize)]
struct OlderCrashes {
    #[serde(rename = "n")]
    notices: Vec<quarantine::Notice>,
}

/// A field that an older build doesn't know would have ended the link to it.
#[test]
fn older_build_reads_what_it_knows_of_crashes() {
    let notice = |id| quarantine::Notice::Sound(vec![id]);
    let frame = Frame::Crashes(vec![PoolCrashes {
        pool: "m".into(),
        segments: vec![notice(1)],
        requests: vec![notice(2)],
    }]);

    let bytes = frame::encode(&frame);
    let read: OlderFrame = ciborium::from_reader(&bytes[..]).expect("the frame is readable");

    let OlderFrame::Crashes(pools) = read;
    assert_eq!(pools.len(), 1);
    assert_eq!(pools[0].notices, [notice(1)]);
}
