//! Reloads the platform's bootstrap file on SIGHUP.

use milletpath_platform_protocol::bootstrap::{self, ReloadedBootstrap};
use milletpath_protocol::InputError;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Maximum number of attempts to read the file, which may be partially replaced, and descriptors or disk access may
/// be unavailable for a while. The router is expected to know the list of a new discovery address 4 s after the
/// signal.
const MAX_ATTEMPTS: u32 = 60;
/// Pause between the attempts of the first third, for a file that is being replaced.
const INITIAL_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the pause, which is doubled for the remaining attempts.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Why the file could not be reloaded.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error("can't be read: {0}")]
    Read(#[from] io::Error),
    #[error("is invalid: {0}")]
    Invalid(#[from] InputError),
}

/// Reads the file again and passes on its discovery address; a file that is invalid has no effect at all.
/// `initial_text` is the file's content at startup: other changes to it are logged and ignored.
pub(super) async fn reload_bootstrap(
    file: PathBuf,
    initial_text: Rc<[u8]>,
    discovery_address: watch::Sender<SocketAddr>,
) {
    let mut pause = INITIAL_PAUSE;
    for attempt in 0..MAX_ATTEMPTS {
        match reload(&file, &initial_text) {
            Ok(reload) => return apply(reload, &discovery_address),
            Err(error) => tracing::warn!(
                file = %file.display(),
                %error,
                "could not reload the platform's file; the settings stay as they were"
            ),
        }
        tokio::time::sleep(pause).await;
        if attempt >= MAX_ATTEMPTS / 3 {
            pause = (2 * pause).min(MAX_PAUSE);
        }
    }
}

fn reload(file: &Path, initial_text: &[u8]) -> Result<ReloadedBootstrap, ReloadError> {
    Ok(bootstrap::reload(&std::fs::read(file)?, initial_text)?)
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
    // If the address is unchanged, the current stream is kept.
    discovery_address.send_if_modified(|current| std::mem::replace(current, discovery) != discovery);
}
