//! Where prompts go, for the loads that have shown what the choice must do.

use std::collections::HashMap;
use std::time::Duration;

use jackdawtally::object::BackendServer;
use jackdawtally::placement::{self, Backlog, Choice, Prompt, View, Wish};
use jackdawtally::pool::ServerId;
use jackdawtally::server::Server;
use slotmap::SlotMap;
use tokio::time::Instant;

const SERVERS: usize = 12;
/// A breeder's file: a long common beginning and a short end of its own.
const FILE: Prompt = Prompt {
    shared: 13_300,
    own: 3_720,
};

fn server(name: String, data_centre: &str) -> BackendServer {
    BackendServer {
        address: "127.0.0.1:1".parse().expect("an address"),
        name: name.into(),
        model: None,
        service: Some("engines".into()),
        data_centre: data_centre.into(),
        slots: 64,
        fencing: false,
        leaving: false,
    }
}

/// The engines as an instance in `data_centre` sees them.
fn engines(data_centre: &str) -> SlotMap<ServerId, Server> {
    let mut servers = SlotMap::with_key();
    for n in 0..SERVERS {
        let place = ["north", "south", "west"][n % 3];
        let declared = server(format!("engine-{n}"), place);
        servers.insert(Server::new(declared, place == data_centre));
    }
    servers
}

fn wish(prefix: u64) -> Wish<'static> {
    Wish {
        level: 1,
        prefix,
        targeted: true,
        guard: false,
        avoid: &[],
        prefer: None,
        unstarted: 1,
    }
}

fn place(
    servers: &SlotMap<ServerId, Server>,
    wish: &Wish<'_>,
    backlogs: &HashMap<ServerId, Backlog>,
) -> String {
    let view = View {
        backlogs,
        warm: &[],
    };
    match placement::choose_for_prompt(servers, wish, FILE, &view, Instant::now()) {
        Choice::Server(id) => servers[id].name().to_string(),
        choice => panic!("{choice:?}"),
    }
}

fn backlog(tokens: u32, age_ms: u64) -> Backlog {
    Backlog {
        tokens,
        age: Duration::from_millis(age_ms),
    }
}

fn id_of(servers: &SlotMap<ServerId, Server>, name: &str) -> ServerId {
    let found = servers.iter().find(|(_, s)| s.name() == name);
    found.map(|(id, _)| id).expect("a server")
}

#[test]
fn calm_day_every_instance_sends_a_beginning_to_the_same_engine() {
    for prefix in 1..100 {
        let homes: Vec<String> = ["north", "south", "west"]
            .iter()
            .map(|place_| place(&engines(place_), &wish(prefix), &HashMap::new()))
            .collect();

        assert!(homes.iter().all(|h| *h == homes[0]), "{prefix}: {homes:?}");
    }
}

#[test]
fn calm_day_beginnings_are_spread_over_the_engines() {
    let servers = engines("north");
    let mut counts: HashMap<String, u32> = HashMap::new();

    for prefix in 1..=1_200 {
        *counts
            .entry(place(&servers, &wish(prefix), &HashMap::new()))
            .or_default() += 1;
    }

    assert_eq!(counts.len(), SERVERS);
    assert!(counts.values().all(|n| (60..160).contains(n)), "{counts:?}");
}

/// Overload: when every engine is behind, sending a prompt elsewhere has its beginning read again and makes
/// all engines slower still.
#[test]
fn burst_beyond_capacity_keeps_beginnings_at_home() {
    let servers = engines("north");
    let home = place(&servers, &wish(7), &HashMap::new());
    let behind: HashMap<ServerId, Backlog> = servers
        .iter()
        .map(|(id, s)| {
            let at_home = *s.name() == home;
            let waiting = if at_home {
                backlog(40_000, 2_500)
            } else {
                backlog(20_000, 1_500)
            };
            (id, waiting)
        })
        .collect();

    assert_eq!(place(&servers, &wish(7), &behind), home);
}

/// One beginning takes much of the traffic.
#[test]
fn hot_beginning_overflows_to_one_other_engine() {
    let calm = HashMap::new();
    let homes = ["north", "south", "west"].map(|p| place(&engines(p), &wish(7), &calm));
    let seconds = ["north", "south", "west"].map(|p| {
        let servers = engines(p);
        let hot = HashMap::from([(id_of(&servers, &homes[0]), backlog(100_000, 3_000))]);
        place(&servers, &wish(7), &hot)
    });

    assert_ne!(seconds[0], homes[0]);
    assert!(seconds.iter().all(|s| *s == seconds[0]), "{seconds:?}");
}

/// An engine that went dark takes requests and gives no token.
#[test]
fn silent_engine_loses_its_beginnings() {
    let servers = engines("north");
    let home = place(&servers, &wish(9), &HashMap::new());
    let silent = HashMap::from([(id_of(&servers, &home), backlog(3_720, 20_000))]);

    assert_ne!(place(&servers, &wish(9), &silent), home);
}

#[test]
fn engine_that_failed_the_request_is_not_asked_again() {
    let servers = engines("north");
    let home = place(&servers, &wish(11), &HashMap::new());
    let avoid = [id_of(&servers, &home)];

    let next = place(
        &servers,
        &Wish {
            avoid: &avoid,
            ..wish(11)
        },
        &HashMap::new(),
    );

    assert_ne!(next, home);
}
