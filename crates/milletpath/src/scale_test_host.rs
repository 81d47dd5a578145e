//! `milletpath scale-test-host`: a process that runs hollow gateways. A scale test starts it, and sends it commands
//! over standard input.

use crate::async_runtime;
use crate::exit_status::ExitStatus;
use milletpath_process_environment::signals::{SIGINT, SignalReceiver};
use milletpath_scale_test::host;
use std::{io, thread};

/// Runs the host until its standard input ends.
pub fn run() -> ExitStatus {
    if let Err(error) = ignore_interrupts() {
        tracing::warn!(%error, "SIGINT can't be ignored: Ctrl-C will end this host before its scale test");
    }
    match host::run(io::stdin().lock()) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            tracing::error!(%error, "this host can't go on");
            ExitStatus::Failure
        }
    }
}

/// Ignores SIGINT. Ctrl-C sends it to all processes of a terminal, and the scale test stops this host by closing its
/// standard input.
fn ignore_interrupts() -> io::Result<()> {
    thread::Builder::new().name("signals".into()).spawn(|| {
        async_runtime::block_on(async {
            let _interrupts = SignalReceiver::new(SIGINT);
            std::future::pending::<()>().await;
        })
    })?;
    Ok(())
}
