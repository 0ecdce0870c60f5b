//! Where prompts go, for the loads that have shown what the choice must do.

use std::collections::HashMap;
use std::time::Duration;

use jackdawtally::object::BackendServer;
use jackdawtally::placement::{self, Backlog, Choice, Prompt, View, Wish};
use jackdawtally::pool::ServerId;
use jackdawtally::rendezvous;
use jackdawtally::server::Server;
use slotmap::SlotMap;
use tokio::time::Instant;

#[path = "common/property.rs"]
mod property;

const SERVERS: usize = 12;
/// A breeder's file: a long common beginning and a short end of its own.
const FILE: Prompt = Prompt {
    shared: 13_300,
    unique: 3_720,
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

#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Near,
    Far,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Fine,
    Leaving,
    /// It failed the request already.
    Avoided,
}

/// What one engine is like in a drawn case.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    place: Place,
    state: State,
    warm: bool,
    sent: u32,
    tokens: u32,
    age_ms: u64,
}

impl quickcheck::Arbitrary for Drawn {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let state = match u8::arbitrary(g) % 8 {
            0 => State::Leaving,
            1 => State::Avoided,
            _ => State::Fine,
        };
        Self {
            place: *g.choose(&[Place::Near, Place::Far]).expect("a place"),
            state,
            warm: u8::arbitrary(g) % 6 == 0,
            sent: u32::arbitrary(g) % 80,
            tokens: u32::arbitrary(g) % 90_000,
            age_ms: u64::arbitrary(g) % 4_000,
        }
    }
}

/// The same choice, written as it is told: of the engines with room, the one with the fewest tokens before
/// the prompt's end.
fn naive(drawn: &[Drawn], prefix: u64) -> Option<String> {
    let name = |n: usize| format!("engine-{n}");
    let open: Vec<usize> = (0..drawn.len())
        .filter(|n| drawn[*n].state != State::Leaving)
        .collect();
    let weight = |n: usize| rendezvous::weight(prefix, &name(n));
    let mut best: Option<(f64, usize)> = None;
    for &n in &open {
        let engine = drawn[n];
        if engine.state == State::Avoided || engine.sent >= 64 {
            continue;
        }
        let ahead = open.iter().filter(|o| weight(**o) > weight(n)).count();
        let lacks = match ahead {
            0 => 0.0,
            1 if !engine.warm => 0.5,
            _ if engine.warm => 0.0,
            _ => 1.0,
        };
        let reading = f64::from(engine.tokens)
            .max(f64::from(u32::try_from(engine.age_ms).unwrap_or(0)) * 10.0);
        let batch = f64::from(engine.sent) / 64.0 * 20_000.0;
        let way = if engine.place == Place::Near {
            0.0
        } else {
            400.0
        };
        let cost = 10.0 * 13_300.0 * lacks + reading + batch + way;
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, n));
        }
    }
    best.map(|(_, n)| name(n))
}

#[test]
fn the_choice_is_that_of_the_naive_version() {
    #[expect(clippy::needless_pass_by_value, reason = "drawn cases are owned")]
    fn same(drawn: Vec<Drawn>, prefix: u64) -> bool {
        let mut servers = SlotMap::with_key();
        let (mut backlogs, mut avoid, mut warm) = (HashMap::new(), Vec::new(), Vec::new());
        for (n, engine) in drawn.iter().enumerate() {
            let mut declared = server(format!("engine-{n}"), "north");
            declared.leaving = engine.state == State::Leaving;
            let id = servers.insert(Server::new(declared, engine.place == Place::Near));
            for _ in 0..engine.sent {
                servers[id].sent(5);
            }
            backlogs.insert(id, backlog(engine.tokens, engine.age_ms));
            avoid.extend((engine.state == State::Avoided).then_some(id));
            warm.extend(engine.warm.then_some(id));
        }
        let wish = Wish {
            avoid: &avoid,
            unstarted: 0,
            ..wish(prefix)
        };
        let view = View {
            backlogs: &backlogs,
            warm: &warm,
        };
        let choice = placement::choose_for_prompt(&servers, &wish, FILE, &view, Instant::now());
        let chosen = match choice {
            Choice::Server(id) => Some(servers[id].name().to_string()),
            Choice::Straggler | Choice::Full => None,
        };
        chosen == naive(&drawn, prefix)
    }

    property::check(same as fn(Vec<Drawn>, u64) -> bool);
}
