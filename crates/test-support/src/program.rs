//! The program under test, and the paths of files that tests use.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Environment variable that selects another build of the program, for example to record fixtures with an earlier
/// release.
const PROGRAM_VARIABLE: &str = "MILLETPATH_PROGRAM";

/// Returns the path of the executable: the one that cargo built with this test, unless `MILLETPATH_PROGRAM` names
/// another.
pub fn program_path() -> PathBuf {
    std::env::var_os(PROGRAM_VARIABLE).map_or_else(|| profile_folder().join("milletpath"), PathBuf::from)
}

/// Returns a command that runs the program, without arguments.
pub fn program() -> Command {
    Command::new(program_path())
}

/// Returns the path of a file in the repository. `path` is relative to the repository's root.
pub fn repository_file(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

/// Returns a path for a new file or folder, unique among all tests.
pub fn scratch_path(prefix: &str, suffix: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    scratch_folder().join(format!("{prefix}-{}-{count}{suffix}", std::process::id()))
}

/// Returns the folder for files that tests write, `tmp` in cargo's target folder, and creates it if necessary.
fn scratch_folder() -> PathBuf {
    let folder = profile_folder().join("../tmp");
    std::fs::create_dir_all(&folder).expect("the target folder is writable");
    folder.canonicalize().expect("the folder exists")
}

/// Returns the output folder of the build, for example `target/debug`. Test executables are in its subfolder `deps`.
fn profile_folder() -> PathBuf {
    let executable = std::env::current_exe().expect("the path of the test executable is known");
    let folder = executable.ancestors().nth(2).expect("test executables are in target/PROFILE/deps");
    folder.to_owned()
}
