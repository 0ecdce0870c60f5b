//! Backend servers that are known to be leaving, from their own announcement, the platform's
//! instance list or a peer.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use log::Level;
use smol_str::SmolStr;

use crate::event::Line;
use crate::fleet::frame::Frame;
use crate::fleet::links::PeerLinks;
use crate::load::pools::Pools;

/// Minimum time between two notices about the same server that are processed and forwarded, in ms.
const DEDUPLICATION_MS: u64 = 3_000;
/// Time for which a notice is passed on to instances that are linked later, in ms.
const RETENTION_MS: u64 = 60_000;

/// A notice that a backend server is leaving.
#[derive(Clone, Copy, Debug)]
pub struct LeavingNotice<'a> {
    /// The server's name.
    pub server: &'a SmolStr,
    /// When the first instance received the notice, in ms since the Unix epoch.
    pub at_ms: u64,
    /// The peer that sent the notice; `None` when this instance learned of it itself.
    pub from: Option<&'a str>,
}

/// The time of the last processed notice for each leaving server.
#[derive(Debug, Default)]
pub struct LeavingServers {
    noticed_ms: Mutex<HashMap<SmolStr, u64>>,
}

impl LeavingServers {
    /// The recent notices, for an instance that has just been linked.
    #[must_use]
    pub fn frames(&self) -> Vec<Frame> {
        let noticed_ms = self.noticed_ms.lock();
        let noticed_ms = noticed_ms.unwrap_or_else(PoisonError::into_inner);
        let frames = noticed_ms
            .iter()
            .map(|(server, at_ms)| Frame::ServerLeaving {
                server: server.clone(),
                at_ms: *at_ms,
            });
        frames.collect()
    }

    /// Marks the server as leaving in every pool and forwards the notice to all linked peers except
    /// the one that sent it. Ignores a notice within 3 s of the last one for the same server.
    pub fn receive(&self, pools: &Pools, links: &PeerLinks, notice: LeavingNotice<'_>) {
        let LeavingNotice {
            server,
            at_ms,
            from,
        } = notice;
        {
            let mut noticed_ms = self
                .noticed_ms
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let last = noticed_ms.get(server).copied().unwrap_or_default();
            if at_ms < last + DEDUPLICATION_MS {
                return;
            }
            noticed_ms.retain(|_, noticed| *noticed + RETENTION_MS > at_ms);
            noticed_ms.insert(server.clone(), at_ms);
        }
        pools.mark_leaving(server);
        if from.is_none() {
            Line::new("server.leaving")
                .field("server", server)
                .write(Level::Info);
        }
        let frame = Frame::ServerLeaving {
            server: server.clone(),
            at_ms,
        };
        links.broadcast(&frame, from);
    }
}
