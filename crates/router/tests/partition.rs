//! Partition of a pool's servers between classes, for several mixes of load: streams that tolerate
//! only short pauses beside long prompts, and mixes that need no partition.

use std::collections::HashMap;
use std::time::Duration;

use jackdawtally::demand::Demand;
use jackdawtally::fleet_demand::{ClassSummary, FleetDemand};
use jackdawtally::object::BackendServer;
use jackdawtally::partition::Partition;
use jackdawtally::placement::{Choice, Criteria};
use jackdawtally::pool::ServerId;
use jackdawtally::prompt_placement::{self, Backlog, PoolLoad, Prompt, PromptRequest};
use jackdawtally::server::{LoadReport, Server};
use slotmap::SlotMap;
use smol_str::SmolStr;
use tokio::time::Instant;

const INSTANCES: f64 = 7.0;

type Servers = SlotMap<ServerId, Server>;

fn servers(count: usize) -> Servers {
    let mut servers = SlotMap::with_key();
    for n in 0..count {
        let declared = BackendServer {
            address: "127.0.0.1:1".parse().expect("a valid address"),
            name: format!("engine-{n}").into(),
            model: None,
            service: Some("engines".into()),
            data_centre: "north".into(),
            slots: 64,
            fencing: false,
            leaving: false,
            version: None,
            spot: false,
        };
        servers.insert(Server::new(declared, true));
    }
    servers
}

/// Streams with short prompts and a short pause target.
fn tight(disturbed: f32) -> ClassSummary {
    ClassSummary {
        class: "tight".into(),
        gap_ms: 200.0,
        prefill_servers: 0.06,
        observed_servers: None,
        slot_servers: 0.1,
        prefill_ms: 25.0,
        disturbed,
        crowded: 0.0,
    }
}

/// Long prompts whose responses may pause for long.
fn long() -> ClassSummary {
    ClassSummary {
        class: "long".into(),
        gap_ms: 800.0,
        prefill_servers: 0.4,
        observed_servers: None,
        slot_servers: 0.05,
        prefill_ms: 180.0,
        disturbed: 0.0,
        crowded: 0.0,
    }
}

fn partition(servers: &Servers, demand: &[ClassSummary]) -> Partition {
    let mut partition = Partition::default();
    partition.update(servers, demand, INSTANCES);
    partition
}

/// Number of servers of the part that a class is in.
fn size(partition: &Partition, servers: &Servers, class: &str) -> usize {
    let part = partition.of_class(class);
    let own = servers
        .keys()
        .filter(|id| Some(partition.of_server(*id)) == part);
    own.count()
}

fn criteria(prefix_hash: u64) -> Criteria<'static> {
    Criteria {
        level: 1,
        prefix_hash,
        latency_sensitive: true,
        guard: false,
        avoid: &[],
        prefer: None,
        max_unstarted: 1,
        version: None,
    }
}

/// Places a request of 200 shared tokens.
fn place(
    servers: &Servers,
    partition: &Partition,
    class: &ClassSummary,
    unique: u32,
    prefix_hash: u64,
    backlogs: &HashMap<ServerId, Backlog>,
) -> ServerId {
    let load = PoolLoad {
        backlogs,
        cached: &[],
        demand: &Demand::default(),
        partition,
    };
    let request = PromptRequest {
        prompt: Prompt {
            shared: 200,
            unique,
        },
        class: &class.class,
        first_token_target: Some(Duration::from_secs(1)),
        gap_target: Some(Duration::from_secs_f32(class.gap_ms / 1_000.0)),
    };
    match prompt_placement::choose(
        servers,
        &criteria(prefix_hash),
        &request,
        &load,
        Instant::now(),
    ) {
        Choice::Server(id) => id,
        choice => panic!("{choice:?}"),
    }
}

/// Long prompts break the pauses of the streams that run beside them.
#[test]
fn disturbed_streams_get_servers_without_long_prompts() {
    let servers = servers(18);
    let partition = partition(&servers, &[tight(0.5), long()]);
    let idle = HashMap::new();

    for prefix in 1..200 {
        let stream = place(&servers, &partition, &tight(0.5), 500, prefix, &idle);
        let prompt = place(&servers, &partition, &long(), 9_000, prefix, &idle);

        assert_eq!(
            Some(partition.of_server(stream)),
            partition.of_class("tight")
        );
        assert_eq!(
            Some(partition.of_server(prompt)),
            partition.of_class("long")
        );
    }
}

/// Long prompts that seldom pause a stream for too long: the servers stay shared, and each prefix
/// keeps the full choice.
#[test]
fn undisturbed_streams_share_all_servers() {
    let servers = servers(12);
    let partition = partition(&servers, &[tight(0.09), long()]);

    assert_eq!(partition.of_class("tight"), partition.of_class("long"));
    assert_eq!(size(&partition, &servers, "long"), 12);
}

#[test]
fn loads_of_one_kind_share_all_servers() {
    let servers = servers(18);
    for demand in [vec![tight(0.9)], vec![long()], vec![]] {
        let partition = partition(&servers, &demand);

        assert!(servers.keys().all(|id| partition.of_server(id) == 0));
    }
}

/// Prompts of any length disturb no one if every class tolerates long pauses.
#[test]
fn patient_classes_share_all_servers() {
    let servers = servers(18);
    let patient = ClassSummary {
        gap_ms: 5_000.0,
        ..tight(0.5)
    };

    let partition = partition(&servers, &[patient, long()]);

    assert_eq!(partition.of_class("tight"), partition.of_class("long"));
}

/// The part of the streams grows with their demand, on few and on many servers, and neither side is
/// left without servers.
#[test]
fn sizes_follow_the_demand() {
    for count in [3, 18, 140] {
        let servers = servers(count);
        let sizes: Vec<usize> = [0.25_f32, 1.0, 4.0]
            .iter()
            .map(|factor| {
                let stream = ClassSummary {
                    prefill_servers: 0.2 * factor,
                    observed_servers: None,
                    slot_servers: 0.0,
                    ..tight(0.5)
                };
                size(&partition(&servers, &[stream, long()]), &servers, "tight")
            })
            .collect();

        assert!(sizes.is_sorted(), "{count} servers: {sizes:?}");
        assert!(
            sizes[2] < count && sizes[2] > count / 3,
            "{count} servers: {sizes:?}"
        );
    }
}

/// In a burst of long prompts, whose prefill would take all servers, the streams keep the servers
/// whose slots they need.
#[test]
fn burst_of_long_prompts_leaves_the_streams_their_slots() {
    let servers = servers(18);
    let burst = ClassSummary {
        prefill_servers: 20.0,
        ..long()
    };
    let streams = ClassSummary {
        observed_servers: None,
        slot_servers: 2.0 / 7.0,
        ..tight(0.5)
    };

    let partition = partition(&servers, &[streams, burst]);

    assert_eq!(size(&partition, &servers, "tight"), 3);
}

/// When the streams' own servers are full, a stream goes to another server rather than wait.
#[test]
fn stream_leaves_its_part_when_that_is_overloaded() {
    let mut servers = servers(18);
    let partition = partition(&servers, &[tight(0.5), long()]);
    let own: Vec<ServerId> = servers
        .keys()
        .filter(|id| Some(partition.of_server(*id)) == partition.of_class("tight"))
        .collect();
    let report = LoadReport {
        running: 64,
        waiting: 128,
        ..LoadReport::default()
    };
    for id in &own {
        servers[*id].record_load(report, Instant::now());
    }
    let late = Backlog {
        tokens: 0,
        age: Duration::from_secs(8),
    };
    let backlogs = own.iter().map(|id| (*id, late)).collect();

    let stream = place(&servers, &partition, &tight(0.5), 500, 7, &backlogs);

    assert!(!own.contains(&stream));
}

/// A border that would move by less than a server stays where it is.
#[test]
fn small_changes_of_demand_move_no_server() {
    let servers = servers(18);
    let mut partition = partition(&servers, &[tight(0.5), long()]);
    let before = size(&partition, &servers, "tight");

    let slightly_more = ClassSummary {
        observed_servers: None,
        slot_servers: 0.105,
        ..tight(0.15)
    };
    partition.update(&servers, &[slightly_more, long()], INSTANCES);

    assert_eq!(size(&partition, &servers, "tight"), before);
}

/// Instances that observe different shares of the traffic come to the same partition by exchanging
/// their means.
#[test]
fn instances_agree_on_the_sizes() {
    let servers = servers(18);
    let own = |n: u8| ClassSummary {
        prefill_servers: 0.1 * (1.0 + f32::from(n)),
        observed_servers: None,
        slot_servers: 0.0,
        ..tight(0.5)
    };
    let mut fleet: Vec<FleetDemand> = (0..7).map(|_| FleetDemand::default()).collect();

    for _ in 0..20 {
        for (n, instance) in (0..).zip(&mut fleet) {
            instance.observe([own(n), long()].into_iter());
            instance.observe([own(n), long()].into_iter());
        }
        let sent: Vec<Vec<ClassSummary>> = fleet.iter().map(FleetDemand::summaries).collect();
        for (n, instance) in fleet.iter_mut().enumerate() {
            for (_, peer) in sent.iter().enumerate().filter(|(m, _)| *m != n) {
                instance.merge(peer);
            }
        }
    }

    let sizes: Vec<usize> = fleet
        .iter()
        .map(|f| size(&partition(&servers, &f.summaries()), &servers, "tight"))
        .collect();
    let alone = |n| size(&partition(&servers, &[own(n), long()]), &servers, "tight");
    let (least, most) = (sizes.iter().min(), sizes.iter().max());
    assert!(most <= least.map(|n| n + 1).as_ref(), "{sizes:?}");
    assert!(alone(6) > alone(0) + 4);
}

/// Values that no instance can have observed are ignored.
#[test]
fn invalid_demand_of_a_peer_is_ignored() {
    let mut fleet = FleetDemand::default();
    fleet.observe([tight(0.5)].into_iter());
    let before = fleet.summaries();

    for value in [f32::NAN, f32::INFINITY, -1.0] {
        fleet.merge(&[ClassSummary {
            observed_servers: None,
            slot_servers: value,
            ..tight(0.5)
        }]);
    }

    assert_eq!(fleet.summaries(), before);
}

/// Responses at shared servers show which pause targets are missed.
#[test]
fn observed_pauses_tell_how_often_streams_are_disturbed() {
    let class = SmolStr::new("tight");
    let disturbed = |pause_ms: u64, pauses: u32| {
        let mut demand = Demand::default();
        let start = Instant::now();
        let target = Some(Duration::from_millis(200));
        demand.update(&HashMap::new(), start);
        for _ in 0..8 {
            demand.record_sent(&class, target, 500);
        }
        for _ in 0..pauses {
            demand.record_pause(Duration::from_millis(pause_ms), "tight", |_| true);
        }
        let in_flight = HashMap::from([(class.clone(), 4)]);
        demand.update(&in_flight, start + Duration::from_millis(250));
        let summaries: Vec<ClassSummary> = demand.summaries(64.0).collect();
        summaries[0].disturbed
    };

    assert!(disturbed(150, 100) < 0.001);
    assert!(disturbed(250, 100) > 0.9);
}

/// A third of the servers crashed: the pauses at the others, and the cold caches of those that came back, made all
/// instances separate the classes, each a little differently, and prompts were prefilled anew at other servers.
#[test]
fn classes_that_share_servers_go_on_sharing_them_while_others_are_lost() {
    let servers = servers(12);
    let mut shared = Partition::default();
    let mut separate = partition(&servers, &[tight(0.5), long()]);

    for partition in [&mut shared, &mut separate] {
        partition.keep_sharing(true);
        partition.update(&servers, &[tight(0.5), long()], 6.0);
    }
    let kept = [shared.parts().len(), separate.parts().len()];
    shared.keep_sharing(false);
    shared.update(&servers, &[tight(0.5), long()], 6.0);

    assert_eq!(kept, [1, 2]);
    assert_eq!(shared.parts().len(), 2);
}

/// Many streams run at the few servers that they have to themselves, whose steps become too long for their pause target,
/// while other servers have little to do. In overload all pauses are long, and the other parts keep their servers.
#[test]
fn streams_that_crowd_their_own_servers_get_servers_that_nobody_needs() {
    let crowded = ClassSummary {
        crowded: 0.4,
        ..tight(0.5)
    };
    let sizes = |count: usize, instances: f64| {
        let servers = servers(count);
        let size_with = |streams: &ClassSummary| {
            let mut partition = Partition::default();
            partition.update(&servers, &[streams.clone(), long()], instances);
            size(&partition, &servers, "tight")
        };
        (size_with(&tight(0.5)), size_with(&crowded))
    };

    let (calm, grown) = sizes(40, 40.0);
    let (before, in_overload) = sizes(40, 80.0);

    assert!(grown * 2 >= calm * 3);
    assert!(grown <= 30);
    assert_eq!(in_overload, before);
}

/// Pauses at the servers that a class has to itself count for that class alone, and not as the cost of sharing.
#[test]
fn pauses_at_own_servers_tell_how_crowded_they_are() {
    let class = SmolStr::new("tight");
    let mut demand = Demand::default();
    let start = Instant::now();
    demand.update(&HashMap::new(), start);
    for _ in 0..8 {
        demand.record_sent(&class, Some(Duration::from_millis(200)), 500);
    }

    for _ in 0..100 {
        demand.record_pause(Duration::from_millis(250), "other", |_| false);
    }
    let calm: Vec<ClassSummary> = demand.summaries(64.0).collect();
    for _ in 0..100 {
        demand.record_pause(Duration::from_millis(250), &class, |_| false);
    }
    let in_flight = HashMap::from([(class, 4)]);
    demand.update(&in_flight, start + Duration::from_millis(250));
    let crowded: Vec<ClassSummary> = demand.summaries(64.0).collect();

    assert!(calm[0].crowded < 0.001);
    assert!(crowded[0].crowded > 0.9);
    assert!(crowded[0].disturbed < 0.001);
}
