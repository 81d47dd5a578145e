//! A bound that all cores keep together: as amount can be used from one core as from all, and never more.

use crate::sync::atomic::{AtomicUsize, Ordering};

pub struct Budget {
    limit: usize,
    used: AtomicUsize,
}

impl Budget {
    pub fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Takes so amount, or nothing where less is left.
    pub fn try_acquire(&self, amount: usize) -> bool {
        let mut used = self.used.load(Ordering::Relaxed);
        loop {
            let Some(after) = used.checked_add(amount).filter(|after| *after <= self.limit) else {
                return false;
            };
            // Nothing else is passed on by it: only the count itself must be right.
            match self.used.compare_exchange_weak(used, after, Ordering::Relaxed, Ordering::Relaxed) {
                Ok(_) => return true,
                Err(is) => used = is,
            }
        }
    }

    /// Gives back what was taken.
    pub fn release(&self, amount: usize) {
        self.used.fetch_sub(amount, Ordering::Relaxed);
    }

    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    pub fn limit(&self) -> usize {
        self.limit
    }
}
