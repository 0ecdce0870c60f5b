//! The command line.
//!
//! Exit codes: 0 done; 1 refused, or violations found; 2 bad use; 3 the instance can't be reached.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

/// Exit code when a call was refused, or a run had violations.
pub const REFUSED: u8 = 1;
/// Exit code for bad use.
pub const BAD_USE: u8 = 2;
/// Exit code when the instance can't be reached.
pub const UNREACHABLE: u8 = 3;

/// Look after a fleet of jackdawtally.
#[derive(FromArgs)]
pub struct Arguments {
    /// address of any instance for operators
    #[argh(option, default = "String::from(\"127.0.0.1:8081\")")]
    pub server: String,
    /// the operator's token; the variable `JACKDAWTALLY_TOKEN` where absent
    #[argh(
        option,
        default = "std::env::var(\"JACKDAWTALLY_TOKEN\").unwrap_or_default()"
    )]
    pub token: String,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Puts declarations in force.
    Apply(Apply),
    /// Shows what `apply` would alter.
    Plan(Plan),
    /// Shows declared objects.
    Get(Get),
    /// Shows how the fleet is.
    Status(Status),
    /// Lets an instance finish and leave.
    Drain(Drain),
    /// Shows the trail of changes.
    Audit(Audit),
    /// Shows the addresses that callers get.
    Entries(Entries),
    /// Checks a file of declarations without an instance.
    Check(Check),
    /// Says what became of a request.
    Explain(Explain),
    /// Runs everything on this machine.
    Demo(Demo),
    /// Runs one deployment with faults, and judges it.
    Bench(Bench),
    /// Runs a stand-in.
    StandIn(StandIn),
}

/// put declarations in force, or be told why not
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// file of declarations
    #[argh(positional)]
    pub file: PathBuf,
    /// remove objects that the file doesn't have
    #[argh(switch)]
    pub prune: bool,
    /// the change's own id; repeat it to repeat a call whose answer was lost
    #[argh(option, default = "String::new()")]
    pub change_id: String,
    /// longest time to wait for every instance, in ms
    #[argh(option, default = "13_000")]
    pub wait_ms: u32,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// show what `apply` would alter
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// file of declarations
    #[argh(positional)]
    pub file: PathBuf,
    /// remove objects that the file doesn't have
    #[argh(switch)]
    pub prune: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// say what became of a request, by the log lines of all instances on standard input
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's id
    #[argh(positional)]
    pub id: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// show one object (KIND/NAME), all of a kind, or all
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// KIND/NAME, KIND, or nothing for all
    #[argh(positional, default = "String::new()")]
    pub object: String,
}

/// show how the fleet is
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// let the instance finish what it has, and leave
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}

/// show who changed what, when
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// first change
    #[argh(option, default = "1")]
    pub from: u64,
    /// how many at most
    #[argh(option, default = "100")]
    pub limit: u32,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// show the addresses that callers get
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct Entries {}

/// check a file of declarations without an instance
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file of declarations
    #[argh(positional)]
    pub file: PathBuf,
}

/// run both deployments on this machine
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// time in which requests are sent, in seconds, for each deployment
    #[argh(option, default = "8")]
    pub seconds: u64,
}

/// run one deployment with faults, and judge it
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// fair or pauta
    #[argh(option, default = "String::from(\"fair\")")]
    pub deployment: String,
    /// jackdawtally or naive
    #[argh(option, default = "String::from(\"jackdawtally\")")]
    pub policy: String,
    /// seed of traffic and faults
    #[argh(option, default = "1")]
    pub seed: u64,
    /// time in which requests are sent, in seconds
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// how many instances; 1 to 200
    #[argh(option, default = "9")]
    pub instances: usize,
    /// offered work over capacity
    #[argh(option, default = "1.0")]
    pub load: f64,
    /// faults, separated by commas
    #[argh(option, default = "String::new()")]
    pub faults: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// run a stand-in for an outside system
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub struct StandIn {
    /// platform or backend-server
    #[argh(positional)]
    pub system: String,
    /// address to listen on; port 0 lets the system choose
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub listen: String,
    /// a backend server's model
    #[argh(option, default = "String::from(\"intake\")")]
    pub model: String,
    /// a backend server's slots
    #[argh(option, default = "8")]
    pub slots: usize,
    /// a backend server's step time, in ms
    #[argh(option, default = "8")]
    pub step_ms: u64,
}

/// Says what was wrong with the use of the tool.
pub fn fail(message: &str) -> ExitCode {
    eprintln!("jackdawctl: {message}");
    ExitCode::from(BAD_USE)
}
