//! Reports usage while this instance holds that duty: asks for the counts of all instances, fixes those of each window
//! in the store, and sends them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;
use tokio::time::{self, Instant};

use super::collector::Collector;
use super::counter::{window_at, window_end_ms};
use super::keeper::poll_interval;
use super::poll::Poll;
use super::state::{Duties, DutyState};
use super::{CallError, Duty, DutyPlatform, Token, UsageReport, WindowId, polling};
use crate::event::Line;
use crate::fleet::membership::InstanceId;
use crate::node::Node;

/// Time between two looks at what is due while the duty is held.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks at whether the duty is held.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Time after the end of a window in which the clocks of the instances pass it.
const SETTLE_MS: u64 = 200;
/// Part of the time until a report is due for which instances that don't reply are waited for.
const WAIT_FRACTION: f64 = 0.4;
/// Time after the duty was taken in which instances may reply for the first time.
const FIRST_REPLIES: Duration = Duration::from_millis(1_500);
/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a call that wasn't carried out.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Reports usage whenever this instance holds the duty; never returns if there is the duty.
pub async fn run<P: DutyPlatform>(node: Arc<Node>, platform: Arc<P>) {
    let Some(duties) = &node.duties else { return };
    let Some(state) = duties.get(Duty::UsageReports) else {
        return;
    };
    let mut term: Option<Term> = None;
    loop {
        let Some(token) = state.held.token() else {
            time::sleep(IDLE_TICK.min(duties.settings.lease / 4)).await;
            continue;
        };
        if term.as_ref().is_none_or(|t| t.token != token) {
            term = Some(Term::new(token));
        }
        if let Some(term) = &mut term {
            let reporter = Reporter {
                node: &node,
                duties,
                state,
            };
            reporter.step(term).await;
            reporter.send(term, platform.as_ref()).await;
        }
        time::sleep(TICK).await;
    }
}

/// The time in which this instance holds the duty under one token.
struct Term {
    token: Token,
    since: Instant,
    collector: Collector,
    round: u64,
    polled: Option<Instant>,
    /// The last window of which counts were asked for after its end.
    closed: WindowId,
    /// No call before this time.
    retry_at: Instant,
}

impl Term {
    fn new(token: Token) -> Self {
        Self {
            token,
            since: Instant::now(),
            collector: Collector::default(),
            round: 0,
            polled: None,
            closed: 0,
            retry_at: Instant::now(),
        }
    }
}

struct Reporter<'a> {
    node: &'a Node,
    duties: &'a Duties,
    state: &'a DutyState,
}

impl Reporter<'_> {
    async fn step(&self, term: &mut Term) {
        let wall_ms = (self.state.held.clocks.wall_ms)();
        let mut replies = self.state.polls.replies.lock().await;
        while let Ok(counts) = replies.try_recv() {
            if counts.token == term.token {
                term.collector.merge(&counts, wall_ms);
            }
        }
        drop(replies);
        let now_ms = term.collector.time_ms(wall_ms);
        let alive: Vec<InstanceId> = self.alive();
        // Until others have replied, only the own clock is known, which may be wrong.
        if term.since.elapsed() >= FIRST_REPLIES || term.collector.knows(&alive) {
            self.give_up(now_ms);
            self.fix(term, now_ms, &alive);
        }
        self.poll(term, now_ms, alive.len());
        let done = self.state.held.lease().ledger.done;
        term.collector.forget(done, &alive);
    }

    fn alive(&self) -> Vec<InstanceId> {
        let alive = self.node.membership.alive();
        alive.into_iter().map(|r| r.id).collect()
    }

    /// Gives up the windows whose reports would be late, and those that may have been reported before the store was
    /// restored from an older copy.
    fn give_up(&self, now_ms: u64) {
        let settings = &self.duties.settings;
        let due_ms = u64::try_from(settings.due.as_millis()).unwrap_or(u64::MAX);
        let current = window_at(now_ms.saturating_sub(due_ms), settings.window);
        let mut lease = self.state.held.lease();
        let before = lease.ledger.done;
        lease.ledger.finish(current.saturating_sub(1));
        if std::mem::take(&mut lease.incomplete) {
            let current = window_at(now_ms, settings.window);
            lease.ledger.finish(current.saturating_sub(1));
        }
        let after = lease.ledger.done;
        if before > 0 && after > before {
            Line::new("duty.missed")
                .field("duty", Duty::UsageReports.as_str())
                .field("first", before + 1)
                .field("last", after)
                .write(Level::Warn);
        }
    }

    /// Fixes the counts of the windows that all instances have replied for, or that can't wait any longer.
    fn fix(&self, term: &Term, now_ms: u64, alive: &[InstanceId]) {
        let settings = &self.duties.settings;
        let wait_ms = settings.due.mul_f64(WAIT_FRACTION).as_millis();
        let wait_ms = u64::try_from(wait_ms).unwrap_or(u64::MAX);
        let mut lease = self.state.held.lease();
        let before = lease.ledger.last();
        loop {
            let window = lease.ledger.last() + 1;
            let end_ms = window_end_ms(window, settings.window);
            if now_ms < end_ms + SETTLE_MS {
                break;
            }
            let late = now_ms >= end_ms + wait_ms && term.since.elapsed() >= FIRST_REPLIES;
            let complete = term.collector.is_complete(window, settings.window, alive);
            if !complete && !late {
                break;
            }
            lease.ledger.fix(term.collector.report(window));
        }
        if lease.ledger.last() > before {
            self.state.held.changed.notify_one();
        }
    }

    /// Asks for counts at intervals, and as soon as a window has ended.
    fn poll(&self, term: &mut Term, now_ms: u64, instances: usize) {
        let window = self.duties.settings.window;
        let closed = window_at(now_ms.saturating_sub(SETTLE_MS), window).saturating_sub(1);
        let interval = poll_interval(instances);
        let due = term.polled.is_none_or(|at| at.elapsed() >= interval);
        if !due && closed <= term.closed {
            return;
        }
        term.closed = closed;
        term.polled = Some(Instant::now());
        term.round += 1;
        let poll = Poll {
            duty: Duty::UsageReports,
            holder: self.node.settings.instance.clone(),
            token: term.token,
            round: term.round,
            first: Some(self.state.held.lease().ledger.last() + 1),
        };
        polling::receive(self.node, &poll, None);
    }

    /// Sends the oldest report whose counts the store has.
    async fn send<P: DutyPlatform>(&self, term: &mut Term, platform: &P) {
        let held = self.state.held.as_ref();
        let report = {
            let lease = held.lease();
            let report = lease.ledger.fixed.first();
            report
                .filter(|r| lease.is_stored(r.window) && !lease.incomplete)
                .cloned()
        };
        let Some(report) = report.filter(|_| Instant::now() >= term.retry_at) else {
            return;
        };
        let since = Instant::now();
        let result = platform.report_usage(held, &report, CALL_TIMEOUT).await;
        self.node.metrics.count("duties.calls");
        log_call(term.token, &report, result, since.elapsed());
        match result {
            Ok(()) => {
                let now_ms = (held.clocks.wall_ms)();
                self.duties.reported_ms.store(now_ms, Ordering::Relaxed);
                held.lease().ledger.finish(report.window);
            }
            Err(CallError::Rejected | CallError::NoneAvailable) => {
                held.lease().ledger.finish(report.window);
            }
            Err(CallError::Busy | CallError::NoResponse | CallError::NotHeld) => {
                term.retry_at = Instant::now() + RETRY_PAUSE;
            }
        }
    }
}

fn log_call(token: Token, report: &UsageReport, result: Result<(), CallError>, took: Duration) {
    let requests: u64 = report.counts.iter().map(|c| c.requests).sum();
    let level = if result.is_ok() {
        Level::Info
    } else {
        Level::Warn
    };
    Line::new("duty.call")
        .field("duty", Duty::UsageReports.as_str())
        .field("token", token)
        .field("subject", report.window)
        .field("number", requests)
        .field("outcome", if result.is_ok() { "taken" } else { "failed" })
        .optional_field("reason", result.err())
        .field("took_ms", took.as_millis())
        .write(level);
}
