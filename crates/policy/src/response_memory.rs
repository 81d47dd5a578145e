//! How much memory the responses to one client may take, while those of others need some too.

/// Part of the memory that is kept for clients that are owed nothing.
const KEPT_DIVISOR: usize = 2;

/// Memory for buffers, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct BufferMemory {
    /// All of it.
    pub limit: usize,
    /// What nobody holds.
    pub free: usize,
}

/// Whether a request may be sent to a worker, as far as the memory for its response is concerned. `owed` bytes are held
/// for the client's other responses, and the response needs up to `needed` bytes.
///
/// Half of the memory is kept for the first response of each client, so that one that reads is served however many
/// others read nothing. Of the other half a client gets as much as is left for the others (dynamic thresholds; Choudhury
/// and Hahne, 1998).
pub fn may_await_response(memory: BufferMemory, owed: usize, needed: usize) -> bool {
    if owed == 0 {
        return needed <= memory.free;
    }
    let shared = memory.free.saturating_sub(memory.limit / KEPT_DIVISOR);
    owed.saturating_add(needed) <= shared
}
