//! Backend servers that were heard to be leaving, by their own word or the platform's list.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use smol_str::SmolStr;

use crate::frame::Frame;
use crate::node::Node;

/// Time between two words on the same server that are passed on, in ms.
const REPEAT_MS: u64 = 3_000;

/// When each leaving server was last heard of, in ms since the Unix epoch.
#[derive(Debug, Default)]
pub struct Departures {
    heard: Mutex<HashMap<SmolStr, u64>>,
}

impl Departures {
    /// Takes in that a server is leaving, and passes it on to every peer but `from`.
    pub fn heard(&self, node: &Arc<Node>, server: &SmolStr, at_ms: u64, from: Option<&str>) {
        {
            let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
            let last = heard.get(server).copied().unwrap_or_default();
            if at_ms < last + REPEAT_MS {
                return;
            }
            heard.insert(server.clone(), at_ms);
        }
        for pool in node.pools.all() {
            pool.leaving(server);
        }
        let frame = Frame::ServerLeaving {
            server: server.clone(),
            at_ms,
        };
        node.fleet.broadcast(&frame, from);
    }
}
