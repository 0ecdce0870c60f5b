//! The report of a run.

use std::collections::BTreeMap;

use jackdawtally::object::{Class, Level};
use serde::Serialize;

use crate::caller::{Outcome, RequestRecord};
use crate::deployment::{Deployment, Target};
use crate::execution_log::ExecutionRecords;

/// Results of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Priority level of the class; 0 is the highest priority.
    pub tier: Level,
    /// Number of requests sent.
    pub offered: usize,
    /// Number of requests that were completed.
    pub completed: usize,
    /// Number of requests that failed with an error.
    pub shed: usize,
    /// Number of requests completed within the latency targets of the class.
    pub met: usize,
    /// `met` divided by `offered`; 0 if there were no requests.
    pub attainment: f64,
    /// Median time to first token, in ms.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the time to first token, in ms.
    pub first_token_p99_ms: f64,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Router under test: `jackdawtally` or `naive`.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Offered load divided by capacity.
    pub load: f64,
    /// Results of each class, by priority level and name.
    pub classes: Vec<ClassReport>,
    /// Tokens per second of responses that met the latency targets of their class.
    pub goodput_tokens_per_s: f64,
    /// Tokens per second that the servers generated.
    pub made_tokens_per_s: f64,
    /// Tokens per second that the model servers could have generated.
    pub capacity_tokens_per_s: f64,
    /// Number of generated tokens that reached no caller.
    pub wasted_tokens: u64,
    /// `wasted_tokens` divided by the number of all generated tokens.
    pub wasted_share: f64,
    /// Read calls per second to the platform.
    pub platform_reads_per_s: f64,
    /// Write calls per second to the platform.
    pub platform_writes_per_s: f64,
    /// Bytes per second that an instance sends to its peers, on average.
    pub peer_bytes_per_s_per_instance: f64,
    /// Share of a core that an instance uses for control tasks, on average; null if there was traffic.
    pub control_cpu_share_per_instance: Option<f64>,
    /// 99th percentile of the time from the acceptance of a configuration change until it took effect on
    /// all instances, in ms; null if no change was accepted.
    pub config_in_force_p99_ms: Option<f64>,
    /// Number of invariant violations, by kind.
    pub violations: BTreeMap<&'static str, usize>,
    /// Number of requests that did not complete, by error kind or outcome.
    pub refusals: BTreeMap<String, usize>,
    /// Sums of the metrics counters of all instances. They help to explain a result; the checks do not
    /// use them.
    pub counters: BTreeMap<String, u64>,
    /// Path of the file that describes each violation; null if there are none.
    pub trace: Option<String>,
}

/// Returns whether a request was completed correctly and within the latency targets of its class.
#[must_use]
pub fn meets_targets(class: &Class, record: &RequestRecord) -> bool {
    if record.outcome != Outcome::Complete || record.corrupt || record.mismatched {
        return false;
    }
    let total_ms = record
        .ended
        .saturating_duration_since(record.sent)
        .as_secs_f64()
        * 1_000.0;
    let first_ms = record.first_token.map_or(f64::INFINITY, |f| {
        f.saturating_duration_since(record.sent).as_secs_f64() * 1_000.0
    });
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let token_count = record.tokens.max(1) as f64;
    let gap_ms = (total_ms - first_ms) / (token_count - 1.0).max(1.0);
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let meets = |target: Option<u64>, value: f64| target.is_none_or(|t| value <= t as f64);
    match record.request.target {
        Target::Service(_) => meets(class.answer_ms, total_ms),
        Target::Stream(_) => {
            meets(class.first_token_ms, first_ms)
                && meets(class.between_tokens_ms, gap_ms)
                && meets(class.answer_ms, total_ms)
        }
        // Without streaming, the response may take as long as all its tokens would with streaming.
        Target::NonStreaming(_) => {
            #[expect(clippy::cast_precision_loss, reason = "small numbers")]
            let tokens = class
                .between_tokens_ms
                .map_or(f64::INFINITY, |b| b as f64 * token_count);
            #[expect(clippy::cast_precision_loss, reason = "small numbers")]
            let limit = class
                .first_token_ms
                .map_or(f64::INFINITY, |f| f as f64 + tokens);
            total_ms <= limit && meets(class.answer_ms, total_ms)
        }
    }
}

/// Returns the results of each class, by priority level and name.
#[must_use]
pub fn class_reports(deployment: &Deployment, records: &[RequestRecord]) -> Vec<ClassReport> {
    let mut by_class: BTreeMap<(Level, String), Vec<&RequestRecord>> = BTreeMap::new();
    for record in records {
        let key = (record.request.level, record.request.class.to_string());
        by_class.entry(key).or_default().push(record);
    }
    let reports = by_class.into_iter().map(|((tier, name), records)| {
        let class = deployment.class(&name);
        let met = records.iter().filter(|a| meets_targets(class, a)).count();
        let first: Vec<f64> = records
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
            offered: records.len(),
            completed: records
                .iter()
                .filter(|a| matches!(a.outcome, Outcome::Complete | Outcome::Told))
                .count(),
            shed: records
                .iter()
                .filter(|a| matches!(a.outcome, Outcome::Refused { .. }))
                .count(),
            met,
            attainment: ratio(met as u64, records.len() as u64),
            first_token_p50_ms: percentile(first.clone(), 0.50),
            first_token_p99_ms: percentile(first, 0.99),
            class: name,
        }
    });
    reports.collect()
}

/// Returns the number of tokens generated in the measurement window for requests that met the latency
/// targets of their class.
#[must_use]
pub fn good_tokens(
    deployment: &Deployment,
    records: &[RequestRecord],
    executions: &ExecutionRecords,
) -> u64 {
    let completed = records.iter().filter(|a| {
        let model = !matches!(a.request.target, Target::Service(_));
        model && meets_targets(deployment.class(&a.request.class), a)
    });
    completed
        .map(|a| {
            let generated = executions
                .window_tokens
                .get(&a.request.tag)
                .copied()
                .unwrap_or_default();
            generated.min(a.tokens)
        })
        .sum()
}

/// Returns the number of generated tokens, and how many of them reached no caller.
#[must_use]
pub fn wasted(records: &[RequestRecord], executions: &ExecutionRecords) -> (u64, u64) {
    let received: BTreeMap<u64, u64> = records.iter().map(|a| (a.request.tag, a.tokens)).collect();
    let generated = executions.tokens.values().sum();
    let wasted = executions.tokens.iter().map(|(tag, generated)| {
        generated.saturating_sub(received.get(tag).copied().unwrap_or_default())
    });
    (generated, wasted.sum())
}

/// Returns `a` divided by `b`, or 0 if `b` is 0.
#[must_use]
pub fn ratio(a: u64, b: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let (a, b) = (a as f64, b as f64);
    if b > 0.0 { a / b } else { 0.0 }
}

/// Returns the percentile of the values, with `share` from 0 to 1; 0 if there are no values.
#[must_use]
pub fn percentile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small numbers"
    )]
    let index = ((values.len() as f64 * share).ceil() as usize).saturating_sub(1);
    values
        .get(index.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
