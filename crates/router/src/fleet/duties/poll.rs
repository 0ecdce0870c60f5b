//! Requests for the counts of all instances, passed on from link to link, and the replies on the way back.
//!
//! An instance passes the first copy of a request on to its other links, and all replies to the instance that this
//! copy came from. So the requests need no links besides those that exist.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Duty, Token, UsageReport, WindowId};
use crate::fleet::membership::InstanceId;

/// Replies that may wait for the holder.
const REPLY_QUEUE: usize = 1_024;

/// Asks all instances for their counts, and tells them who holds the duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// The duty.
    #[serde(rename = "d")]
    pub duty: Duty,
    /// Its holder.
    #[serde(rename = "h")]
    pub holder: InstanceId,
    /// The holder's token.
    #[serde(rename = "t")]
    pub token: Token,
    /// Number of the request under this token.
    #[serde(rename = "n")]
    pub round: u64,
    /// The first window whose counts are wanted; `None` if none are.
    #[serde(rename = "f")]
    pub first: Option<WindowId>,
}

/// The counts of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceCounts {
    /// The holder's token in the request.
    #[serde(rename = "t")]
    pub token: Token,
    /// The request's number.
    #[serde(rename = "n")]
    pub round: u64,
    /// The instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Identifies the start of its process.
    #[serde(rename = "s")]
    pub start: u64,
    /// Its clock, in ms since the Unix epoch.
    #[serde(rename = "c")]
    pub now_ms: u64,
    /// Its counts so far.
    #[serde(rename = "w")]
    pub windows: Vec<UsageReport>,
}

/// What was heard of a duty's holder.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The newest request.
    pub poll: Poll,
    /// When its first copy arrived.
    pub at: Instant,
    /// The instance that it came from; `None` if it is this instance's own.
    from: Option<InstanceId>,
}

/// Where a reply goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// To the instance that the request came from.
    Peer(InstanceId),
    /// This instance asked for it.
    Own,
    /// Nowhere: the request is forgotten.
    Unknown,
}

/// The requests of one duty that this instance has seen.
#[derive(Debug)]
pub struct Polls {
    heard: Mutex<Option<Heard>>,
    sender: mpsc::Sender<InstanceCounts>,
    /// Replies for this instance.
    pub replies: tokio::sync::Mutex<mpsc::Receiver<InstanceCounts>>,
}

impl Default for Polls {
    fn default() -> Self {
        let (sender, replies) = mpsc::channel(REPLY_QUEUE);
        Self {
            heard: Mutex::default(),
            sender,
            replies: tokio::sync::Mutex::new(replies),
        }
    }
}

impl Polls {
    /// Records a request; returns whether it is new, and so to be passed on and replied to.
    pub fn hear(&self, poll: &Poll, from: Option<&SmolStr>) -> bool {
        let mut heard = self.lock();
        let key = (poll.token, poll.round);
        let new = heard
            .as_ref()
            .is_none_or(|h| (h.poll.token, h.poll.round) < key);
        if new {
            *heard = Some(Heard {
                poll: poll.clone(),
                at: Instant::now(),
                from: from.cloned(),
            });
        }
        new
    }

    /// The newest request.
    #[must_use]
    pub fn heard(&self) -> Option<Heard> {
        self.lock().clone()
    }

    /// Where a reply goes. One to an earlier request of the same holder takes the way of the newest.
    #[must_use]
    pub fn destination(&self, counts: &InstanceCounts) -> Destination {
        let heard = self.lock();
        let heard = heard.as_ref().filter(|h| h.poll.token == counts.token);
        match heard.map(|h| &h.from) {
            Some(Some(peer)) => Destination::Peer(peer.clone()),
            Some(None) => Destination::Own,
            None => Destination::Unknown,
        }
    }

    /// Keeps a reply for the holder. One that finds no place is lost; the next request asks again.
    pub fn deliver(&self, counts: InstanceCounts) {
        let _ = self.sender.try_send(counts);
    }

    fn lock(&self) -> MutexGuard<'_, Option<Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
