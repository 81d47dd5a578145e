//! `milletpath serve`.

use std::path::Path;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

pub fn serve(charter: Option<&Path>) -> ExitCode {
    let Some(path) = charter else {
        eprintln!("name a charter with --charter FILE");
        return ExitCode::from(2);
    };
    let house = match crate::read(path) {
        Ok(house) => house,
        Err(code) => return code,
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("the runtime can't start: {e}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(tokio::task::LocalSet::new().run_until(run(house)))
}

async fn run(house: milletpath_charter::House) -> ExitCode {
    let listener = match TcpListener::bind(house.listen).await {
        Ok(listener) => listener,
        Err(e) => {
            eprintln!("{} can't be listened on: {e}; change listen in the charter", house.listen);
            return ExitCode::FAILURE;
        }
    };
    if let Ok(address) = listener.local_addr() {
        tracing::info!(%address, "listening");
        // For whoever started it with port 0.
        println!("listening on http://{address}");
    }
    let tally = milletpath_gateway::serve(house, listener, stop()).await;
    tracing::info!(?tally, "stopped");
    ExitCode::SUCCESS
}

/// SIGTERM, or Ctrl-C on a terminal.
async fn stop() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        tracing::error!("signals can't be heard; end the process outright");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
