//! Changes of the store in simulated fleets of up to 490 instances: each instance gets a change once and in time, over
//! the links that are left, and knows when nobody confirms its copy any more.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jackdawtally::fleet::links::{self, PeerLinks, StoreRole};
use jackdawtally::fleet::replica::{Difference, ObjectChange, Position};
use jackdawtally::fleet::replicas::{
    ObjectsRequest, ObjectsResponse, Reaction, ReplicaStatus, Replicas,
};
use jackdawtally::frame::{PROTOCOL, REPLICAS_SINCE};
use jackdawtally::membership::{InstanceId, InstanceRecord, Membership};
use jackdawtally::rendezvous;
use tokio::time::{self, Instant};

const KIND: &str = "servers";
/// Sizes of fleets in which a few instances watch the store.
const SIZES: [usize; 4] = [13, 65, 195, 490];
const DATA_CENTRES: usize = 5;
/// Age up to which a copy is trusted.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Time that each message takes.
const TRANSIT: Duration = Duration::from_millis(20);
/// Transits between two heartbeats.
const HEARTBEAT: usize = 25;
/// Time within which a leaving server must be known everywhere.
const CHANGE_TIME: Duration = Duration::from_secs(1);

enum Message {
    Statuses(Vec<ReplicaStatus>),
    Request(ObjectsRequest),
    Response(ObjectsResponse),
}

struct Envelope {
    from: usize,
    to: usize,
    message: Message,
}

struct Instance {
    replicas: Replicas,
    role: StoreRole,
    peers: BTreeSet<usize>,
    /// Number of responses that it got.
    responses: usize,
}

struct Fleet {
    instances: Vec<Instance>,
    sent: Vec<Envelope>,
    tick: usize,
}

fn difference(from: Option<u64>, to: u64) -> Difference {
    let position = |revision| Position { era: 0, revision };
    Difference {
        from: from.map(position),
        to: position(to),
        changes: vec![ObjectChange {
            name: "w1".into(),
            revision: to,
            content: Some(format!("at {to}").into()),
        }],
        history: from.map(|_| Vec::new()),
    }
}

fn records(size: usize) -> Vec<InstanceRecord> {
    let numbers = 0..size;
    let records = numbers.map(|n| {
        let centre = format!("centre-{}", n % DATA_CENTRES);
        common::instance_record(&format!("entry-{n}"), &centre)
    });
    records.collect()
}

fn membership(own: &InstanceRecord, all: &[InstanceRecord]) -> Membership {
    let membership = Membership::new(own.clone());
    for record in all.iter().filter(|r| r.id != own.id) {
        membership.merge(record.clone());
    }
    membership
}

/// The role of an instance that is linked with `peer`, whose build knows this version of the protocol.
fn role(membership: &Membership, peer: &InstanceRecord, protocol: u16) -> StoreRole {
    let links = PeerLinks::default();
    let own = membership.own().id;
    let _registered = links.register(&own, peer, true, protocol);
    links::store_role(membership, &links)
}

fn all_links(_: &str, _: &str) -> bool {
    true
}

/// Two of three links, the same ones seen from both ends.
fn two_thirds(a: &str, b: &str) -> bool {
    let pair = format!("{}/{}", a.min(b), a.max(b));
    !rendezvous::hash(pair.as_bytes()).is_multiple_of(3)
}

impl Fleet {
    /// A fleet in which each instance has just read the store, with the links that are up.
    fn start(size: usize, is_up: fn(&str, &str) -> bool) -> Self {
        let all = records(size);
        let numbers = all.iter().zip(0..).map(|(r, n)| (r.id.clone(), n));
        let numbers: BTreeMap<InstanceId, usize> = numbers.collect();
        let mut instances = Vec::new();
        let mut pairs = Vec::new();
        for (own, number) in all.iter().zip(0..) {
            let membership = membership(own, &all);
            let replicas = Replicas::default();
            let _ = replicas.add(KIND, MAX_AGE);
            replicas.set_follows_peers(true);
            replicas.merge_store(KIND, difference(None, 10), Instant::now());
            let linked = links::desired_links(&membership).into_iter();
            let linked = linked.filter(|(id, _)| is_up(&own.id, id));
            pairs.extend(linked.map(|(id, _)| (number, numbers[&id])));
            instances.push(Instance {
                replicas,
                role: role(&membership, &all[(number + 1) % size], PROTOCOL),
                peers: BTreeSet::new(),
                responses: 0,
            });
        }
        for (a, b) in pairs {
            instances[a].peers.insert(b);
            instances[b].peers.insert(a);
        }
        Self {
            instances,
            sent: Vec::new(),
            tick: 0,
        }
    }

    fn watchers(&self) -> Vec<usize> {
        let roles = self.instances.iter().zip(0..);
        let watchers = roles.filter(|(i, _)| i.role == StoreRole::Watcher);
        watchers.map(|(_, number)| number).collect()
    }

    /// The store tells a watcher that `w1` has changed.
    fn read_change(&mut self, watcher: usize) {
        let replicas = &self.instances[watcher].replicas;
        if replicas.merge_store(KIND, difference(Some(10), 11), Instant::now()) {
            self.announce(watcher, None);
        }
    }

    fn announce(&mut self, from: usize, except: Option<usize>) {
        let instance = &self.instances[from];
        let statuses = instance.replicas.statuses();
        let peers = instance.peers.iter().filter(|to| Some(**to) != except);
        self.sent.extend(peers.map(|to| Envelope {
            from,
            to: *to,
            message: Message::Statuses(statuses.clone()),
        }));
    }

    /// Lets the messages arrive that are under way, and sends the heartbeats that are due.
    async fn run_transit(&mut self) {
        time::advance(TRANSIT).await;
        self.tick += 1;
        for envelope in std::mem::take(&mut self.sent) {
            self.deliver(envelope);
        }
        let due: Vec<usize> = (0..self.instances.len())
            .filter(|number| (self.tick + number).is_multiple_of(HEARTBEAT))
            .collect();
        for number in due {
            self.announce(number, None);
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        let instance = &mut self.instances[to];
        let delay = Duration::ZERO;
        let reaction = match message {
            Message::Statuses(statuses) => instance.replicas.receive_statuses(&statuses, delay),
            Message::Request(request) => {
                let response = instance.replicas.respond(&request);
                self.sent.extend(response.map(|response| Envelope {
                    from: to,
                    to: from,
                    message: Message::Response(response),
                }));
                return;
            }
            Message::Response(response) => {
                instance.responses += 1;
                Reaction {
                    requests: Vec::new(),
                    announce: instance.replicas.receive_response(response, delay),
                }
            }
        };
        let requests = reaction.requests.into_iter().map(|request| Envelope {
            from: to,
            to: from,
            message: Message::Request(request),
        });
        self.sent.extend(requests);
        if reaction.announce {
            self.announce(to, Some(from));
        }
    }

    async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.run_transit().await;
        }
    }

    /// The number of instances that lack the change.
    fn behind(&self) -> usize {
        let instances = self.instances.iter();
        let positions = instances.map(|i| i.replicas.position(KIND));
        positions
            .filter(|p| p.map(|p| p.revision) != Some(11))
            .count()
    }

    /// The number of instances that trust their copy.
    fn trusting(&self) -> usize {
        let instances = self.instances.iter();
        let confirmed = instances.filter_map(|i| i.replicas.confirmed(KIND));
        confirmed.filter(|at| at.elapsed() < MAX_AGE).count()
    }
}

/// Calls grew as instances times changes while each instance watched the store.
#[test]
fn number_of_watchers_does_not_grow_with_the_fleet() {
    for size in SIZES {
        let all = records(size);
        let is_watcher = |own: &&InstanceRecord| {
            let peer = all.iter().find(|r| r.id != own.id).expect("a peer");
            role(&membership(own, &all), peer, PROTOCOL) == StoreRole::Watcher
        };

        let watchers = all.iter().filter(is_watcher).count();

        assert!((8..=12).contains(&watchers), "{size}: {watchers}");
    }
}

/// Peers of an older build don't pass changes on: an instance among them would only ask when its copy is old.
#[test]
fn instance_that_is_linked_with_older_builds_only_watches_for_itself() {
    let all = records(65);
    let roles: BTreeSet<bool> = all
        .iter()
        .map(|own| {
            let role = role(&membership(own, &all), &all[64], REPLICAS_SINCE - 1);
            role == StoreRole::Watcher
        })
        .collect();

    assert_eq!(roles, BTreeSet::from([true]));
}

#[tokio::test(start_paused = true)]
async fn change_reaches_each_instance_once() {
    for size in SIZES {
        let mut fleet = Fleet::start(size, all_links);
        for watcher in fleet.watchers() {
            fleet.read_change(watcher);
        }

        fleet.run(CHANGE_TIME).await;

        assert_eq!(fleet.behind(), 0, "of {size}");
        let most = fleet.instances.iter().map(|i| i.responses).max();
        assert_eq!(most, Some(1), "responses to one instance of {size}");
    }
}

#[tokio::test(start_paused = true)]
async fn change_that_one_watcher_reads_reaches_all_over_two_thirds_of_the_links() {
    for size in SIZES {
        let mut fleet = Fleet::start(size, two_thirds);
        let first = fleet.watchers()[0];
        fleet.read_change(first);

        fleet.run(CHANGE_TIME).await;

        assert_eq!(fleet.behind(), 0, "of {size}");
    }
}

/// A fleet whose watchers had all gone silent at once could go on telling itself that all was well.
#[tokio::test(start_paused = true)]
async fn nobody_trusts_its_copy_after_all_watchers_have_gone_silent() {
    for size in SIZES {
        let mut fleet = Fleet::start(size, all_links);

        // On its way through the fleet a confirmation looks fresher by one transit a hop.
        fleet.run(MAX_AGE + MAX_AGE / 4).await;

        assert_eq!(fleet.trusting(), 0, "of {size}");
    }
}
