//! The file operations that durable state needs, and atomic file replacement built on these operations alone.

use nix::errno::Errno;
use std::io::{self, Write};
use thiserror::Error;

/// A folder of durable files. File names are relative to the folder and have no path separators. All errors are those of
/// the operating system.
pub trait Folder {
    /// A file of this folder, open for appending.
    type File: FolderFile;

    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file; fails if the name exists.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, replacing any file that has the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Lists the names of all files.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Makes the directory entries durable: which names exist, and which file each refers to.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is only appended to.
pub trait FolderFile: Write {
    /// Makes all written bytes durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// Whether an operation may succeed when it is retried: the disk is full or has an I/O error, or the system is short of a
/// resource.
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
    /// The new file could not be written; the old file is unchanged.
    #[error("the new file can't be written: {0}")]
    NotReplaced(#[source] io::Error),
    /// The rename or the sync of the folder failed: after a crash, the name may refer to either the old or the new file.
    #[error("the new file can't replace the old one: {0}")]
    MayBeReplaced(#[source] io::Error),
}

impl ReplaceError {
    /// The underlying error of the operating system.
    #[must_use]
    pub fn io(&self) -> &io::Error {
        match self {
            Self::NotReplaced(e) | Self::MayBeReplaced(e) => e,
        }
    }
}

/// Atomically replaces a file, and returns the new file, open for appending. A crash at any time leaves either the old or
/// the new file; a crash after this function has succeeded leaves the new one. The new file is written under
/// `temporary_name` and renamed once it is complete and durable.
///
/// # Errors
///
/// A [`ReplaceError`], which tells whether the old file is certainly unchanged.
pub fn replace_file<F: Folder>(
    folder: &F,
    name: &str,
    temporary_name: &str,
    bytes: &[u8],
) -> Result<F::File, ReplaceError> {
    let file = write_new_file(folder, temporary_name, bytes).map_err(|e| {
        // An incomplete file would occupy space that the next attempt needs.
        let _ = folder.remove(temporary_name);
        ReplaceError::NotReplaced(e)
    })?;
    folder.rename(temporary_name, name).and_then(|()| folder.sync()).map_err(ReplaceError::MayBeReplaced)?;
    Ok(file)
}

fn write_new_file<F: Folder>(folder: &F, name: &str, bytes: &[u8]) -> io::Result<F::File> {
    // Removes a temporary file that a crash or a failed attempt left behind, which must not be appended to.
    match folder.remove(name) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let mut file = folder.create(name)?;
    file.write_all(bytes)?;
    file.sync()?;
    Ok(file)
}
