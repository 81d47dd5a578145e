//! Numbers that a client used on its connection: each counts once. They may come a little out of order.

/// How far back numbers are told apart; older ones count as used.
const BACK: u64 = 64;

#[derive(Default)]
pub struct Numbers {
    top: u64,
    /// Used ones from the top down, the top in the lowest bit.
    used: u64,
}

impl Numbers {
    /// Whether this number was free; it is used from now on.
    pub fn take(&mut self, number: u64) -> bool {
        if number > self.top {
            let by = number - self.top;
            self.used = if by >= BACK { 0 } else { self.used << by } | 1;
            self.top = number;
            return true;
        }
        let back = self.top - number;
        let free = back < BACK && self.used & 1 << back == 0;
        if free {
            self.used |= 1 << back;
        }
        free
    }
}

#[cfg(test)]
mod tests;
