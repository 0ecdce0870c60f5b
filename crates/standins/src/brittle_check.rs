//! A backend server that falls over when it has to turn too many requests away, and the check how often the servers of
//! a service may do so.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Window in which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Falls allowed in one time in which servers are brittle, whatever their number.
const FALLS_ALLOWED: usize = 2;
/// One more is allowed for each of this many servers.
const SERVERS_PER_FALL: usize = 10;

/// Falls that this many servers may have in one time in which they are brittle.
#[must_use]
pub const fn falls_allowed(servers: usize) -> usize {
    FALLS_ALLOWED + servers / SERVERS_PER_FALL
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// It has room.
    Accepted,
    /// It has none.
    Refused,
    /// It has none, and falls over.
    Fall,
}

/// The room of one server. Times at which requests end are known when they arrive.
#[derive(Clone, Debug)]
pub struct BrittleServer {
    /// Requests that run or wait at most.
    pub room: usize,
    /// Refusals in a second that it bears; `None` while it isn't brittle.
    pub refusals: Option<usize>,
    open: Vec<Instant>,
    refused: VecDeque<Instant>,
}

impl BrittleServer {
    /// Creates a server with room for this many requests that isn't brittle.
    #[must_use]
    pub const fn new(room: usize) -> Self {
        Self {
            room,
            refusals: None,
            open: Vec::new(),
            refused: VecDeque::new(),
        }
    }

    /// Receives a request that ends at `end` if there is room.
    pub fn receive(&mut self, now: Instant, end: Instant) -> Reception {
        self.open.retain(|end| *end > now);
        if self.open.len() < self.room {
            self.open.push(end);
            return Reception::Accepted;
        }
        self.refused.push_back(now);
        let since = |at: &Instant| now.saturating_duration_since(*at);
        while self
            .refused
            .front()
            .is_some_and(|at| since(at) >= REFUSAL_WINDOW)
        {
            self.refused.pop_front();
        }
        match self.refusals {
            Some(refusals) if self.refused.len() > refusals => {
                self.refused.clear();
                self.open.clear();
                Reception::Fall
            }
            _ => Reception::Refused,
        }
    }
}
