//! What a run came to.

use std::collections::BTreeMap;

use jackdawtally::object::{Class, Level};
use serde::Serialize;

use crate::caller::{Outcome, RequestRecord};
use crate::deployment::{Deployment, Target};
use crate::execution_log::ExecutionRecords;

/// What one class came to.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// The class.
    pub class: String,
    /// Its level; 0 is the most important.
    pub tier: Level,
    /// Requests sent.
    pub offered: usize,
    /// Requests answered whole.
    pub completed: usize,
    /// Requests refused.
    pub shed: usize,
    /// Requests answered within the class's target.
    pub met: usize,
    /// `met` over `offered`.
    pub attainment: f64,
    /// Time to the first token, in ms, at the median.
    pub first_token_p50_ms: f64,
    /// Time to the first token, in ms, at the 99th percentile.
    pub first_token_p99_ms: f64,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Offered work over capacity.
    pub load: f64,
    /// Each class.
    pub classes: Vec<ClassReport>,
    /// Tokens a second of whole answers within their class's target.
    pub goodput_tokens_per_s: f64,
    /// Tokens a second that the engines made.
    pub made_tokens_per_s: f64,
    /// Tokens a second that the engines could have given.
    pub capacity_tokens_per_s: f64,
    /// Tokens that were made and reached no caller.
    pub wasted_tokens: u64,
    /// `wasted_tokens` over all tokens made.
    pub wasted_share: f64,
    /// Reading calls a second to the platform.
    pub platform_reads_per_s: f64,
    /// Writing calls a second to the platform.
    pub platform_writes_per_s: f64,
    /// Bytes a second that an instance sends to its peers.
    pub peer_bytes_per_s_per_instance: f64,
    /// Share of a core that an instance uses for control; null where there was traffic.
    pub control_cpu_share_per_instance: Option<f64>,
    /// Time from acceptance of a change until it is in force everywhere, in ms, at the 99th percentile.
    pub config_in_force_p99_ms: Option<f64>,
    /// Cases of what must never happen.
    pub violations: BTreeMap<&'static str, usize>,
    /// Refusals by kind.
    pub refusals: BTreeMap<String, usize>,
    /// The routers' own counters, added up; for explanations, not for verdicts.
    pub counters: BTreeMap<String, u64>,
    /// The file with each violation's events.
    pub trace: Option<String>,
}

/// Whether an answer met its class's target.
#[must_use]
pub fn met(class: &Class, answer: &RequestRecord) -> bool {
    if answer.outcome != Outcome::Complete || answer.corrupt || answer.mismatched {
        return false;
    }
    let total_ms = answer
        .ended
        .saturating_duration_since(answer.sent)
        .as_secs_f64()
        * 1_000.0;
    let first_ms = answer.first_token.map_or(f64::INFINITY, |f| {
        f.saturating_duration_since(answer.sent).as_secs_f64() * 1_000.0
    });
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let pieces = answer.tokens.max(1) as f64;
    let gap_ms = (total_ms - first_ms) / (pieces - 1.0).max(1.0);
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let within = |target: Option<u64>, value: f64| target.is_none_or(|t| value <= t as f64);
    match answer.request.target {
        Target::Service(_) => within(class.answer_ms, total_ms),
        Target::Stream(_) => {
            within(class.first_token_ms, first_ms)
                && within(class.between_tokens_ms, gap_ms)
                && within(class.answer_ms, total_ms)
        }
        // A whole answer may take as long as its tokens would have.
        Target::NonStreaming(_) => {
            #[expect(clippy::cast_precision_loss, reason = "small numbers")]
            let tokens = class
                .between_tokens_ms
                .map_or(f64::INFINITY, |b| b as f64 * pieces);
            #[expect(clippy::cast_precision_loss, reason = "small numbers")]
            let all = class
                .first_token_ms
                .map_or(f64::INFINITY, |f| f as f64 + tokens);
            total_ms <= all && within(class.answer_ms, total_ms)
        }
    }
}

/// Each class's part.
#[must_use]
pub fn classes(deployment: &Deployment, answers: &[RequestRecord]) -> Vec<ClassReport> {
    let mut by_class: BTreeMap<(Level, String), Vec<&RequestRecord>> = BTreeMap::new();
    for answer in answers {
        let key = (answer.request.level, answer.request.class.to_string());
        by_class.entry(key).or_default().push(answer);
    }
    let reports = by_class.into_iter().map(|((tier, name), answers)| {
        let class = deployment.class(&name);
        let met = answers.iter().filter(|a| met(class, a)).count();
        let first: Vec<f64> = answers
            .iter()
            .filter_map(|a| {
                Some(
                    a.first_token?
                        .saturating_duration_since(a.sent)
                        .as_secs_f64()
                        * 1_000.0,
                )
            })
            .collect();
        ClassReport {
            tier,
            offered: answers.len(),
            completed: answers
                .iter()
                .filter(|a| matches!(a.outcome, Outcome::Complete | Outcome::Told))
                .count(),
            shed: answers
                .iter()
                .filter(|a| matches!(a.outcome, Outcome::Refused { .. }))
                .count(),
            met,
            attainment: ratio(met as u64, answers.len() as u64),
            first_token_p50_ms: percentile(first.clone(), 0.50),
            first_token_p99_ms: percentile(first, 0.99),
            class: name,
        }
    });
    reports.collect()
}

/// Tokens of the run's window that belong to whole answers within their class's target.
#[must_use]
pub fn good_tokens(
    deployment: &Deployment,
    answers: &[RequestRecord],
    records: &ExecutionRecords,
) -> u64 {
    let good = answers.iter().filter(|a| {
        let model = !matches!(a.request.target, Target::Service(_));
        model && met(deployment.class(&a.request.class), a)
    });
    good.map(|a| {
        let made = records
            .window_tokens
            .get(&a.request.tag)
            .copied()
            .unwrap_or_default();
        made.min(a.tokens)
    })
    .sum()
}

/// Tokens made, and those of them that reached no caller.
#[must_use]
pub fn wasted(answers: &[RequestRecord], records: &ExecutionRecords) -> (u64, u64) {
    let got: BTreeMap<u64, u64> = answers.iter().map(|a| (a.request.tag, a.tokens)).collect();
    let made = records.tokens.values().sum();
    let wasted = records
        .tokens
        .iter()
        .map(|(tag, made)| made.saturating_sub(got.get(tag).copied().unwrap_or_default()));
    (made, wasted.sum())
}

/// `a` over `b`; 0 where there is nothing.
#[must_use]
pub fn ratio(a: u64, b: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let (a, b) = (a as f64, b as f64);
    if b > 0.0 { a / b } else { 0.0 }
}

/// The value below which that share of the values lies; 0 where there are none.
#[must_use]
pub fn percentile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small numbers"
    )]
    let place = ((values.len() as f64 * share).ceil() as usize).saturating_sub(1);
    values
        .get(place.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
