//! The ration of orders to load, kept at the moment of sending. The decisions keep it when they give an order; until
//! that is sent a connection may have to be made, and what was ten seconds apart is less by then.

use milletpath_policy::ration::Ration as Account;

/// Seconds by which orders may come closer together, or further from the calls they count on, on their way: what a
/// crowded machine adds between a write and its reading.
const EDGE: f64 = 0.05;

pub struct LoadRateLimit {
    account: Account,
    /// Of the free ones so many times as much until then, and so many times from then on.
    part: ([f64; 2], f64),
    /// And so many more, or fewer.
    more: ([f64; 2], f64),
}

impl LoadRateLimit {
    /// So many free orders in any window of seconds, and a share of one for each call taken in it.
    pub fn new(stated: (f64, f64, f64)) -> Self {
        let (part, more) = (([1.0; 2], f64::INFINITY), ([0.0; 2], f64::INFINITY));
        Self { account: Account::new(stated, EDGE), part, more }
    }

    pub fn share(&mut self, part: [f64; 2], until: f64) {
        self.part = (part, until);
    }

    pub fn allot(&mut self, more: [f64; 2], until: f64) {
        self.more = (more, until);
    }

    pub fn take(&mut self, now: f64) {
        self.account.take(now);
    }

    /// Whether an order may be sent now; counts it if so.
    pub fn send(&mut self, now: f64) -> bool {
        let at = |(figures, until): ([f64; 2], f64)| figures[usize::from(now >= until)];
        let free = (self.account.free * at(self.part) + at(self.more)).max(0.0);
        let may = self.account.may(now, free);
        if may {
            self.account.done(now);
        }
        may
    }

    /// Free orders in use.
    pub fn used(&mut self, now: f64) -> f64 {
        self.account.used(now)
    }
}

#[cfg(test)]
mod tests;
