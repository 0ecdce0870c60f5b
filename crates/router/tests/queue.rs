//! The queue against a naive one that looks at every waiting request at each step.

use std::collections::HashMap;

use jackdawtally::queue::{EntryId, Queue, RequestAttributes};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::time::Instant;

/// Random cases of the differential test; the generator's seed is its size, which is fixed.
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
                // A class belongs to one tier.
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

/// One waiting request of the naive queue.
#[derive(Clone, Debug)]
struct Waiting {
    number: u64,
    place: i64,
    attributes: RequestAttributes,
}

/// The naive queue: a list, searched from end to end.
#[derive(Default)]
struct Naive {
    waiting: Vec<Waiting>,
    flows: HashMap<(String, String), u64>,
    reached: HashMap<u8, u64>,
    pushes: i64,
}

fn flow(attributes: &RequestAttributes) -> (String, String) {
    (
        attributes.class.to_string(),
        attributes.organisation.to_string(),
    )
}

impl Naive {
    fn push(&mut self, number: u64, attributes: RequestAttributes) {
        self.pushes += 1;
        let idle = !self
            .waiting
            .iter()
            .any(|w| flow(&w.attributes) == flow(&attributes));
        let time = self.flows.entry(flow(&attributes)).or_default();
        if idle {
            *time = (*time).max(
                self.reached
                    .get(&attributes.level)
                    .copied()
                    .unwrap_or_default(),
            );
        }
        let place = if attributes.partial {
            -self.pushes
        } else {
            self.pushes
        };
        self.waiting.push(Waiting {
            number,
            place,
            attributes,
        });
    }

    fn head(&self) -> Option<u64> {
        let key = |w: &&Waiting| {
            let name = flow(&w.attributes);
            (w.attributes.level, self.flows[&name], name, w.place)
        };
        self.waiting.iter().min_by_key(key).map(|w| w.number)
    }

    fn remove(&mut self, number: u64) -> Option<Waiting> {
        let place = self.waiting.iter().position(|w| w.number == number)?;
        Some(self.waiting.remove(place))
    }

    fn take(&mut self, number: u64) {
        if let Some(taken) = self.remove(number) {
            let time = self.flows.entry(flow(&taken.attributes)).or_default();
            let reached = self.reached.entry(taken.attributes.level).or_default();
            *reached = (*reached).max(*time);
            *time += taken.attributes.cost * SCALE / u64::from(taken.attributes.share);
        }
    }

    /// The bytes of a flow for its share, by which the victim's flow is chosen.
    fn weight(&self, attributes: &RequestAttributes) -> u64 {
        let same = self
            .waiting
            .iter()
            .filter(|w| flow(&w.attributes) == flow(attributes));
        same.map(|w| w.attributes.bytes as u64).sum::<u64>() * SCALE / u64::from(attributes.share)
    }

    /// Every request that may be evicted next: flows of equal weight may come in any order.
    fn victims(&self, above: Option<u8>) -> Vec<u64> {
        let candidates: Vec<&Waiting> = self
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
        let lowest: Vec<&&Waiting> = candidates
            .iter()
            .filter(|w| w.attributes.level == lowest)
            .collect();
        let heaviest = lowest.iter().map(|w| self.weight(&w.attributes)).max();
        let newest = |w: &&&&Waiting| {
            let same = lowest
                .iter()
                .filter(|o| flow(&o.attributes) == flow(&w.attributes));
            same.map(|o| o.place).max() == Some(w.place)
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

/// Both queues, and which entry of the fast one each number is.
struct Pair {
    fast: Queue<u64>,
    naive: Naive,
    entries: HashMap<u64, EntryId>,
    since: Instant,
}

impl Pair {
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
                    .insert(number, self.fast.push(attributes, self.since, number));
            }
            Step::TakeHead => self.take_head(),
            Step::Remove(place) => self.remove(*place),
            Step::EvictLowest => self.evict(None),
            Step::EvictAbove(level) => self.evict(Some(*level)),
        }
        assert_eq!(self.fast.len(), self.naive.waiting.len());
        let bytes: usize = self.naive.waiting.iter().map(|w| w.attributes.bytes).sum();
        assert_eq!(self.fast.bytes(), bytes);
    }

    fn take_head(&mut self) {
        let level = self.fast.levels().next();
        let head = level.and_then(|level| self.fast.head(level));
        let number = head.and_then(|id| self.fast.item(id).copied());
        assert_eq!(number, self.naive.head());
        if let (Some(id), Some(number)) = (head, number) {
            self.fast.take(id);
            self.naive.take(number);
        }
    }

    fn remove(&mut self, place: usize) {
        let count = self.naive.waiting.len();
        if count > 0 {
            let number = self.naive.waiting[place % count].number;
            let taken = self.fast.remove(self.entries[&number]).map(|t| t.item);
            assert_eq!(taken, Some(number));
            self.naive.remove(number);
        }
    }

    fn evict(&mut self, above: Option<u8>) {
        let allowed = self.naive.victims(above);
        match self.fast.victim(above) {
            None => assert!(allowed.is_empty(), "{allowed:?} could give way"),
            Some(id) => {
                let taken = self
                    .fast
                    .remove(id)
                    .map(|t| t.item)
                    .expect("a waiting request");
                assert!(allowed.contains(&taken), "{taken} isn't among {allowed:?}");
                self.naive.remove(taken);
            }
        }
    }
}

#[test]
fn the_queue_orders_and_evicts_like_the_naive_one() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck's signature")]
    fn agrees(steps: Vec<Step>) -> bool {
        let mut pair = Pair {
            fast: Queue::default(),
            naive: Naive::default(),
            entries: HashMap::new(),
            since: Instant::now(),
        };
        for (number, step) in (0..).zip(&steps) {
            pair.step(number, step);
        }
        true
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 0x6a61_636b))
        .tests(CASES)
        .quickcheck(agrees as fn(Vec<Step>) -> bool);
}
