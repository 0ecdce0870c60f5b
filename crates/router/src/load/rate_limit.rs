//! Limits on the requests a second that a backend server takes from all instances together.
//!
//! Only a few instances, the holders of the limit, send requests to a server with a limit, each an equal
//! part of the rate. Rendezvous hashing over the members of the fleet selects them, so that instances
//! agree on them without messages. What a server says of its limit is passed on between instances.

use std::cmp::{Ordering, Reverse};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::rendezvous;

/// Requests a second.
pub type Rate = f64;

/// Holders of a limit for each request a second that it allows. In any time, all of them together send at most
/// one request each beyond the rate.
const HOLDERS_PER_RATE: f64 = 1.2;
/// Part of a second for which a holder with a high rate saves up unused requests.
const BURST_SECONDS: f64 = 0.1;
/// Lowest rate at which a server is asked whether its limit has ended.
const RATE_MIN: Rate = 0.1;
/// Time without news of a limit after which its holders prefer the server, to hear whether it has ended.
const RECHECK_AFTER: Duration = Duration::from_secs(2);
/// Time without news of a limit after which instances that aren't holders ask the server, one after the
/// other: its holders may have no requests for it.
const TAKEOVER_AFTER: Duration = Duration::from_mins(1);
/// Time between two instances that ask.
const TAKEOVER_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a limit that hasn't changed is announced to the other instances again.
const REPEAT_AFTER: Duration = Duration::from_secs(20);

/// The names of the instances that take requests, for the selection of holders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    own: SmolStr,
    others: Vec<SmolStr>,
    own_is_member: bool,
}

impl Members {
    /// The other members among the first `count` in the rendezvous order for a server.
    #[must_use]
    pub fn first(&self, server: &str, count: usize) -> Vec<&SmolStr> {
        let key = rendezvous::hash(server.as_bytes());
        let mut others: Vec<&SmolStr> = self.others.iter().collect();
        others.sort_by_key(|other| Reverse((rendezvous::weight(key, other), *other)));
        others.truncate(count);
        others
    }

    /// Creates the list of the instance `own` from all instances that take requests.
    #[must_use]
    pub fn new(own: SmolStr, all: impl IntoIterator<Item = SmolStr>) -> Self {
        let mut own_is_member = false;
        let mut others = Vec::new();
        for name in all {
            if name == own {
                own_is_member = true;
            } else {
                others.push(name);
            }
        }
        Self {
            own,
            others,
            own_is_member,
        }
    }

    /// Number of instances.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.others.len() + self.own_is_member as usize
    }

    /// Position of this instance in the rendezvous order for a server; `None` if it isn't a member.
    #[must_use]
    pub fn rank(&self, server: &str) -> Option<usize> {
        if !self.own_is_member {
            return None;
        }
        let key = rendezvous::hash(server.as_bytes());
        let own = rendezvous::weight(key, &self.own);
        let before = self.others.iter().filter(|other| {
            let weight = rendezvous::weight(key, other);
            (weight, *other) > (own, &self.own)
        });
        Some(before.count())
    }
}

/// What a server said of its limit, as far as an instance knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The rate; `None` if the server has no limit.
    pub rate: Option<Rate>,
    /// Counts the changes of the limit. An instance that hears of a change from the server gives it the number
    /// after that of the statement it knew, so that the order doesn't depend on clocks.
    pub sequence: u64,
    /// When an instance last received it from the server.
    pub heard: Instant,
}

impl Statement {
    /// Whether this statement replaces `known`. Of two statements with the same number, which instances made
    /// without knowing of each other, the lower rate is kept.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        let rate = |s: &Self| s.rate.unwrap_or(f64::INFINITY);
        match self.sequence.cmp(&known.sequence) {
            Ordering::Less => false,
            Ordering::Equal => rate(self) < rate(known),
            Ordering::Greater => true,
        }
    }
}

/// A statement on one server, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The server's name.
    #[serde(rename = "s")]
    pub server: SmolStr,
    /// The rate; `None` if the server has no limit.
    #[serde(rename = "r")]
    pub rate: Option<Rate>,
    /// The number of the change.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Time since an instance last received the statement from the server, in ms.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

impl Notice {
    /// Creates the notice of a statement.
    #[must_use]
    pub fn new(server: SmolStr, statement: Statement, now: Instant) -> Self {
        let age = now.saturating_duration_since(statement.heard);
        Self {
            server,
            rate: statement.rate,
            sequence: statement.sequence,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// The statement in it; `None` if the rate isn't one.
    #[must_use]
    pub fn statement(&self, now: Instant) -> Option<Statement> {
        let age = Duration::from_millis(self.age_ms.into());
        let valid = self.rate.is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        valid.then(|| Statement {
            rate: self.rate,
            sequence: self.sequence,
            // The process may have started after the statement was heard.
            heard: now.checked_sub(age).unwrap_or(now),
        })
    }
}

/// What a statement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing: it repeats what is known, or is older.
    None,
    /// A server without a limit has one now.
    Named,
    /// The rate is another one.
    Changed,
    /// The server has no limit any more.
    Ended,
}

impl LimitChange {
    /// The name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Named => "named",
            Self::Changed => "changed",
            Self::Ended => "ended",
        }
    }
}

/// This instance's part in a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Part {
    /// There is no limit.
    Unlimited,
    /// It sends at this rate.
    Holder(Rate),
    /// It sends nothing, unless the limit has had no news for this time.
    Other(Duration),
}

/// How a request was sent under a limit, for its log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The rate that the server takes from all instances.
    pub rate: Rate,
    /// This instance's part of it; 0 if it isn't a holder.
    pub share: Rate,
    /// Time since an instance last heard of the limit from the server.
    pub age: Duration,
}

/// What is known of one server's limit, and this instance's part in it. New parts start without saved
/// requests, so that a change of holders doesn't raise the rate.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    statement: Statement,
    /// When this instance learned the statement, or last received it from the server itself.
    noted: Instant,
    part: Part,
    announced: Option<Instant>,
    /// Requests that may be sent now; negative after a request that could not wait.
    saved: f64,
    updated: Instant,
    /// When this instance last sent a request without being a holder.
    asked: Option<Instant>,
}

impl RateLimit {
    /// Creates the state of a server that never named a limit.
    #[must_use]
    pub const fn unlimited(now: Instant) -> Self {
        Self {
            statement: Statement {
                rate: None,
                sequence: 0,
                heard: now,
            },
            noted: now,
            part: Part::Unlimited,
            announced: None,
            saved: 0.0,
            updated: now,
            asked: None,
        }
    }

    /// What the server said.
    #[must_use]
    pub const fn statement(&self) -> &Statement {
        &self.statement
    }

    /// The rate that the server takes from all instances; `None` without a limit.
    #[must_use]
    pub const fn rate(&self) -> Option<Rate> {
        self.statement.rate
    }

    /// The rate at which this instance may send; 0 if it isn't a holder, `None` without a limit.
    #[must_use]
    pub const fn share(&self) -> Option<Rate> {
        match self.part {
            Part::Unlimited => None,
            Part::Holder(share) => Some(share),
            Part::Other(_) => Some(0.0),
        }
    }

    /// Requests that this instance may send now, with the fraction of the next one; negative after a request
    /// that could not wait.
    #[must_use]
    pub fn saved(&self, now: Instant) -> f64 {
        match self.part {
            Part::Holder(share) => self.saved_at(share, now),
            Part::Unlimited | Part::Other(_) => 0.0,
        }
    }

    /// Whether a request may be sent.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        match self.part {
            Part::Unlimited => true,
            Part::Holder(_) => self.saved(now) >= 1.0,
            Part::Other(after) => {
                let heard = self.statement.heard;
                let last = self.asked.map_or(heard, |at| at.max(heard));
                now.saturating_duration_since(last) >= after
            }
        }
    }

    /// Whether a request may be sent, and should be, to hear whether the limit has ended.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        let limited = self.part != Part::Unlimited;
        let age = now.saturating_duration_since(self.statement.heard);
        limited && age >= RECHECK_AFTER && self.is_open(now)
    }

    /// Counts a request that is sent, whether or not the limit was open for it; `None` without a limit.
    pub fn take(&mut self, now: Instant) -> Option<Usage> {
        match self.part {
            Part::Unlimited => {}
            Part::Holder(_) => {
                self.saved = self.saved(now) - 1.0;
                self.updated = now;
            }
            Part::Other(_) => self.asked = Some(now),
        }
        Some(Usage {
            rate: self.statement.rate?,
            share: self.share()?,
            age: now.saturating_duration_since(self.statement.heard),
        })
    }

    /// Records what a response to a request that was sent at `sent` says. That there is no limit counts only
    /// if the request was sent after the limit was noted: the response may be older than the limit.
    pub fn observe(&mut self, rate: Option<Rate>, sent: Instant, now: Instant) -> LimitChange {
        match (self.statement.rate, rate) {
            (known, stated) if known == stated => {
                self.statement.heard = now;
                self.noted = now;
                LimitChange::None
            }
            (_, None) if sent < self.noted => LimitChange::None,
            _ => {
                let sequence = self.statement.sequence + 1;
                self.adopt(
                    Statement {
                        rate,
                        sequence,
                        heard: now,
                    },
                    now,
                )
            }
        }
    }

    /// Records what another instance has heard.
    pub fn merge(&mut self, statement: Statement, now: Instant) -> LimitChange {
        if statement.supersedes(&self.statement) {
            return self.adopt(statement, now);
        }
        if statement.sequence == self.statement.sequence && statement.rate == self.statement.rate {
            self.statement.heard = self.statement.heard.max(statement.heard);
        }
        LimitChange::None
    }

    fn adopt(&mut self, statement: Statement, now: Instant) -> LimitChange {
        let before = self.statement.rate;
        self.statement = statement;
        self.noted = now;
        match (before, statement.rate) {
            (before, after) if before == after => LimitChange::None,
            (None, _) => LimitChange::Named,
            (_, None) => LimitChange::Ended,
            _ => LimitChange::Changed,
        }
    }

    /// Adapts this instance's part to the rate and to the members of the fleet. To be called whenever one of
    /// them has changed.
    pub fn assign(&mut self, server: &str, members: &Members, now: Instant) {
        self.saved = self.saved(now);
        self.updated = now;
        self.part = match self.statement.rate {
            Some(rate) => part(server, rate, members),
            None => Part::Unlimited,
        };
    }

    /// Whether a limit that hasn't changed is to be announced to the other instances again. It then counts as
    /// announced.
    pub fn announce_again(&mut self, now: Instant) -> bool {
        let announced = self.announced;
        let due = announced.is_none_or(|at| now.saturating_duration_since(at) >= REPEAT_AFTER);
        let due = due && self.part != Part::Unlimited;
        if due {
            self.announced = Some(now);
        }
        due
    }

    fn saved_at(&self, share: Rate, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.saved + share * time).min((share * BURST_SECONDS).max(1.0))
    }
}

/// The part of this instance in a limit of `server`.
fn part(server: &str, rate: Rate, members: &Members) -> Part {
    let holders = holders(rate, members.count());
    match members.rank(server) {
        Some(rank) if rank < holders => {
            #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
            let share = rate.max(RATE_MIN) / holders as f64;
            Part::Holder(share)
        }
        Some(rank) => {
            let turn = u32::try_from(rank - holders).unwrap_or(u32::MAX);
            Part::Other(TAKEOVER_AFTER + TAKEOVER_INTERVAL.saturating_mul(turn))
        }
        None => Part::Other(Duration::MAX),
    }
}

/// Number of holders of a rate, as far as there are that many members.
fn holders(rate: Rate, members: usize) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and bounded by the number of members"
    )]
    let wanted = (rate * HOLDERS_PER_RATE).ceil() as usize;
    wanted.clamp(1, members.max(1))
}
