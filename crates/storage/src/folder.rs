//! The operations on files that durable state needs, and what is built on them alone.

use nix::errno::Errno;
use std::io::{self, Write};
use thiserror::Error;

/// A folder whose files outlive the process. File names are plain names within it.
pub trait Folder {
    type File: FolderFile;

    /// All bytes of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// A new, empty file; an error where the name is taken.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Gives a file another name, in place of the file that had it.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    fn remove(&self, name: &str) -> io::Result<()>;

    /// The names of the files in it.
    fn names(&self) -> io::Result<Vec<String>>;

    /// Makes durable which names there are, and which file each stands for.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is written from its first byte to its last.
pub trait FolderFile: Write {
    /// Makes durable what was written.
    fn sync(&mut self) -> io::Result<()>;
}

/// Whether an error may pass by itself: the disk is full or fails, or the system is short of something.
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
    /// The old file stands as it was.
    #[error("a fresh file can't be written: {0}")]
    Before(#[source] io::Error),
    /// After a crash it may be the old file or the new one.
    #[error("a fresh file can't be put in the place of the old: {0}")]
    Uncertain(#[source] io::Error),
}

impl ReplaceError {
    pub fn io(&self) -> &io::Error {
        match self {
            Self::Before(e) | Self::Uncertain(e) => e,
        }
    }
}

/// Replaces a file as a whole: at every moment of a crash it is the old or the new one, and the new one once this comes
/// back. `temporary_name` is the name that the new file has until it is complete. Gives the new file, to be appended to.
pub fn replace_file<F: Folder>(
    folder: &F,
    name: &str,
    temporary_name: &str,
    bytes: &[u8],
) -> Result<F::File, ReplaceError> {
    let file = write_new_file(folder, temporary_name, bytes).map_err(|e| {
        // What was written takes room that the next attempt needs.
        let _ = folder.remove(temporary_name);
        ReplaceError::Before(e)
    })?;
    folder.rename(temporary_name, name).and_then(|()| folder.sync()).map_err(ReplaceError::Uncertain)?;
    Ok(file)
}

fn write_new_file<F: Folder>(folder: &F, name: &str, bytes: &[u8]) -> io::Result<F::File> {
    // One that a crash or a failed attempt left behind is not written on.
    match folder.remove(name) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let mut file = folder.create(name)?;
    file.write_all(bytes)?;
    file.sync()?;
    Ok(file)
}
