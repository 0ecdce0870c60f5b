//! The specification of the claim protocol, small enough to be explored completely.
//!
//! One key, one shard object, one caller that submits its request to one instance after the other; it
//! submits again only after it has closed its connection or lost it, so it no longer hears the earlier.
//! Every message may be late, every reply lost, every instance may crash or stand still at any point;
//! standing still needs no step of its own, since any other step may come in between. The shard may be
//! compacted at any moment, which stands for clocks that are wrong by any amount.

pub mod sending;

use std::collections::BTreeSet;

/// Submissions of the caller, each to another instance.
pub const SUBMISSIONS: usize = 3;
/// Writes that an attempt may send before it gives up.
const WRITES: u8 = 2;

/// What the shard holds of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Entry {
    /// Nothing.
    Absent,
    /// Claimed by that attempt.
    Running(usize),
    /// Answered completely by that attempt.
    Complete(usize),
    /// Never to be run.
    NotRun(usize),
}

/// The shard object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shard {
    version: u8,
    entry: Entry,
    floor: bool,
}

/// A conditional write on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Write {
    attempt: usize,
    expected: u8,
    entry: Entry,
}

/// What an attempt wants from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Aim {
    /// To win the key.
    Claim,
    /// To give the key back.
    Release,
    /// To note that the key is never to be run.
    Refuse,
    /// To note that the request was answered.
    Settle,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Not submitted yet.
    Idle,
    /// Submitted; waits for a backend server.
    Waiting,
    /// About to read the shard.
    Reading(Aim),
    /// Has written, and waits for the reply.
    Writing(Aim),
    /// Has won the key.
    Won,
    /// The request was sent to a backend server.
    Dispatched,
    /// Done, or crashed.
    Over,
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Word {
    /// The request wasn't run.
    NotRun,
    /// It was answered completely.
    Complete,
    /// Nobody can tell.
    Unknown,
}

/// An attempt at one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    phase: Phase,
    writes: u8,
}

/// A state of everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct State {
    shard: Shard,
    attempts: [Attempt; SUBMISSIONS],
    writes: BTreeSet<Write>,
    /// How often the request was run.
    pub runs: u8,
    /// What the caller was told.
    pub told: BTreeSet<Word>,
}

/// The protocol as it is, or with one mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// As it is.
    Correct,
    /// The request is dispatched before its key is claimed.
    DispatchBeforeClaim,
    /// "Not run" is said before the platform has confirmed that the key is given back.
    ReleaseUnconfirmed,
    /// A repeated request that gives way is said not to have run without a note in the platform.
    RefuseWithoutNote,
    /// Compaction forgets keys without raising the floor.
    CompactWithoutFloor,
    /// A repeated request below the floor is said not to have run.
    BelowFloorSaysNotRun,
    /// A write that had no reply is taken not to have had an effect.
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
                floor: false,
            },
            attempts: [idle; SUBMISSIONS],
            writes: BTreeSet::new(),
            runs: 0,
            told: BTreeSet::new(),
        }
    }
}

impl State {
    /// Whether a promise is broken: the request ran twice, the caller was told that it wasn't run and
    /// it was, or the caller was told both.
    #[must_use]
    pub fn broken(&self) -> bool {
        let not_run = self.told.contains(&Word::NotRun);
        let both = not_run && self.told.contains(&Word::Complete);
        self.runs > 1 || (not_run && self.runs > 0) || both
    }

    /// Every state that one step leads to.
    #[must_use]
    pub fn next(&self, protocol: Protocol) -> Vec<Self> {
        let mut next = Vec::new();
        for i in 0..SUBMISSIONS {
            self.submit(i, &mut next);
            self.step(i, protocol, &mut next);
            self.crash(i, &mut next);
        }
        for write in &self.writes {
            self.deliver(write, &mut next);
        }
        self.compact(protocol, &mut next);
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn at(&self, i: usize, phase: Phase) -> Self {
        self.with(|s| s.attempts[i].phase = phase)
    }

    /// The attempt ends with an answer.
    fn tell(&self, i: usize, word: Word) -> Self {
        self.at(i, Phase::Over).hear(i, word)
    }

    /// The caller hears an answer, unless it has given up that submission and made another.
    fn hear(self, i: usize, word: Word) -> Self {
        let latest = self.attempts[i + 1..]
            .iter()
            .all(|a| a.phase == Phase::Idle);
        self.with(|s| {
            if latest {
                s.told.insert(word);
            }
        })
    }

    /// The caller submits for the first time, or again at any time without a final answer.
    fn submit(&self, i: usize, next: &mut Vec<Self>) {
        let earlier = self.attempts[..i].iter();
        let in_turn = earlier.clone().all(|a| a.phase != Phase::Idle);
        let answered = self.told.contains(&Word::NotRun) || self.told.contains(&Word::Complete);
        if self.attempts[i].phase == Phase::Idle && in_turn && !answered {
            next.push(self.at(i, Phase::Waiting));
        }
    }

    fn crash(&self, i: usize, next: &mut Vec<Self>) {
        if !matches!(self.attempts[i].phase, Phase::Idle | Phase::Over) {
            next.push(self.at(i, Phase::Over));
        }
    }

    fn compact(&self, protocol: Protocol, next: &mut Vec<Self>) {
        if !self.shard.floor && self.shard.entry != Entry::Absent {
            next.push(self.with(|s| {
                s.shard.version += 1;
                s.shard.entry = Entry::Absent;
                s.shard.floor = protocol != Protocol::CompactWithoutFloor;
            }));
        }
    }

    fn step(&self, i: usize, protocol: Protocol, next: &mut Vec<Self>) {
        // The caller says of its first submission that it is the first.
        let first = i == 0;
        match self.attempts[i].phase {
            Phase::Idle | Phase::Over => {}
            Phase::Waiting => self.wait(i, first, protocol, next),
            Phase::Reading(aim) => self.read(i, aim, first, protocol, next),
            Phase::Writing(aim) => self.no_reply(i, aim, first, protocol, next),
            Phase::Won => {
                next.push(self.dispatch(i));
                next.push(self.give_up(i, first, protocol));
            }
            Phase::Dispatched => {
                next.push(
                    self.at(i, Phase::Reading(Aim::Settle))
                        .hear(i, Word::Complete),
                );
                next.push(self.tell(i, Word::Unknown));
            }
        }
    }

    fn wait(&self, i: usize, first: bool, protocol: Protocol, next: &mut Vec<Self>) {
        if protocol == Protocol::DispatchBeforeClaim {
            next.push(self.dispatch(i));
        }
        next.push(self.at(i, Phase::Reading(Aim::Claim)));
        // It gives way to more important work.
        next.push(if first || protocol == Protocol::RefuseWithoutNote {
            self.tell(i, Word::NotRun)
        } else {
            self.at(i, Phase::Reading(Aim::Refuse))
        });
    }

    fn dispatch(&self, i: usize) -> Self {
        self.at(i, Phase::Dispatched).with(|s| s.runs += 1)
    }

    fn give_up(&self, i: usize, first: bool, protocol: Protocol) -> Self {
        match (first, protocol) {
            (_, Protocol::ReleaseUnconfirmed) => self
                .at(i, Phase::Reading(Aim::Release))
                .hear(i, Word::NotRun),
            (true, _) => self.at(i, Phase::Reading(Aim::Release)),
            (false, _) => self.at(i, Phase::Reading(Aim::Refuse)),
        }
    }

    fn read(&self, i: usize, aim: Aim, first: bool, protocol: Protocol, next: &mut Vec<Self>) {
        let Shard { entry, floor, .. } = self.shard;
        match (aim, entry) {
            (Aim::Claim, Entry::Running(by)) if by == i => next.push(self.at(i, Phase::Won)),
            (Aim::Refuse, Entry::NotRun(by)) if by == i => next.push(self.tell(i, Word::NotRun)),
            (Aim::Refuse, Entry::Running(by)) if by == i => {
                self.write(i, aim, Entry::NotRun(i), next);
            }
            (Aim::Release, Entry::Running(by)) if by == i => {
                self.write(i, aim, Entry::Absent, next);
            }
            (Aim::Settle, Entry::Running(by)) if by == i => {
                self.write(i, aim, Entry::Complete(i), next);
            }
            // What this attempt held is gone below the floor, or was never there.
            (Aim::Release, _) | (Aim::Claim | Aim::Refuse, Entry::NotRun(_)) => {
                next.push(self.tell(i, Word::NotRun));
            }
            (Aim::Settle, _) => next.push(self.at(i, Phase::Over)),
            (Aim::Claim | Aim::Refuse, Entry::Complete(_)) => {
                next.push(self.tell(i, Word::Complete));
            }
            (Aim::Claim | Aim::Refuse, Entry::Running(_)) => next.push(self.tell(i, Word::Unknown)),
            (Aim::Claim | Aim::Refuse, Entry::Absent) if floor => {
                let sure = first || protocol == Protocol::BelowFloorSaysNotRun;
                next.push(self.tell(i, if sure { Word::NotRun } else { Word::Unknown }));
            }
            (Aim::Claim, Entry::Absent) => self.write(i, aim, Entry::Running(i), next),
            (Aim::Refuse, Entry::Absent) => self.write(i, aim, Entry::NotRun(i), next),
        }
    }

    fn write(&self, i: usize, aim: Aim, entry: Entry, next: &mut Vec<Self>) {
        if self.attempts[i].writes >= WRITES {
            next.push(self.tell(i, Word::Unknown));
            return;
        }
        let write = Write {
            attempt: i,
            expected: self.shard.version,
            entry,
        };
        next.push(self.at(i, Phase::Writing(aim)).with(|s| {
            s.attempts[i].writes += 1;
            s.writes.insert(write);
        }));
    }

    /// A write takes effect if its condition holds; its reply arrives or is lost.
    fn deliver(&self, write: &Write, next: &mut Vec<Self>) {
        let holds = write.expected == self.shard.version;
        let delivered = self.with(|s| {
            s.writes.remove(write);
            if holds {
                s.shard.version += 1;
                s.shard.entry = write.entry;
            }
        });
        let i = write.attempt;
        if let Phase::Writing(aim) = self.attempts[i].phase {
            next.push(if holds {
                delivered.confirmed(i, aim)
            } else {
                delivered.at(i, Phase::Reading(aim))
            });
        }
        next.push(delivered);
    }

    fn confirmed(&self, i: usize, aim: Aim) -> Self {
        match aim {
            Aim::Claim => self.at(i, Phase::Won),
            Aim::Release | Aim::Refuse => self.tell(i, Word::NotRun),
            Aim::Settle => self.at(i, Phase::Over),
        }
    }

    /// No reply has come: the attempt reads what there is, or gives up.
    fn no_reply(&self, i: usize, aim: Aim, first: bool, protocol: Protocol, next: &mut Vec<Self>) {
        if protocol == Protocol::NoReplyMeansNoEffect && aim == Aim::Claim {
            next.push(self.tell(i, Word::NotRun).with(|s| {
                // The instance forgets the attempt, and takes the key's next submission for its own.
                s.attempts[i].phase = Phase::Won;
            }));
        }
        next.push(self.at(i, Phase::Reading(aim)));
        let sure = first && aim == Aim::Claim;
        let word = if sure { Word::NotRun } else { Word::Unknown };
        match aim {
            Aim::Settle => next.push(self.at(i, Phase::Over)),
            Aim::Claim | Aim::Release | Aim::Refuse => next.push(self.tell(i, word)),
        }
    }
}
