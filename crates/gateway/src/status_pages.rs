//! What a process tells operators of itself, in pages that fit into one message each: all pages of one
//! question are of one moment, and the next question is of another.

use milletpath_config_log::message::Message;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Bytes of text in a page, which fits into one datagram.
pub const PAGE_BYTES: usize = 1100;

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
