//! Model of the claim protocol for idempotency keys, small enough for an exhaustive state search.
//!
//! The model has one key, one shard object, and one caller that submits its request to one instance
//! after another. The caller submits again only after its connection was closed or lost, so it doesn't
//! receive responses to earlier submissions. Any message may be delayed, any reply may be lost, and any
//! instance may crash or stall at any point; a stall needs no transition of its own, because the
//! transitions of the other processes may happen in between. The shard may be compacted at any time,
//! which covers clock skew of any size.

pub mod dispatch;

use std::collections::BTreeSet;

/// Number of submissions by the caller, each to a different instance.
pub const SUBMISSIONS: usize = 3;
/// Maximum number of writes that an attempt sends before it reports the outcome as unknown.
const MAX_WRITES: u8 = 2;

/// The shard's record of the key; the variants name the attempt that wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Entry {
    /// The shard has no record of the key.
    Absent,
    /// Claimed by the attempt, which may be running the request.
    Running(usize),
    /// The attempt completed the response.
    Complete(usize),
    /// The attempt recorded that the request will never run.
    NotRun(usize),
}

/// The shard object in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shard {
    version: u8,
    entry: Entry,
    /// Whether the key's timestamp is below the shard's floor, so that the key can't be claimed any more.
    below_floor: bool,
}

/// A write in flight, which takes effect only if the shard still has the expected version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Write {
    attempt: usize,
    expected: u8,
    entry: Entry,
}

/// An action on the key, carried out by a read of the shard and a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Action {
    /// Claims the key.
    Claim,
    /// Releases the key, so that another attempt can claim it.
    Release,
    /// Records that the request will never run.
    Refuse,
    /// Records that the response was completed.
    Settle,
}

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Not submitted yet.
    Idle,
    /// Submitted, and queued for a backend server.
    Queued,
    /// About to read the shard for the action.
    Reading(Action),
    /// Has sent a write for the action, and waits for the reply.
    Writing(Action),
    /// Holds the claim on the key.
    Claimed,
    /// The request was sent to a backend server.
    Dispatched,
    /// Finished, or its instance crashed.
    Finished,
}

/// A response to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallerResponse {
    /// The request did not run, and won't.
    NotRun,
    /// The response is complete.
    Complete,
    /// Whether the request ran is unknown.
    Unknown,
}

/// The handling of one submission by an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    phase: Phase,
    /// Number of writes sent so far.
    writes: u8,
}

/// A state of the whole system: the shard, the attempts, the writes in flight and the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct State {
    shard: Shard,
    attempts: [Attempt; SUBMISSIONS],
    writes: BTreeSet<Write>,
    /// Number of times that the request ran.
    pub runs: u8,
    /// The distinct responses that the caller received.
    pub responses: BTreeSet<CallerResponse>,
}

/// The variant of the protocol: the correct one, or one with a deliberate error that the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The protocol without an error.
    Correct,
    /// The request is dispatched before its key is claimed.
    DispatchBeforeClaim,
    /// "Not run" is reported before the platform confirmed the release of the key.
    ReleaseUnconfirmed,
    /// A repeated submission that is preempted in the queue is reported as not run, without a record of
    /// that in the shard.
    RefuseWithoutRecord,
    /// Compaction removes keys without raising the floor.
    CompactWithoutFloor,
    /// A repeated submission whose key is below the floor is reported as not run.
    BelowFloorReportsNotRun,
    /// A write without a reply is assumed to have had no effect.
    NoReplyMeansNoEffect,
}

impl Default for State {
    fn default() -> Self {
        let idle = Attempt {
            phase: Phase::Idle,
            writes: 0,
        };
        Self {
            shard: Shard {
                version: 0,
                entry: Entry::Absent,
                below_floor: false,
            },
            attempts: [idle; SUBMISSIONS],
            writes: BTreeSet::new(),
            runs: 0,
            responses: BTreeSet::new(),
        }
    }
}

impl State {
    /// Whether the state violates an invariant: the request ran twice, or it was reported as not run
    /// although it ran or was also reported as complete.
    #[must_use]
    pub fn violates_invariant(&self) -> bool {
        let not_run = self.responses.contains(&CallerResponse::NotRun);
        let contradictory = not_run && self.responses.contains(&CallerResponse::Complete);
        self.runs > 1 || (not_run && self.runs > 0) || contradictory
    }

    /// All states that can be reached by one transition under the given protocol.
    #[must_use]
    pub fn successors(&self, protocol: Protocol) -> Vec<Self> {
        let mut next = Vec::new();
        for i in 0..SUBMISSIONS {
            self.submit(i, &mut next);
            self.step(i, protocol, &mut next);
            self.crash(i, &mut next);
        }
        for write in &self.writes {
            self.apply_write(write, &mut next);
        }
        self.compact(protocol, &mut next);
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn with_phase(&self, i: usize, phase: Phase) -> Self {
        self.with(|s| s.attempts[i].phase = phase)
    }

    /// Ends the attempt with a response to the caller.
    fn finish(&self, i: usize, response: CallerResponse) -> Self {
        self.with_phase(i, Phase::Finished).respond(i, response)
    }

    /// Delivers a response to the caller, unless the caller has abandoned this submission and made
    /// another one.
    fn respond(self, i: usize, response: CallerResponse) -> Self {
        let latest = self.attempts[i + 1..]
            .iter()
            .all(|a| a.phase == Phase::Idle);
        self.with(|s| {
            if latest {
                s.responses.insert(response);
            }
        })
    }

    /// The caller makes its first submission, or repeats it at any time before it has a final response.
    fn submit(&self, i: usize, next: &mut Vec<Self>) {
        let earlier = self.attempts[..i].iter();
        let in_turn = earlier.clone().all(|a| a.phase != Phase::Idle);
        let has_final_response = self.responses.contains(&CallerResponse::NotRun)
            || self.responses.contains(&CallerResponse::Complete);
        if self.attempts[i].phase == Phase::Idle && in_turn && !has_final_response {
            next.push(self.with_phase(i, Phase::Queued));
        }
    }

    fn crash(&self, i: usize, next: &mut Vec<Self>) {
        if !matches!(self.attempts[i].phase, Phase::Idle | Phase::Finished) {
            next.push(self.with_phase(i, Phase::Finished));
        }
    }

    fn compact(&self, protocol: Protocol, next: &mut Vec<Self>) {
        if !self.shard.below_floor && self.shard.entry != Entry::Absent {
            next.push(self.with(|s| {
                s.shard.version += 1;
                s.shard.entry = Entry::Absent;
                s.shard.below_floor = protocol != Protocol::CompactWithoutFloor;
            }));
        }
    }

    fn step(&self, i: usize, protocol: Protocol, next: &mut Vec<Self>) {
        // The caller marks its first submission as the first.
        let first = i == 0;
        match self.attempts[i].phase {
            Phase::Idle | Phase::Finished => {}
            Phase::Queued => self.leave_queue(i, first, protocol, next),
            Phase::Reading(action) => self.read_shard(i, action, first, protocol, next),
            Phase::Writing(action) => self.no_reply(i, action, first, protocol, next),
            Phase::Claimed => {
                next.push(self.dispatch(i));
                next.push(self.give_up(i, first, protocol));
            }
            Phase::Dispatched => {
                next.push(
                    self.with_phase(i, Phase::Reading(Action::Settle))
                        .respond(i, CallerResponse::Complete),
                );
                next.push(self.finish(i, CallerResponse::Unknown));
            }
        }
    }

    fn leave_queue(&self, i: usize, first: bool, protocol: Protocol, next: &mut Vec<Self>) {
        if protocol == Protocol::DispatchBeforeClaim {
            next.push(self.dispatch(i));
        }
        next.push(self.with_phase(i, Phase::Reading(Action::Claim)));
        // The attempt is preempted by a request of higher priority.
        next.push(if first || protocol == Protocol::RefuseWithoutRecord {
            self.finish(i, CallerResponse::NotRun)
        } else {
            self.with_phase(i, Phase::Reading(Action::Refuse))
        });
    }

    fn dispatch(&self, i: usize) -> Self {
        self.with_phase(i, Phase::Dispatched).with(|s| s.runs += 1)
    }

    fn give_up(&self, i: usize, first: bool, protocol: Protocol) -> Self {
        match (first, protocol) {
            (_, Protocol::ReleaseUnconfirmed) => self
                .with_phase(i, Phase::Reading(Action::Release))
                .respond(i, CallerResponse::NotRun),
            (true, _) => self.with_phase(i, Phase::Reading(Action::Release)),
            (false, _) => self.with_phase(i, Phase::Reading(Action::Refuse)),
        }
    }

    fn read_shard(
        &self,
        i: usize,
        action: Action,
        first: bool,
        protocol: Protocol,
        next: &mut Vec<Self>,
    ) {
        let Shard {
            entry, below_floor, ..
        } = self.shard;
        match (action, entry) {
            (Action::Claim, Entry::Running(owner)) if owner == i => {
                next.push(self.with_phase(i, Phase::Claimed));
            }
            (Action::Refuse, Entry::NotRun(owner)) if owner == i => {
                next.push(self.finish(i, CallerResponse::NotRun));
            }
            (Action::Refuse, Entry::Running(owner)) if owner == i => {
                self.send_write(i, action, Entry::NotRun(i), next);
            }
            (Action::Release, Entry::Running(owner)) if owner == i => {
                self.send_write(i, action, Entry::Absent, next);
            }
            (Action::Settle, Entry::Running(owner)) if owner == i => {
                self.send_write(i, action, Entry::Complete(i), next);
            }
            // The attempt's own entry was removed by compaction, or was never written.
            (Action::Release, _) | (Action::Claim | Action::Refuse, Entry::NotRun(_)) => {
                next.push(self.finish(i, CallerResponse::NotRun));
            }
            (Action::Settle, _) => next.push(self.with_phase(i, Phase::Finished)),
            (Action::Claim | Action::Refuse, Entry::Complete(_)) => {
                next.push(self.finish(i, CallerResponse::Complete));
            }
            (Action::Claim | Action::Refuse, Entry::Running(_)) => {
                next.push(self.finish(i, CallerResponse::Unknown));
            }
            (Action::Claim | Action::Refuse, Entry::Absent) if below_floor => {
                let known_not_run = first || protocol == Protocol::BelowFloorReportsNotRun;
                next.push(self.finish(
                    i,
                    if known_not_run {
                        CallerResponse::NotRun
                    } else {
                        CallerResponse::Unknown
                    },
                ));
            }
            (Action::Claim, Entry::Absent) => self.send_write(i, action, Entry::Running(i), next),
            (Action::Refuse, Entry::Absent) => self.send_write(i, action, Entry::NotRun(i), next),
        }
    }

    fn send_write(&self, i: usize, action: Action, entry: Entry, next: &mut Vec<Self>) {
        if self.attempts[i].writes >= MAX_WRITES {
            next.push(self.finish(i, CallerResponse::Unknown));
            return;
        }
        let write = Write {
            attempt: i,
            expected: self.shard.version,
            entry,
        };
        next.push(self.with_phase(i, Phase::Writing(action)).with(|s| {
            s.attempts[i].writes += 1;
            s.writes.insert(write);
        }));
    }

    /// Applies a write if its condition holds; the reply then arrives or is lost.
    fn apply_write(&self, write: &Write, next: &mut Vec<Self>) {
        let holds = write.expected == self.shard.version;
        let applied = self.with(|s| {
            s.writes.remove(write);
            if holds {
                s.shard.version += 1;
                s.shard.entry = write.entry;
            }
        });
        let i = write.attempt;
        if let Phase::Writing(action) = self.attempts[i].phase {
            next.push(if holds {
                applied.write_confirmed(i, action)
            } else {
                applied.with_phase(i, Phase::Reading(action))
            });
        }
        next.push(applied);
    }

    fn write_confirmed(&self, i: usize, action: Action) -> Self {
        match action {
            Action::Claim => self.with_phase(i, Phase::Claimed),
            Action::Release | Action::Refuse => self.finish(i, CallerResponse::NotRun),
            Action::Settle => self.with_phase(i, Phase::Finished),
        }
    }

    /// Handles a missing reply: the attempt reads the shard again, or gives up.
    fn no_reply(
        &self,
        i: usize,
        action: Action,
        first: bool,
        protocol: Protocol,
        next: &mut Vec<Self>,
    ) {
        if protocol == Protocol::NoReplyMeansNoEffect && action == Action::Claim {
            next.push(self.finish(i, CallerResponse::NotRun).with(|s| {
                // The instance discards the attempt, and treats the key's next submission as the claim's
                // holder.
                s.attempts[i].phase = Phase::Claimed;
            }));
        }
        next.push(self.with_phase(i, Phase::Reading(action)));
        let known_not_run = first && action == Action::Claim;
        let response = if known_not_run {
            CallerResponse::NotRun
        } else {
            CallerResponse::Unknown
        };
        match action {
            Action::Settle => next.push(self.with_phase(i, Phase::Finished)),
            Action::Claim | Action::Release | Action::Refuse => next.push(self.finish(i, response)),
        }
    }
}
