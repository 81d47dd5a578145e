//! What a run needs of the system: a folder for its files, and open files enough.

use std::io;
use std::path::{Path, PathBuf};

/// A folder for the files of a run.
pub fn folder() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("milletpath-scale-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Raises the descriptors that this process may have as far as the system allows, and tells whether these
/// suffice.
pub fn descriptors(wanted: u64) -> io::Result<()> {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    if soft < wanted && soft < hard {
        setrlimit(Resource::RLIMIT_NOFILE, wanted.min(hard), hard)?;
    }
    if hard < wanted {
        let wrong =
            format!("{wanted} open files are wanted and the system allows {hard}: have fewer gateways");
        return Err(io::Error::other(wrong));
    }
    Ok(())
}

/// Removes the folder of a run that went well.
pub fn tidy(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}
