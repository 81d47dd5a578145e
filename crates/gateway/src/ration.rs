//! The ration of orders to load, kept at the moment of sending. The decisions keep it when they give an order; until
//! that is sent a connection may have to be made, and what was ten seconds apart is less by then.

use std::collections::VecDeque;

/// Seconds by which orders may come closer together, or further from the calls they count on, on their way: what a
/// crowded machine adds between a write and its reading.
const EDGE: f64 = 0.05;

pub struct Ration {
    window: f64,
    free: f64,
    share: f64,
    /// Calls taken and orders sent within the window, by time; as many as it sees.
    taken: VecDeque<f64>,
    sent: VecDeque<f64>,
}

impl Ration {
    /// So many free orders in any window of seconds, and a share of one for each call taken in it.
    pub fn new((window, free, share): (f64, f64, f64)) -> Self {
        Self { window, free, share, taken: VecDeque::new(), sent: VecDeque::new() }
    }

    pub fn take(&mut self, now: f64) {
        self.forget(now);
        self.taken.push_back(now);
    }

    /// Whether an order may be sent now; counts it if so.
    pub fn send(&mut self, now: f64) -> bool {
        self.forget(now);
        let may = self.sent.len() as f64 + 1.0 <= self.free + self.share * self.taken.len() as f64;
        if may {
            self.sent.push_back(now);
        }
        may
    }

    fn forget(&mut self, now: f64) {
        while self.taken.front().is_some_and(|t| now - t >= self.window - EDGE) {
            self.taken.pop_front();
        }
        while self.sent.front().is_some_and(|t| now - t > self.window + EDGE) {
            self.sent.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two orders given ten seconds apart, the first of which was sent late: the second waits for the window.
    #[test]
    fn a_late_order_counts_from_when_it_was_sent() {
        let mut ration = Ration::new((10.0, 1.0, 0.0));
        assert!(ration.send(0.2));
        assert!(!ration.send(10.01) && !ration.send(10.24) && ration.send(10.26));
    }

    #[test]
    fn calls_earn_orders_for_a_window() {
        let mut ration = Ration::new((10.0, 0.0, 0.5));
        assert!(!ration.send(0.0));
        (0..4).for_each(|n| ration.take(f64::from(n)));
        assert!(ration.send(4.0) && ration.send(4.0) && !ration.send(4.0));
        // The calls have left the window before the orders have.
        assert!(!ration.send(13.9));
    }
}
