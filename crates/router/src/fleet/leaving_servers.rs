//! Backend servers that were heard to be leaving, by their own word or the platform's list.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use smol_str::SmolStr;

use crate::fleet::frame::Frame;
use crate::fleet::links::PeerLinks;
use crate::load::pools::Pools;

/// Time between two words on the same server that are passed on, in ms.
const REPEAT_MS: u64 = 3_000;

/// A word that a server is leaving.
#[derive(Clone, Copy, Debug)]
pub struct LeavingNotice<'a> {
    /// The server.
    pub server: &'a SmolStr,
    /// When it was heard, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The peer that it came from.
    pub from: Option<&'a str>,
}

/// When each leaving server was last heard of, in ms since the Unix epoch.
#[derive(Debug, Default)]
pub struct LeavingServers {
    heard: Mutex<HashMap<SmolStr, u64>>,
}

impl LeavingServers {
    /// Takes in that a server is leaving, and passes it on to every other peer.
    pub fn receive(&self, pools: &Pools, links: &PeerLinks, notice: LeavingNotice<'_>) {
        let LeavingNotice {
            server,
            at_ms,
            from,
        } = notice;
        {
            let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
            let last = heard.get(server).copied().unwrap_or_default();
            if at_ms < last + REPEAT_MS {
                return;
            }
            heard.insert(server.clone(), at_ms);
        }
        for pool in pools.all() {
            pool.mark_leaving(server);
        }
        let frame = Frame::ServerLeaving {
            server: server.clone(),
            at_ms,
        };
        links.broadcast(&frame, from);
    }
}
