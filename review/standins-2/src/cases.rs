//! The cases.

mod blank_lines;
mod figures;
mod give_up;
mod live_sizes;
mod tenant;

use crate::bulletin::Bulletin;
use crate::record::Record;
use crate::worker::{self, Runs};
use crate::{CaseError, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

/// Runs a case.
pub fn run(case: &str, with_trouble: bool, record: &Record) -> Result<Verdict, CaseError> {
    match case {
        "blank-lines" => blank_lines::run(with_trouble, record),
        "give-up" => give_up::run(with_trouble, record),
        "live-sizes" => live_sizes::run(with_trouble, record),
        "tenant" => tenant::run(with_trouble, record),
        "figures" => figures::run(with_trouble, record),
        _ => Err(format!("there is no case {case}").into()),
    }
}

/// The stand-ins around a router.
struct Platform {
    runs: Runs,
    bulletin: Bulletin,
    workers: Vec<SocketAddr>,
}

impl Platform {
    /// Starts a bulletin and four workers that take `work` for each request.
    fn start(work: Duration, record: &Record) -> Result<Self, CaseError> {
        let runs = Runs::default();
        let workers: Result<Vec<_>, _> =
            (0..4).map(|n| worker::start(&format!("worker {n}"), work, &runs, record)).collect();
        Ok(Self { runs, bulletin: Bulletin::start()?, workers: workers? })
    }
}
