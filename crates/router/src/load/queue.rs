//! Waiting requests of one pool: by tier first, then by fair share between flows.
//!
//! A flow is one organisation's requests of one class. Within a tier the flow with the least virtual
//! time goes first; a flow's virtual time grows by the cost of what it was given, divided by its share.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::config::object::Level;

new_key_type! {
    /// A waiting request.
    pub struct EntryId;
    /// One organisation's requests of one class.
    struct FlowId;
}

/// Virtual time per token at share 1.
const SCALE: u64 = 1_000;

/// What the queue needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAttributes {
    /// The tier's rank.
    pub level: Level,
    /// The class's name.
    pub class: SmolStr,
    /// The organisation's name.
    pub organisation: SmolStr,
    /// The organisation's share; at least 1.
    pub share: u32,
    /// Bytes that the request holds while it waits.
    pub bytes: usize,
    /// Expected tokens.
    pub cost: u64,
    /// Whether a part was answered already; such a request goes first in its flow and is never evicted.
    pub partial: bool,
}

#[derive(Debug)]
struct Entry<T> {
    flow: FlowId,
    attributes: RequestAttributes,
    since: Instant,
    item: T,
}

#[derive(Debug)]
struct Flow {
    level: Level,
    class: SmolStr,
    organisation: SmolStr,
    share: u32,
    virtual_time: u64,
    entries: VecDeque<EntryId>,
    waiting: usize,
    bytes: usize,
}

/// A request taken out of the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct Taken<T> {
    /// What the queue knew of it.
    pub attributes: RequestAttributes,
    /// When it came in.
    pub since: Instant,
    /// What was kept with it.
    pub item: T,
}

/// The waiting requests of one pool.
#[derive(Debug)]
pub struct Queue<T> {
    entries: SlotMap<EntryId, Entry<T>>,
    flows: SlotMap<FlowId, Flow>,
    names: HashMap<(SmolStr, SmolStr), FlowId>,
    order: BTreeMap<Level, BTreeSet<(u64, SmolStr, SmolStr, FlowId)>>,
    virtual_times: BTreeMap<Level, u64>,
    classes: HashMap<SmolStr, usize>,
    bytes: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            flows: SlotMap::with_key(),
            names: HashMap::new(),
            order: BTreeMap::new(),
            virtual_times: BTreeMap::new(),
            classes: HashMap::new(),
            bytes: 0,
        }
    }
}

impl<T> Queue<T> {
    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes that the waiting requests hold.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The number of waiting requests of a class.
    #[must_use]
    pub fn waiting(&self, class: &str) -> usize {
        self.classes.get(class).copied().unwrap_or_default()
    }

    /// The tiers in which something waits, the most important first.
    #[must_use]
    pub fn levels(&self) -> impl DoubleEndedIterator<Item = Level> + '_ {
        self.order.keys().copied()
    }

    /// Puts a request in.
    pub fn push(&mut self, attributes: RequestAttributes, since: Instant, item: T) -> EntryId {
        let flow_id = self.flow(&attributes);
        let (class, bytes, partial) = (
            attributes.class.clone(),
            attributes.bytes,
            attributes.partial,
        );
        let id = self.entries.insert(Entry {
            flow: flow_id,
            attributes,
            since,
            item,
        });
        self.bytes += bytes;
        *self.classes.entry(class).or_default() += 1;
        let flow = &mut self.flows[flow_id];
        flow.waiting += 1;
        flow.bytes += bytes;
        if partial {
            flow.entries.push_front(id);
        } else {
            flow.entries.push_back(id);
        }
        if flow.waiting == 1 {
            self.activate(flow_id);
        }
        id
    }

    /// The request that goes next in a tier.
    #[must_use]
    pub fn head(&self, level: Level) -> Option<EntryId> {
        let (_, _, _, flow) = self.order.get(&level)?.first()?;
        self.front(*flow)
    }

    /// The oldest request of a class.
    #[must_use]
    pub fn oldest(&self, class: &str) -> Option<EntryId> {
        self.flows
            .iter()
            .filter(|(_, f)| f.waiting > 0 && f.class == class)
            .filter_map(|(id, _)| self.front(id))
            .min_by_key(|id| self.entries[*id].since)
    }

    /// The front of each flow that has waiting requests.
    pub fn fronts(&self) -> impl Iterator<Item = EntryId> + '_ {
        self.order
            .values()
            .flatten()
            .filter_map(|(_, _, _, flow)| self.front(*flow))
    }

    /// What is known of a waiting request, and since when it waits.
    #[must_use]
    pub fn get(&self, id: EntryId) -> Option<(&RequestAttributes, Instant)> {
        self.entries.get(id).map(|e| (&e.attributes, e.since))
    }

    /// What was kept with a waiting request.
    #[must_use]
    pub fn item(&self, id: EntryId) -> Option<&T> {
        self.entries.get(id).map(|e| &e.item)
    }

    /// Takes a request out to be run, and charges its cost to its flow.
    pub fn take(&mut self, id: EntryId) -> Option<Taken<T>> {
        let flow = self.entries.get(id)?.flow;
        self.deactivate(flow);
        let taken = self.detach(id);
        if let Some(taken) = &taken {
            let charge = taken.attributes.cost.saturating_mul(SCALE)
                / u64::from(taken.attributes.share.max(1));
            let flow = &mut self.flows[flow];
            let reached = self.virtual_times.entry(flow.level).or_default();
            *reached = (*reached).max(flow.virtual_time);
            flow.virtual_time = flow.virtual_time.saturating_add(charge);
        }
        self.reactivate(flow);
        taken
    }

    /// Takes a request out that won't run here.
    pub fn remove(&mut self, id: EntryId) -> Option<Taken<T>> {
        let flow = self.entries.get(id)?.flow;
        self.deactivate(flow);
        let taken = self.detach(id);
        self.reactivate(flow);
        taken
    }

    /// The request to evict: of the least important tier, of the flow with the most bytes for its
    /// share, the newest. The last request of a class stays for the starvation guard.
    #[must_use]
    pub fn victim(&self, above: Option<Level>) -> Option<EntryId> {
        let lowest = self.order.iter().rev();
        lowest
            .filter(|(level, _)| above.is_none_or(|floor| **level > floor))
            .find_map(|(_, flows)| {
                let ids = flows.iter().map(|(_, _, _, id)| *id);
                let candidates = ids.filter(|id| self.waiting(&self.flows[*id].class) > 1);
                let mut weighed: Vec<FlowId> = candidates.collect();
                weighed.sort_by_key(|id| {
                    let flow = &self.flows[*id];
                    std::cmp::Reverse(flow.bytes as u64 * SCALE / u64::from(flow.share.max(1)))
                });
                weighed.into_iter().find_map(|id| self.newest(id))
            })
    }

    fn newest(&self, flow: FlowId) -> Option<EntryId> {
        let ids = self.flows[flow].entries.iter().rev();
        ids.copied()
            .find(|id| self.entries.get(*id).is_some_and(|e| !e.attributes.partial))
    }

    fn front(&self, flow: FlowId) -> Option<EntryId> {
        self.flows[flow].entries.front().copied()
    }

    fn flow(&mut self, attributes: &RequestAttributes) -> FlowId {
        let name = (attributes.class.clone(), attributes.organisation.clone());
        let existing = self.names.get(&name).copied();
        // A class that moved to another tier starts a new flow once the old one is empty.
        let usable = existing.filter(|id| {
            let flow = &self.flows[*id];
            flow.level == attributes.level || flow.waiting > 0
        });
        if let Some(id) = usable {
            self.flows[id].share = attributes.share;
            return id;
        }
        if let Some(old) = existing {
            self.flows.remove(old);
        }
        let id = self.flows.insert(Flow {
            level: attributes.level,
            class: attributes.class.clone(),
            organisation: attributes.organisation.clone(),
            share: attributes.share,
            virtual_time: 0,
            entries: VecDeque::new(),
            waiting: 0,
            bytes: 0,
        });
        self.names.insert(name, id);
        id
    }

    fn detach(&mut self, id: EntryId) -> Option<Taken<T>> {
        let entry = self.entries.remove(id)?;
        let flow = &mut self.flows[entry.flow];
        match flow.entries.front() {
            Some(front) if *front == id => drop(flow.entries.pop_front()),
            _ => flow.entries.retain(|other| *other != id),
        }
        flow.waiting -= 1;
        flow.bytes -= entry.attributes.bytes;
        self.bytes -= entry.attributes.bytes;
        if let Some(n) = self.classes.get_mut(&entry.attributes.class) {
            *n -= 1;
        }
        Some(Taken {
            attributes: entry.attributes,
            since: entry.since,
            item: entry.item,
        })
    }

    fn activate(&mut self, id: FlowId) {
        let flow = &mut self.flows[id];
        let reached = self.virtual_times.get(&flow.level).copied();
        flow.virtual_time = flow.virtual_time.max(reached.unwrap_or_default());
        self.reactivate(id);
    }

    fn reactivate(&mut self, id: FlowId) {
        let flow = &self.flows[id];
        if flow.waiting > 0 {
            let key = Self::order_key(flow, id);
            self.order.entry(flow.level).or_default().insert(key);
        }
    }

    fn deactivate(&mut self, id: FlowId) {
        let flow = &self.flows[id];
        let key = Self::order_key(flow, id);
        if let Some(flows) = self.order.get_mut(&flow.level) {
            flows.remove(&key);
            if flows.is_empty() {
                self.order.remove(&flow.level);
            }
        }
    }

    fn order_key(flow: &Flow, id: FlowId) -> (u64, SmolStr, SmolStr, FlowId) {
        (
            flow.virtual_time,
            flow.class.clone(),
            flow.organisation.clone(),
            id,
        )
    }
}
