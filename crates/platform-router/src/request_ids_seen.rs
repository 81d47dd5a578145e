//! Numbers that a client used on its connection: each counts once. They may come a little out of order.

/// How far back numbers are told apart; older ones count as used.
const WINDOW: u64 = 64;

#[derive(Default)]
pub struct RequestIdsSeen {
    highest: u64,
    /// Used ones from the top down, the top in the lowest bit.
    seen: u64,
}

impl RequestIdsSeen {
    /// Whether this number was free; it is used from now on.
    pub fn insert(&mut self, number: u64) -> bool {
        if number > self.highest {
            let by = number - self.highest;
            self.seen = if by >= WINDOW { 0 } else { self.seen << by } | 1;
            self.highest = number;
            return true;
        }
        let back = self.highest - number;
        let free = back < WINDOW && self.seen & 1 << back == 0;
        if free {
            self.seen |= 1 << back;
        }
        free
    }
}

#[cfg(test)]
mod tests;
