//! A log of the requests that the simulated backend servers ran, written by the servers themselves.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::crash_check::{Cause, CrashRecord};

/// Number that identifies a request. Callers write it into the prompt.
pub type Tag = u64;

/// The start or resumption of a request on a server.
#[derive(Clone, Debug)]
pub struct ExecutionStart {
    /// Time of the event.
    pub at: Instant,
    /// Name of the server.
    pub server: SmolStr,
    /// Tag of the request.
    pub tag: Tag,
    /// Tokens of the response that another server had generated before; 0 if it starts anew.
    pub prior_tokens: u64,
    /// Whether it resumes a stream that was paused on the same server.
    pub resumed: bool,
}

/// A pause of a running request.
#[derive(Clone, Debug)]
pub struct ExecutionPause {
    /// Time of the event.
    pub at: Instant,
    /// Name of the server.
    pub server: SmolStr,
    /// Tag of the request.
    pub tag: Tag,
    /// Whether the server had sent it the response of another request.
    pub mismatched: bool,
}

/// All recorded events and token counts.
#[derive(Clone, Debug, Default)]
pub struct ExecutionRecords {
    /// Starts and resumptions of requests, in order.
    pub starts: Vec<ExecutionStart>,
    /// Pauses of running requests, in order.
    pub pauses: Vec<ExecutionPause>,
    /// Generated tokens, by request.
    pub tokens: HashMap<Tag, u64>,
    /// Tokens generated within the measurement window, by request.
    pub window_tokens: HashMap<Tag, u64>,
    window: Option<(Instant, Instant)>,
    /// Requests sent to a server too long after it had reported that it was leaving.
    pub after_leaving: Vec<ExecutionStart>,
}

/// The log that all simulated servers of a run share.
#[derive(Debug)]
pub struct ExecutionLog {
    records: Mutex<ExecutionRecords>,
    crashes: Mutex<CrashRecord>,
}

impl Default for ExecutionLog {
    fn default() -> Self {
        Self {
            records: Mutex::default(),
            crashes: Mutex::new(CrashRecord::new(Cause::Request)),
        }
    }
}

impl ExecutionLog {
    /// Records that a request was started or resumed.
    pub fn record_start(&self, start: ExecutionStart) {
        self.lock().starts.push(start);
    }

    /// Records that a running request was paused.
    pub fn record_pause(&self, pause: ExecutionPause) {
        self.lock().pauses.push(pause);
    }

    /// Records a request that reached a server too long after it had reported that it was leaving.
    pub fn record_after_leaving(&self, start: ExecutionStart) {
        self.lock().after_leaving.push(start);
    }

    /// Records that a server crashed under the crashing request.
    pub fn record_crash(&self, at: Instant) {
        let mut crashes = self.lock_crashes();
        crashes.arrive(at);
        crashes.crash(at);
    }

    /// What servers received of the crashing request.
    #[must_use]
    pub fn crashes(&self) -> CrashRecord {
        self.lock_crashes().clone()
    }

    fn lock_crashes(&self) -> MutexGuard<'_, CrashRecord> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the measurement window, in which tokens are also counted separately. Without one, none are.
    pub fn set_window(&self, from: Instant, to: Instant) {
        self.lock().window = Some((from, to));
    }

    /// Counts a generated token of a request.
    pub fn record_token(&self, tag: Tag) {
        let now = Instant::now();
        let mut records = self.lock();
        *records.tokens.entry(tag).or_default() += 1;
        if records
            .window
            .is_some_and(|(from, to)| from <= now && now < to)
        {
            *records.window_tokens.entry(tag).or_default() += 1;
        }
    }

    /// Returns a copy of all that was recorded so far.
    #[must_use]
    pub fn records(&self) -> ExecutionRecords {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, ExecutionRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
