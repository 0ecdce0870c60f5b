//! Issues permits to waiting requests, and follows the requests that hold one until their end.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::Instant;

use super::state::{Grant, Stage, State};
use super::{
    AdmissionRequest, Directive, GrantId, PendingReply, Permit, Pool, Preemption, ServerId,
};
use crate::load::placement::Choice;
use crate::load::prompt_placement::Prompt;
use crate::load::queue::EntryId;
use crate::load::server::Declaration;

impl Pool {
    /// Issues permits to waiting requests while servers have capacity, those of starving classes
    /// first.
    pub(super) fn dispatch_waiting(self: &Arc<Self>) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut replies = Vec::new();
        self.grant_starving(&mut state, now, &mut replies);
        while let Some((entry, server)) = state.next_dispatch(self.limits.unstarted, now) {
            self.dispatch(&mut state, entry, server, false, now, &mut replies);
        }
        drop(state);
        send_replies(replies);
    }

    fn dispatch(
        self: &Arc<Self>,
        state: &mut State,
        entry: EntryId,
        server: ServerId,
        guard: bool,
        now: Instant,
        replies: &mut Vec<PendingReply>,
    ) {
        if let Some(dequeued) = state.queue.dequeue(entry) {
            state.record_progress(&dequeued.attributes.class, now);
            let (admission, prompt) = (&dequeued.item.admission, dequeued.item.prompt);
            let permit = self.issue_permit(state, server, admission, prompt, guard, now);
            replies.push((dequeued.item.reply, Ok(permit)));
        }
    }

    pub(super) fn issue_permit(
        self: &Arc<Self>,
        state: &mut State,
        server: ServerId,
        admission: &AdmissionRequest,
        prompt: Prompt,
        guard: bool,
        now: Instant,
    ) -> Permit {
        let (directive, receiver) = watch::channel(Directive::Continue);
        let level = admission.attributes.level;
        let uncached = state.record_prefix(server, admission.prefix_hash, prompt, now);
        if prompt.is_known() {
            let class = &admission.attributes.class;
            state
                .demand
                .record_sent(class, admission.gap_target, uncached);
        }
        let grant = state.grants.insert(Grant {
            server,
            attributes: admission.attributes.clone(),
            first_token_target: admission.first_token_target,
            latency_sensitive: admission.latency_sensitive,
            uncached,
            guard,
            identity: Arc::clone(&admission.identity),
            sound: false,
            sent: now,
            stage: Stage::Unstarted,
            directive,
        });
        let known = &mut state.servers[server];
        known.record_sent(level);
        let version = known.version(now).cloned();
        let usage = known.rate_limit_mut().and_then(|limit| limit.take(now));
        if usage.is_some() {
            self.metrics.count("rate_limit.sent");
        }
        Permit {
            pool: Arc::clone(self),
            grant,
            server,
            declared: known.declared.clone(),
            priority: if guard { 0 } else { level },
            version,
            usage,
            directive: receiver,
        }
    }

    /// Issues a permit with the highest priority to the oldest request of each starving class
    /// (starvation guard).
    fn grant_starving(
        self: &Arc<Self>,
        state: &mut State,
        now: Instant,
        replies: &mut Vec<PendingReply>,
    ) {
        for entry in state.starving(now) {
            let Some(waiter) = state.queue.item(entry) else {
                continue;
            };
            let (admission, prompt) = (waiter.admission.clone(), waiter.prompt);
            let choice = state.choose(&admission, prompt, 0, true, self.limits.unstarted, now);
            if let Choice::Server(server) = choice {
                self.metrics.count("guard.granted");
                self.dispatch(state, entry, server, true, now, replies);
            }
        }
    }

    pub(super) fn mark_started(self: &Arc<Self>, grant: GrantId) {
        let now = Instant::now();
        let mut state = self.lock();
        let State {
            grants,
            servers,
            demand,
            preemption,
            ..
        } = &mut *state;
        if let Some(grant) = grants.get_mut(grant).filter(|g| g.stage != Stage::Started) {
            grant.stage = Stage::Started;
            let took = now.saturating_duration_since(grant.sent);
            demand.record_first_token(&grant.attributes.class, grant.uncached, took);
            if let Some(server) = servers.get_mut(grant.server) {
                server.remove_unstarted(grant.attributes.level);
                server.record_newest_started(grant.attributes.level, grant.sent);
                if *preemption == Preemption::ByRouter && grant.preemptible() {
                    server.record_preemptible(grant.attributes.level, true);
                }
            }
        }
        drop(state);
        self.dispatch_waiting();
    }

    pub(super) fn release(self: &Arc<Self>, grant: GrantId) {
        let mut state = self.lock();
        let by_router = state.preemption == Preemption::ByRouter;
        if let Some(grant) = state.grants.remove(grant)
            && let Some(server) = state.servers.get_mut(grant.server)
        {
            server.record_end(grant.attributes.level, grant.stage == Stage::Started);
            if by_router && grant.preemptible() {
                server.record_preemptible(grant.attributes.level, false);
            }
            if server.declaration == Declaration::Removed && server.in_flight() == 0 {
                state.remove_server(grant.server);
            }
        }
        drop(state);
        self.dispatch_waiting();
    }
}

pub(super) fn send_replies(replies: Vec<PendingReply>) {
    for (reply, result) in replies {
        // If the caller has disconnected, the permit is dropped here, which releases the slot.
        let _ = reply.send(result);
    }
}
