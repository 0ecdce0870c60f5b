//! Changes of the store in simulated fleets of up to 490 instances: each instance gets a change once and in time, over
//! the links that are left, and knows when nobody confirms its copy any more. Large objects take their time on links
//! of limited bandwidth.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::Duration;

use jackdawtally::fleet::links::{self, PeerLinks, StoreRole};
use jackdawtally::fleet::replica::{Difference, ObjectChange, Position};
use jackdawtally::fleet::replicas::{
    ObjectsRequest, ObjectsResponse, Reaction, ReplicaStatus, Replicas,
};
use jackdawtally::fleet::replication::EncodedResponse;
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

/// Sizes of fleets with links of limited bandwidth: those of the users' two deployments, and larger ones.
const NARROW_SIZES: [usize; 4] = [73, 87, 195, 490];
/// Bandwidth of an instance's link in each direction: 10 Mbit/s, in bytes in the time of a transit.
const NARROW_LINK: usize = 25_000;
/// Bytes that a link carries at a time before it is another one's turn at the same instance.
const PACKET: usize = 1_250;
/// Size of a message without objects, in bytes.
const SMALL_MESSAGE: usize = 200;
/// Size of the largest object that the users' store keeps, in bytes.
const LARGE_OBJECT: usize = 1 << 20;
/// Time within which a configuration takes effect everywhere.
const CONFIG_TIME: Duration = Duration::from_secs(3);

enum Message {
    Statuses(Vec<ReplicaStatus>),
    Request(ObjectsRequest),
    Response(ObjectsResponse),
}

struct Envelope {
    from: usize,
    to: usize,
    message: Message,
    /// Bytes that are still to be sent.
    left: usize,
}

impl Envelope {
    fn small(from: usize, to: usize, message: Message) -> Self {
        Self {
            from,
            to,
            message,
            left: SMALL_MESSAGE,
        }
    }
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
    /// Bytes that an instance sends, and receives, at most in the time of a transit.
    bandwidth: usize,
}

fn difference(from: Option<u64>, to: u64) -> Difference {
    change(from, to, &format!("at {to}"))
}

/// A change that gives `w1` this content.
fn change(from: Option<u64>, to: u64, content: &str) -> Difference {
    let position = |revision| Position { era: 0, revision };
    Difference {
        from: from.map(position),
        to: position(to),
        changes: vec![ObjectChange {
            name: "w1".into(),
            revision: to,
            content: Some(content.into()),
        }],
        history: from.map(|_| Vec::new()),
    }
}

/// A configuration of at least this size in bytes, with routes as the users write them.
fn large_config(size: usize) -> String {
    let mut text = String::from("{\"version\":11,\"routes\":[");
    let mut number = 0_u64;
    while text.len() < size {
        number += 1;
        let name = rendezvous::hash(&number.to_le_bytes());
        let _ = write!(
            text,
            "{{\"name\":\"r-{:07x}\",\"host\":\"host{}.example\",\"base-path\":\"/path{:x}/\",\
             \"kind\":\"streaming\",\"limit-ms\":10000,\"latency-target-ms\":1500,\"priority\":2,\
             \"service\":\"service-a\",\"attempts\":1,\"public\":false,\"sticky\":true,\
             \"resumable\":false,\"gap-target-ms\":1000}},",
            name % (1 << 28),
            name % 97,
            name >> 48,
        );
    }
    text + "]}"
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
            bandwidth: usize::MAX,
        }
    }

    fn watchers(&self) -> Vec<usize> {
        let roles = self.instances.iter().zip(0..);
        let watchers = roles.filter(|(i, _)| i.role == StoreRole::Watcher);
        watchers.map(|(_, number)| number).collect()
    }

    /// The store tells a watcher that `w1` has changed.
    fn read_change(&mut self, watcher: usize) {
        self.read(watcher, difference(Some(10), 11));
    }

    fn read(&mut self, watcher: usize, difference: Difference) {
        let replicas = &self.instances[watcher].replicas;
        if replicas.merge_store(KIND, difference, Instant::now()) {
            self.announce(watcher, None);
        }
    }

    fn announce(&mut self, from: usize, except: Option<usize>) {
        let instance = &self.instances[from];
        let statuses = instance.replicas.statuses();
        let peers = instance.peers.iter().filter(|to| Some(**to) != except);
        let messages =
            peers.map(|to| Envelope::small(from, *to, Message::Statuses(statuses.clone())));
        self.sent.extend(messages);
    }

    /// Lets the messages arrive that are under way, and sends the heartbeats that are due.
    async fn run_transit(&mut self) {
        time::advance(TRANSIT).await;
        self.tick += 1;
        for envelope in self.transmit() {
            self.deliver(envelope);
        }
        let due: Vec<usize> = (0..self.instances.len())
            .filter(|number| (self.tick + number).is_multiple_of(HEARTBEAT))
            .collect();
        for number in due {
            self.announce(number, None);
        }
    }

    /// Sends for the time of a transit, and returns the messages that have arrived. A link keeps their order; the
    /// links of an instance take turns.
    fn transmit(&mut self) -> Vec<Envelope> {
        if self.bandwidth == usize::MAX {
            return std::mem::take(&mut self.sent);
        }
        let mut out = vec![self.bandwidth; self.instances.len()];
        let mut into = out.clone();
        while self.send_packets(&mut out, &mut into) {}
        let sent = std::mem::take(&mut self.sent).into_iter();
        let (arrived, waiting) = sent.partition(|envelope| envelope.left == 0);
        self.sent = waiting;
        arrived
    }

    /// Sends one packet over each link that has one, as far as both instances can send and receive as much. Returns
    /// whether there was any.
    fn send_packets(&mut self, out: &mut [usize], into: &mut [usize]) -> bool {
        let mut links = BTreeSet::new();
        let mut moved = 0;
        for envelope in self.sent.iter_mut().filter(|e| e.left > 0) {
            let Envelope { from, to, left, .. } = envelope;
            if links.insert((*from, *to)) {
                let bytes = PACKET.min(*left).min(out[*from]).min(into[*to]);
                *left -= bytes;
                out[*from] -= bytes;
                into[*to] -= bytes;
                moved += bytes;
            }
        }
        moved > 0
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope {
            from, to, message, ..
        } = envelope;
        let instance = &mut self.instances[to];
        let delay = Duration::ZERO;
        let reaction = match message {
            Message::Statuses(statuses) => instance.replicas.receive_statuses(&statuses, delay),
            Message::Request(request) => {
                let response = instance.replicas.respond(&request);
                let replicas = &instance.replicas;
                self.sent.extend(response.map(|response| {
                    Envelope {
                        from: to,
                        to: from,
                        left: EncodedResponse::new(replicas, &response, PROTOCOL)
                            .bytes
                            .len(),
                        message: Message::Response(response),
                    }
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
        let requests = reaction.requests.into_iter().map(Message::Request);
        self.sent
            .extend(requests.map(|r| Envelope::small(to, from, r)));
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

/// Each peer got the whole configuration as text, six or seven times over each instance's link, so that the last
/// instances had it seconds late (CONFIG), and news of leaving servers waited behind it (DRAIN).
#[tokio::test(start_paused = true)]
async fn large_configuration_reaches_all_in_time_over_narrow_links() {
    let content = large_config(LARGE_OBJECT);
    for size in NARROW_SIZES {
        let mut fleet = Fleet::start(size, all_links);
        fleet.bandwidth = NARROW_LINK;
        let start = Instant::now();
        // The watchers need this long to read it from the store.
        let reading = TRANSIT * u32::try_from(content.len() / NARROW_LINK).expect("a short time");
        fleet.run(reading).await;
        for watcher in fleet.watchers() {
            fleet.read(watcher, change(Some(10), 11, &content));
        }

        while fleet.behind() > 0 && start.elapsed() < CONFIG_TIME {
            fleet.run_transit().await;
        }

        let took = start.elapsed();
        assert_eq!(fleet.behind(), 0, "of {size} instances after {took:?}");
    }
}
