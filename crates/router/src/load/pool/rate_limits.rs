//! Rate limits of the servers of a pool: what servers and other instances say of them, and what they mean
//! for waiting requests.

use std::sync::Arc;
use std::time::Duration;

use log::Level as LogLevel;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::state::State;
use super::{AdmissionRequest, GrantId, Pool, ServerId};
use crate::config::object::Level;
use crate::error::{Fault, Kind};
use crate::event::Line;
use crate::load::placement::{self, Criteria};
use crate::load::rate_limit::{LimitChange, Members, Notice, Rate, RateLimit, Statement};
use crate::load::server::Server;

/// Time for which a statement on a server that isn't declared is kept.
const UNDECLARED_RETENTION: Duration = Duration::from_mins(1);
/// Retry delay advised by an instance that holds no part of any limit; another one may.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(500);
/// Fraction of this instance's rate that less important tiers are assumed to get at least.
const SHARE_LEFT_MIN: f64 = 0.05;
/// Upper bound of the retry delay advised because of rate limits.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

impl Pool {
    /// Sets the instances among which the rate limits of servers are divided.
    pub fn set_members(self: &Arc<Self>, members: Arc<Members>) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.members == members {
            return;
        }
        for server in state.servers.values_mut() {
            let name = server.name().clone();
            if let Some(limit) = server.rate_limit_mut() {
                limit.assign(&name, &members, now);
            }
        }
        state.members = members;
        state.assign_shares();
    }

    /// Records what the response to the request `id`, which holds the permit `grant`, says of its server's
    /// rate limit.
    pub(super) fn record_rate_limit(
        self: &Arc<Self>,
        grant: GrantId,
        rate: Option<Rate>,
        id: &str,
    ) {
        let mut state = self.lock();
        if let Some((server, sent)) = state.grants.get(grant).map(|g| (g.server, g.sent)) {
            self.observe(&mut state, server, rate, sent, id);
        }
    }

    /// Records what a server's load report, requested at `requested`, says of its rate limit.
    pub fn record_reported_limit(
        self: &Arc<Self>,
        server: ServerId,
        rate: Option<Rate>,
        requested: Instant,
    ) {
        self.observe(&mut self.lock(), server, rate, requested, "");
    }

    fn observe(
        &self,
        state: &mut State,
        server: ServerId,
        rate: Option<Rate>,
        sent: Instant,
        id: &str,
    ) {
        let known = state.servers.get(server).and_then(Server::rate_limit);
        if known.is_none() && rate.is_none() {
            return;
        }
        let now = Instant::now();
        self.update_limit(
            state,
            server,
            |limit| limit.observe(rate, sent, now),
            id,
            now,
        );
    }

    /// Changes what is known of a server's limit, logs the change, and queues its announcement if that is due.
    fn update_limit(
        &self,
        state: &mut State,
        server: ServerId,
        change: impl FnOnce(&mut RateLimit) -> LimitChange,
        id: &str,
        now: Instant,
    ) {
        let members = Arc::clone(&state.members);
        let Some(server) = state.servers.get_mut(server) else {
            return;
        };
        let change = server.update_rate_limit(change, &members, now);
        let name = server.name().clone();
        let Some(limit) = server.rate_limit_mut() else {
            return;
        };
        if limit.announce_again(now) || change != LimitChange::None {
            state.announcements.insert(name.clone());
        }
        if change == LimitChange::None {
            return;
        }
        self.metrics.count(match change {
            LimitChange::Ended => "rate_limit.ended",
            _ => "rate_limit.named",
        });
        let age = now.saturating_duration_since(limit.statement().heard);
        Line::new("server.limit")
            .field("server", &name)
            .field("state", change.as_str())
            .optional_field("rate", limit.rate())
            .optional_field("share", limit.share())
            .field("number", limit.statement().sequence)
            .field("age_ms", age.as_millis())
            .optional_field("id", (!id.is_empty()).then_some(id))
            .write(LogLevel::Info);
    }

    /// Records what other instances have heard of servers' rate limits.
    pub fn merge_limits(self: &Arc<Self>, notices: &[Notice]) {
        let now = Instant::now();
        let mut state = self.lock();
        for notice in notices {
            let Some(statement) = notice.statement(now) else {
                log::warn!("server={} limit=unreadable", notice.server);
                continue;
            };
            let servers = state.servers.iter();
            let mut known = servers.filter(|(_, s)| *s.name() == notice.server);
            let merge = |limit: &mut RateLimit| limit.merge(statement, now);
            match known.next().map(|(id, _)| id) {
                Some(server) => self.update_limit(&mut state, server, merge, "", now),
                None => state.keep_undeclared(&notice.server, statement),
            }
        }
        drop(state);
        self.dispatch_waiting();
    }

    /// Takes the notices that are due to be sent to the other instances.
    #[must_use]
    pub fn take_limit_notices(&self) -> Vec<Notice> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.announcements.is_empty() {
            return Vec::new();
        }
        let names = std::mem::take(&mut state.announcements);
        let announced = state.servers.values().filter(|s| names.contains(s.name()));
        notices(announced, now)
    }

    /// Notices of all limits, in force or ended, for an instance that has just been linked.
    #[must_use]
    pub fn limit_notices(&self) -> Vec<Notice> {
        notices(self.lock().servers.values(), Instant::now())
    }
}

fn notices<'a>(servers: impl Iterator<Item = &'a Server>, now: Instant) -> Vec<Notice> {
    let stated = servers.filter_map(|s| Some((s.name().clone(), *s.rate_limit()?.statement())));
    stated
        .map(|(name, statement)| Notice::new(name, statement, now))
        .collect()
}

impl State {
    pub(super) fn add_server(&mut self, mut server: Server, now: Instant) {
        if let Some(statement) = self.undeclared_limits.remove(server.name()) {
            server.update_rate_limit(|limit| limit.merge(statement, now), &self.members, now);
        }
        self.servers.insert(server);
        self.apply_rests();
    }

    /// Removes a server. What it said of its limit is kept, as its declaration may come back.
    pub(super) fn remove_server(&mut self, id: ServerId) {
        let Some(server) = self.servers.remove(id) else {
            return;
        };
        if let Some(limit) = server.rate_limit() {
            self.keep_undeclared(server.name(), *limit.statement());
        }
    }

    fn keep_undeclared(&mut self, server: &SmolStr, statement: Statement) {
        self.undeclared_limits
            .retain(|_, kept| kept.heard.elapsed() < UNDECLARED_RETENTION);
        let kept = self.undeclared_limits.entry(server.clone());
        let kept = kept.or_insert(statement);
        if statement.supersedes(kept) {
            *kept = statement;
        }
    }

    /// A server that should get a request because its rate limit has had no news.
    pub(super) fn server_to_recheck(
        &self,
        criteria: &Criteria<'_>,
        now: Instant,
    ) -> Option<ServerId> {
        let due = |s: &Server| s.rate_limit().is_some_and(|limit| limit.is_due(now));
        let mut servers = self.servers.iter().filter(|(_, s)| due(s));
        let found = servers
            .find(|(id, s)| placement::has_room(s, criteria, now) && !criteria.avoid.contains(id));
        found.map(|(id, _)| id)
    }

    /// The fault for a request that the rate limits of the servers would keep waiting for too long.
    pub(super) fn check_rate_limits(
        &self,
        admission: &AdmissionRequest,
        now: Instant,
    ) -> Option<Fault> {
        let level = admission.attributes.level;
        let wait = self.rate_limit_wait(level, now)?;
        let in_time = wait <= admission.max_wait;
        let partial = admission.attributes.partial && wait != Duration::MAX;
        if in_time || partial {
            return None;
        }
        let retry_after = match wait {
            Duration::MAX => RETRY_ELSEWHERE,
            wait => wait.min(RETRY_AFTER_MAX),
        };
        let message = "the rate limits of all backend servers are used up";
        Some(Fault::new(Kind::Overloaded, message).retry_after(retry_after))
    }

    /// Expected wait of a new request of a tier if every server has a rate limit, otherwise `None`.
    /// `Duration::MAX` if this instance holds no part of any limit.
    fn rate_limit_wait(&self, level: Level, now: Instant) -> Option<Duration> {
        let mut share = 0.0;
        let mut saved = 0.0;
        let mut open = false;
        let mut servers = self.servers.values().filter(|s| !s.leaving()).peekable();
        servers.peek()?;
        for server in servers {
            let limit = server.rate_limit()?;
            share += limit.share()?;
            saved += limit.saved(now);
            open |= server.accepts(now);
        }
        if open && self.queue.is_empty() {
            return None;
        }
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let ahead = self.queue.len_up_to(level) as f64 + 1.0 - saved;
        // More important requests that arrive meanwhile go first.
        let left = (share - self.arrivals.above(level, now)).max(share * SHARE_LEFT_MIN);
        Some(Duration::try_from_secs_f64(ahead.max(0.0) / left).unwrap_or(Duration::MAX))
    }
}
