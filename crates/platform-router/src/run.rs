//! Starts the router and runs it until its graceful shutdown after SIGTERM has completed.

mod list_state;
mod reload;
mod timer;

use crate::client_connections::Acceptor;
use crate::discovery_watch::watch_discovery;
use crate::event_loop_watch;
use crate::platform_router::{PlatformRouter, SharedRouter};
use crate::shutdown::STEP_SECONDS;
use milletpath_platform_protocol::bootstrap::{self, Bootstrap};
use milletpath_process_environment::signals::{SIGHUP, SIGTERM, SignalReceiver};
use milletpath_protocol::InputError;
use nix::sys::resource::{Resource, getrlimit};
use reload::reload_bootstrap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

#[cfg(test)]
pub(crate) use timer::run_timer;

/// Why the router could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A handler for SIGHUP or SIGTERM could not be installed.
    #[error("can't install the handlers of SIGHUP and SIGTERM: {0}")]
    Signals(#[source] io::Error),
    /// The bootstrap file could not be read.
    #[error("can't read {}: {source}; LB_CONFIG must name the platform's file", path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The content of the file is not a valid bootstrap configuration.
    #[error("{} is invalid: {source}; LB_CONFIG must name the platform's file", path.display())]
    InvalidFile {
        /// Path of the file.
        path: PathBuf,
        /// The invalid field and the reason.
        source: InputError,
    },
    /// The listen address is in use or does not belong to this host.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
}

impl StartError {
    /// Whether the file is at fault, so that another start with the same file would fail too.
    #[must_use]
    pub fn is_configuration(&self) -> bool {
        matches!(self, Self::ReadFile { .. } | Self::InvalidFile { .. })
    }
}

/// The signals that the router handles.
struct Signals {
    hangup: SignalReceiver,
    terminate: SignalReceiver,
}

impl Signals {
    fn install() -> Result<Self, StartError> {
        let install = |signal| SignalReceiver::new(signal).map_err(StartError::Signals);
        Ok(Self { hangup: install(SIGHUP)?, terminate: install(SIGTERM)? })
    }
}

/// Runs the router until its graceful shutdown after SIGTERM has completed. SIGHUP reloads the file. `file` is the
/// platform's bootstrap file; `address` overrides its listen address. Must run on a
/// [`LocalSet`](tokio::task::LocalSet).
///
/// # Errors
///
/// Returns an error if the router could not start. After the start it only returns on shutdown.
pub async fn run(file: &Path, address: Option<SocketAddr>) -> Result<(), StartError> {
    // Installed first, so that no later signal terminates the process by its default action.
    let signals = Signals::install()?;
    let (mut bootstrap, text) = read_bootstrap(file)?;
    limit_descriptors(&mut bootstrap);
    let address = address.unwrap_or(bootstrap.config.listen);
    let listener = milletpath_process_environment::listener::listen(address)
        .map_err(|source| StartError::Listen { address, source })?;
    tracing::debug!(
        policy = ?bootstrap.config.policy,
        limits = ?bootstrap.config.limits,
        "read the platform's settings"
    );
    let address = listener.local_addr().unwrap_or(address);
    let router = PlatformRouter::new(&bootstrap);
    router.borrow_mut().run_actions();
    tracing::info!(
        %address,
        descriptors = bootstrap.descriptors,
        last_event = bootstrap.last_event,
        "listening for clients"
    );
    event_loop_watch::start(router.borrow().heartbeat.clone());
    let (discovery_address, followed_address) = watch::channel(bootstrap.discovery);
    spawn_local(watch_discovery(router.clone(), followed_address));
    spawn_local(timer::run_timer(router.clone()));
    spawn_local(timer::run_cleanup(router.clone()));
    let reload_context = ReloadContext { file: file.to_owned(), text, discovery_address };
    serve(router, listener, signals, &reload_context).await;
    Ok(())
}

/// Arguments for reloading the file.
struct ReloadContext {
    file: PathBuf,
    /// The content of the file at startup.
    text: Rc<[u8]>,
    /// Passes a new discovery address to the discovery watch.
    discovery_address: watch::Sender<SocketAddr>,
}

/// Accepts clients and handles signals until the shutdown has completed.
async fn serve(
    router: SharedRouter,
    listener: TcpListener,
    mut signals: Signals,
    reload_context: &ReloadContext,
) {
    let mut acceptor = Some(Acceptor::open(router.clone(), listener));
    let mut reload: Option<JoinHandle<()>> = None;
    // Signals that arrive in between do not put it off.
    let mut next_step = Instant::now();
    loop {
        let shutting_down = router.borrow().shutdown.begun();
        tokio::select! {
            () = signals.hangup.next() => {
                let ReloadContext { file, text, discovery_address } = reload_context;
                let next = spawn_local(reload_bootstrap(file.clone(), text.clone(), discovery_address.clone()));
                // The next reload reads the file that a previous one may still wait for.
                if let Some(previous) = reload.replace(next) {
                    previous.abort();
                }
            }
            () = signals.terminate.next() => begin_shutdown(&router),
            () = tokio::time::sleep_until(next_step), if shutting_down => {
                next_step = Instant::now() + Duration::from_secs_f64(STEP_SECONDS);
                if router.borrow_mut().step_shutdown(&mut acceptor) {
                    tracing::info!("shutdown complete");
                    return;
                }
            }
        }
    }
}

fn begin_shutdown(router: &SharedRouter) {
    tracing::info!("received SIGTERM: admitting calls already sent, then answering open calls");
    let mut router = router.borrow_mut();
    let now = router.now();
    let earliest_signal = router.liveness.earliest_signal(now).min(router.turn.earliest_signal(now));
    router.shutdown.begin(now, earliest_signal);
}

/// Reads and parses the bootstrap file. Also returns its content, with which later reloads are compared.
fn read_bootstrap(file: &Path) -> Result<(Bootstrap, Rc<[u8]>), StartError> {
    let text =
        std::fs::read(file).map_err(|source| StartError::ReadFile { path: file.to_owned(), source })?;
    let bootstrap =
        bootstrap::read(&text).map_err(|source| StartError::InvalidFile { path: file.to_owned(), source })?;
    Ok((bootstrap, text.into()))
}

/// Lowers the descriptor limit to the one granted by the system if the file states more.
fn limit_descriptors(bootstrap: &mut Bootstrap) {
    if let Ok((granted, _)) = getrlimit(Resource::RLIMIT_NOFILE)
        && granted < bootstrap.descriptors as u64
    {
        tracing::warn!(
            granted,
            stated = bootstrap.descriptors,
            "the system grants fewer descriptors than the platform's file states"
        );
        bootstrap.descriptors = granted as usize;
    }
}
