//! Reports that operators read page by page.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// Reports that are kept until all their pages were asked for. With more readers at a time some get pages of different
/// moments.
const MAX_STATUS_REPORTS: usize = 8;

/// A report that an operator reads page by page.
#[derive(Clone, Debug)]
pub(super) struct StatusReport {
    pub requester: SocketAddr,
    pub query_id: u64,
    pub json: Vec<u8>,
}

/// The latest reports, newest first.
#[derive(Clone, Debug, Default)]
pub(super) struct StatusReports {
    reports: VecDeque<StatusReport>,
}

impl StatusReports {
    pub fn find(&self, requester: SocketAddr, query_id: u64) -> Option<&[u8]> {
        let report = self.reports.iter().find(|r| (r.requester, r.query_id) == (requester, query_id))?;
        Some(&report.json)
    }

    pub fn add(&mut self, report: StatusReport) {
        self.reports.truncate(MAX_STATUS_REPORTS - 1);
        self.reports.push_front(report);
    }
}
