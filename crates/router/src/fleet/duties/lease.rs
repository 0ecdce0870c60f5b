//! The lease of one duty: when this instance may take it, for how long it holds it, and what it does next.
//!
//! The state machine does no input or output and has no clock. Its safety doesn't depend on the clocks of two instances
//! agreeing: a holder's time runs from before its write was sent, another's from after it read that write.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::clock::BootTime;
use super::ledger::Ledger;
use super::{Token, WindowId};
use crate::fleet::replica::{Era, Revision};

/// Longest time before the end of the lease at which the holder stops.
const MARGIN_MAX: Duration = Duration::from_millis(500);
/// Part of the lease before its end at which the holder stops, if that is shorter.
const MARGIN_DIVISOR: u32 = 5;
/// Part of the lease after which it is renewed: early enough for a second attempt, and so late that all duties
/// together make fewer than two calls a second with a lease of three seconds.
const RENEWAL_FRACTION: f64 = 0.45;
/// Time between two reads while another instance is known to hold the duty, in leases.
const IDLE_READ_LEASES: u32 = 3;
/// Part of the lease between two reads while its end is waited for, as it may be handed over before.
const WAITING_READ_DIVISOR: u32 = 4;
/// Part of the lease between two attempts after one that failed.
const RETRY_DIVISOR: u32 = 8;
/// Number of own writes whose outcome may still become known.
const MAX_SENT: usize = 16;
/// Position of the store's era in a token.
const ERA_SHIFT: u32 = 32;

/// What the store holds of a duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Name of the holder; empty if the duty was handed over.
    pub holder: SmolStr,
    /// Identifies the start of the holder's process.
    pub start: u64,
    /// The holder's fencing token.
    pub token: Token,
    /// Identifies this write.
    pub mark: u64,
    /// The store's era when it was written.
    #[serde(default)]
    pub era: Era,
    /// The reports that were made.
    #[serde(default)]
    pub ledger: Ledger,
}

/// A record with the revision by which it can be replaced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Object {
    /// The revision.
    pub revision: Revision,
    /// The record.
    pub record: Record,
}

/// The response to a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reading {
    /// The store's era.
    pub era: Era,
    /// The object, if there is one.
    pub object: Option<Object>,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    /// The new record.
    pub record: Record,
    /// The revision that the object must have; `None` if it must not exist.
    pub condition: Option<Revision>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time, unless something changes.
    Wait(BootTime),
    /// Read the object.
    Read,
    /// Write the object.
    Write(Write),
}

/// Whether this instance wants the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Another instance is to take it.
    None,
    /// This instance is the next one, but the holder is known to be there.
    Standby,
    /// This instance is to take it as soon as it may.
    Take,
}

/// The last state of the object that this instance has seen.
#[derive(Clone, Debug)]
struct Seen {
    reading: Reading,
    /// When it was first seen in this state.
    since: BootTime,
    /// When it was last read.
    read: BootTime,
}

/// The duty as held by this instance.
#[derive(Clone, Debug)]
struct Held {
    token: Token,
    /// When the newest successful write was sent.
    written: BootTime,
    /// The ledger in that write.
    stored: Ledger,
}

/// A write that was sent.
#[derive(Clone, Debug)]
struct Sent {
    mark: u64,
    at: BootTime,
    era: Era,
    ledger: Ledger,
}

/// One instance's view of a duty's lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own: SmolStr,
    start: u64,
    length: Duration,
    seen: Option<Seen>,
    held: Option<Held>,
    sent: VecDeque<Sent>,
    /// The newest time at which this process, or an earlier one of the same name, may have acted as the holder.
    acted: BootTime,
    /// The token under which this process last wrote, and the era in which it did.
    last_token: Option<(Era, Token)>,
    /// The highest token seen.
    highest: Token,
    /// The object must be read before anything else is done.
    unsure: bool,
    /// No call before this time, after one that failed.
    retry_at: BootTime,
    /// What this instance knows of the reports, to be stored with the next write.
    pub ledger: Ledger,
    /// The store was restored from an older copy, and the object in it may lack reports that were made.
    lacking: bool,
    /// The duty was taken with such an object.
    pub incomplete: bool,
}

impl Lease {
    /// The view of an instance that starts now. It doesn't know what it did before, so it takes the duty only after
    /// a whole lease.
    #[must_use]
    pub fn new(own: SmolStr, start: u64, length: Duration, now: BootTime) -> Self {
        Self {
            own,
            start,
            length,
            seen: None,
            held: None,
            sent: VecDeque::new(),
            acted: now,
            last_token: None,
            highest: 0,
            unsure: true,
            retry_at: now,
            ledger: Ledger::default(),
            lacking: false,
            incomplete: false,
        }
    }

    /// The token if the duty is held at `now`, and how long it still will be.
    #[must_use]
    pub fn held(&self, now: BootTime) -> Option<(Token, Duration)> {
        let held = self.held.as_ref()?;
        let left = self.end(held).checked_sub(now)?;
        (!left.is_zero()).then_some((held.token, left))
    }

    /// Whether the store is known to have the fixed counts of the window.
    #[must_use]
    pub fn is_stored(&self, window: WindowId) -> bool {
        let held = self.held.as_ref();
        held.is_some_and(|h| h.stored.last() >= window)
    }

    /// The era of the store when it was last read.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        self.seen.as_ref().map(|s| s.reading.era)
    }

    /// The holder according to the last read.
    #[must_use]
    pub fn known_holder(&self) -> Option<&SmolStr> {
        let object = self.seen.as_ref()?.reading.object.as_ref()?;
        Some(&object.record.holder).filter(|h| !h.is_empty())
    }

    /// What to do next; `mark` identifies the write that this may lead to.
    pub fn next(&mut self, now: BootTime, interest: Interest, mark: u64) -> Step {
        self.lapse(now);
        if now < self.retry_at {
            return Step::Wait(self.retry_at);
        }
        let Some(seen) = self.seen.clone().filter(|_| !self.unsure) else {
            let wanted = interest != Interest::None || self.last_token.is_some();
            return if wanted {
                Step::Read
            } else {
                Step::Wait(now + self.length)
            };
        };
        if let Some(held) = &self.held {
            let renewal = held.written + self.length.mul_f64(RENEWAL_FRACTION);
            if now < renewal && held.stored.last() == self.ledger.last() {
                return Step::Wait(renewal);
            }
            return self.write(&seen, held.token, mark);
        }
        if let Some(token) = self.own_token(&seen.reading) {
            return self.write(&seen, token, mark);
        }
        match interest {
            Interest::None => Step::Wait(now + self.length),
            Interest::Standby => {
                let next = seen.read + self.length * IDLE_READ_LEASES;
                if now < next {
                    Step::Wait(next)
                } else {
                    Step::Read
                }
            }
            Interest::Take => {
                let free = self.free_at(&seen).max(self.acted + self.length);
                if now < free {
                    let next = seen.read + self.length / WAITING_READ_DIVISOR;
                    return if now < next {
                        Step::Wait(free.min(next))
                    } else {
                        Step::Read
                    };
                }
                self.incomplete = self.lacking;
                let floor = Token::from(seen.reading.era) << ERA_SHIFT;
                self.write(&seen, self.highest.max(floor) + 1, mark)
            }
        }
    }

    /// Records that the write with this mark is being sent.
    pub fn send(&mut self, now: BootTime, write: &Write) {
        let era = self.era().unwrap_or_default();
        self.last_token = Some((era, write.record.token));
        self.highest = self.highest.max(write.record.token);
        self.unsure = true;
        if self.sent.len() == MAX_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back(Sent {
            mark: write.record.mark,
            at: now,
            era,
            ledger: write.record.ledger.clone(),
        });
    }

    /// Records the state of the object, from a read or the response to a write.
    pub fn observe(&mut self, now: BootTime, reading: Reading) {
        self.lapse(now);
        self.unsure = false;
        self.retry_at = now;
        let record = reading.object.as_ref().map(|o| &o.record);
        self.highest = self.highest.max(record.map_or(0, |r| r.token));
        let unchanged = self.seen.as_ref().filter(|s| s.reading == reading);
        let since = unchanged.map_or(now, |s| s.since);
        if let Some(token) = self.own_token(&reading) {
            self.confirm(now, &reading, token);
        } else {
            self.lacking = self.may_lack_reports(&reading, self.held.is_some());
            self.lose(now);
            self.adopt(&reading);
        }
        self.seen = Some(Seen {
            reading,
            since,
            read: now,
        });
    }

    /// Records that a call failed; a write may have been carried out, or may be later.
    pub fn fail(&mut self, now: BootTime) {
        self.unsure = true;
        self.retry_at = now + self.length / RETRY_DIVISOR;
    }

    /// The write that hands the duty over, if this instance holds it. From here on it doesn't.
    pub fn release(&mut self, now: BootTime, mark: u64) -> Option<Write> {
        let seen = self.seen.clone()?;
        let token = self.own_token(&seen.reading);
        self.lose(now);
        self.last_token = None;
        let record = Record {
            holder: SmolStr::default(),
            start: self.start,
            token: token?,
            mark,
            era: seen.reading.era,
            ledger: self.ledger.clone(),
        };
        let condition = seen.reading.object.map(|o| o.revision);
        Some(Write { record, condition })
    }

    fn end(&self, held: &Held) -> BootTime {
        let margin = MARGIN_MAX.min(self.length / MARGIN_DIVISOR);
        held.written + self.length.saturating_sub(margin)
    }

    fn lapse(&mut self, now: BootTime) {
        if let Some(held) = &self.held
            && now >= self.end(held)
        {
            // What the store holds may have changed meanwhile.
            self.acted = self.end(held);
            self.held = None;
            self.unsure = true;
        }
    }

    fn lose(&mut self, now: BootTime) {
        if self.held.take().is_some() {
            self.acted = now;
        }
    }

    /// The token of the record if this process wrote it last, in this era of the store.
    fn own_token(&self, reading: &Reading) -> Option<Token> {
        let record = &reading.object.as_ref()?.record;
        let own = record.holder == self.own && record.start == self.start;
        let last = self.last_token == Some((reading.era, record.token));
        (own && last).then_some(record.token)
    }

    fn confirm(&mut self, now: BootTime, reading: &Reading, token: Token) {
        let record = reading.object.as_ref().map(|o| &o.record);
        let mark = record.map(|r| r.mark);
        let sent = self
            .sent
            .iter()
            .find(|s| Some(s.mark) == mark && s.era == reading.era);
        let Some(sent) = sent.cloned() else { return };
        let held = Held {
            token,
            written: sent.at,
            stored: sent.ledger,
        };
        self.ledger.merge(&held.stored);
        let newer = self.held.as_ref().is_none_or(|h| h.written <= held.written);
        if newer && now < self.end(&held) {
            self.held = Some(held);
        }
    }

    /// Takes the ledger of the store over. If an older copy of it came back, what was known before counts too.
    fn adopt(&mut self, reading: &Reading) {
        let ledger = reading.object.as_ref().map(|o| o.record.ledger.clone());
        let ledger = ledger.unwrap_or_default();
        if self.era().is_some_and(|era| era < reading.era) {
            self.ledger.merge(&ledger);
        } else {
            self.ledger = ledger;
        }
    }

    /// Whether the object is from an older copy of the store, and this instance didn't hold the duty until it came back.
    fn may_lack_reports(&self, reading: &Reading, held: bool) -> bool {
        let written = reading.object.as_ref().map_or(0, |o| o.record.era);
        let same = self.era() == Some(reading.era);
        written < reading.era && if same { self.lacking } else { !held }
    }

    /// When another instance's permission has certainly ended. A duty that was handed over before the store was
    /// restored from an older copy may have been taken since.
    fn free_at(&self, seen: &Seen) -> BootTime {
        let reading = &seen.reading;
        let handed_over = |o: &Object| o.record.holder.is_empty() && o.record.era == reading.era;
        if reading.object.as_ref().is_some_and(handed_over) {
            seen.since
        } else {
            seen.since + self.length
        }
    }

    fn write(&self, seen: &Seen, token: Token, mark: u64) -> Step {
        let object = seen.reading.object.as_ref();
        // Until it is known which reports an older copy of the store lacks, the next holder must ask as well.
        let era = match object {
            _ if !self.incomplete => seen.reading.era,
            Some(object) => object.record.era,
            None => Era::default(),
        };
        let record = Record {
            holder: self.own.clone(),
            start: self.start,
            token,
            mark,
            era,
            ledger: self.ledger.clone(),
        };
        Step::Write(Write {
            record,
            condition: object.map(|o| o.revision),
        })
    }
}
