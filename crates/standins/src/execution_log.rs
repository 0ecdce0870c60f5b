//! What the backend server stand-ins ran, as they saw it themselves.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use smol_str::SmolStr;
use tokio::time::Instant;

/// The number by which a caller marks its request in the prompt.
pub type Tag = u64;

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Start {
    /// When.
    pub at: Instant,
    /// Which server.
    pub server: SmolStr,
    /// Whose request.
    pub tag: Tag,
    /// Pieces of the answer that were there before, when it continues another.
    pub base: u64,
    /// Whether it only goes on with a stream that was paused at the same server.
    pub resumed: bool,
}

/// A running request that was paused.
#[derive(Clone, Debug)]
pub struct Pause {
    /// When.
    pub at: Instant,
    /// Which server.
    pub server: SmolStr,
    /// Whose request.
    pub tag: Tag,
    /// Whether the server itself had given it another request's answer.
    pub crossed: bool,
}

/// All that was recorded.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests begun, in order.
    pub starts: Vec<Start>,
    /// Requests paused while they ran, in order.
    pub pauses: Vec<Pause>,
    /// Tokens made, by request.
    pub made: HashMap<Tag, u64>,
    /// Tokens made in the run's window, by request.
    pub made_inside: HashMap<Tag, u64>,
    window: Option<(Instant, Instant)>,
    /// Requests that a server was offered too long after it had said that it was leaving.
    pub after_leaving: Vec<Start>,
}

/// The ledger of all stand-ins.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    records: Mutex<Records>,
}

impl ExecutionLog {
    /// Records that a request began.
    pub fn start(&self, start: Start) {
        self.lock().starts.push(start);
    }

    /// Records that a running request was paused.
    pub fn pause(&self, pause: Pause) {
        self.lock().pauses.push(pause);
    }

    /// Records a request that came too late to a leaving server.
    pub fn late(&self, start: Start) {
        self.lock().after_leaving.push(start);
    }

    /// Sets the window in which tokens are counted apart.
    pub fn watch(&self, from: Instant, to: Instant) {
        self.lock().window = Some((from, to));
    }

    /// Records a token.
    pub fn token(&self, tag: Tag) {
        let now = Instant::now();
        let mut records = self.lock();
        *records.made.entry(tag).or_default() += 1;
        if records
            .window
            .is_some_and(|(from, to)| from <= now && now < to)
        {
            *records.made_inside.entry(tag).or_default() += 1;
        }
    }

    /// All that was recorded so far.
    #[must_use]
    pub fn records(&self) -> Records {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
