//! The gate of a pool for requests that may crash its servers.

use std::time::Duration;

use tokio::time::Instant;

use super::state::State;
use super::{AdmissionRequest, LostServer, PendingReply, Pool};
use crate::error::{Fault, Kind};
use crate::load::quarantine::{
    QUARANTINE_TIME, Quarantined, RequestIdentity, Standing, Subject, SuspectId, Suspicion,
};
use crate::load::queue::EntryId;

/// Time between two checks whether a request may pass.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Retry delay advised for a request that may crash servers and isn't tried now.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after a crash in which the instances tell each other what was open at the server.
const DOUBT_TIME: Duration = Duration::from_millis(120);
/// Time after the last of several crashes in which their suspects aren't tried: the evidence isn't complete yet.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);
/// Crashes after which a suspected request is tried only while no other such request is.
const EXCLUSIVE_CRASHES: usize = 2;

/// What the gate decides.
enum Passage {
    Free,
    /// The request is tried although it may crash a server.
    Trial,
    Wait,
    Refused(Fault),
}

impl Pool {
    /// The request, if it may crash servers and is to be tried by one instance alone.
    #[must_use]
    pub fn suspected_request(&self, identity: &RequestIdentity) -> Option<SuspectId> {
        let state = self.lock();
        state.evidence.suspected_request(identity, Instant::now())
    }

    /// The segments and requests in quarantine.
    #[must_use]
    pub fn quarantined(&self) -> Vec<Quarantined> {
        let state = self.lock();
        state.evidence.quarantined(Instant::now()).collect()
    }

    /// Waits until a request may be tried if it may crash a server, and returns whether it may.
    ///
    /// # Errors
    /// `prompt_quarantined` or `request_quarantined` if it does, `request_suspected` if another instance is to try it,
    /// `overloaded` if the wait takes too long.
    pub(super) async fn wait_for_suspect(
        &self,
        admission: &AdmissionRequest,
    ) -> Result<bool, Fault> {
        if admission.identity.is_unknown() {
            return Ok(false);
        }
        let deadline = Instant::now() + admission.max_wait;
        loop {
            let now = Instant::now();
            match self.lock().passage(admission, now) {
                Passage::Free => return Ok(false),
                Passage::Trial => return Ok(true),
                Passage::Refused(fault) => {
                    self.count_refusal(&fault);
                    return Err(fault);
                }
                Passage::Wait if now < deadline => {}
                Passage::Wait => {
                    let message = "another request that may crash servers is being tried";
                    return Err(Fault::new(Kind::Overloaded, message).retry_after(RETRY_AFTER));
                }
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Sends the waiting requests of which it has become known that they may crash servers back to the gate, or
    /// rejects them.
    pub(super) fn expel_suspects(
        &self,
        state: &mut State,
        now: Instant,
        replies: &mut Vec<PendingReply>,
    ) {
        state.evidence.update(now);
        self.log_crash_changes(state, "own");
        for (id, fault) in state.waiting_suspects(now) {
            if let Some(dequeued) = state.queue.remove(id) {
                self.count_refusal(&fault);
                replies.push((dequeued.item.reply, Err(fault)));
            }
        }
    }

    fn count_refusal(&self, fault: &Fault) {
        let counter = match fault.kind {
            Kind::RequestSuspected => "suspect.not_tried",
            _ => "shed.quarantine",
        };
        self.metrics.count(counter);
    }
}

impl State {
    fn passage(&self, admission: &AdmissionRequest, now: Instant) -> Passage {
        let mut trial = false;
        for standing in self.evidence.standings(&admission.identity, now) {
            match standing {
                Standing::Unsuspected => {}
                Standing::Quarantined(quarantined) => return Passage::Refused(fault(quarantined)),
                Standing::Suspected(suspicion) => {
                    let own = suspicion.subject == Subject::Segments || admission.may_try;
                    if !own {
                        return Passage::Refused(suspected_fault());
                    }
                    if self.is_trial_barred(&suspicion, now) {
                        return Passage::Wait;
                    }
                    trial = true;
                }
            }
        }
        if self.is_in_doubt(admission, now) {
            Passage::Wait
        } else if trial {
            Passage::Trial
        } else {
            Passage::Free
        }
    }

    /// Whether it isn't known yet if a server crashed under the request, or what else may have been the cause.
    fn is_in_doubt(&self, admission: &AdmissionRequest, now: Instant) -> bool {
        let identity = &admission.identity;
        if self.evidence.is_sound(identity) {
            return false;
        }
        let crashed = |lost: &LostServer| {
            let recent = now.saturating_duration_since(lost.at) < DOUBT_TIME;
            recent && self.evidence.has_crash(&lost.server, lost.at)
        };
        let unresolved = self.losses.values().any(|loss| loss.concerns(identity));
        unresolved || admission.lost.as_ref().is_some_and(crashed)
    }

    /// Whether a suspect can't be tried now, because another trial is under way or the evidence isn't complete.
    fn is_trial_barred(&self, suspicion: &Suspicion, now: Instant) -> bool {
        let same = |identity: &RequestIdentity| {
            let suspects = identity.suspects(suspicion.subject);
            suspects.contains(&suspicion.id)
        };
        let exclusive =
            suspicion.subject == Subject::Requests && suspicion.crashes >= EXCLUSIVE_CRASHES;
        if !exclusive {
            return self.has_open(same);
        }
        let recent = |at: Instant| now.saturating_duration_since(at) < TRIAL_PAUSE;
        let other = |identity: &RequestIdentity| {
            let [_, standing] = self.evidence.standings(identity, now);
            matches!(standing, Standing::Suspected(s) if s.crashes >= EXCLUSIVE_CRASHES)
        };
        suspicion.last.is_some_and(recent) || self.has_open(|i| same(i) || other(i))
    }

    /// Whether this instance has sent such a request whose response isn't past its beginning, or is about to.
    fn has_open(&self, is_such: impl Fn(&RequestIdentity) -> bool) -> bool {
        let mut sent = self.grants.values().filter(|g| !g.sound);
        let mut waiting = self.queue.items();
        sent.any(|g| is_such(&g.identity)) || waiting.any(|(_, w)| is_such(&w.admission.identity))
    }

    /// The waiting requests that may not be sent as they are, with the reasons.
    fn waiting_suspects(&self, now: Instant) -> Vec<(EntryId, Fault)> {
        let mut found = Vec::new();
        if self.evidence.is_clear() && self.losses.is_empty() {
            return found;
        }
        for (id, waiter) in self.queue.items() {
            let identity = &waiter.admission.identity;
            if identity.is_unknown() {
                continue;
            }
            let [segments, request] = self.evidence.standings(identity, now);
            match (segments, request) {
                (Standing::Quarantined(quarantined), _)
                | (_, Standing::Quarantined(quarantined)) => {
                    found.push((id, fault(quarantined)));
                }
                _ if waiter.trial => {}
                (_, Standing::Suspected(_)) => found.push((id, suspected_fault())),
                _ if self.is_in_doubt(&waiter.admission, now) => {
                    found.push((id, suspected_fault()));
                }
                _ => {}
            }
        }
        found
    }
}

fn suspected_fault() -> Fault {
    let message = "backend servers crashed under this request, and it isn't tried now";
    Fault::new(Kind::RequestSuspected, message).retry_after(RETRY_AFTER)
}

fn fault(quarantined: Quarantined) -> Fault {
    let Quarantined {
        subject,
        id,
        crashes,
        age,
    } = quarantined;
    let (kind, name) = match subject {
        Subject::Segments => (Kind::PromptQuarantined, "prompt segment"),
        Subject::Requests => (Kind::RequestQuarantined, "request"),
    };
    let message = format!(
        "the {name} {id:x} is in quarantine for {} s: {crashes} backend servers crashed under it",
        age.as_secs()
    );
    let left = QUARANTINE_TIME.saturating_sub(age);
    Fault::new(kind, message).retry_after(left)
}
