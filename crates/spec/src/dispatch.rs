//! Model of the dispatch of one request to backend servers: whether the request ran, and whether the
//! address still belongs to the intended server.
//!
//! The model has one request and two backend servers, each with its own address. A server may crash, and
//! restart under the same id without its previous state, or its address may be reassigned to another
//! service. A message may arrive at any time after it was sent, even after the sender has given up on it,
//! and a reply may be lost. The router retries only as the rules allow, and sends the caller one response.

use std::collections::BTreeSet;

/// Number of backend servers of the service.
const SERVERS: u8 = 2;
/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u8 = 2;
/// Maximum number of server failures; after each, the server may restart or its address be reassigned.
const MAX_FAILURES: u8 = 2;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
}

/// The process that listens on a server's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AddressOwner {
    /// The server that the server list names, possibly after a restart.
    Expected,
    /// No process listens on the address.
    Nobody,
    /// A server of another service.
    Foreign,
}

/// A server's reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reply {
    /// The request ran, and this is the response.
    Response,
    /// The server did not run the request.
    NotRun,
    /// The server is not the one that the request names.
    WrongServer,
}

/// The progress of the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// May make an attempt, or end the request.
    Ready,
    /// Waits for the reply of the server with this index.
    Waiting(u8),
    /// The caller has received this response.
    Finished(CallerResponse),
}

/// The response to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallerResponse {
    /// The request ran, and the response is complete.
    Complete,
    /// The request did not run, and never will.
    NotRun,
    /// Whether the request ran is unknown.
    Unknown,
}

/// A state of the whole system: the router, the servers, and the messages and replies in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct State {
    kind: RequestKind,
    owners: [AddressOwner; SERVERS as usize],
    failures: u8,
    phase: Phase,
    attempts: u8,
    may_have_run: bool,
    /// Requests in flight, as server and attempt number.
    messages: BTreeSet<(u8, u8)>,
    /// Replies in flight, with the server that sent them.
    replies: BTreeSet<(u8, Reply)>,
    /// Number of runs by servers of the service.
    runs: u8,
    /// Number of runs by servers of other services.
    foreign_runs: u8,
}

/// The variant of the router's rules: the correct one, or one with a deliberate error that the search
/// must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rules {
    /// The rules without an error.
    Correct,
    /// Requests don't name the server that they are intended for.
    NoExpectedServer,
    /// A request whose connection ended without a reply is treated as not run.
    LostMeansNotRun,
    /// A non-idempotent request is retried after a lost reply.
    RetryAfterLost,
    /// The last refusal determines the response to the caller, regardless of earlier attempts.
    LastReplyDecides,
}

impl State {
    /// The initial state: a request of `kind` was admitted, and no attempt was made yet.
    #[must_use]
    pub const fn new(kind: RequestKind) -> Self {
        Self {
            kind,
            owners: [AddressOwner::Expected; SERVERS as usize],
            failures: 0,
            phase: Phase::Ready,
            attempts: 0,
            may_have_run: false,
            messages: BTreeSet::new(),
            replies: BTreeSet::new(),
            runs: 0,
            foreign_runs: 0,
        }
    }

    /// Whether the state violates an invariant: a non-idempotent request ran twice, a request that ran was
    /// reported as not run, or a server of another service ran it.
    #[must_use]
    pub fn violates_invariant(&self) -> bool {
        let ran_twice = self.kind == RequestKind::NonIdempotent && self.runs > 1;
        let false_not_run = self.phase == Phase::Finished(CallerResponse::NotRun) && self.runs > 0;
        ran_twice || false_not_run || self.foreign_runs > 0
    }

    /// All states that can be reached by one transition under the given rules.
    #[must_use]
    pub fn successors(&self, rules: Rules) -> Vec<Self> {
        let mut next = Vec::new();
        self.router_steps(rules, &mut next);
        self.server_steps(rules, &mut next);
        self.failure_steps(&mut next);
        next
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn router_steps(&self, rules: Rules, next: &mut Vec<Self>) {
        match self.phase {
            Phase::Ready => {
                if self.attempts < MAX_ATTEMPTS {
                    for server in 0..SERVERS {
                        next.push(self.with(|s| {
                            s.messages.insert((server, s.attempts));
                            s.phase = Phase::Waiting(server);
                            s.attempts += 1;
                        }));
                    }
                }
                next.push(self.with(|s| s.phase = Phase::Finished(s.final_refusal(rules))));
            }
            Phase::Waiting(server) => {
                for (from, reply) in self.replies.iter().filter(|(from, _)| *from == server) {
                    next.push(self.with(|s| {
                        s.replies.remove(&(*from, *reply));
                        s.handle_reply(*reply);
                    }));
                }
                // The connection ends, or the router abandons it.
                next.push(self.with(|s| s.handle_lost_reply(rules)));
            }
            Phase::Finished(_) => {}
        }
    }

    const fn handle_reply(&mut self, reply: Reply) {
        self.phase = match reply {
            Reply::Response => Phase::Finished(CallerResponse::Complete),
            Reply::NotRun | Reply::WrongServer => Phase::Ready,
        };
    }

    fn handle_lost_reply(&mut self, rules: Rules) {
        self.may_have_run |= rules != Rules::LostMeansNotRun;
        let retryable = self.kind == RequestKind::Idempotent || rules == Rules::RetryAfterLost;
        self.phase = if retryable || rules == Rules::LostMeansNotRun {
            Phase::Ready
        } else {
            Phase::Finished(CallerResponse::Unknown)
        };
    }

    /// The response to the caller when no further attempt is made.
    fn final_refusal(&self, rules: Rules) -> CallerResponse {
        if self.may_have_run && rules != Rules::LastReplyDecides {
            CallerResponse::Unknown
        } else {
            CallerResponse::NotRun
        }
    }

    /// A message arrives: the server runs the request or refuses it; with no listener the message is lost.
    fn server_steps(&self, rules: Rules, next: &mut Vec<Self>) {
        for message in &self.messages {
            let server = message.0;
            let arrived = self.with(|s| {
                s.messages.remove(message);
            });
            match self.owners[usize::from(server)] {
                AddressOwner::Nobody => next.push(arrived),
                AddressOwner::Expected => {
                    next.push(arrived.with(|s| s.send_reply(server, Reply::NotRun)));
                    next.push(arrived.with(|s| {
                        s.runs += 1;
                        s.send_reply(server, Reply::Response);
                    }));
                }
                AddressOwner::Foreign if rules == Rules::NoExpectedServer => {
                    next.push(arrived.with(|s| s.foreign_runs += 1));
                }
                AddressOwner::Foreign => {
                    next.push(arrived.with(|s| s.send_reply(server, Reply::WrongServer)));
                }
            }
        }
    }

    /// Sends a reply, which is dropped if the router no longer waits for this server, since each attempt has
    /// its own connection.
    fn send_reply(&mut self, server: u8, reply: Reply) {
        if self.phase == Phase::Waiting(server) {
            self.replies.insert((server, reply));
        }
    }

    fn failure_steps(&self, next: &mut Vec<Self>) {
        for server in 0..SERVERS {
            let owner = self.owners[usize::from(server)];
            let next_owners: &[AddressOwner] = match owner {
                AddressOwner::Expected if self.failures < MAX_FAILURES => &[AddressOwner::Nobody],
                // The server restarts under the same id, or the address is reassigned to another service.
                AddressOwner::Nobody => &[AddressOwner::Expected, AddressOwner::Foreign],
                AddressOwner::Expected | AddressOwner::Foreign => &[],
            };
            for new_owner in next_owners {
                next.push(self.with(|s| {
                    s.failures += u8::from(owner == AddressOwner::Expected);
                    s.owners[usize::from(server)] = *new_owner;
                    s.replies.retain(|(from, _)| *from != server);
                }));
            }
        }
    }
}
