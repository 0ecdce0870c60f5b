//! The estimate of the prefill rate under loads that make prompts appear slow or fast.

use std::collections::HashMap;
use std::time::Duration;

use jackdawtally::demand::Demand;
use jackdawtally::fleet_demand::ClassSummary;
use smol_str::SmolStr;
use tokio::time::Instant;

/// Prefill rate of the servers, in tokens per ms.
const RATE: f64 = 36.0;
/// Length of each prompt, in tokens.
const PROMPT: u32 = 3_600;

/// Records `count` first tokens of prompts that took `factor` times as long as their prefill.
fn record(demand: &mut Demand, count: u32, factor: f64) {
    let prefill = Duration::from_secs_f64(f64::from(PROMPT) / RATE / 1_000.0);
    for _ in 0..count {
        demand.record_first_token("class", PROMPT, prefill.mul_f64(factor));
    }
}

fn estimated_rate(demand: &Demand) -> f64 {
    1_000.0 / demand.prefill_ms(1_000.0)
}

/// In a burst, nearly all prompts wait behind others.
#[test]
fn burst_of_waiting_prompts_changes_the_rate_little() {
    let mut demand = Demand::default();
    record(&mut demand, 200, 1.0);
    let before = estimated_rate(&demand);

    record(&mut demand, 100, 8.0);

    assert!((before - RATE).abs() < 0.1 * RATE, "{before}");
    assert!(estimated_rate(&demand) > 0.6 * RATE);
}

/// After a restart, callers repeat prompts that the servers still have cached.
#[test]
fn unexpectedly_cached_prompts_change_the_rate_little() {
    let mut demand = Demand::default();
    record(&mut demand, 200, 1.0);

    record(&mut demand, 10, 0.05);

    assert!(estimated_rate(&demand) < 1.5 * RATE);
}

/// Short prompts take as long as the first tokens' way, whatever the rate.
#[test]
fn short_prompts_do_not_count() {
    let mut demand = Demand::default();
    let before = estimated_rate(&demand);

    for _ in 0..100 {
        demand.record_first_token("class", 100, Duration::from_millis(30));
    }

    assert!((estimated_rate(&demand) - before).abs() < f64::EPSILON);
}

/// Most prefixes are cached as other instances sent them there: first tokens come at once, and the demand that numbers of
/// servers are decided from isn't that of whole prompts.
#[test]
fn prompts_whose_prefix_was_cached_keep_no_server_busy() {
    let class = SmolStr::new("class");
    let mut demand = Demand::default();
    demand.update(&HashMap::new(), Instant::now());
    for _ in 0..20 {
        demand.record_sent(&class, None, PROMPT);
    }
    let prefill_ms = demand.prefill_ms(f64::from(PROMPT));

    for _ in 0..20 {
        demand.record_first_token(&class, PROMPT, Duration::from_millis(1));
    }

    let summaries: Vec<ClassSummary> = demand.summaries(64.0).collect();
    let observed = summaries[0].observed_servers.unwrap_or(f32::MAX);
    assert!(prefill_ms > 20.0);
    assert!(observed * 10.0 < summaries[0].prefill_servers);
}
