//! 64-bit FNV-1a: a digest that depends only on the numbers added to it, not on the Rust version or the platform.

/// The digest of a sequence of 64-bit numbers.
pub struct Digest(u64);

impl Digest {
    pub fn new() -> Self {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        Self(OFFSET_BASIS)
    }

    pub fn number(&mut self, number: u64) {
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(PRIME);
        }
    }

    /// Adds the bits of a float, because two floats that print alike may differ.
    pub fn float(&mut self, float: f64) {
        self.number(float.to_bits());
    }

    pub fn value(&self) -> u64 {
        self.0
    }
}
