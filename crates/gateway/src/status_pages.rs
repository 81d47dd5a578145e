//! Status reports for operators, split into pages of one datagram each. All pages of one request show the same moment, as
//! the report is kept until other requests displace it.

use milletpath_config_log::message::Message;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Bytes of text in a page, so that it fits into one datagram.
pub const PAGE_BYTES: usize = 1100;

/// Reports that are kept for requests of further pages.
const MAX_REPORTS: usize = 4;

/// A report of which further pages may be requested.
struct Report {
    requested_by: SocketAddr,
    request_id: u64,
    text: Vec<u8>,
}

/// The reports that a process made lately, by the operator and the request.
#[derive(Default)]
pub struct StatusPages {
    reports: VecDeque<Report>,
}

impl StatusPages {
    /// One page of the report for a request; `text` makes the report when its first page is requested. None where `text`
    /// gives none, or the report has no such page.
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

/// Collects the pages of one report, which may come in any order and more than once.
#[derive(Clone)]
pub struct PageCollector {
    /// None for a missing page; a single one until the first page says how many there are.
    pages: Vec<Option<Vec<u8>>>,
}

impl Default for PageCollector {
    fn default() -> Self {
        Self { pages: vec![None] }
    }
}

impl PageCollector {
    /// Adds page `index` of `total`; gives whether there are more pages than was known.
    pub fn insert(&mut self, index: usize, total: usize, bytes: Vec<u8>) -> bool {
        /// Far more than the status of a control machine with all gateways of a fleet takes.
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

    /// The indices of the pages that are missing, in order.
    pub fn missing(&self) -> impl Iterator<Item = u32> {
        (0..).zip(&self.pages).filter(|(_, page)| page.is_none()).map(|(index, _)| index)
    }

    /// The text of all pages; none while one is missing.
    pub fn into_text(self) -> Option<Vec<u8>> {
        let pages: Option<Vec<_>> = self.pages.into_iter().collect();
        pages.map(|pages| pages.concat())
    }
}

#[cfg(test)]
mod tests;
