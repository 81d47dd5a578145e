//! The program from which a run starts its processes, and the folder of its configuration files, keys, state files and
//! logs.

use std::fs::File;
use std::io;
use std::path::PathBuf;

/// The program and the folder of a run.
#[derive(Clone, Debug)]
pub struct RunFiles {
    /// The program from which gateways, hosts and control machines are started.
    pub program: PathBuf,
    /// Folder of the run's files, not shared with other runs.
    pub folder: PathBuf,
}

impl RunFiles {
    /// Creates a folder for the run of this process.
    ///
    /// # Errors
    ///
    /// The folder can't be created.
    pub fn create(program: PathBuf) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("milletpath-scale-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { program, folder })
    }

    /// Configuration file of a real gateway.
    pub fn gateway_config(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("gateway-{gateway}.hcl"))
    }

    /// Configuration file of a control machine.
    pub fn control_config(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("control-{machine}.hcl"))
    }

    /// Creates the log file of a host.
    ///
    /// # Errors
    ///
    /// The file can't be created.
    pub fn create_host_log(&self, host: usize) -> io::Result<File> {
        File::create(self.folder.join(format!("host-{host}.log")))
    }

    /// Opens the log file of a control machine for appending, so that restarts keep earlier output.
    ///
    /// # Errors
    ///
    /// The file can't be opened.
    pub fn open_control_log(&self, machine: usize) -> io::Result<File> {
        let path = self.folder.join(format!("control-{machine}.told"));
        File::options().create(true).append(true).open(path)
    }

    /// Removes the folder. Files that can't be removed are left behind.
    pub fn remove(&self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
