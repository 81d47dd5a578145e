//! Numbers that a client has used on its connection: each may be used once. They may come a little out of order.

/// How far below the highest number used ones are remembered; lower ones all count as used.
const WINDOW: u64 = 64;

/// The numbers used on one connection, in constant space.
#[derive(Default)]
pub(crate) struct RequestIdsSeen {
    highest: u64,
    /// Bit `n` says whether the number `n` below the highest was used.
    window: u64,
}

impl RequestIdsSeen {
    /// Marks a number as used; whether it was not before.
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
