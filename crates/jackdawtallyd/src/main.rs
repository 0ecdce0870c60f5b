//! Main program of an instance: reads the settings and runs the instance until it is asked to shut down.

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

/// Polling interval of the platform's settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Exit status for invalid settings or arguments.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit status for an instance that fails to start, such as for a listener that can't be opened.
const EXIT_START_FAILED: u8 = 1;

/// Run an instance of the jackdawtally router.
#[derive(FromArgs)]
struct Arguments {
    /// path of the settings file
    #[argh(option)]
    settings: Option<PathBuf>,
    /// validate the settings and exit
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

/// Run the instance on the users' platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "front")]
struct FrontArguments {
    /// path of the platform's settings file; by default the one named in the environment
    #[argh(option)]
    settings: Option<PathBuf>,
    /// port of the metrics endpoint
    #[argh(option)]
    metrics: Option<u16>,
    /// validate the settings and exit
    #[argh(switch)]
    check: bool,
}

/// How to run the instance, with the settings.
enum Mode {
    Instance(Box<Settings>),
    Platform(Box<PlatformMode>),
}

struct PlatformMode {
    path: PathBuf,
    settings: platform::Settings,
    metrics: Option<u16>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let (path, check, mode) = match read_settings(arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jackdawtallyd: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if check {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    match run(mode) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jackdawtallyd: {error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Reads the settings file that the arguments name. Returns its path, whether only to validate it, and what to
/// run.
fn read_settings(arguments: Arguments) -> Result<(PathBuf, bool, Mode), Box<dyn Error>> {
    match (arguments.command, arguments.settings) {
        (Some(Command::Front(front)), None) => {
            let path = front.settings.unwrap_or_else(platform::Settings::path);
            let settings = platform::Settings::read(&path)?;
            let mode = PlatformMode {
                path: path.clone(),
                settings,
                metrics: front.metrics,
            };
            Ok((path, front.check, Mode::Platform(Box::new(mode))))
        }
        (None, Some(path)) => {
            let settings = Settings::read(&path)?;
            Ok((path, arguments.check, Mode::Instance(Box::new(settings))))
        }
        _ => Err("exactly one of --settings FILE and a command is required; see --help".into()),
    }
}

fn run(mode: Mode) -> Result<(), Box<dyn Error>> {
    match mode {
        Mode::Instance(settings) => {
            let environment = env_logger::Env::default().default_filter_or("info");
            env_logger::Builder::from_env(environment).init();
            tokio::runtime::Runtime::new()?.block_on(run_instance(*settings))
        }
        Mode::Platform(front) => {
            logs::install(&front.settings.instance);
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            runtime
                .enable_all()
                .build()?
                .block_on(run_on_platform(*front))
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
        () = daemon.drain_requested() => {}
    }
    daemon.shutdown().await;
    Ok(())
}

async fn run_on_platform(mode: PlatformMode) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    let daemon = PlatformDaemon::start(&mode.settings, mode.metrics).await?;
    let mut reloader = Reloader::new(mode.path, mode.settings);
    loop {
        let requested = tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => true,
            _ = poll.tick() => false,
        };
        if let Some(settings) = reloader.reload(requested) {
            daemon.reload(&settings);
        }
    }
    daemon.shutdown().await;
    Ok(())
}
