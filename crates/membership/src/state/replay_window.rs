//! Replay protection: a sliding window over the sequence numbers of one sender, as in IPsec (RFC 4303, section 3.4.3).

/// Width of the window in sequence numbers.
const WINDOW_BITS: u64 = 128;

/// The sequence numbers received from one process. Each number is accepted once; numbers older than the window are
/// rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit n is set if `highest - n` was received.
    received: u128,
}

impl ReplayWindow {
    /// Marks a sequence number as received, and returns whether it was new.
    pub(crate) fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.received = if shift < WINDOW_BITS { self.received << shift | 1 } else { 1 };
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        let bit = 1u128.checked_shl(u32::try_from(age).unwrap_or(u32::MAX)).unwrap_or(0);
        let new = bit != 0 && self.received & bit == 0;
        self.received |= bit;
        new
    }
}

#[cfg(test)]
mod tests;
