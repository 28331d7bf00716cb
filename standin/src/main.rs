//! The program `rosebend-standin`: one stand-in for the platform's store, an
//! engine, a plain service or an endpoint of the platform, until SIGTERM or SIGINT.

use std::{io, net::TcpListener, process::ExitCode};

use rosebend_standin::{
    backend::Backend,
    engine::Engine,
    options::{Command, StandIn, parse},
    server::RunningServer,
    service::Service,
    store::Store,
};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a command line that cannot be read.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command = match parse(&arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("rosebend-standin: {error}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match command {
        Command::Help(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Command::Run(address, stand_in) => {
            let outcome = TcpListener::bind(address)
                .and_then(|listener| actix_rt::System::new().block_on(run(listener, stand_in)));
            exit_code(outcome)
        }
    }
}

fn exit_code(outcome: io::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rosebend-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(listener: TcpListener, stand_in: StandIn) -> io::Result<()> {
    // Before the line that tells others they may send signals.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let server = start(listener, stand_in)?;
    println!("listening on {}", server.address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    server.stop().await
}

fn start(listener: TcpListener, stand_in: StandIn) -> io::Result<RunningServer> {
    match stand_in {
        StandIn::Engine(config) => Engine::start(listener, config),
        StandIn::Service(config) => Service::start(listener, config),
        StandIn::Store(config) => Store::new(config).open_door(listener),
        StandIn::Backend(config) => Backend::start_with(listener, config),
    }
}
