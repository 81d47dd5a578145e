//! The account of what is rationed within a window: so much is free, and each activation taken earns a share of one. Plain
//! counting; who asks says how much is free, and how sharply the window's edge can be seen.

use std::collections::VecDeque;

pub struct Ration {
    window: f64,
    /// What is free by the charter.
    pub free: f64,
    share: f64,
    /// Seconds at the window's edge that count for what was done, and not for what was taken.
    edge: f64,
    /// As many as there are within the window.
    taken: VecDeque<f64>,
    done: VecDeque<f64>,
}

impl Ration {
    pub fn new((window, free, share): (f64, f64, f64), edge: f64) -> Self {
        Self { window, free, share, edge, taken: VecDeque::new(), done: VecDeque::new() }
    }

    /// An activation was taken.
    pub fn take(&mut self, now: f64) {
        self.forget(now);
        self.taken.push_back(now);
    }

    /// Whether one more may be done where so much is free.
    pub fn may(&mut self, now: f64, free: f64) -> bool {
        self.forget(now);
        self.done.len() as f64 + 1.0 <= free + self.earned(now)
    }

    pub fn done(&mut self, now: f64) {
        self.done.push_back(now);
    }

    /// What of the free ones is in use.
    pub fn used(&mut self, now: f64) -> f64 {
        self.forget(now);
        (self.done.len() as f64 - self.earned(now)).max(0.0)
    }

    fn earned(&self, now: f64) -> f64 {
        // Most are well within the window: only those at its edge are looked at.
        let late = self.taken.iter().take_while(|t| now - **t >= self.window - self.edge).count();
        self.share * (self.taken.len() - late) as f64
    }

    fn forget(&mut self, now: f64) {
        while self.taken.front().is_some_and(|t| now - t >= self.window) {
            self.taken.pop_front();
        }
        while self.done.front().is_some_and(|t| now - t > self.window + self.edge) {
            self.done.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
