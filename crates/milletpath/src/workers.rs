//! Stand-in workers: alone by a charter's list, or inside a gateway that was given no charter.

use milletpath_config::{GatewayConfig, WorkerSource};
use milletpath_emulator::small_fleet::{context, worker_options};
use milletpath_emulator::worker::Worker;
use std::path::Path;
use std::process::ExitCode;
use tokio::net::TcpListener;

/// `milletpath workers`.
pub fn workers(charter: &Path) -> ExitCode {
    let house = match crate::read(charter) {
        Ok(house) => house,
        Err(code) => return code,
    };
    let WorkerSource::List(list) = house.source else {
        eprintln!("{}: names a registry; stand-in workers need a list of workers", charter.display());
        return ExitCode::from(2);
    };
    crate::local(async move {
        let context = context(1);
        for (number, entry) in list.iter().enumerate() {
            let started = TcpListener::bind(entry.address)
                .await
                .and_then(|l| Worker::serve(context.clone(), worker_options(number), vec![l]));
            if let Err(e) = started {
                eprintln!("worker {} can't listen on {}: {e}", entry.name, entry.address);
                return ExitCode::FAILURE;
            }
            println!("worker {} on {}", entry.name, entry.address);
        }
        crate::serve::stop().await;
        ExitCode::SUCCESS
    })
}

/// The built-in charter, with stand-in workers that run in this process.
pub async fn inside() -> Result<GatewayConfig, ExitCode> {
    const WORKERS: usize = 3;
    let context = context(1);
    let mut text = include_str!("inside.hcl").to_owned();
    text.push_str("workers {\n");
    for number in 0..WORKERS {
        let worker = Worker::start(context.clone(), worker_options(number), 1).await.map_err(|e| {
            eprintln!("a stand-in worker can't start: {e}");
            ExitCode::FAILURE
        })?;
        text.push_str(&format!("  worker \"inside-{number}\" {{ address = \"{}\" }}\n", worker.addresses[0]));
    }
    text.push_str("}\n");
    milletpath_config::read(&text).map_err(|mistakes| {
        mistakes.iter().for_each(|mistake| eprintln!("the built-in charter:{mistake}"));
        ExitCode::FAILURE
    })
}
