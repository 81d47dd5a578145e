//! The program under test, and files for it.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Names another build of the program, as to take fixtures from an earlier release.
const PROGRAM_VARIABLE: &str = "MILLETPATH_PROGRAM";

/// The program's file: the one that cargo has built beside this test, unless `MILLETPATH_PROGRAM` names another.
pub fn program_path() -> PathBuf {
    std::env::var_os(PROGRAM_VARIABLE).map_or_else(|| profile_folder().join("milletpath"), PathBuf::from)
}

/// The program, as a command without arguments.
pub fn program() -> Command {
    Command::new(program_path())
}

/// A file of the repository, by its path from the root.
pub fn repository_file(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

/// A path that no other test uses, for a file or folder that does not exist yet.
pub fn scratch_path(prefix: &str, suffix: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    scratch_folder().join(format!("{prefix}-{}-{count}{suffix}", std::process::id()))
}

/// Where tests write files: `tmp` in cargo's target folder.
fn scratch_folder() -> PathBuf {
    let folder = profile_folder().join("../tmp");
    std::fs::create_dir_all(&folder).expect("a folder for the tests' files");
    folder.canonicalize().expect("a folder that exists")
}

/// The folder of the build, as `target/debug`: this test's executable is in `deps` below it.
fn profile_folder() -> PathBuf {
    let test = std::env::current_exe().expect("the path of this test");
    let folder = test.ancestors().nth(2).expect("a test is in target/PROFILE/deps");
    folder.to_owned()
}
