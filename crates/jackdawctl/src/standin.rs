//! `stand-in`: runs a simulated platform or backend server as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use jackdawtally_standins::execution_log::ExecutionLog;
use jackdawtally_standins::platform::Platform;
use jackdawtally_standins::simulated_server::{Options, SimulatedServer};
use tokio::net::TcpListener;

use crate::cli::{self, StandIn};

/// Prints the listening address, and serves until the process is terminated.
pub async fn run(options: StandIn) -> ExitCode {
    let Ok(listen) = options.listen.parse::<SocketAddr>() else {
        return cli::fail(&format!("invalid listen address {}", options.listen));
    };
    let result = match options.system.as_str() {
        "platform" => platform(listen).await,
        "backend-server" => backend_server(listen, &options).await,
        other => {
            return cli::fail(&format!(
                "unknown system {other}; expected platform or backend-server"
            ));
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cli::fail(&format!("can't listen on {listen}: {error}")),
    }
}

async fn platform(listen: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("ready address={}", listener.local_addr()?);
    Platform::new(1).serve(listener).await;
    Ok(())
}

async fn backend_server(listen: SocketAddr, options: &StandIn) -> std::io::Result<()> {
    let options = Options {
        name: "stand-in".into(),
        model: options.model.as_str().into(),
        slots: options.slots.max(1),
        step: Duration::from_millis(options.step_ms.max(1)),
        seed: 1,
    };
    let server = SimulatedServer::start(options, listen, Arc::new(ExecutionLog::default())).await?;
    println!("ready address={}", server.address);
    std::future::pending().await
}
