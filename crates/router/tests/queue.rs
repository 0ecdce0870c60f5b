//! Differential test of the queue against a naive one that searches all waiting requests at each
//! step.

use std::collections::HashMap;

use jackdawtally::queue::{EntryId, Queue, RequestAttributes};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::time::Instant;

/// Number of random cases; the generator's size and seed are fixed.
const CASES: u64 = 400;
const SCALE: u64 = 1_000;

#[derive(Clone, Debug)]
enum Step {
    Push {
        level: u8,
        class: u8,
        organisation: u8,
        bytes: usize,
        cost: u64,
        partial: bool,
    },
    TakeHead,
    Remove(usize),
    EvictLowest,
    EvictAbove(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let level = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 10 {
            0..=4 => Self::Push {
                level,
                // Each class belongs to one tier.
                class: level * 2 + u8::arbitrary(g) % 2,
                organisation: u8::arbitrary(g) % 3,
                bytes: usize::arbitrary(g) % 1_000,
                cost: u64::arbitrary(g) % 50 + 1,
                partial: u8::arbitrary(g) % 8 == 0,
            },
            5 | 6 => Self::TakeHead,
            7 => Self::Remove(usize::arbitrary(g)),
            8 => Self::EvictLowest,
            _ => Self::EvictAbove(level),
        }
    }
}

/// A waiting request of the naive queue.
#[derive(Clone, Debug)]
struct NaiveEntry {
    number: u64,
    position: i64,
    attributes: RequestAttributes,
}

/// Naive queue: an unsorted list that is searched linearly.
#[derive(Default)]
struct NaiveQueue {
    waiting: Vec<NaiveEntry>,
    flows: HashMap<(String, String), u64>,
    system_times: HashMap<u8, u64>,
    pushes: i64,
}

fn flow(attributes: &RequestAttributes) -> (String, String) {
    (
        attributes.class.to_string(),
        attributes.organisation.to_string(),
    )
}

impl NaiveQueue {
    fn push(&mut self, number: u64, attributes: RequestAttributes) {
        self.pushes += 1;
        let idle = !self
            .waiting
            .iter()
            .any(|w| flow(&w.attributes) == flow(&attributes));
        let time = self.flows.entry(flow(&attributes)).or_default();
        if idle {
            *time = (*time).max(
                self.system_times
                    .get(&attributes.level)
                    .copied()
                    .unwrap_or_default(),
            );
        }
        let position = if attributes.partial {
            -self.pushes
        } else {
            self.pushes
        };
        self.waiting.push(NaiveEntry {
            number,
            position,
            attributes,
        });
    }

    fn head(&self) -> Option<u64> {
        let key = |w: &&NaiveEntry| {
            let name = flow(&w.attributes);
            (w.attributes.level, self.flows[&name], name, w.position)
        };
        self.waiting.iter().min_by_key(key).map(|w| w.number)
    }

    fn remove(&mut self, number: u64) -> Option<NaiveEntry> {
        let position = self.waiting.iter().position(|w| w.number == number)?;
        Some(self.waiting.remove(position))
    }

    fn take(&mut self, number: u64) {
        if let Some(removed) = self.remove(number) {
            let time = self.flows.entry(flow(&removed.attributes)).or_default();
            let system_time = self
                .system_times
                .entry(removed.attributes.level)
                .or_default();
            *system_time = (*system_time).max(*time);
            *time += removed.attributes.cost * SCALE / u64::from(removed.attributes.share);
        }
    }

    /// Bytes per share of the request's flow, by which the flow to evict from is selected.
    fn weight(&self, attributes: &RequestAttributes) -> u64 {
        let same = self
            .waiting
            .iter()
            .filter(|w| flow(&w.attributes) == flow(attributes));
        same.map(|w| w.attributes.bytes as u64).sum::<u64>() * SCALE / u64::from(attributes.share)
    }

    /// All requests that may be evicted next. The order of flows of equal weight isn't defined.
    fn victims(&self, above: Option<u8>) -> Vec<u64> {
        let candidates: Vec<&NaiveEntry> = self
            .waiting
            .iter()
            .filter(|w| above.is_none_or(|floor| w.attributes.level > floor))
            .filter(|w| !w.attributes.partial)
            .filter(|w| {
                self.waiting
                    .iter()
                    .filter(|o| o.attributes.class == w.attributes.class)
                    .count()
                    > 1
            })
            .collect();
        let Some(lowest) = candidates.iter().map(|w| w.attributes.level).max() else {
            return Vec::new();
        };
        let lowest: Vec<&&NaiveEntry> = candidates
            .iter()
            .filter(|w| w.attributes.level == lowest)
            .collect();
        let heaviest = lowest.iter().map(|w| self.weight(&w.attributes)).max();
        let newest = |w: &&&&NaiveEntry| {
            let same = lowest
                .iter()
                .filter(|o| flow(&o.attributes) == flow(&w.attributes));
            same.map(|o| o.position).max() == Some(w.position)
        };
        let heavy = lowest
            .iter()
            .filter(|w| Some(self.weight(&w.attributes)) == heaviest);
        heavy.filter(newest).map(|w| w.number).collect()
    }
}

fn attributes(
    level: u8,
    class: u8,
    organisation: u8,
    bytes: usize,
    cost: u64,
    partial: bool,
) -> RequestAttributes {
    RequestAttributes {
        level,
        class: format!("class-{class}").into(),
        organisation: format!("organisation-{organisation}").into(),
        share: u32::from(organisation) + 1,
        bytes,
        cost,
        partial,
    }
}

/// Both queues, and the keys in the tested one by request number.
struct Comparison {
    queue: Queue<u64>,
    naive: NaiveQueue,
    entries: HashMap<u64, EntryId>,
    enqueued: Instant,
}

impl Comparison {
    fn step(&mut self, number: u64, step: &Step) {
        match step {
            Step::Push {
                level,
                class,
                organisation,
                bytes,
                cost,
                partial,
            } => {
                let attributes = attributes(*level, *class, *organisation, *bytes, *cost, *partial);
                self.naive.push(number, attributes.clone());
                self.entries
                    .insert(number, self.queue.push(attributes, self.enqueued, number));
            }
            Step::TakeHead => self.take_head(),
            Step::Remove(position) => self.remove(*position),
            Step::EvictLowest => self.evict(None),
            Step::EvictAbove(level) => self.evict(Some(*level)),
        }
        assert_eq!(self.queue.len(), self.naive.waiting.len());
        let bytes: usize = self.naive.waiting.iter().map(|w| w.attributes.bytes).sum();
        assert_eq!(self.queue.bytes(), bytes);
    }

    fn take_head(&mut self) {
        let level = self.queue.levels().next();
        let head = level.and_then(|level| self.queue.head(level));
        let number = head.and_then(|id| self.queue.item(id).copied());
        assert_eq!(number, self.naive.head());
        if let (Some(id), Some(number)) = (head, number) {
            self.queue.dequeue(id);
            self.naive.take(number);
        }
    }

    fn remove(&mut self, position: usize) {
        let count = self.naive.waiting.len();
        if count > 0 {
            let number = self.naive.waiting[position % count].number;
            let removed = self.queue.remove(self.entries[&number]).map(|t| t.item);
            assert_eq!(removed, Some(number));
            self.naive.remove(number);
        }
    }

    fn evict(&mut self, above: Option<u8>) {
        let allowed = self.naive.victims(above);
        match self.queue.victim(above) {
            None => assert!(
                allowed.is_empty(),
                "no victim, but {allowed:?} may be evicted"
            ),
            Some(id) => {
                let evicted = self
                    .queue
                    .remove(id)
                    .map(|t| t.item)
                    .expect("the victim is waiting");
                assert!(
                    allowed.contains(&evicted),
                    "{evicted} was evicted instead of one of {allowed:?}"
                );
                self.naive.remove(evicted);
            }
        }
    }
}

#[test]
fn order_and_evictions_equal_those_of_the_naive_queue() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn agrees(steps: Vec<Step>) -> bool {
        let mut comparison = Comparison {
            queue: Queue::default(),
            naive: NaiveQueue::default(),
            entries: HashMap::new(),
            enqueued: Instant::now(),
        };
        for (number, step) in (0..).zip(&steps) {
            comparison.step(number, step);
        }
        true
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 0x6a61_636b))
        .tests(CASES)
        .quickcheck(agrees as fn(Vec<Step>) -> bool);
}
