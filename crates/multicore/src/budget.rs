//! A limit on a resource that all cores of a gateway use, such as client connections or bytes of memory.

use crate::sync::atomic::{AtomicUsize, Ordering};

/// A counted resource with an upper limit. All of it can be used from one core; all cores together never exceed it.
pub struct Budget {
    limit: usize,
    used: AtomicUsize,
}

impl Budget {
    /// A budget of which nothing is used yet.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Acquires `amount`; false, and nothing acquired, where less than that is left.
    pub fn try_acquire(&self, amount: usize) -> bool {
        let mut used = self.used.load(Ordering::Relaxed);
        loop {
            let Some(after) = used.checked_add(amount).filter(|after| *after <= self.limit) else {
                return false;
            };
            // Relaxed: no other memory is published by the count.
            match self.used.compare_exchange_weak(used, after, Ordering::Relaxed, Ordering::Relaxed) {
                Ok(_) => return true,
                Err(current) => used = current,
            }
        }
    }

    /// Releases an amount that was acquired.
    pub fn release(&self, amount: usize) {
        self.used.fetch_sub(amount, Ordering::Relaxed);
    }

    /// The amount in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// The most that may be in use.
    pub fn limit(&self) -> usize {
        self.limit
    }
}
