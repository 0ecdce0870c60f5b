//! The program of one instance: reads its settings, runs until it is told to leave.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use jackdawtally::daemon::Daemon;
use jackdawtally::logs;
use jackdawtally::settings::Settings;
use jackdawtally_platform::daemon::PlatformDaemon;
use jackdawtally_platform::reload::Reloader;
use jackdawtally_platform::settings as platform;
use tokio::signal::unix::{SignalKind, signal};

/// Time between two looks at the platform's settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Exit status for settings that can't be used.
const BAD_SETTINGS: u8 = 2;
/// Exit status for a listener that can't be opened.
const CANNOT_START: u8 = 1;

/// One instance of the router.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file
    #[argh(option)]
    settings: Option<PathBuf>,
    /// only check the settings
    #[argh(switch)]
    check: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Front(FrontArguments),
}

/// Run on the users' platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "front")]
struct FrontArguments {
    /// the platform's settings file; by default the one that its variable names
    #[argh(option)]
    settings: Option<PathBuf>,
    /// port of the metrics page
    #[argh(option)]
    metrics: Option<u16>,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

/// What to run, with its settings.
enum Role {
    Instance(Box<Settings>),
    Front(Box<FrontRole>),
}

struct FrontRole {
    path: PathBuf,
    settings: platform::Settings,
    metrics: Option<u16>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let (path, check, role) = match read(arguments) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("jackdawtallyd: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    match run(role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jackdawtallyd: {error}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn read(arguments: Arguments) -> Result<(PathBuf, bool, Role), Box<dyn Error>> {
    match (arguments.command, arguments.settings) {
        (Some(Command::Front(front)), None) => {
            let path = front.settings.unwrap_or_else(platform::Settings::path);
            let settings = platform::Settings::read(&path)?;
            let role = FrontRole {
                path: path.clone(),
                settings,
                metrics: front.metrics,
            };
            Ok((path, front.check, Role::Front(Box::new(role))))
        }
        (None, Some(path)) => {
            let settings = Settings::read(&path)?;
            Ok((path, arguments.check, Role::Instance(Box::new(settings))))
        }
        _ => Err("either --settings FILE or a command is needed; see --help".into()),
    }
}

fn run(role: Role) -> Result<(), Box<dyn Error>> {
    match role {
        Role::Instance(settings) => {
            let environment = env_logger::Env::default().default_filter_or("info");
            env_logger::Builder::from_env(environment).init();
            tokio::runtime::Runtime::new()?.block_on(run_instance(*settings))
        }
        Role::Front(front) => {
            logs::install(&front.settings.instance);
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            runtime.enable_all().build()?.block_on(run_front(*front))
        }
    }
}

async fn run_instance(settings: Settings) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).await?;
    let addresses = daemon.addresses;
    println!(
        "ready callers={} operators={} peers={}",
        addresses.callers, addresses.operators, addresses.peers
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.asked_to_leave() => {}
    }
    daemon.shutdown().await;
    Ok(())
}

async fn run_front(role: FrontRole) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut look = tokio::time::interval(SETTINGS_LOOK);
    let front = PlatformDaemon::start(&role.settings, role.metrics).await?;
    let mut reloader = Reloader::new(role.path, role.settings);
    loop {
        let asked = tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => true,
            _ = look.tick() => false,
        };
        if let Some(settings) = reloader.reload(asked) {
            front.reload(&settings);
        }
    }
    front.shutdown().await;
    Ok(())
}
