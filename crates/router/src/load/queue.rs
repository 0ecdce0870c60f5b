//! Queue of the waiting requests of one pool: strict priority between tiers, weighted fair queueing
//! between the flows of a tier.
//!
//! A flow is the requests of one class and one organisation. Within a tier the flow with the least
//! virtual time is served first. The virtual time of a flow grows by the cost of each dequeued
//! request divided by the flow's share.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::config::object::Level;

new_key_type! {
    /// Key of a waiting request.
    pub struct EntryId;
    /// Key of a flow.
    struct FlowId;
}

/// Virtual time per token at share 1; also the scale of integer quotients by share.
const FIXED_POINT_SCALE: u64 = 1_000;

/// Attributes of a request that decide its place in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestAttributes {
    /// Priority level of the tier; 0 is the most important.
    pub level: Level,
    /// Name of the request class.
    pub class: SmolStr,
    /// Name of the organisation that the request counts for.
    pub organisation: SmolStr,
    /// Weight of the organisation in fair queueing, at least 1.
    pub share: u32,
    /// Memory that the request takes while it waits, in bytes.
    pub bytes: usize,
    /// Expected number of tokens of the response.
    pub cost: u64,
    /// Whether a part of the response may have been produced already. Such a request goes to the
    /// front of its flow and is never evicted.
    pub partial: bool,
}

#[derive(Debug)]
struct Entry<T> {
    flow: FlowId,
    attributes: RequestAttributes,
    enqueued: Instant,
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
    /// Number of `entries`.
    waiting: usize,
    /// Memory that the waiting requests of the flow take.
    bytes: usize,
}

/// A request that was removed from the queue.
#[derive(Debug, PartialEq, Eq)]
pub struct Dequeued<T> {
    /// The attributes that it was queued with.
    pub attributes: RequestAttributes,
    /// When it was queued.
    pub enqueued: Instant,
    /// The value that was queued with it.
    pub item: T,
}

/// Queue of the waiting requests of one pool, each with a value of type `T`.
#[derive(Debug)]
pub struct Queue<T> {
    entries: SlotMap<EntryId, Entry<T>>,
    flows: SlotMap<FlowId, Flow>,
    /// Flows by class and organisation, including those without waiting requests.
    flow_ids: HashMap<(SmolStr, SmolStr), FlowId>,
    /// Flows with waiting requests by tier, in the order of virtual time, class and organisation.
    active_flows: BTreeMap<Level, BTreeSet<(u64, SmolStr, SmolStr, FlowId)>>,
    /// Largest virtual time, by tier, at which a flow was served. A flow that becomes active starts
    /// from it, so that it isn't compensated for the time when it was idle.
    system_times: BTreeMap<Level, u64>,
    class_counts: HashMap<SmolStr, usize>,
    bytes: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: SlotMap::with_key(),
            flows: SlotMap::with_key(),
            flow_ids: HashMap::new(),
            active_flows: BTreeMap::new(),
            system_times: BTreeMap::new(),
            class_counts: HashMap::new(),
            bytes: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Memory that the waiting requests take, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The values of all waiting requests, in no particular order.
    pub fn items(&self) -> impl Iterator<Item = (EntryId, &T)> {
        self.entries.iter().map(|(id, entry)| (id, &entry.item))
    }

    /// Number of waiting requests of a class, in all tiers and of all organisations.
    #[must_use]
    pub fn class_len(&self, class: &str) -> usize {
        self.class_counts.get(class).copied().unwrap_or_default()
    }

    /// Number of waiting requests of a tier and of the more important ones.
    #[must_use]
    pub fn len_up_to(&self, level: Level) -> usize {
        let flows = self.active_flows.range(..=level).flat_map(|(_, f)| f);
        flows.map(|(_, _, _, id)| self.flows[*id].waiting).sum()
    }

    /// Priority levels of the tiers that have waiting requests, the most important first.
    #[must_use]
    pub fn levels(&self) -> impl DoubleEndedIterator<Item = Level> + '_ {
        self.active_flows.keys().copied()
    }

    /// Queues a request. `enqueued` is the time from which its wait counts.
    pub fn push(&mut self, attributes: RequestAttributes, enqueued: Instant, item: T) -> EntryId {
        let flow_id = self.flow_for(&attributes);
        let (class, bytes, partial) = (
            attributes.class.clone(),
            attributes.bytes,
            attributes.partial,
        );
        let id = self.entries.insert(Entry {
            flow: flow_id,
            attributes,
            enqueued,
            item,
        });
        self.bytes += bytes;
        *self.class_counts.entry(class).or_default() += 1;
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

    /// The request of a tier that is to be dequeued next.
    #[must_use]
    pub fn head(&self, level: Level) -> Option<EntryId> {
        let (_, _, _, flow) = self.active_flows.get(&level)?.first()?;
        self.front(*flow)
    }

    /// The request at the front of a flow of the class that was queued first.
    #[must_use]
    pub fn oldest(&self, class: &str) -> Option<EntryId> {
        self.flows
            .iter()
            .filter(|(_, f)| f.waiting > 0 && f.class == class)
            .filter_map(|(id, _)| self.front(id))
            .min_by_key(|id| self.entries[*id].enqueued)
    }

    /// The request at the front of each flow, by tier and virtual time.
    pub fn flow_fronts(&self) -> impl Iterator<Item = EntryId> + '_ {
        self.active_flows
            .values()
            .flatten()
            .filter_map(|(_, _, _, flow)| self.front(*flow))
    }

    /// The attributes of a waiting request and the time when it was queued.
    #[must_use]
    pub fn get(&self, id: EntryId) -> Option<(&RequestAttributes, Instant)> {
        self.entries.get(id).map(|e| (&e.attributes, e.enqueued))
    }

    /// The value that was queued with a waiting request.
    #[must_use]
    pub fn item(&self, id: EntryId) -> Option<&T> {
        self.entries.get(id).map(|e| &e.item)
    }

    /// Removes a request to be sent to a server, and charges its cost to its flow.
    pub fn dequeue(&mut self, id: EntryId) -> Option<Dequeued<T>> {
        let flow = self.entries.get(id)?.flow;
        self.deactivate(flow);
        let dequeued = self.detach(id);
        if let Some(dequeued) = &dequeued {
            let charge = dequeued.attributes.cost.saturating_mul(FIXED_POINT_SCALE)
                / u64::from(dequeued.attributes.share.max(1));
            let flow = &mut self.flows[flow];
            let system_time = self.system_times.entry(flow.level).or_default();
            *system_time = (*system_time).max(flow.virtual_time);
            flow.virtual_time = flow.virtual_time.saturating_add(charge);
        }
        self.reactivate(flow);
        dequeued
    }

    /// Removes a request that was cancelled, evicted or expired, without charging its flow.
    pub fn remove(&mut self, id: EntryId) -> Option<Dequeued<T>> {
        let flow = self.entries.get(id)?.flow;
        self.deactivate(flow);
        let dequeued = self.detach(id);
        self.reactivate(flow);
        dequeued
    }

    /// The request to evict next: the newest one of the flow with the most bytes per share in the
    /// least important tier. `above` restricts it to tiers less important than that level. The last
    /// waiting request of each class is kept for the starvation guard.
    #[must_use]
    pub fn victim(&self, above: Option<Level>) -> Option<EntryId> {
        let lowest = self.active_flows.iter().rev();
        lowest
            .filter(|(level, _)| above.is_none_or(|floor| **level > floor))
            .find_map(|(_, flows)| {
                let ids = flows.iter().map(|(_, _, _, id)| *id);
                let candidates = ids.filter(|id| self.class_len(&self.flows[*id].class) > 1);
                let mut by_usage: Vec<FlowId> = candidates.collect();
                by_usage.sort_by_key(|id| {
                    let flow = &self.flows[*id];
                    std::cmp::Reverse(
                        flow.bytes as u64 * FIXED_POINT_SCALE / u64::from(flow.share.max(1)),
                    )
                });
                by_usage.into_iter().find_map(|id| self.newest(id))
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

    fn flow_for(&mut self, attributes: &RequestAttributes) -> FlowId {
        let name = (attributes.class.clone(), attributes.organisation.clone());
        let existing = self.flow_ids.get(&name).copied();
        // If a class moves to another tier, its flow is replaced once it is empty.
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
        self.flow_ids.insert(name, id);
        id
    }

    fn detach(&mut self, id: EntryId) -> Option<Dequeued<T>> {
        let entry = self.entries.remove(id)?;
        let flow = &mut self.flows[entry.flow];
        match flow.entries.front() {
            Some(front) if *front == id => drop(flow.entries.pop_front()),
            _ => flow.entries.retain(|other| *other != id),
        }
        flow.waiting -= 1;
        flow.bytes -= entry.attributes.bytes;
        self.bytes -= entry.attributes.bytes;
        if let Some(n) = self.class_counts.get_mut(&entry.attributes.class) {
            *n -= 1;
        }
        Some(Dequeued {
            attributes: entry.attributes,
            enqueued: entry.enqueued,
            item: entry.item,
        })
    }

    fn activate(&mut self, id: FlowId) {
        let flow = &mut self.flows[id];
        let system_time = self.system_times.get(&flow.level).copied();
        flow.virtual_time = flow.virtual_time.max(system_time.unwrap_or_default());
        self.reactivate(id);
    }

    fn reactivate(&mut self, id: FlowId) {
        let flow = &self.flows[id];
        if flow.waiting > 0 {
            let key = Self::active_key(flow, id);
            self.active_flows.entry(flow.level).or_default().insert(key);
        }
    }

    fn deactivate(&mut self, id: FlowId) {
        let flow = &self.flows[id];
        let key = Self::active_key(flow, id);
        if let Some(flows) = self.active_flows.get_mut(&flow.level) {
            flows.remove(&key);
            if flows.is_empty() {
                self.active_flows.remove(&flow.level);
            }
        }
    }

    fn active_key(flow: &Flow, id: FlowId) -> (u64, SmolStr, SmolStr, FlowId) {
        (
            flow.virtual_time,
            flow.class.clone(),
            flow.organisation.clone(),
            id,
        )
    }
}
