//! Brittle servers of a pool: what servers and other instances say, and this instance's part of their slots.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::Level as LogLevel;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::state::State;
use super::{GrantId, Pool};
use crate::event::Line;
use crate::load::brittleness::SlotShare;
use crate::load::server::Server;

impl Pool {
    /// Records whether the response to a request says that its server is brittle, and whether the server refused
    /// the request for want of room.
    pub(super) fn record_brittleness(&self, grant: GrantId, brittle: bool, refused: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        let Some((id, sent)) = state.grants.get(grant).map(|g| (g.server, g.sent)) else {
            return;
        };
        // A refusal may lack what the server says otherwise.
        if brittle || !refused {
            state.brittleness.observe(brittle, sent, now);
        }
        if refused
            && let Some(server) = state.servers.get_mut(id)
            && server.refuse_brittle(now)
        {
            self.metrics.count("brittle.refused");
        }
        self.update_shares(&mut state, now);
    }

    /// Records that another instance heard, so long ago, that the servers are brittle.
    pub fn merge_brittleness(self: &Arc<Self>, age: Duration) {
        let now = Instant::now();
        let mut state = self.lock();
        state.brittleness.merge(age, now);
        self.update_shares(&mut state, now);
    }

    /// The time since it was last heard that the servers are brittle, if that is to be announced now.
    #[must_use]
    pub fn take_brittleness(&self) -> Option<Duration> {
        self.lock().brittleness.announce(Instant::now())
    }

    /// The instances that have slots of the brittle servers; `None` if this one has any, or the servers aren't
    /// brittle.
    #[must_use]
    pub fn slot_holders(&self) -> Option<Vec<SmolStr>> {
        let state = self.lock();
        if !state.shares_assigned || state.servers.values().any(Server::has_slots) {
            return None;
        }
        let holders: BTreeSet<&SmolStr> = state
            .servers
            .values()
            .flat_map(|s| {
                let slots = usize::try_from(s.declared.slots).unwrap_or(usize::MAX);
                state.members.first(s.name(), slots)
            })
            .collect();
        let holders: Vec<SmolStr> = holders.into_iter().cloned().collect();
        (!holders.is_empty()).then_some(holders)
    }

    /// Assigns or withdraws this instance's parts when the servers become brittle, or are it no more.
    pub(super) fn update_shares(&self, state: &mut State, now: Instant) {
        let brittle = state.brittleness.is_brittle(now);
        if brittle == state.shares_assigned {
            return;
        }
        state.shares_assigned = brittle;
        state.assign_shares();
        let shares = state.servers.values().filter_map(Server::slot_share);
        let slots: u64 = shares.map(|s| u64::from(s.slots())).sum();
        let (counter, text) = if brittle {
            ("brittle.begun", "begun")
        } else {
            ("brittle.ended", "ended")
        };
        self.metrics.count(counter);
        Line::new("pool.brittle")
            .field("pool", &self.name)
            .field("state", text)
            .field("slots", slots)
            .write(LogLevel::Warn);
    }
}

impl State {
    /// Assigns this instance's parts of the slots of all servers, or none if they aren't brittle.
    pub(super) fn assign_shares(&mut self) {
        for server in self.servers.values_mut() {
            let (name, slots) = (server.name().clone(), server.declared.slots);
            let share = self
                .shares_assigned
                .then(|| SlotShare::new(&name, slots, &self.members));
            server.set_slot_share(share);
        }
    }
}
