//! Access to the committed runs, and temporary folders with copies of them that a test may modify.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use milletpath_capacity_model::assumptions::Assumptions;
use milletpath_capacity_model::page::ASSUMPTIONS_FILE;
use milletpath_capacity_model::run::{self, Run};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

pub fn docs_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// The committed assumptions and runs.
pub fn committed_inputs() -> (Assumptions, BTreeMap<String, Run>) {
    let folder = docs_folder().join("capacity");
    (Assumptions::read(&folder.join(ASSUMPTIONS_FILE)).unwrap(), run::read_all(&folder).unwrap())
}

/// A temporary folder with copies of the committed assumptions and runs, but not of the scale tests.
pub struct RunFolder(pub PathBuf);

impl RunFolder {
    pub fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("milletpath-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        for file in std::fs::read_dir(docs_folder().join("capacity")).unwrap() {
            let path = file.unwrap().path();
            let name = path.file_name().unwrap();
            if !name.to_string_lossy().starts_with("scale-") {
                std::fs::copy(&path, folder.join(name)).unwrap();
            }
        }
        Self(folder)
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
