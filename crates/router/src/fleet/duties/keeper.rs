//! Takes, renews and hands over one duty of this instance.

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::time::{self, Instant};

use super::held::HeldDuty;
use super::lease::{Interest, Reading, Step, Write};
use super::poll::Poll;
use super::state::{Duties, DutyState};
use super::store::DutyStore;
use super::{Duty, Token, polling};
use crate::event::Line;
use crate::node::Node;
use crate::random;
use crate::rendezvous;

/// Longest time between two looks at who is to take the duty.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the lease that a call to the store may take.
const CALL_DIVISOR: u32 = 5;
/// Shortest time between two requests for counts.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Instances that are asked for their counts in a second, at most.
const POLLED_PER_S: f64 = 60.0;
/// Poll intervals between two announcements of a holder that needs no counts.
const ANNOUNCEMENT_POLLS: u32 = 4;
/// Announcements that may be lost before others doubt the holder.
const LOST_ANNOUNCEMENTS: u32 = 2;
/// Random marks are cut to the integers that every JSON reader knows exactly.
const MARK_SHIFT: u32 = 11;
/// Number of attempts to hand a duty over.
const RELEASE_ATTEMPTS: u32 = 3;

/// Time between two requests for counts in a fleet of this size.
#[must_use]
pub fn poll_interval(instances: usize) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    MIN_POLL_INTERVAL.max(Duration::from_secs_f64(f64::from(instances) / POLLED_PER_S))
}

/// Takes the duty when it is this instance's turn, and keeps it; ends after it was handed over in a planned stop.
pub async fn run<S: DutyStore>(node: Arc<Node>, duty: Duty, store: Arc<S>) {
    let Some(state) = node.duties.as_ref().and_then(|d| d.get(duty)) else {
        return;
    };
    let mut keeper = Keeper {
        node: &node,
        state,
        held: &state.held,
        store: store.as_ref(),
        token: None,
        last_token: None,
        announced: None,
        round: 0,
    };
    while !node.is_draining() {
        keeper.step().await;
    }
    keeper.hand_over().await;
}

struct Keeper<'a, S> {
    node: &'a Node,
    state: &'a DutyState,
    held: &'a HeldDuty,
    store: &'a S,
    /// The token if the duty was held at the last look.
    token: Option<Token>,
    /// The token under which it was last held.
    last_token: Option<Token>,
    announced: Option<Instant>,
    round: u64,
}

impl<S: DutyStore> Keeper<'_, S> {
    async fn step(&mut self) {
        let interest = interest(self.node, self.state);
        let now = (self.held.clocks.boot)();
        let step = {
            let mut lease = self.held.lease();
            let step = lease.next(now, interest, mark());
            if let Step::Write(write) = &step {
                lease.send(now, write);
            }
            step
        };
        let failure = match step {
            Step::Wait(until) => {
                self.wait(until.saturating_sub(now)).await;
                None
            }
            Step::Read => self.read().await,
            Step::Write(write) => self.write(&write).await,
        };
        self.observe_token(failure);
        self.announce();
    }

    async fn wait(&self, time: Duration) {
        tokio::select! {
            () = time::sleep(time.min(CHECK_INTERVAL)) => {}
            () = self.held.changed.notified() => {}
        }
    }

    async fn read(&self) -> Option<String> {
        let call = self.store.read(self.held.duty);
        let reading = time::timeout(self.call_timeout(), call).await;
        self.record(reading)
    }

    async fn write(&self, write: &Write) -> Option<String> {
        let call = self.store.write(self.held.duty, write);
        let reading = time::timeout(self.call_timeout(), call).await;
        self.record(reading)
    }

    fn call_timeout(&self) -> Duration {
        duties(self.node).map_or(CHECK_INTERVAL, |d| d.settings.lease / CALL_DIVISOR)
    }

    /// Records the result of a call; returns why it failed.
    fn record<E: Display>(
        &self,
        result: Result<Result<Reading, E>, time::error::Elapsed>,
    ) -> Option<String> {
        self.node.metrics.count("duties.store_calls");
        let now = (self.held.clocks.boot)();
        let failure = match result {
            Ok(Ok(reading)) => {
                self.held.lease().observe(now, reading);
                return None;
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".into(),
        };
        self.held.lease().fail(now);
        Some(failure)
    }

    /// Logs whether the duty was taken or lost since the last look.
    fn observe_token(&mut self, failure: Option<String>) {
        let token = self.held.token();
        let before = std::mem::replace(&mut self.token, token);
        let (state, shown) = match (before, token) {
            (None, Some(token)) if self.last_token == Some(token) => ("kept", token),
            (before, Some(token)) if before != Some(token) => ("taken", token),
            (Some(token), None) => ("lost", token),
            (_, Some(token)) if failure.is_some() => ("unconfirmed", token),
            _ => return,
        };
        self.last_token = token.or(self.last_token);
        if state != "unconfirmed" {
            self.node.metrics.count("duties.changes");
        }
        self.log(state, shown, failure);
    }

    fn log(&self, state: &str, token: Token, reason: Option<String>) {
        Line::new("duty.lease")
            .field("duty", self.held.duty.as_str())
            .field("state", state)
            .field("token", token)
            .optional_field("reason", reason)
            .write(Level::Info);
    }

    /// Tells all instances who holds a duty that needs no counts; requests for counts tell it too.
    fn announce(&mut self) {
        let Some(token) = self.token.filter(|_| self.held.duty != Duty::UsageReports) else {
            return;
        };
        let interval = announcement_interval(self.node, self.held.duty);
        if self.announced.is_some_and(|at| at.elapsed() < interval) {
            return;
        }
        self.announced = Some(Instant::now());
        self.round += 1;
        let poll = Poll {
            duty: self.held.duty,
            holder: self.node.settings.instance.clone(),
            token,
            round: self.round,
            first: None,
        };
        polling::receive(self.node, &poll, None);
    }

    async fn hand_over(&mut self) {
        for _ in 0..RELEASE_ATTEMPTS {
            let token = self.held.token().or(self.token);
            let now = (self.held.clocks.boot)();
            let write = self.held.lease().release(now, mark());
            let (Some(write), Some(token)) = (write, token) else {
                return;
            };
            let failure = self.write(&write).await;
            let released = failure.is_none();
            let state = if released { "handed_over" } else { "lost" };
            self.log(state, token, failure);
            if released {
                return;
            }
        }
    }
}

fn duties(node: &Node) -> Option<&Duties> {
    node.duties.as_ref()
}

fn mark() -> u64 {
    random::id() >> MARK_SHIFT
}

fn announcement_interval(node: &Node, duty: Duty) -> Duration {
    let interval = poll_interval(node.membership.alive().len());
    match duty {
        Duty::UsageReports => interval,
        Duty::ServerOrders => interval * ANNOUNCEMENT_POLLS,
    }
}

/// Whether this instance is to take the duty: it is the first in rendezvous order of those that are alive, without the
/// holder, and the holder isn't there any more.
fn interest(node: &Node, state: &DutyState) -> Interest {
    let own = node.membership.own().id;
    let mut alive = node.membership.alive();
    let heard = state.polls.heard();
    let holder = heard.as_ref().map(|h| h.poll.holder.clone());
    let lease = duties(node).map_or(CHECK_INTERVAL, |d| d.settings.lease);
    let patience = announcement_interval(node, state.held.duty) * LOST_ANNOUNCEMENTS + lease;
    let recent = heard.is_some_and(|h| h.at.elapsed() < patience);
    let present = recent && alive.iter().any(|r| Some(&r.id) == holder.as_ref());
    if alive.len() > 1 {
        alive.retain(|r| Some(&r.id) != holder.as_ref());
    }
    let key = rendezvous::hash(state.held.duty.as_str().as_bytes());
    let first = alive.iter().max_by_key(|r| rendezvous::weight(key, &r.id));
    match first {
        Some(first) if first.id != own => Interest::None,
        Some(_) if present && holder.as_ref() != Some(&own) => Interest::Standby,
        Some(_) => Interest::Take,
        None => Interest::None,
    }
}
