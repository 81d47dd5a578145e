//! [`Folder`] on the file system.

use crate::folder::{Folder, FolderFile};
use signal_hook::consts::SIGXFSZ;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// A folder of the file system.
#[derive(Clone, Debug)]
pub struct DiskFolder {
    path: PathBuf,
}

impl DiskFolder {
    /// The folder at this path, which must exist.
    #[must_use]
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// Splits the path of a file into its folder and its name; `None` if the path has no file name or one that is not UTF-8.
    #[must_use]
    pub fn of_file(file: &Path) -> Option<(Self, String)> {
        let name = file.file_name()?.to_str()?.to_owned();
        let parent = file.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        Some((Self::new(parent), name))
    }
}

impl Folder for DiskFolder {
    type File = File;

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).create_new(true).open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.path)?;
        Ok(entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok()).collect())
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl FolderFile for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Makes a write beyond the file size limit (`RLIMIT_FSIZE`) fail with `EFBIG` instead of killing the process by `SIGXFSZ`.
///
/// # Errors
///
/// If the signal handler cannot be installed.
pub fn survive_file_size_limit() -> io::Result<()> {
    signal_hook::flag::register(SIGXFSZ, Arc::new(AtomicBool::new(false))).map(drop)
}
