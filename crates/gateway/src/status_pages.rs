//! Status reports for operators, split into pages of one datagram each. All pages of one request come from the same
//! report, which is kept until later requests displace it.

use milletpath_config_log::message::Message;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Number of bytes of text in a page, chosen to fit into one datagram.
pub const PAGE_BYTES: usize = 1100;

/// Number of reports kept for requests of further pages.
const MAX_REPORTS: usize = 4;

/// A report kept for requests of further pages.
struct Report {
    requested_by: SocketAddr,
    request_id: u64,
    text: Vec<u8>,
}

/// The most recent reports of a process, identified by operator address and request id.
#[derive(Default)]
pub struct StatusPages {
    reports: VecDeque<Report>,
}

impl StatusPages {
    /// Returns one page of the report for a request. The first call for a request creates the report with `text`.
    /// Returns `None` if `text` does, or if the report has no such page.
    pub fn page(
        &mut self,
        from: SocketAddr,
        request_id: u64,
        page: u32,
        text: impl FnOnce() -> Option<Vec<u8>>,
    ) -> Option<Message> {
        let index = self
            .reports
            .iter()
            .position(|report| (report.requested_by, report.request_id) == (from, request_id));
        let index = match index {
            Some(index) => index,
            None => {
                let text = text()?;
                self.reports.truncate(MAX_REPORTS - 1);
                self.reports.push_front(Report { requested_by: from, request_id, text });
                0
            }
        };
        let pages = self.reports[index].text.chunks(PAGE_BYTES);
        let total = pages.len() as u32;
        let bytes = { pages }.nth(page as usize)?.to_vec();
        Some(Message::StatusPage { query_id: request_id, page, page_count: total, bytes })
    }
}

/// Collects the pages of one report, which may arrive in any order and more than once.
#[derive(Clone)]
pub struct PageCollector {
    /// `None` for a missing page. Has a single element until the first page to arrive states the number of pages.
    pages: Vec<Option<Vec<u8>>>,
}

impl Default for PageCollector {
    fn default() -> Self {
        Self { pages: vec![None] }
    }
}

impl PageCollector {
    /// Adds page `index` of `total`. Returns whether there are more pages than was known before.
    pub fn insert(&mut self, index: usize, total: usize, bytes: Vec<u8>) -> bool {
        /// Maximum number of pages: far more than a control machine's status with all gateways of a fleet needs.
        const MAX_PAGES: usize = 10_000;
        let known = self.pages.len();
        self.pages.resize(total.clamp(1, MAX_PAGES), None);
        if let Some(page) = self.pages.get_mut(index) {
            *page = Some(bytes);
        }
        self.pages.len() > known
    }

    /// Whether no page is missing.
    pub fn is_complete(&self) -> bool {
        self.pages.iter().all(Option::is_some)
    }

    /// The indices of the missing pages, in ascending order.
    pub fn missing(&self) -> impl Iterator<Item = u32> {
        (0..).zip(&self.pages).filter(|(_, page)| page.is_none()).map(|(index, _)| index)
    }

    /// Returns the text of all pages, or `None` if one is missing.
    pub fn into_text(self) -> Option<Vec<u8>> {
        let pages: Option<Vec<_>> = self.pages.into_iter().collect();
        pages.map(|pages| pages.concat())
    }
}

#[cfg(test)]
mod tests;
