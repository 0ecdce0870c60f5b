//! `jackdawctl`, the command line tool for operators of a fleet and for callers.

use std::process::ExitCode;

mod bench;
mod cli;
mod explain;
mod operators;
mod standin;

use cli::{Arguments, Command};

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return cli::fail(&format!("can't start the async runtime: {error}")),
    };
    let code = runtime.block_on(run(arguments));
    runtime.shutdown_background();
    code
}

async fn run(arguments: Arguments) -> ExitCode {
    match arguments.command {
        Command::Demo(options) => bench::demo(&options).await,
        Command::Bench(options) => bench::bench(&options).await,
        Command::StandIn(options) => standin::run(options).await,
        Command::Check(options) => operators::check(&options),
        Command::Explain(options) => explain::run(&options),
        command => operators::run(&arguments.server, &arguments.token, command).await,
    }
}
