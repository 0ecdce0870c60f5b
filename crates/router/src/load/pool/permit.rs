//! Leave to send a request to a server, and what the request tells the pool while it runs.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::Instant;

use super::{COST_WEIGHT, Directive, GrantId, Pool, RETRY_CAP, RETRY_SHARE, ServerId};
use crate::config::object::{BackendServer, Level};
use crate::load::server::LoadReport;

/// Leave to send one request to one server; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    pub(super) pool: Arc<Pool>,
    pub(super) grant: GrantId,
    /// The server's key in the pool.
    pub server: ServerId,
    /// The server as declared.
    pub declared: BackendServer,
    /// The priority to send along; 0 is the most important.
    pub priority: Level,
    /// What the pool says while the request runs.
    pub directive: watch::Receiver<Directive>,
}

impl Permit {
    /// Says that the first token has come.
    pub fn mark_started(&self) {
        self.pool.mark_started(self.grant);
    }

    /// Whether the server has started a request that was sent after this one and isn't more important:
    /// it doesn't get to this one for another reason than its load.
    #[must_use]
    pub fn overtaken(&self) -> bool {
        let state = self.pool.lock();
        let grant = state.grants.get(self.grant);
        grant.is_some_and(|g| {
            let server = state.servers.get(g.server);
            server.is_some_and(|s| s.overtakes(g.attributes.level, g.sent))
        })
    }

    /// Takes in the server's load, as it told along with an answer.
    pub fn record_load(&self, report: LoadReport) {
        self.pool.record_load(self.server, report);
    }

    /// Takes in the mean gap between tokens over a stretch of the answer, in ms.
    pub fn record_gap(&self, gap_ms: f64) {
        let now = Instant::now();
        let mut state = self.pool.lock();
        if state.stood_still(now) {
            return;
        }
        if let Some(server) = state.servers.get_mut(self.server) {
            server.record_gap(gap_ms);
        }
    }

    /// Takes in the size of a complete answer, in tokens.
    pub fn record_completion(&self, tokens: u64) {
        let mut state = self.pool.lock();
        state.retries = (state.retries + RETRY_SHARE).min(RETRY_CAP);
        let class = state
            .grants
            .get(self.grant)
            .map(|g| g.attributes.class.clone());
        if let Some(stat) = class.and_then(|c| state.classes.get_mut(&c)) {
            #[expect(
                clippy::cast_precision_loss,
                reason = "answers are short of 2^52 tokens"
            )]
            let tokens = tokens as f64;
            stat.cost += COST_WEIGHT * (tokens - stat.cost);
        }
    }

    /// Says that the server failed this request; `down` when it can't be reached at all.
    pub fn record_failure(&self, down: bool) {
        self.pool.record_failure(self.server, down);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.ended(self.grant);
    }
}
