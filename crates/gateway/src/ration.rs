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
    /// Of the free ones so many times as much until then, and so many times from then on.
    part: ([f64; 2], f64),
    /// Calls taken and orders sent within the window, by time; as many as it sees.
    taken: VecDeque<f64>,
    sent: VecDeque<f64>,
}

impl Ration {
    /// So many free orders in any window of seconds, and a share of one for each call taken in it.
    pub fn new((window, free, share): (f64, f64, f64)) -> Self {
        Self {
            window,
            free,
            share,
            part: ([1.0; 2], f64::INFINITY),
            taken: VecDeque::new(),
            sent: VecDeque::new(),
        }
    }

    pub fn share(&mut self, part: [f64; 2], until: f64) {
        self.part = (part, until);
    }

    pub fn take(&mut self, now: f64) {
        self.forget(now);
        self.taken.push_back(now);
    }

    /// Whether an order may be sent now; counts it if so.
    pub fn send(&mut self, now: f64) -> bool {
        self.forget(now);
        let (part, until) = self.part;
        let free = self.free * part[usize::from(now >= until)];
        let may = self.sent.len() as f64 + 1.0 <= free + self.share * self.taken.len() as f64;
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

    /// A part of the free orders holds until its time and not a moment longer, whoever looks.
    #[test]
    fn a_part_ends_by_itself() {
        let mut ration = Ration::new((10.0, 2.0, 0.0));
        ration.share([2.0, 0.5], 5.0);
        assert!((0..4).all(|n| ration.send(f64::from(n))) && !ration.send(4.0));
        assert!(!ration.send(12.0));
        assert!(ration.send(20.0) && !ration.send(20.0));
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
