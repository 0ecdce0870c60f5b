//! Instances of fleets of any size find out where a stream began, also after the instance that began it is
//! gone. Memory, queries and links are real; the network and time are simulated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use jackdawtally::fleet::links::PeerLinks;
use jackdawtally::frame::{self, Frame};
use jackdawtally::membership::{InstanceId, InstanceRecord, InstanceState, Membership};
use jackdawtally::origin::{Origin, StreamId, stream_id};
use jackdawtally::stream_origins::StreamOrigins;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time that a frame takes over a link.
const LINK_DELAY: Duration = Duration::from_millis(3);
/// Interval at which instances send what is due.
const TICK: Duration = Duration::from_millis(20);
/// Largest fleet in which all instances are linked with each other.
const FULL_MESH: usize = 11;

struct Instance {
    id: InstanceId,
    origins: StreamOrigins,
    links: PeerLinks,
    membership: Membership,
    sent_bytes: AtomicUsize,
}

struct Fleet {
    instances: Vec<Arc<Instance>>,
    /// The tasks of each instance and its links.
    tasks: Vec<Vec<tokio::task::AbortHandle>>,
    rng: SmallRng,
}

fn record(index: usize) -> InstanceRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    InstanceRecord {
        id: format!("front-{index}").into(),
        incarnation: 1,
        version: 1,
        state: InstanceState::Alive,
        callers: address,
        operators: address,
        peers: address,
        data_centre: "north".into(),
        config: 0,
    }
}

/// Passes the frames of one direction of a link on to `to`.
async fn carry(mut frames: mpsc::Receiver<Frame>, from: Arc<Instance>, to: Arc<Instance>) {
    while let Some(frame) = frames.recv().await {
        let bytes = frame::encode(&frame).len();
        from.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
        tokio::time::sleep(LINK_DELAY).await;
        match frame {
            Frame::StreamOrigins(groups) => to.origins.keep(&groups),
            Frame::FindOrigins(queries) => to.origins.receive_queries(&queries, &from.id),
            Frame::FoundOrigins(replies) => to.origins.receive_replies(&replies),
            other => panic!("unexpected frame {other:?}"),
        }
    }
}

impl Fleet {
    fn new(count: usize) -> Self {
        let instances: Vec<Arc<Instance>> = (0..count)
            .map(|index| {
                let membership = Membership::new(record(index));
                for other in (0..count).filter(|other| *other != index) {
                    membership.merge(record(other));
                }
                Arc::new(Instance {
                    id: record(index).id,
                    origins: StreamOrigins::default(),
                    links: PeerLinks::default(),
                    membership,
                    sent_bytes: AtomicUsize::new(0),
                })
            })
            .collect();
        let mut fleet = Self {
            tasks: vec![Vec::new(); count],
            rng: SmallRng::seed_from_u64(count as u64),
            instances,
        };
        for index in 0..count {
            let instance = Arc::clone(&fleet.instances[index]);
            let flushing = tokio::spawn(async move {
                loop {
                    tokio::time::sleep(TICK).await;
                    instance.origins.flush(&instance.links);
                }
            });
            fleet.tasks[index].push(flushing.abort_handle());
        }
        fleet.link_all();
        fleet
    }

    fn link_all(&mut self) {
        let count = self.instances.len();
        for index in 0..count {
            if count <= FULL_MESH {
                (index + 1..count).for_each(|other| self.link(index, other));
                continue;
            }
            self.link(index, (index + 1) % count);
            for _ in 0..2 {
                let other = self.rng.random_range(0..count);
                self.link(index, other);
            }
        }
    }

    fn link(&mut self, a: usize, b: usize) {
        if a == b
            || self.instances[a]
                .links
                .linked()
                .contains(&self.instances[b].id)
        {
            return;
        }
        for (from, to) in [(a, b), (b, a)] {
            let (source, target) = (&self.instances[from], &self.instances[to]);
            let registered = source.links.register(&source.id, &record(to), true, 2);
            let (_, frames) = registered.expect("the link is new");
            let carrying = carry(frames, Arc::clone(source), Arc::clone(target));
            let task = tokio::spawn(carrying).abort_handle();
            self.tasks[from].push(task.clone());
            self.tasks[to].push(task);
        }
    }

    /// Ends an instance, and lets the others know.
    fn kill(&mut self, index: usize) {
        for task in &self.tasks[index] {
            task.abort();
        }
        let dead = InstanceRecord {
            state: InstanceState::Dead,
            ..record(index)
        };
        for other in &self.instances {
            other.membership.merge(dead.clone());
        }
    }

    async fn find(&self, index: usize, stream: StreamId) -> Option<Origin> {
        let Instance {
            origins,
            membership,
            links,
            ..
        } = self.instances[index].as_ref();
        origins.find(stream, membership, links).await
    }

    fn sent_bytes(&self) -> usize {
        let sent = self.instances.iter().map(|i| &i.sent_bytes);
        sent.map(|n| n.load(Ordering::Relaxed)).sum()
    }
}

fn origin(number: usize) -> Origin {
    Origin {
        service: "s".into(),
        version: format!("v{}", number % 3).into(),
    }
}

fn stream(number: usize) -> StreamId {
    stream_id(&format!("attempt-{number}"))
}

/// A caller that came back at another instance got its stream continued by any version, as only the instance
/// that began it could have known.
#[tokio::test(start_paused = true)]
async fn every_instance_finds_where_a_stream_began() {
    for count in [1, 2, 3, 7, 59, 250, 490] {
        let fleet = Fleet::new(count);
        for number in 0..20 {
            let beginning = &fleet.instances[number * 7 % count];
            beginning.origins.record(stream(number), &origin(number));
        }

        for number in 0..20 {
            let found = fleet.find((number * 31 + 5) % count, stream(number)).await;

            assert_eq!(found, Some(origin(number)), "{count} instances");
        }
    }
}

/// Origins that only the instance that began a stream remembers are lost with it. A tenth of the instances is
/// gone; only what they began less than a copy interval ago may be lost.
#[tokio::test(start_paused = true)]
async fn streams_of_dead_instances_are_found() {
    for count in [3, 7, 59, 250, 490] {
        let mut fleet = Fleet::new(count);
        let dead = (count / 10).max(1);
        for number in 0..40 {
            let beginning = &fleet.instances[number % dead];
            beginning.origins.record(stream(number), &origin(number));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        (0..dead).for_each(|index| fleet.kill(index));

        let mut found = 0;
        for number in 0..40 {
            let asking = dead + number * 13 % (count - dead);
            let result = fleet.find(asking, stream(number)).await;
            assert!(result.is_none() || result == Some(origin(number)));
            found += usize::from(result.is_some());
        }

        assert!(found >= 38, "{count} instances: {found} of 40");
    }
}

/// In a small fleet all peers say that they don't know; in a large one the time limit ends the query.
#[tokio::test(start_paused = true)]
async fn unknown_stream_is_given_up_on_early() {
    for (count, limit) in [(1, 1), (7, 100), (59, 700)] {
        let fleet = Fleet::new(count);
        let start = Instant::now();

        let found = fleet.find(0, stream(1)).await;

        assert_eq!(found, None);
        assert!(
            start.elapsed() <= Duration::from_millis(limit),
            "{count} instances: {:?}",
            start.elapsed()
        );
    }
}

/// A caller that left while its stream was looked up left the query in memory.
#[tokio::test(start_paused = true)]
async fn query_of_a_caller_that_left_is_forgotten() {
    let fleet = Fleet::new(59);

    let left = tokio::time::timeout(TICK, fleet.find(0, stream(1))).await;
    let before = fleet.instances[0].origins.pending();
    tokio::time::sleep(TICK * 2).await;

    assert!(left.is_err());
    assert_eq!((before, fleet.instances[0].origins.pending()), (1, 0));
}

/// Origins are forgotten after their streams can't be taken up any more.
#[tokio::test(start_paused = true)]
async fn old_origins_are_forgotten() {
    let fleet = Fleet::new(1);
    fleet.instances[0].origins.record(stream(1), &origin(1));

    tokio::time::sleep(Duration::from_secs(29)).await;
    let kept = fleet.instances[0].origins.count();
    tokio::time::sleep(Duration::from_secs(35)).await;

    assert_eq!((kept, fleet.instances[0].origins.count()), (1, 0));
}

/// 490 instances that begin 17,000 streams a second: the copies stay under 8 KB a second and instance.
#[tokio::test(start_paused = true)]
async fn copies_of_a_large_fleet_are_small() {
    let fleet = Fleet::new(490);
    let mut number = 0;

    for _ in 0..100 {
        for index in 0..340 {
            let beginning = &fleet.instances[(index * 97 + number) % 490];
            beginning.origins.record(stream(number), &origin(index));
            number += 1;
        }
        tokio::time::sleep(TICK).await;
    }

    let each = fleet.sent_bytes() / 490 / 2;
    println!("{each} bytes a second and instance");
    assert!(each < 8_000, "{each} bytes a second and instance");
}
