//! What a process tells operators of itself, in pages that fit into one message each: all pages of one
//! question are of one moment, and the next question is of another.

use milletpath_config_log::message::Message;
use nix::time::{ClockId, clock_gettime};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Bytes of text in a page.
const PAGE_BYTES: usize = 1100;

/// Answers that are kept until all of their pages were asked for.
const MAX_ANSWERS: usize = 4;

/// Answers to operators, by whom and what they asked with.
#[derive(Default)]
pub struct StatusPages {
    answers: VecDeque<(SocketAddr, u64, Vec<u8>)>,
}

impl StatusPages {
    /// A page of the answer to one question; `text` makes it when its first page is asked for.
    pub fn page(
        &mut self,
        from: SocketAddr,
        request_id: u64,
        page: u32,
        text: impl FnOnce() -> Option<Vec<u8>>,
    ) -> Option<Message> {
        let index = self.answers.iter().position(|(sender, id, _)| (*sender, *id) == (from, request_id));
        let index = match index {
            Some(index) => index,
            None => {
                let text = text()?;
                self.answers.truncate(MAX_ANSWERS - 1);
                self.answers.push_front((from, request_id, text));
                0
            }
        };
        let pages = self.answers[index].2.chunks(PAGE_BYTES);
        let total = pages.len() as u32;
        let bytes = { pages }.nth(page as usize)?.to_vec();
        Some(Message::StatusPage { ask: request_id, page, of: total, bytes })
    }
}

/// Seconds of a processor that the calling thread took.
#[expect(clippy::disallowed_methods, reason = "the thread's own clock, which no step moves")]
pub fn thread_cpu_seconds() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 * 1e-9)
}
