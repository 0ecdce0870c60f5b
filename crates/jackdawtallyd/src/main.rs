//! The program of one instance: reads its settings, runs until it is told to leave.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jackdawtally::daemon::Daemon;
use jackdawtally::settings::Settings;
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
    settings: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings = match Settings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jackdawtallyd: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("jackdawtallyd: can't start: {error}");
            return ExitCode::from(CANNOT_START);
        }
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jackdawtallyd: {error}");
            ExitCode::from(CANNOT_START)
        }
    }
}

async fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
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
