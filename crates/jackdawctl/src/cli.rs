//! Definition of the command line arguments.
//!
//! Exit codes: 0 success; 1 the call was refused, or the run found violations; 2 invalid usage or input;
//! 3 the instance is unreachable.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

/// Exit code of a refused call, of an incompletely applied change, and of a run that found violations.
pub const REFUSED: u8 = 1;
/// Exit code for invalid arguments or unreadable input.
pub const INVALID_USAGE: u8 = 2;
/// Exit code when no connection to the instance could be established.
pub const UNREACHABLE: u8 = 3;

/// Administer and test a fleet of jackdawtally instances.
#[derive(FromArgs)]
pub struct Arguments {
    /// operators' address (HOST:PORT) of any instance
    #[argh(option, default = "String::from(\"127.0.0.1:8081\")")]
    pub server: String,
    /// the operator's token; defaults to the environment variable `JACKDAWTALLY_TOKEN`
    #[argh(
        option,
        default = "std::env::var(\"JACKDAWTALLY_TOKEN\").unwrap_or_default()"
    )]
    pub token: String,
    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Applies a configuration file.
    Apply(Apply),
    /// Shows the differences that `apply` would make.
    Plan(Plan),
    /// Shows configuration objects.
    Get(Get),
    /// Shows the state of an instance and of the fleet.
    Status(Status),
    /// Drains an instance, which then exits.
    Drain(Drain),
    /// Shows the log of configuration changes.
    Audit(Audit),
    /// Shows the instance list that callers receive.
    Entries(Entries),
    /// Validates a configuration file offline.
    Check(Check),
    /// Reconstructs the course of one request from log lines.
    Explain(Explain),
    /// Runs both example deployments on this machine.
    Demo(Demo),
    /// Runs one deployment with faults, and checks it for violations.
    Bench(Bench),
    /// Runs a simulated platform or backend server.
    StandIn(StandIn),
}

/// apply a configuration file, or show the reason for its refusal
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// configuration file, in TOML
    #[argh(positional)]
    pub file: PathBuf,
    /// delete objects that are missing from the file
    #[argh(switch)]
    pub prune: bool,
    /// unique id of the change; a call that is retried with the same id takes effect once
    #[argh(option, default = "String::new()")]
    pub change_id: String,
    /// longest wait for all instances to apply the change, in ms
    #[argh(option, default = "13_000")]
    pub wait_ms: u32,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// show the differences that `apply` would make
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// configuration file, in TOML
    #[argh(positional)]
    pub file: PathBuf,
    /// delete objects that are missing from the file
    #[argh(switch)]
    pub prune: bool,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// show the course of a request, from the log lines of all instances on standard input
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// request id
    #[argh(positional)]
    pub id: String,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// show one configuration object, all objects of a kind, or all objects
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// KIND/NAME for one object, KIND for all of that kind; all objects if omitted
    #[argh(positional, default = "String::new()")]
    pub object: String,
}

/// show the state of the instance and the fleet
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// let the instance complete its requests and exit
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}

/// show the log of configuration changes
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// number of the first change to show
    #[argh(option, default = "1")]
    pub from: u64,
    /// maximum number of changes to show
    #[argh(option, default = "100")]
    pub limit: u32,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// show the instance list that callers receive
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct Entries {}

/// validate a configuration file offline
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// configuration file, in TOML
    #[argh(positional)]
    pub file: PathBuf,
}

/// run both example deployments on this machine
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// duration for which requests are sent to each deployment, in seconds
    #[argh(option, default = "8")]
    pub seconds: u64,
}

/// run one deployment with faults, and check it for violations
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// deployment to run: fair or pauta
    #[argh(option, default = "String::from(\"fair\")")]
    pub deployment: String,
    /// routing policy: jackdawtally or naive
    #[argh(option, default = "String::from(\"jackdawtally\")")]
    pub policy: String,
    /// random seed for the traffic and the faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// duration for which requests are sent, in seconds
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// number of instances, 1 to 200
    #[argh(option, default = "9")]
    pub instances: usize,
    /// offered load as a multiple of the capacity
    #[argh(option, default = "1.0")]
    pub load: f64,
    /// faults to inject, separated by commas
    #[argh(option, default = "String::new()")]
    pub faults: String,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// run a simulated external system
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub struct StandIn {
    /// system to simulate: platform or backend-server
    #[argh(positional)]
    pub system: String,
    /// address to listen on; port 0 selects a free port
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub listen: String,
    /// name of the backend server's model
    #[argh(option, default = "String::from(\"intake\")")]
    pub model: String,
    /// number of requests that the backend server runs concurrently
    #[argh(option, default = "8")]
    pub slots: usize,
    /// duration of one generation step of the backend server, in ms
    #[argh(option, default = "8")]
    pub step_ms: u64,
}

/// Prints the message to standard error, and returns the exit code for invalid usage.
pub fn fail(message: &str) -> ExitCode {
    eprintln!("jackdawctl: {message}");
    ExitCode::from(INVALID_USAGE)
}
