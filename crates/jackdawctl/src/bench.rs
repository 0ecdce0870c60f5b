//! `demo` and `bench`: run simulated deployments on this machine and print their reports.

use std::process::ExitCode;
use std::time::Duration;

use jackdawtally_standins::bench::{self, Options};
use jackdawtally_standins::deployment::Deployment;
use jackdawtally_standins::faults;
use jackdawtally_standins::report::Report;
use jackdawtally_standins::test_bed::Policy;

use crate::cli::{self, Bench, Demo};

/// Maximum number of instances in a run.
const MAX_INSTANCES: usize = 200;
/// Maximum duration of a run, in seconds.
const MAX_DURATION_S: u64 = 3_600;
/// Maximum offered load, as a multiple of the capacity.
const MAX_LOAD: f64 = 20.0;
/// Number of instances in each deployment of `demo`.
const DEMO_INSTANCES: usize = 6;
/// Offered load in `demo`, as a multiple of the capacity.
const DEMO_LOAD: f64 = 0.6;

/// Runs both deployments without faults, and prints a table for each.
pub async fn demo(demo: &Demo) -> ExitCode {
    if demo.seconds == 0 || demo.seconds > MAX_DURATION_S {
        return cli::fail(&format!("--seconds must be between 1 and {MAX_DURATION_S}"));
    }
    let mut no_violations = true;
    for deployment in ["fair", "pauta"] {
        let options = Options {
            deployment: deployment.into(),
            policy: Policy::Jackdawtally,
            seed: 1,
            length: Duration::from_secs(demo.seconds),
            instances: DEMO_INSTANCES,
            load: DEMO_LOAD,
            faults: Vec::new(),
            progress: true,
        };
        eprintln!(
            "{deployment}: platform, backend servers and {DEMO_INSTANCES} instances; {} s at {:.0}% of capacity",
            demo.seconds,
            DEMO_LOAD * 100.0
        );
        match bench::run(&options).await {
            Ok(report) => {
                print_table(&report);
                no_violations &= report.violations.values().all(|n| *n == 0);
            }
            Err(error) => return cli::fail(&error),
        }
    }
    exit_code(no_violations)
}

/// Runs one deployment, and prints its report as a table or as JSON.
pub async fn bench(arguments: &Bench) -> ExitCode {
    let options = match options(arguments) {
        Ok(options) => options,
        Err(error) => return cli::fail(&error),
    };
    match bench::run(&options).await {
        Ok(report) => {
            if arguments.json {
                println!("{}", serde_json::to_string(&report).unwrap_or_default());
            } else {
                print_table(&report);
            }
            exit_code(report.violations.values().all(|n| *n == 0))
        }
        Err(error) => cli::fail(&error),
    }
}

fn exit_code(no_violations: bool) -> ExitCode {
    if no_violations {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(cli::REFUSED)
    }
}

fn options(arguments: &Bench) -> Result<Options, String> {
    let policy = match arguments.policy.as_str() {
        "jackdawtally" => Policy::Jackdawtally,
        "naive" => Policy::Naive,
        other => {
            return Err(format!(
                "unknown policy {other}; expected jackdawtally or naive"
            ));
        }
    };
    Deployment::named(&arguments.deployment)?;
    if !(1..=MAX_INSTANCES).contains(&arguments.instances) {
        return Err(format!("--instances must be between 1 and {MAX_INSTANCES}"));
    }
    if !(1..=MAX_DURATION_S).contains(&arguments.seconds) {
        return Err(format!("--seconds must be between 1 and {MAX_DURATION_S}"));
    }
    if !(0.0..=MAX_LOAD).contains(&arguments.load) {
        return Err(format!("--load must be between 0 and {MAX_LOAD}"));
    }
    Ok(Options {
        deployment: arguments.deployment.clone(),
        policy,
        seed: arguments.seed,
        length: Duration::from_secs(arguments.seconds),
        instances: arguments.instances,
        load: arguments.load,
        faults: faults::parse(&arguments.faults)?,
        progress: !arguments.json,
    })
}

fn print_table(report: &Report) {
    println!(
        "{} {} seed {} load {}: goodput {:.0} of {:.0} tokens/s, wasted {:.2}%",
        report.deployment,
        report.policy,
        report.seed,
        report.load,
        report.goodput_tokens_per_s,
        report.capacity_tokens_per_s,
        report.wasted_share * 100.0
    );
    println!(
        "  {:<26}{:>5}{:>9}{:>10}{:>7}{:>12}{:>9}{:>9}",
        "class", "tier", "offered", "completed", "shed", "attainment", "p50 ms", "p99 ms"
    );
    for class in &report.classes {
        println!(
            "  {:<26}{:>5}{:>9}{:>10}{:>7}{:>12.4}{:>9.0}{:>9.0}",
            class.class,
            class.tier,
            class.offered,
            class.completed,
            class.shed,
            class.attainment,
            class.first_token_p50_ms,
            class.first_token_p99_ms
        );
    }
    let violations: Vec<String> = report
        .violations
        .iter()
        .filter(|(_, n)| **n > 0)
        .map(|(name, n)| format!("{name} {n}"))
        .collect();
    if violations.is_empty() {
        println!("  no violations");
    } else {
        println!(
            "  violations: {}; see {}",
            violations.join(", "),
            report.trace.as_deref().unwrap_or("-")
        );
    }
    for (kind, n) in &report.refusals {
        println!("  {kind}: {n}");
    }
}
