//! The program of one instance: reads its settings, runs until it is told to leave.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jackdawtally::daemon::Daemon;
use jackdawtally::settings::Settings;
use jackdawtally_platform::front::Front;
use jackdawtally_platform::settings as platform;
use tokio::signal::unix::{SignalKind, signal};

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
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

/// What to run, with its settings.
enum Role {
    Instance(Box<Settings>),
    Front(Box<platform::Settings>),
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
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
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
            Ok((path, front.check, Role::Front(Box::new(settings))))
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
            tokio::runtime::Runtime::new()?.block_on(run_instance(*settings))
        }
        Role::Front(settings) => {
            let mut runtime = tokio::runtime::Builder::new_current_thread();
            runtime.enable_all().build()?.block_on(run_front(&settings))
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
    daemon.leave().await;
    Ok(())
}

async fn run_front(settings: &platform::Settings) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let front = Front::start(settings).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => log::info!("settings=reload"),
        }
    }
    front.leave().await;
    Ok(())
}
