//! What is known, at one instance, of the crashes of one pool's servers: the prompt segments and the requests that may
//! be their cause.

use std::time::Duration;

use smol_str::SmolStr;
use tokio::time::Instant;

use crate::load::quarantine::{
    Notice, Quarantine, QuarantineChange, Quarantined, RequestIdentity, Standing, Subject,
    SuspectId,
};

/// What instances tell each other of the crashes of one pool's servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashNotices {
    /// On prompt segments.
    pub segments: Vec<Notice>,
    /// On requests.
    pub requests: Vec<Notice>,
}

impl CrashNotices {
    /// Whether there are none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.segments.is_empty() && self.requests.is_empty()
    }
}

/// Evidence of crashes and their causes.
#[derive(Debug)]
pub struct CrashEvidence {
    segments: Quarantine,
    requests: Quarantine,
}

impl CrashEvidence {
    /// Creates the state without any evidence.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            segments: Quarantine::new(Subject::Segments, now),
            requests: Quarantine::new(Subject::Requests, now),
        }
    }

    const fn each(&mut self) -> [&mut Quarantine; 2] {
        [&mut self.segments, &mut self.requests]
    }

    /// Whether nothing is suspected or in quarantine.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.segments.is_clear() && self.requests.is_clear()
    }

    /// What is known of the segments of a request, and of the request itself.
    #[must_use]
    pub fn standings(&self, identity: &RequestIdentity, now: Instant) -> [Standing; 2] {
        [
            self.segments.standing(identity, now),
            self.requests.standing(identity, now),
        ]
    }

    /// The request, if it is to be tried with care.
    #[must_use]
    pub fn suspected_request(&self, identity: &RequestIdentity, now: Instant) -> Option<SuspectId> {
        match self.requests.standing(identity, now) {
            Standing::Suspected(suspicion) => Some(suspicion.id),
            Standing::Unsuspected | Standing::Quarantined(_) => None,
        }
    }

    /// Whether the request was answered lately.
    #[must_use]
    pub fn is_sound(&self, identity: &RequestIdentity) -> bool {
        identity
            .request
            .is_some_and(|id| self.requests.is_sound(id))
    }

    /// Whether a crash of the server is known that was about the time `at`.
    #[must_use]
    pub fn has_crash(&self, server: &str, at: Instant) -> bool {
        self.requests.has_crash(server, at)
    }

    /// Number of crashes within this time.
    #[must_use]
    pub fn crashes_within(&self, time: Duration, now: Instant) -> usize {
        self.requests.crashes_within(time, now)
    }

    /// The segments and requests in quarantine.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = Quarantined> {
        let requests = self.requests.quarantined(now);
        self.segments.quarantined(now).chain(requests)
    }

    /// Records a crash that this instance saw. `open` are the requests that were open at the server and whose
    /// responses had not gone past their beginning.
    pub fn record_crash(
        &mut self,
        server: &SmolStr,
        at: Instant,
        open: &[RequestIdentity],
        now: Instant,
    ) {
        for quarantine in self.each() {
            quarantine.record_crash(server, at, open, now);
        }
    }

    /// Records that the response to a request went on past its beginning.
    pub fn record_sound(&mut self, identity: &RequestIdentity, now: Instant) {
        for quarantine in self.each() {
            quarantine.record_sound(identity, now);
        }
    }

    /// Records a response of a server. It refutes a reported crash.
    pub fn record_response(&mut self, server: &str, now: Instant) {
        for quarantine in self.each() {
            quarantine.record_response(server, now);
        }
    }

    /// Records what another instance says.
    pub fn merge(&mut self, notices: &CrashNotices, now: Instant) {
        for notice in &notices.segments {
            self.segments.merge(notice, now);
        }
        for notice in &notices.requests {
            self.requests.merge(notice, now);
        }
    }

    /// Puts suspects into quarantine that enough crashes speak against, and forgets old evidence.
    pub fn update(&mut self, now: Instant) {
        for quarantine in self.each() {
            quarantine.update(now);
        }
    }

    /// Takes the notices that are due to be sent to the other instances.
    #[must_use]
    pub fn take_notices(&mut self) -> CrashNotices {
        CrashNotices {
            segments: self.segments.take_notices(),
            requests: self.requests.take_notices(),
        }
    }

    /// All that is known, for an instance that has just been linked.
    #[must_use]
    pub fn all_notices(&self, now: Instant) -> CrashNotices {
        CrashNotices {
            segments: self.segments.all_notices(now),
            requests: self.requests.all_notices(now),
        }
    }

    /// Takes the changes since the last call, for the log.
    #[must_use]
    pub fn take_changes(&mut self) -> Vec<(Subject, QuarantineChange)> {
        let segments = self.segments.take_changes().into_iter();
        let requests = self.requests.take_changes().into_iter();
        let segments = segments.map(|change| (Subject::Segments, change));
        segments
            .chain(requests.map(|change| (Subject::Requests, change)))
            .collect()
    }
}
