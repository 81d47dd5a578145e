//! Stand-ins for the platform's clients, workers and bulletin, and the cases of the second independent review that use
//! them. Run from the repository's root as `review-standins-2 CASE FOLDER`; FOLDER gets `record.txt`.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the environment
//! a case leaves out its disruption.

mod bulletin;
mod cases;
mod client;
mod cores;
mod encoding;
mod record;
mod router;
mod worker;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case could not run.
pub type CaseError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record can be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, {} its disruption", if with_trouble { "with" } else { "without" }));
    match cases::run(&case, with_trouble, &record) {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
