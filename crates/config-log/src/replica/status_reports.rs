//! Status reports that operators read page by page.

use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of reports kept for further page requests. With more concurrent requesters, some get pages of different
/// reports.
const MAX_STATUS_REPORTS: usize = 8;

/// A status report, identified by its requester and query id.
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
    /// The JSON of the report for that requester and query, if it is still kept.
    pub fn find(&self, requester: SocketAddr, query_id: u64) -> Option<&[u8]> {
        let report = self.reports.iter().find(|r| (r.requester, r.query_id) == (requester, query_id))?;
        Some(&report.json)
    }

    /// Adds a report; drops the oldest one beyond [`MAX_STATUS_REPORTS`].
    pub fn add(&mut self, report: StatusReport) {
        self.reports.truncate(MAX_STATUS_REPORTS - 1);
        self.reports.push_front(report);
    }
}
