//! `demo` and `bench`.

use std::process::ExitCode;
use std::time::Duration;

use jackdawtally_standins::bench::{self, Options};
use jackdawtally_standins::deployment::Deployment;
use jackdawtally_standins::faults;
use jackdawtally_standins::report::Report;
use jackdawtally_standins::test_bed::Policy;

use crate::cli::{self, Bench, Demo};

/// Most instances of a run.
const INSTANCES_MAX: usize = 200;
/// Longest run, in seconds.
const SECONDS_MAX: u64 = 3_600;
/// Most offered work over capacity.
const LOAD_MAX: f64 = 20.0;
/// Instances of the demonstration.
const DEMO_INSTANCES: usize = 6;
/// Offered work of the demonstration over capacity.
const DEMO_LOAD: f64 = 0.6;

/// Runs both deployments, and shows a table.
pub async fn demo(demo: &Demo) -> ExitCode {
    if demo.seconds == 0 || demo.seconds > SECONDS_MAX {
        return cli::fail(&format!("--seconds is outside 1 to {SECONDS_MAX}"));
    }
    let mut clean = true;
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
                table(&report);
                clean &= report.violations.values().all(|n| *n == 0);
            }
            Err(error) => return cli::fail(&error),
        }
    }
    verdict(clean)
}

/// Runs one deployment, and shows its report.
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
                table(&report);
            }
            verdict(report.violations.values().all(|n| *n == 0))
        }
        Err(error) => cli::fail(&error),
    }
}

fn verdict(clean: bool) -> ExitCode {
    if clean {
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
                "there is no policy {other}; jackdawtally and naive are"
            ));
        }
    };
    Deployment::named(&arguments.deployment)?;
    if !(1..=INSTANCES_MAX).contains(&arguments.instances) {
        return Err(format!("--instances is outside 1 to {INSTANCES_MAX}"));
    }
    if !(1..=SECONDS_MAX).contains(&arguments.seconds) {
        return Err(format!("--seconds is outside 1 to {SECONDS_MAX}"));
    }
    if !(0.0..=LOAD_MAX).contains(&arguments.load) {
        return Err(format!("--load is outside 0 to {LOAD_MAX}"));
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

fn table(report: &Report) {
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
    let found: Vec<String> = report
        .violations
        .iter()
        .filter(|(_, n)| **n > 0)
        .map(|(name, n)| format!("{name} {n}"))
        .collect();
    if found.is_empty() {
        println!("  no violations");
    } else {
        println!(
            "  violations: {}; see {}",
            found.join(", "),
            report.trace.as_deref().unwrap_or("-")
        );
    }
    for (kind, n) in &report.refusals {
        println!("  {kind}: {n}");
    }
}
