//! What a process tells operators of itself, in pages that fit into one message each: all pages of one
//! question are of one moment, and the next question is of another.

use milletpath_config_log::message::Message;
use nix::time::{ClockId, clock_gettime};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Bytes of text in a page.
const PAGE: usize = 1100;

/// Answers that are kept until all of their pages were asked for.
const KEPT: usize = 4;

/// Answers to operators, by whom and what they asked with.
#[derive(Default)]
pub struct Telling {
    kept: VecDeque<(SocketAddr, u64, Vec<u8>)>,
}

impl Telling {
    /// A page of the answer to one question; `text` makes it when its first page is asked for.
    pub fn page(
        &mut self,
        from: SocketAddr,
        ask: u64,
        page: u32,
        text: impl FnOnce() -> Option<Vec<u8>>,
    ) -> Option<Message> {
        let place = self.kept.iter().position(|(who, known, _)| (*who, *known) == (from, ask));
        let place = match place {
            Some(place) => place,
            None => {
                let text = text()?;
                self.kept.truncate(KEPT - 1);
                self.kept.push_front((from, ask, text));
                0
            }
        };
        let pages = self.kept[place].2.chunks(PAGE);
        let of = pages.len() as u32;
        let bytes = { pages }.nth(page as usize)?.to_vec();
        Some(Message::StatusPage { query_id: ask, page, page_count: of, bytes })
    }
}

/// Seconds of a processor that the calling thread took.
#[expect(clippy::disallowed_methods, reason = "the thread's own clock, which no step moves")]
pub fn cpu() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |t| t.tv_sec() as f64 + t.tv_nsec() as f64 * 1e-9)
}
