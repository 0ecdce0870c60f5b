//! Crashes of a pool's servers: lost connections, and what instances tell each other.

use std::sync::Arc;

use log::Level as LogLevel;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::state::State;
use super::{GrantId, Pool};
use crate::event::Line;
use crate::load::crash_evidence::CrashNotices;
use crate::load::quarantine::{QuarantineChange, RequestIdentity, Subject, SuspectId};

/// Connections to a server that were lost, of which it isn't known yet whether the server crashed.
#[derive(Debug)]
pub(super) struct Loss {
    at: Instant,
    /// The requests whose responses had not gone past their beginning.
    open: Vec<RequestIdentity>,
}

impl Loss {
    /// Whether this request, or a repeat of it, was open.
    pub(super) fn concerns(&self, identity: &RequestIdentity) -> bool {
        let known = identity.request.is_some();
        known && self.open.iter().any(|i| i.request == identity.request)
    }
}

/// A server to which a connection was lost, to be checked for a crash.
#[derive(Clone, Debug)]
pub struct SuspectedCrash {
    /// The server's name.
    pub server: SmolStr,
    /// When the connection was lost.
    pub at: Instant,
}

impl Pool {
    /// Records that the connection of a request was lost. `begun` tells whether its response had gone past its
    /// beginning. Returns the server if it is now to be checked for a crash.
    pub(super) fn record_loss(&self, grant: GrantId, begun: bool) -> Option<SuspectedCrash> {
        let now = Instant::now();
        let mut state = self.lock();
        let State {
            grants,
            servers,
            losses,
            ..
        } = &mut *state;
        let grant = grants.get(grant)?;
        let server = servers.get(grant.server)?;
        if server.leaving() {
            return None;
        }
        let name = server.name().clone();
        let new = !losses.contains_key(&name);
        let loss = losses.entry(name.clone()).or_insert_with(|| Loss {
            at: now,
            open: Vec::new(),
        });
        if !begun && !grant.identity.is_unknown() {
            loss.open.push(grant.identity.as_ref().clone());
        }
        new.then_some(SuspectedCrash {
            server: name,
            at: now,
        })
    }

    /// Records the result of the check of a server to which connections were lost.
    pub fn resolve_loss(self: &Arc<Self>, server: &SmolStr, crashed: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        let Some(loss) = state.losses.remove(server) else {
            return;
        };
        if crashed {
            state
                .evidence
                .record_crash(server, loss.at, &loss.open, now);
            self.log_crash_changes(&mut state, "own");
        }
    }

    /// Records that the response to a request went on past its beginning.
    pub(super) fn record_sound(&self, grant: GrantId) {
        let mut state = self.lock();
        let State {
            grants, evidence, ..
        } = &mut *state;
        let Some(grant) = grants.get_mut(grant) else {
            return;
        };
        grant.sound = true;
        evidence.record_sound(&grant.identity, Instant::now());
        self.log_crash_changes(&mut state, "own");
    }

    /// Records that a server sent a part of a response. `sound` tells whether the response has gone past its
    /// beginning.
    pub(super) fn record_response(&self, grant: GrantId, sound: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        let State {
            grants,
            servers,
            evidence,
            ..
        } = &mut *state;
        let Some(grant) = grants.get_mut(grant) else {
            return;
        };
        if let Some(server) = servers.get(grant.server) {
            evidence.record_response(server.name(), now);
        }
        if sound && !std::mem::replace(&mut grant.sound, true) {
            evidence.record_sound(&grant.identity, now);
        }
        self.log_crash_changes(&mut state, "own");
    }

    /// Records what another instance knows of crashes and their suspects.
    pub fn merge_crashes(self: &Arc<Self>, notices: &CrashNotices) {
        let mut state = self.lock();
        state.evidence.merge(notices, Instant::now());
        self.log_crash_changes(&mut state, "peer");
    }

    /// Takes the notices on crashes and their suspects that are due to be sent to the other instances.
    #[must_use]
    pub fn take_crash_notices(&self) -> CrashNotices {
        self.lock().evidence.take_notices()
    }

    /// All that is known of crashes and their suspects, for an instance that has just been linked.
    #[must_use]
    pub fn crash_notices(&self) -> CrashNotices {
        self.lock().evidence.all_notices(Instant::now())
    }

    pub(super) fn log_crash_changes(&self, state: &mut State, source: &'static str) {
        for (subject, change) in state.evidence.take_changes() {
            let (counter, line) = describe(subject, change);
            // Both quarantines learn of a crash.
            if let Some(counter) = counter {
                self.metrics.count(counter);
            }
            line.field("source", source).write(LogLevel::Warn);
        }
    }
}

/// The counter and the log line of a change.
fn describe(subject: Subject, change: QuarantineChange) -> (Option<&'static str>, Line) {
    let counted = |counter| (subject == Subject::Requests).then_some(counter);
    match change {
        QuarantineChange::Crash(server, suspects) => (
            counted("crash.reported"),
            Line::new("server.crash")
                .field("server", server)
                .field("state", "reported")
                .field("of", subject.as_str())
                .field("suspects", suspects),
        ),
        QuarantineChange::Refuted(server) => (
            counted("crash.refuted"),
            Line::new("server.crash")
                .field("server", server)
                .field("state", "refuted")
                .field("of", subject.as_str()),
        ),
        QuarantineChange::Begun(id, crashes) => (
            Some("quarantine.begun"),
            quarantine_line(subject, id)
                .field("state", "begun")
                .field("crashes", crashes),
        ),
        QuarantineChange::Ended(id) => (
            Some("quarantine.ended"),
            quarantine_line(subject, id).field("state", "ended"),
        ),
    }
}

fn quarantine_line(subject: Subject, id: SuspectId) -> Line {
    let id = format!("{id:x}");
    match subject {
        Subject::Segments => Line::new("prompt.quarantine").field("segment", id),
        Subject::Requests => Line::new("request.quarantine").field("request", id),
    }
}
