//! A limit on a resource that the cores of a gateway share, such as client connections or bytes of memory.

use crate::sync::atomic::{AtomicUsize, Ordering};

/// A counted resource with an upper limit. One core may use all of it; the cores together never exceed the limit.
pub struct Budget {
    limit: usize,
    used: AtomicUsize,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Acquires `amount` and returns true. If less than that is left, acquires nothing and returns false.
    pub fn try_acquire(&self, amount: usize) -> bool {
        let mut used = self.used.load(Ordering::Relaxed);
        loop {
            let Some(after) = used.checked_add(amount).filter(|after| *after <= self.limit) else {
                return false;
            };
            // Relaxed ordering suffices because the counter does not guard other memory.
            match self.used.compare_exchange_weak(used, after, Ordering::Relaxed, Ordering::Relaxed) {
                Ok(_) => return true,
                Err(current) => used = current,
            }
        }
    }

    /// Releases an amount acquired before.
    pub fn release(&self, amount: usize) {
        self.used.fetch_sub(amount, Ordering::Relaxed);
    }

    /// Returns the amount in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the limit.
    pub fn limit(&self) -> usize {
        self.limit
    }
}
