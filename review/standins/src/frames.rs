//! Frames between a router and a worker.

use std::io::{self, Read};

pub const ATTEMPT: u8 = 2;
pub const GIVE_UP: u8 = 3;
pub const PROBE: u8 = 4;
pub const PROBE_WITH_LOAD: u8 = 5;
pub const LOAD: u8 = 6;
pub const UNLOAD: u8 = 8;

pub const OK: u8 = 200;
pub const FULL: u8 = 203;
pub const ERROR: u8 = 204;
pub const HEALTHY: u8 = 206;
pub const UNHEALTHY: u8 = 207;

/// A frame that a worker received.
#[derive(Clone, Debug)]
pub struct Frame {
    pub code: u8,
    pub id: u64,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Frame {
    /// The value of a field, empty if it is absent.
    pub fn field(&self, name: &str) -> &str {
        let of_name = |field: &&str| field.split_once('=').is_some_and(|(key, _)| key == name);
        self.fields.split(',').find(of_name).and_then(|field| field.split_once('=')).map_or("", |(_, value)| value)
    }
}

/// CRC-32 (IEEE).
pub fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0_u32, |mut crc, byte| {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = if crc & 1 == 1 { crc >> 1 ^ 0xedb8_8320 } else { crc >> 1 };
        }
        crc
    })
}

/// Reads the next frame of a router.
pub fn read(from: &mut impl Read) -> io::Result<Frame> {
    let mut head = [0; 16];
    from.read_exact(&mut head)?;
    let number = |bytes: &[u8]| bytes.iter().fold(0_u64, |number, byte| number << 8 | u64::from(*byte));
    let (fields, body) = (number(&head[2..4]) as usize, number(&head[4..8]) as usize);
    let mut rest = vec![0; fields + body + 4];
    from.read_exact(&mut rest)?;
    let check = number(&rest[fields + body..]) as u32;
    if head[0] != 126 || check != crc32(&rest[..fields + body]) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let body_bytes = rest[fields..fields + body].to_vec();
    let text = String::from_utf8_lossy(&rest[..fields]).into_owned();
    Ok(Frame { code: head[1], id: number(&head[8..]), fields: text, body: body_bytes })
}

/// Encodes the frame of a worker.
pub fn answer(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![127, code];
    bytes.extend((fields.len() as u16).to_be_bytes());
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(id.to_be_bytes());
    bytes.extend(fields.as_bytes());
    bytes.extend(body);
    let check = crc32(&bytes[16..]);
    bytes.extend(check.to_be_bytes());
    bytes
}
