//! `milletpath scale`: hollow gateways beside real ones, at full size; and the processes that it starts for
//! them.

use milletpath_process_environment::signals::{SIGINT, SIGTERM, SignalReceiver};
use milletpath_scale_test::run::{RunError, RunOptions};
use milletpath_scale_test::{host, plan, run};
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

pub fn scale(file: &Path, seed: Option<u64>, gateways: Option<u32>, json: bool) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{}: can't be read: {e}; name a plan", file.display());
            return ExitCode::from(2);
        }
    };
    let mut plan = match plan::read(&text, gateways.map(|g| g as usize)) {
        Ok(plan) => plan,
        Err(mistakes) => {
            mistakes.iter().for_each(|mistake| eprintln!("{}:{mistake}", file.display()));
            return ExitCode::from(2);
        }
    };
    plan.seed = seed.unwrap_or(plan.seed);
    let stop = Arc::new(AtomicBool::new(false));
    let program = hear(stop.clone()).and_then(|()| std::env::current_exe());
    let report = program
        .map_err(RunError::from)
        .and_then(|program| run::run(&plan, RunOptions { plan_text: &text, program, stop }));
    match report {
        Ok(report) => {
            print!("{report}");
            if json {
                println!("{}", report.json());
            }
            if report.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("{}: can't be played: {e}", file.display());
            ExitCode::FAILURE
        }
    }
}

/// From when this returns Ctrl-C and SIGTERM end the run, and with it all that it started.
fn hear(stop: Arc<AtomicBool>) -> io::Result<()> {
    let (ready, hears) = std::sync::mpsc::channel();
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        crate::local(async move {
            let both = SignalReceiver::new(SIGINT).and_then(|int| Ok((int, SignalReceiver::new(SIGTERM)?)));
            let (mut int, mut term) = match both {
                Ok(both) => both,
                Err(e) => {
                    let _ = ready.send(Err(e));
                    return ExitCode::FAILURE;
                }
            };
            let _ = ready.send(Ok(()));
            tokio::select! {
                () = int.next() => {}
                () = term.next() => {}
            }
            stop.store(true, Ordering::Release);
            // A second one changes nothing: what was started is being ended.
            std::future::pending().await
        });
    })?;
    hears.recv().map_err(io::Error::other)?
}

/// `milletpath scale-host`, which a run starts for itself.
pub fn host() -> ExitCode {
    // Ctrl-C reaches all processes of a terminal: the run hears it, and ends this one by ending its input.
    let deaf = std::thread::Builder::new().name("signals".into()).spawn(|| {
        crate::local(async {
            let _kept = SignalReceiver::new(SIGINT);
            std::future::pending().await
        })
    });
    if let Err(e) = deaf {
        tracing::warn!("Ctrl-C ends this host by itself: {e}");
    }
    match host::run(std::io::stdin().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("this host can't go on: {e}");
            ExitCode::FAILURE
        }
    }
}
