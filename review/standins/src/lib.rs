//! Stand-ins of the platform for the cases of the review: workers, discovery, clients and the router's process.
//! They follow the protocol page and use the standard library alone. All addresses are loopback addresses.

pub mod children;
pub mod client;
pub mod discovery;
pub mod frames;
pub mod http;
pub mod record;
pub mod router;
pub mod settings;
pub mod worker;

use std::path::Path;
use std::process::ExitCode;

/// Whether the disruption of the case takes place (`TROUBLE` is not `0`).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Seconds since the Unix epoch.
pub fn unix_time() -> f64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64())
}

/// Runs a case with the folder of the first argument and a temporary folder, which is removed afterwards. The exit code
/// is 2 if the case could not run.
pub fn run_case(play: impl FnOnce(&Path, &Path) -> std::io::Result<ExitCode>) -> ExitCode {
    let Some(folder) = std::env::args().nth(1) else { return ExitCode::from(2) };
    let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    children::end_all_after(std::time::Duration::from_secs(110), scratch.clone());
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(Path::new(&folder), &scratch)));
    let _ = std::fs::remove_dir_all(&scratch);
    match played {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}
