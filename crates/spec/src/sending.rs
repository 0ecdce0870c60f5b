//! The specification of sending one request: has it run, and is the server still the one that is meant.
//!
//! One request, two backend servers, each at an address of its own. A server may crash, start again under
//! its id and know nothing, or lose its address to another service. A message that was sent may arrive at
//! any later time, also after its sender has given up on it; a reply may be lost. The router sends again
//! only as its rules allow, and tells the caller one thing at the end.

use std::collections::BTreeSet;

/// Backend servers of the service.
const SERVERS: u8 = 2;
/// Sendings of one request at most.
const SENDINGS: u8 = 2;
/// Times that a server may fail and come back, or lose its address.
const FAILURES: u8 = 2;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
}

/// Who listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Holder {
    /// The server that the list names, or a later start of it.
    Own,
    /// Nobody.
    Nobody,
    /// A server of another service.
    Foreign,
}

/// What a server says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reply {
    /// The answer.
    Answer,
    /// It didn't run it.
    NotRun,
    /// It isn't the server that is meant.
    WrongServer,
}

/// How far the router is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// May send.
    Ready,
    /// Waits for the reply of a server.
    Waiting(u8),
    /// The caller was told.
    Over(Word),
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Word {
    /// Here is the answer.
    Answered,
    /// It hasn't run and never will.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

/// A state of everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct State {
    kind: Kind,
    holders: [Holder; SERVERS as usize],
    failures: u8,
    phase: Phase,
    sendings: u8,
    may_have_run: bool,
    messages: BTreeSet<(u8, u8)>,
    replies: BTreeSet<(u8, Reply)>,
    runs: u8,
    foreign_runs: u8,
}

/// The rules as they are, or with one mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rules {
    /// As they are.
    Correct,
    /// Requests don't name the server that is meant.
    NoExpectedServer,
    /// A connection that ends without a reply counts as not run.
    LostMeansNotRun,
    /// A request that runs at most once is sent again after a lost reply.
    AgainAfterLost,
    /// The last refusal decides what is said, whatever happened to earlier sendings.
    LastReplyDecides,
}

impl State {
    /// A request of `kind` that was just admitted.
    #[must_use]
    pub const fn new(kind: Kind) -> Self {
        Self {
            kind,
            holders: [Holder::Own; SERVERS as usize],
            failures: 0,
            phase: Phase::Ready,
            sendings: 0,
            may_have_run: false,
            messages: BTreeSet::new(),
            replies: BTreeSet::new(),
            runs: 0,
            foreign_runs: 0,
        }
    }

    /// Whether a promise is broken.
    #[must_use]
    pub fn broken(&self) -> bool {
        let twice = self.kind == Kind::Once && self.runs > 1;
        let untrue = self.phase == Phase::Over(Word::NotRun) && self.runs > 0;
        twice || untrue || self.foreign_runs > 0
    }

    /// Every state that may come next.
    #[must_use]
    pub fn next(&self, rules: Rules) -> Vec<Self> {
        let mut next = Vec::new();
        self.router(rules, &mut next);
        self.servers(rules, &mut next);
        self.failures(&mut next);
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn router(&self, rules: Rules, next: &mut Vec<Self>) {
        match self.phase {
            Phase::Ready => {
                if self.sendings < SENDINGS {
                    for server in 0..SERVERS {
                        next.push(self.with(|s| {
                            s.messages.insert((server, s.sendings));
                            s.phase = Phase::Waiting(server);
                            s.sendings += 1;
                        }));
                    }
                }
                next.push(self.with(|s| s.phase = Phase::Over(s.refusal(rules))));
            }
            Phase::Waiting(server) => {
                for (from, reply) in self.replies.iter().filter(|(from, _)| *from == server) {
                    next.push(self.with(|s| {
                        s.replies.remove(&(*from, *reply));
                        s.heard(*reply);
                    }));
                }
                // The connection ends, or the router gives up on it.
                next.push(self.with(|s| s.lost(rules)));
            }
            Phase::Over(_) => {}
        }
    }

    const fn heard(&mut self, reply: Reply) {
        self.phase = match reply {
            Reply::Answer => Phase::Over(Word::Answered),
            Reply::NotRun | Reply::WrongServer => Phase::Ready,
        };
    }

    fn lost(&mut self, rules: Rules) {
        self.may_have_run |= rules != Rules::LostMeansNotRun;
        let repeatable = self.kind == Kind::Idempotent || rules == Rules::AgainAfterLost;
        self.phase = if repeatable || rules == Rules::LostMeansNotRun {
            Phase::Ready
        } else {
            Phase::Over(Word::Unknown)
        };
    }

    /// What is said when nothing more is sent.
    fn refusal(&self, rules: Rules) -> Word {
        if self.may_have_run && rules != Rules::LastReplyDecides {
            Word::Unknown
        } else {
            Word::NotRun
        }
    }

    /// A message arrives: it runs, or is refused.
    fn servers(&self, rules: Rules, next: &mut Vec<Self>) {
        for message in &self.messages {
            let server = message.0;
            let arrived = self.with(|s| {
                s.messages.remove(message);
            });
            match self.holders[usize::from(server)] {
                Holder::Nobody => next.push(arrived),
                Holder::Own => {
                    next.push(arrived.with(|s| s.reply(server, Reply::NotRun)));
                    next.push(arrived.with(|s| {
                        s.runs += 1;
                        s.reply(server, Reply::Answer);
                    }));
                }
                Holder::Foreign if rules == Rules::NoExpectedServer => {
                    next.push(arrived.with(|s| s.foreign_runs += 1));
                }
                Holder::Foreign => next.push(arrived.with(|s| s.reply(server, Reply::WrongServer))),
            }
        }
    }

    /// A reply reaches only a router that still waits for it: each sending has a connection of its own.
    fn reply(&mut self, server: u8, reply: Reply) {
        if self.phase == Phase::Waiting(server) {
            self.replies.insert((server, reply));
        }
    }

    fn failures(&self, next: &mut Vec<Self>) {
        for server in 0..SERVERS {
            let holder = self.holders[usize::from(server)];
            let becomes: &[Holder] = match holder {
                Holder::Own if self.failures < FAILURES => &[Holder::Nobody],
                // The same id starts again, or the address goes to another service.
                Holder::Nobody => &[Holder::Own, Holder::Foreign],
                Holder::Own | Holder::Foreign => &[],
            };
            for new in becomes {
                next.push(self.with(|s| {
                    s.failures += u8::from(holder == Holder::Own);
                    s.holders[usize::from(server)] = *new;
                    s.replies.retain(|(from, _)| *from != server);
                }));
            }
        }
    }
}
