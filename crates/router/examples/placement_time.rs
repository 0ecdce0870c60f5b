//! Measures how long the placement of a prompt takes among 128 servers of uneven speed.

use std::collections::HashMap;
use std::time::Duration;

use jackdawtally::demand::Demand;
use jackdawtally::object::BackendServer;
use jackdawtally::partition::Partition;
use jackdawtally::placement::Criteria;
use jackdawtally::pool::ServerId;
use jackdawtally::prompt_placement::{self, PoolLoad, Prompt, PromptRequest};
use jackdawtally::server::{LoadReport, Server};
use slotmap::SlotMap;
use tokio::time::Instant;

const SERVERS: u32 = 128;
const DECISIONS: usize = 10_000;

fn main() {
    let servers = servers();
    let mut times: Vec<Duration> = (1..=DECISIONS as u64)
        .map(|prefix| decide(&servers, prefix))
        .collect();
    times.sort();
    let (median, p99) = (times[DECISIONS / 2], times[DECISIONS * 99 / 100]);
    println!("{SERVERS} servers: median {median:?}, p99 {p99:?}");
}

fn servers() -> SlotMap<ServerId, Server> {
    let mut servers = SlotMap::with_key();
    for n in 0..SERVERS {
        let mut server = Server::new(declared(n), n % 3 == 0);
        let report = LoadReport {
            running: n,
            work_percent: Some(100 + n),
            ..LoadReport::default()
        };
        server.record_load(report, Instant::now());
        server.set_slowness(if n % 4 == 0 { 2.0 } else { 1.0 });
        servers.insert(server);
    }
    servers
}

fn declared(n: u32) -> BackendServer {
    BackendServer {
        address: "127.0.0.1:1".parse().expect("a valid address"),
        name: format!("engine-{n}").into(),
        model: None,
        service: Some("engines".into()),
        data_centre: "north".into(),
        slots: 128,
        fencing: false,
        leaving: false,
        spot: false,
        version: None,
    }
}

fn decide(servers: &SlotMap<ServerId, Server>, prefix_hash: u64) -> Duration {
    let criteria = Criteria {
        level: 1,
        prefix_hash,
        latency_sensitive: true,
        guard: false,
        avoid: &[],
        version: None,
        prefer: None,
        max_unstarted: 1,
    };
    let request = PromptRequest {
        prompt: Prompt {
            shared: 13_300,
            unique: 3_720,
        },
        class: "reviews",
        first_token_target: None,
        gap_target: None,
    };
    let load = PoolLoad {
        backlogs: &HashMap::new(),
        cached: &[],
        demand: &Demand::default(),
        partition: &Partition::default(),
    };
    let began = Instant::now();
    std::hint::black_box(prompt_placement::choose(
        servers, &criteria, &request, &load, began,
    ));
    began.elapsed()
}
