//! Access to the fields of a little-endian record by offset.

/// Microseconds in a second.
pub const MICROSECONDS: f64 = 1e6;

/// The bytes of an event or of an entry of a worker list. Callers must ensure that offsets lie within the record.
#[derive(Clone, Copy)]
pub struct Record<'a>(pub &'a [u8]);

impl Record<'_> {
    fn bytes<const N: usize>(self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[offset..offset + N]);
        bytes
    }

    /// The byte at an offset.
    pub fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    /// The 16-bit integer at an offset.
    pub fn u16(self, offset: usize) -> u16 {
        u16::from_le_bytes(self.bytes(offset))
    }

    /// The 32-bit integer at an offset.
    pub fn u32(self, offset: usize) -> u32 {
        u32::from_le_bytes(self.bytes(offset))
    }

    /// The 64-bit integer at an offset.
    pub fn u64(self, offset: usize) -> u64 {
        u64::from_le_bytes(self.bytes(offset))
    }

    /// The 32-bit float at an offset.
    pub fn f32(self, offset: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(offset)))
    }

    /// The duration at an offset, converted from the wire's microseconds to seconds.
    pub fn seconds(self, offset: usize) -> f64 {
        f64::from(self.u32(offset)) / MICROSECONDS
    }
}
