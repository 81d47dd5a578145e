//! A bound that all cores keep together: as much can be used from one core as from all, and never more.

use crate::sync::atomic::{AtomicUsize, Ordering};

pub struct Budget {
    most: usize,
    used: AtomicUsize,
}

impl Budget {
    pub fn new(most: usize) -> Self {
        Self { most, used: AtomicUsize::new(0) }
    }

    /// Takes so much, or nothing where less is left.
    pub fn take(&self, much: usize) -> bool {
        let mut used = self.used.load(Ordering::Relaxed);
        loop {
            let Some(then) = used.checked_add(much).filter(|then| *then <= self.most) else { return false };
            // Nothing else is passed on by it: only the count itself must be right.
            match self.used.compare_exchange_weak(used, then, Ordering::Relaxed, Ordering::Relaxed) {
                Ok(_) => return true,
                Err(is) => used = is,
            }
        }
    }

    /// Gives back what was taken.
    pub fn give_back(&self, much: usize) {
        self.used.fetch_sub(much, Ordering::Relaxed);
    }

    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    pub fn most(&self) -> usize {
        self.most
    }
}
