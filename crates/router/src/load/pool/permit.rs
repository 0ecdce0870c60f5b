//! Permits to send a request to a server. The holder reports the progress of the request to the
//! pool through it.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time::Instant;

use super::{
    COST_EWMA_WEIGHT, Directive, GrantId, Pool, RETRY_TOKENS_MAX, RETRY_TOKENS_PER_SUCCESS,
    ServerId, SuspectedCrash,
};
use crate::config::object::{BackendServer, Level};
use crate::load::rate_limit::{Rate, Usage};
use crate::load::server::LoadReport;

/// Permit to send one request to one server, released on drop.
#[derive(Debug)]
pub struct Permit {
    pub(super) pool: Arc<Pool>,
    pub(super) grant: GrantId,
    /// The server's key in the pool.
    pub server: ServerId,
    /// The server's declaration at the time when the permit was issued.
    pub declared: BackendServer,
    /// Priority to send with the request; 0 is the most important, also used for requests of a
    /// starving class.
    pub priority: Level,
    /// The version of the server's software; `None` if it isn't known, or in doubt.
    pub version: Option<SmolStr>,
    /// How the request counts under the server's rate limit; `None` if it has none.
    pub usage: Option<Usage>,
    /// Latest instruction of the pool to the request.
    pub directive: watch::Receiver<Directive>,
}

impl Permit {
    /// Records that the request has started: its first token has arrived, or it has been sent and
    /// has no tokens. Further calls have no effect.
    pub fn mark_started(&self) {
        self.pool.mark_started(self.grant);
    }

    /// Whether the server has started a request that was sent after this one and isn't more
    /// important. The delay of this one then has another cause than the server's load.
    #[must_use]
    pub fn overtaken(&self) -> bool {
        let state = self.pool.lock();
        let grant = state.grants.get(self.grant);
        grant.is_some_and(|g| {
            let server = state.servers.get(g.server);
            server.is_some_and(|s| s.started_newer(g.attributes.level, g.sent))
        })
    }

    /// Records a load report that came with a response.
    pub fn record_load(&self, report: LoadReport) {
        self.pool.record_load(self.server, report);
    }

    /// Records what the response to the request `id` says of the server's rate limit; `None` if it has none.
    pub fn record_rate_limit(&self, rate: Option<Rate>, id: &str) {
        self.pool.record_rate_limit(self.grant, rate, id);
    }

    /// Records that the response went on past its beginning, so that its prompt doesn't crash servers.
    pub fn record_sound(&self) {
        self.pool.record_sound(self.grant);
    }

    /// Records a batch of events of the response, and the `pause` before it if it isn't the first. `sound` tells
    /// whether the response has gone past its beginning.
    pub fn record_batch(&self, pause: Option<Duration>, sound: bool) {
        match pause {
            None => self.mark_started(),
            Some(pause) => self.record_pause(pause),
        }
        self.pool.record_response(self.grant, sound);
    }

    /// Records that the connection was lost; `begun` tells whether the response had gone past its beginning.
    /// Returns the server if it is now to be checked for a crash.
    #[must_use]
    pub fn record_loss(&self, begun: bool) -> Option<SuspectedCrash> {
        self.pool.record_loss(self.grant, begun)
    }

    /// The pool that issued the permit.
    #[must_use]
    pub const fn pool(&self) -> &Arc<Pool> {
        &self.pool
    }

    /// Records whether the response says that its server is brittle, and whether the server refused the request for
    /// want of room.
    pub fn record_brittleness(&self, brittle: bool, refused: bool) {
        self.pool.record_brittleness(self.grant, brittle, refused);
    }

    /// Records that the server wants no requests of this instance for so long, as it says in the response to the request
    /// `id`.
    pub fn record_rest(&self, rest: Duration, id: &str) {
        self.pool.record_rest(&self.declared.name, rest, id);
    }

    /// Records the mean inter-token gap over a part of the response, in ms. Ignored while or
    /// shortly after this instance itself was paused.
    pub fn record_gap(&self, gap_ms: f64) {
        let now = Instant::now();
        let mut state = self.pool.lock();
        if state.recently_paused(now) {
            return;
        }
        if let Some(server) = state.servers.get_mut(self.server) {
            server.record_gap(gap_ms);
        }
    }

    /// Records a pause between two events of the response. Ignored while or shortly after this
    /// instance itself was paused.
    pub fn record_pause(&self, pause: Duration) {
        let mut state = self.pool.lock();
        state.record_pause(self.grant, pause, Instant::now());
    }

    /// Records a complete response: updates the expected cost of the class and adds to the retry
    /// tokens. `tokens` is the number of tokens or events, or 1 for a response that has neither.
    pub fn record_completion(&self, tokens: u64) {
        let mut state = self.pool.lock();
        state.retry_tokens = (state.retry_tokens + RETRY_TOKENS_PER_SUCCESS).min(RETRY_TOKENS_MAX);
        let class = state
            .grants
            .get(self.grant)
            .map(|g| g.attributes.class.clone());
        if let Some(stat) = class.and_then(|c| state.classes.get_mut(&c)) {
            #[expect(
                clippy::cast_precision_loss,
                reason = "responses have fewer than 2^52 tokens"
            )]
            let tokens = tokens as f64;
            stat.cost += COST_EWMA_WEIGHT * (tokens - stat.cost);
        }
    }

    /// Records that no connection to the server could be opened.
    pub fn record_connect_failure(&self) {
        let mut state = self.pool.lock();
        if let Some(server) = state.servers.get_mut(self.server) {
            server.record_connect_failure(Instant::now());
        }
    }

    /// Records that the server failed this request. `unreachable` if it can't be reached at all, so
    /// that its other requests fail too.
    pub fn record_failure(&self, unreachable: bool) {
        self.pool.record_failure(self.server, unreachable);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.release(self.grant);
    }
}
