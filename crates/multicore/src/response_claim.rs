//! Who may answer on a client's connection. Its core does, as a rule; where that core stands still or ends, another
//! says the last word in its place. Exactly one of the two gets to, whatever their order.

use crate::sync::atomic::{AtomicU8, Ordering};

const IDLE: u8 = 0;
const PENDING: u8 = 1;
const ANSWERING: u8 = 2;
const TAKEN_OVER: u8 = 3;

/// One connection's claim: nothing owed; a call is owed its answer; its core has begun to write; or another has
/// said the last word, after which nothing is written any more.
pub struct ResponseClaim(AtomicU8);

impl Default for ResponseClaim {
    fn default() -> Self {
        Self(AtomicU8::new(IDLE))
    }
}

impl ResponseClaim {
    /// A call was read whose answer is owed from now on. False where the last word has been said here.
    pub fn expect_response(&self) -> bool {
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |state| {
                (state != TAKEN_OVER).then_some(PENDING)
            })
            .is_ok()
    }

    /// Its core is about to write. False where the last word has been said: then not a byte may follow.
    pub fn begin_response(&self) -> bool {
        match self.0.compare_exchange(PENDING, ANSWERING, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(state) => state != TAKEN_OVER,
        }
    }

    /// All of the answer is written; nothing is owed until the next call.
    pub fn finish_response(&self) {
        let _ = self.0.compare_exchange(ANSWERING, IDLE, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Another wants to say the last word; only where an answer is owed and nothing of it written.
    pub fn take_over(&self) -> bool {
        self.0.compare_exchange(PENDING, TAKEN_OVER, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Its core is lost. True where nothing was owed as far as that core had read: then whoever closes the
    /// connection may say a last word to what lies there unread.
    pub fn take_over_idle(&self) -> bool {
        self.0.compare_exchange(IDLE, TAKEN_OVER, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Whether nothing is owed.
    pub fn is_idle(&self) -> bool {
        self.0.load(Ordering::Acquire) == IDLE
    }

    /// Whether the last word has been said.
    pub fn is_taken_over(&self) -> bool {
        self.0.load(Ordering::Acquire) == TAKEN_OVER
    }
}
