//! Reads the platform's file again, upon SIGHUP.

use milletpath_platform_protocol::bootstrap::{self, ReloadedBootstrap};
use milletpath_protocol::InputError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Attempts to read the file: it may be caught half-replaced, or descriptors or a disk may be wanting for a while. What
/// the new discovery address says counts as known 4 s after the signal.
const MAX_ATTEMPTS: u32 = 60;
/// Pause between the first attempts: a third of them, for a file that is being replaced.
const SHORTEST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after that, to which it is doubled.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Why the file was not read.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("can't be read: {0}")]
    Read(#[from] io::Error),
    #[error("is invalid: {0}")]
    Invalid(#[from] InputError),
}

/// Reads the file again, whole or not at all, and passes its discovery address on. `first` is the file's text at the
/// start: other changes to it are logged and ignored.
pub(super) async fn reload_bootstrap(
    file: PathBuf,
    first: Rc<[u8]>,
    discovery_address: watch::Sender<SocketAddr>,
) {
    let mut pause = SHORTEST_PAUSE;
    for attempt in 0..MAX_ATTEMPTS {
        match reload(&file, &first) {
            Ok(reload) => return apply(reload, &discovery_address),
            Err(error) => tracing::warn!(
                file = %file.display(),
                %error,
                "could not reload the platform's file; the settings stay as they were"
            ),
        }
        tokio::time::sleep(pause).await;
        if attempt >= MAX_ATTEMPTS / 3 {
            pause = (2 * pause).min(LONGEST_PAUSE);
        }
    }
}

fn reload(file: &Path, first: &[u8]) -> Result<ReloadedBootstrap, ReloadError> {
    Ok(bootstrap::reload(&std::fs::read(file)?, first)?)
}

fn apply(reload: ReloadedBootstrap, discovery_address: &watch::Sender<SocketAddr>) {
    let ReloadedBootstrap { discovery, ignored_changes } = reload;
    tracing::info!(%discovery, "reloaded the platform's file");
    if !ignored_changes.is_empty() {
        tracing::warn!(
            changes = ignored_changes.join(", "),
            "ignored other changes to the platform's file; restart the router to apply them"
        );
    }
    // A stream from the same address goes on.
    discovery_address.send_if_modified(|current| std::mem::replace(current, discovery) != discovery);
}
