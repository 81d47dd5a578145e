//! The file operations that durable state needs, and the atomic replacement of a file, built on them alone.

use nix::errno::Errno;
use std::io::{self, Write};
use thiserror::Error;

/// A folder whose files outlive the process. File names are names within it, without separators. All errors are those of
/// the operating system.
pub trait Folder {
    /// A file of this folder that is being written.
    type File: FolderFile;

    /// Reads a file to its end.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file; fails if the name is taken.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, and replaces the file that had the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// The names of all files.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Makes the names durable: which there are, and which file each refers to.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is only appended to.
pub trait FolderFile: Write {
    /// Makes all written bytes durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// Whether an error may go away by itself: the disk is full or fails, or the system is short of a resource.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    let transient = [
        Errno::EIO,
        Errno::ENOSPC,
        Errno::EDQUOT,
        Errno::EFBIG,
        Errno::EINTR,
        Errno::EAGAIN,
        Errno::ENOMEM,
        Errno::EMFILE,
        Errno::ENFILE,
    ];
    error.raw_os_error().is_some_and(|code| transient.contains(&Errno::from_raw(code)))
        || error.kind() == io::ErrorKind::WriteZero
}

/// Why a file could not be replaced.
#[derive(Debug, Error)]
pub enum ReplaceError {
    /// The old file is unchanged.
    #[error("a fresh file can't be written: {0}")]
    Before(#[source] io::Error),
    /// After a crash either the old or the new file may be there.
    #[error("a fresh file can't be put in the place of the old: {0}")]
    Uncertain(#[source] io::Error),
}

impl ReplaceError {
    /// The error of the operating system.
    #[must_use]
    pub fn io(&self) -> &io::Error {
        match self {
            Self::Before(e) | Self::Uncertain(e) => e,
        }
    }
}

/// Replaces a file atomically. After a crash at any time either the old or the new file is there, and the new one once this
/// function has returned it. The new file has `temporary_name` until it is complete, and can be appended to.
///
/// # Errors
///
/// A [`ReplaceError`], by which the caller knows whether the old file is certainly still there.
pub fn replace_file<F: Folder>(
    folder: &F,
    name: &str,
    temporary_name: &str,
    bytes: &[u8],
) -> Result<F::File, ReplaceError> {
    let file = write_new_file(folder, temporary_name, bytes).map_err(|e| {
        // An incomplete file takes space that the next attempt needs.
        let _ = folder.remove(temporary_name);
        ReplaceError::Before(e)
    })?;
    folder.rename(temporary_name, name).and_then(|()| folder.sync()).map_err(ReplaceError::Uncertain)?;
    Ok(file)
}

fn write_new_file<F: Folder>(folder: &F, name: &str, bytes: &[u8]) -> io::Result<F::File> {
    // A file that a crash or a failed attempt left behind must not be appended to.
    match folder.remove(name) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let mut file = folder.create(name)?;
    file.write_all(bytes)?;
    file.sync()?;
    Ok(file)
}
