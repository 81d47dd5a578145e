//! A digest of values that does not depend on the names of types, so that it stays the same when code is renamed.

/// An FNV-1a hash of numbers and texts, in the order in which they are added.
pub struct Digest(u64);

impl Digest {
    pub fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    fn byte(&mut self, byte: u8) {
        self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }

    pub fn integer(&mut self, integer: u64) -> &mut Self {
        integer.to_le_bytes().into_iter().for_each(|byte| self.byte(byte));
        self
    }

    /// Adds a number rounded to nine decimal places, so that the last bit of a logarithm does not matter.
    pub fn float(&mut self, float: f64) -> &mut Self {
        /// The factor that scales nine decimal places to an integer.
        const PLACES: f64 = 1e9;
        self.integer(((float * PLACES).round() as i64).cast_unsigned())
    }

    pub fn optional_float(&mut self, float: Option<f64>) -> &mut Self {
        match float {
            Some(float) => self.integer(1).float(float),
            None => self.integer(0),
        }
    }

    pub fn text(&mut self, text: &str) -> &mut Self {
        self.integer(text.len() as u64);
        text.bytes().for_each(|byte| self.byte(byte));
        self
    }

    pub fn value(&self) -> u64 {
        self.0
    }
}
