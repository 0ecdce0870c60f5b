//! Periodic work of a pool: admission floors, load shedding, preemption and estimates.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::dispatch::send_replies;
use super::rests::rest_fault;
use super::state::State;
use super::{PendingReply, Pool};
use crate::config::object::Level;
use crate::error::{Fault, Kind};
use crate::load::queue::{Dequeued, EntryId};

impl Pool {
    /// Does the periodic work: updates the floors, evicts and expires waiting requests, preempts
    /// running ones for late ones, and detects stragglers. Must be called more often than every 250
    /// ms, or gap samples are discarded.
    pub fn tick(self: &Arc<Self>) {
        let now = Instant::now();
        let replies = {
            let mut state = self.lock();
            let mut replies = Vec::new();
            state.detect_pause(now);
            state.update_floors(now, self.limits.queue_bytes);
            self.update_shares(&mut state, now);
            self.expel_suspects(&mut state, now, &mut replies);
            self.evict(&mut state, now, &mut replies);
            self.expire(&mut state, now, &mut replies);
            let preempted = state.preempt(now);
            self.metrics.add("preempted", preempted);
            state.update_stragglers();
            state.update_partition(now);
            self.update_room(&mut state, now);
            state.expire_prefixes(now);
            replies
        };
        send_replies(replies);
        self.dispatch_waiting();
    }

    fn evict(&self, state: &mut State, now: Instant, replies: &mut Vec<PendingReply>) {
        let floor = state.floors.evict_floor(now);
        while let Some(victim) = state.queue.victim(Some(floor)) {
            self.shed(state, victim, now, replies);
        }
        while state.queue.bytes() > self.limits.queue_bytes {
            let lowest = state.queue.levels().next_back().unwrap_or(Level::MAX);
            let propagated = state.floors.propagated(lowest, now);
            let hard_limit = state.queue.bytes() > self.limits.queue_bytes * 2;
            match state.queue.victim(None) {
                Some(victim) if propagated || hard_limit => self.shed(state, victim, now, replies),
                _ => break,
            }
        }
    }

    fn shed(
        &self,
        state: &mut State,
        victim: EntryId,
        now: Instant,
        replies: &mut Vec<PendingReply>,
    ) {
        if let Some(dequeued) = state.queue.remove(victim) {
            self.metrics.count("shed.evicted");
            let fault = state.overloaded(&dequeued.attributes, now);
            replies.push((dequeued.item.reply, Err(fault)));
        }
    }

    fn expire(&self, state: &mut State, now: Instant, replies: &mut Vec<PendingReply>) {
        let late: Vec<EntryId> = state
            .queue
            .flow_fronts()
            .filter(|id| {
                let partial = state
                    .queue
                    .get(*id)
                    .is_none_or(|(attributes, _)| attributes.partial);
                !partial && state.waited_fraction(*id, now) >= 1.0
            })
            .collect();
        for id in late {
            let reachable = state.servers.values().any(|s| s.available(now));
            let rest = state.rest_left(now);
            if let Some(Dequeued {
                attributes, item, ..
            }) = state.queue.remove(id)
            {
                self.metrics.count("shed.expired");
                let fault = match rest {
                    Some(left) => rest_fault(left),
                    None if reachable => state.overloaded(&attributes, now),
                    None => Fault::new(Kind::NoBackendServer, "no backend server can be reached")
                        .retry_after(Duration::from_secs(2)),
                };
                replies.push((item.reply, Err(fault)));
            }
        }
    }
}
