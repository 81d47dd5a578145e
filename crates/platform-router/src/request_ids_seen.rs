//! Tracks the numbers that a client has used on its connection. Each number may be used once, slightly out of order.

/// Size of the window below the highest number in which used numbers are tracked. All lower numbers count as used.
const WINDOW: u64 = 64;

/// The numbers used on one connection, in constant space.
#[derive(Default)]
pub(crate) struct RequestIdsSeen {
    highest: u64,
    /// Bit `n` is set if the number `highest - n` was used.
    window: u64,
}

impl RequestIdsSeen {
    /// Marks a number as used; returns whether it was unused before.
    #[must_use = "a number that was used before is an error of the client"]
    pub fn insert(&mut self, number: u64) -> bool {
        if number > self.highest {
            let step = number - self.highest;
            self.window = if step >= WINDOW { 0 } else { self.window << step } | 1;
            self.highest = number;
            return true;
        }
        let below = self.highest - number;
        let is_new = below < WINDOW && self.window & 1 << below == 0;
        if is_new {
            self.window |= 1 << below;
        }
        is_new
    }
}

#[cfg(test)]
mod tests;
