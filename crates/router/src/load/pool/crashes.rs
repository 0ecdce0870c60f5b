//! Crashes of a pool's servers, and the prompts that are kept from them because of these.

use std::sync::Arc;
use std::time::Duration;

use log::Level as LogLevel;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::state::State;
use super::{AdmissionRequest, GrantId, Pool};
use crate::error::{Fault, Kind};
use crate::event::Line;
use crate::load::quarantine::{
    Notice, PromptIdentity, QUARANTINE_TIME, QuarantineChange, QuarantinedSegment, SegmentId,
    Standing,
};

/// Time between two checks whether another prompt with a suspected segment is still open.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay advised for a prompt that had to wait for another one with the same suspected segment.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Connections to a server that were lost, of which it isn't known yet whether the server crashed.
#[derive(Debug)]
pub(super) struct Loss {
    at: Instant,
    /// The prompts whose responses had not gone past their beginning.
    open: Vec<PromptIdentity>,
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
        if server.leaving(now) {
            return None;
        }
        let name = server.name().clone();
        let new = !losses.contains_key(&name);
        let loss = losses.entry(name.clone()).or_insert_with(|| Loss {
            at: now,
            open: Vec::new(),
        });
        if !begun && !grant.identity.shared.is_empty() {
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
                .quarantine
                .record_crash(server, loss.at, &loss.open, now);
            self.log_crash_changes(&mut state, "own");
        }
    }

    /// Records that the response to a request went on past its beginning.
    pub(super) fn record_sound(&self, grant: GrantId) {
        let mut state = self.lock();
        let State {
            grants, quarantine, ..
        } = &mut *state;
        let Some(grant) = grants.get_mut(grant) else {
            return;
        };
        grant.sound = true;
        quarantine.record_sound(&grant.identity.shared, Instant::now());
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
            quarantine,
            ..
        } = &mut *state;
        let Some(grant) = grants.get_mut(grant) else {
            return;
        };
        if let Some(server) = servers.get(grant.server) {
            quarantine.record_response(server.name(), now);
        }
        if sound && !std::mem::replace(&mut grant.sound, true) {
            quarantine.record_sound(&grant.identity.shared, now);
        }
        self.log_crash_changes(&mut state, "own");
    }

    /// Records what another instance knows of crashes and segments.
    pub fn merge_crashes(self: &Arc<Self>, notices: &[Notice]) {
        let now = Instant::now();
        let mut state = self.lock();
        for notice in notices {
            state.quarantine.merge(notice, now);
        }
        self.log_crash_changes(&mut state, "peer");
    }

    /// Takes the notices on crashes and segments that are due to be sent to the other instances.
    #[must_use]
    pub fn take_crash_notices(&self) -> Vec<Notice> {
        self.lock().quarantine.take_notices()
    }

    /// All that is known of crashes and segments, for an instance that has just been linked.
    #[must_use]
    pub fn crash_notices(&self) -> Vec<Notice> {
        self.lock().quarantine.all_notices(Instant::now())
    }

    /// Waits while another prompt with the same suspected segment is open at this instance.
    ///
    /// # Errors
    /// `prompt_quarantined` if a segment is in quarantine, `overloaded` if the wait takes too long.
    pub(super) async fn wait_for_suspect(&self, admission: &AdmissionRequest) -> Result<(), Fault> {
        if admission.identity.shared.is_empty() {
            return Ok(());
        }
        let deadline = Instant::now() + admission.max_wait;
        loop {
            let now = Instant::now();
            {
                let state = self.lock();
                match state.quarantine.standing(&admission.identity.shared, now) {
                    Standing::Unsuspected => return Ok(()),
                    Standing::Suspected(segment) if !state.has_open(segment) => return Ok(()),
                    Standing::Suspected(_) => {}
                    Standing::Quarantined(quarantined) => {
                        self.metrics.count("shed.quarantine");
                        return Err(quarantine_fault(quarantined));
                    }
                }
            }
            if now >= deadline {
                let message = "another prompt with a segment that may crash servers is open";
                return Err(Fault::new(Kind::Overloaded, message).retry_after(RETRY_AFTER));
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Rejects the waiting requests whose prompts have a segment in quarantine.
    pub(super) fn expel_quarantined(
        &self,
        state: &mut State,
        now: Instant,
        replies: &mut Vec<super::PendingReply>,
    ) {
        state.quarantine.update(now);
        self.log_crash_changes(state, "own");
        if state.quarantine.is_empty() {
            return;
        }
        let expelled: Vec<_> = state
            .queue
            .items()
            .filter_map(|(id, waiter)| {
                let segments = &waiter.admission.identity.shared;
                match state.quarantine.standing(segments, now) {
                    Standing::Quarantined(quarantined) => Some((id, quarantined)),
                    Standing::Unsuspected | Standing::Suspected(_) => None,
                }
            })
            .collect();
        for (id, quarantined) in expelled {
            if let Some(dequeued) = state.queue.remove(id) {
                self.metrics.count("shed.quarantine");
                replies.push((dequeued.item.reply, Err(quarantine_fault(quarantined))));
            }
        }
    }

    fn log_crash_changes(&self, state: &mut State, source: &'static str) {
        for change in state.quarantine.take_changes() {
            let (counter, line) = match change {
                QuarantineChange::Crash(server, suspects) => (
                    "crash.reported",
                    Line::new("server.crash")
                        .field("server", server)
                        .field("state", "reported")
                        .field("suspects", suspects),
                ),
                QuarantineChange::Refuted(server) => (
                    "crash.refuted",
                    Line::new("server.crash")
                        .field("server", server)
                        .field("state", "refuted"),
                ),
                QuarantineChange::Begun(segment, crashes) => (
                    "quarantine.begun",
                    Line::new("prompt.quarantine")
                        .field("segment", format!("{segment:x}"))
                        .field("state", "begun")
                        .field("crashes", crashes),
                ),
                QuarantineChange::Ended(segment) => (
                    "quarantine.ended",
                    Line::new("prompt.quarantine")
                        .field("segment", format!("{segment:x}"))
                        .field("state", "ended"),
                ),
            };
            self.metrics.count(counter);
            line.field("source", source).write(LogLevel::Warn);
        }
    }
}

impl State {
    /// Whether this instance has sent or queued a prompt with this segment whose response isn't past its
    /// beginning.
    fn has_open(&self, segment: SegmentId) -> bool {
        let mut sent = self.grants.values().filter(|g| !g.sound);
        let mut waiting = self.queue.items();
        sent.any(|g| g.identity.shared.contains(&segment))
            || waiting.any(|(_, w)| w.admission.identity.shared.contains(&segment))
    }
}

fn quarantine_fault(quarantined: QuarantinedSegment) -> Fault {
    let QuarantinedSegment {
        segment,
        crashes,
        age,
    } = quarantined;
    let message = format!(
        "the prompt segment {segment:x} is in quarantine for {} s: {crashes} backend servers crashed under it",
        age.as_secs()
    );
    let left = QUARANTINE_TIME.saturating_sub(age);
    Fault::new(Kind::PromptQuarantined, message).retry_after(left)
}
