//! `milletpath serve`.

use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

pub fn serve(charter: Option<&Path>) -> ExitCode {
    let house = match charter.map(crate::read).transpose() {
        Ok(house) => house,
        Err(code) => return code,
    };
    crate::local(async move {
        match house {
            Some(house) => run(house, false).await,
            None => match crate::workers::inside().await {
                Ok(house) => run(house, true).await,
                Err(code) => code,
            },
        }
    })
}

async fn run(house: milletpath_charter::House, inside: bool) -> ExitCode {
    let mut bound = milletpath_gateway::listen(house.listen);
    if bound.is_err() && inside {
        // The built-in charter's port is taken: any other will do.
        bound = milletpath_gateway::listen((std::net::Ipv4Addr::LOCALHOST, 0).into());
    }
    let listener = match bound {
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
        if inside {
            println!("try: curl -d hello http://{address}/v1/functions/greet/activations");
        }
    }
    let tally = milletpath_gateway::serve(house, listener, stop()).await;
    tracing::info!(?tally, "stopped");
    ExitCode::SUCCESS
}

/// SIGTERM, or Ctrl-C on a terminal.
pub async fn stop() {
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
