//! A worker's hand, written from the page and not from the codec that it tests.

/// A frame as a worker writes it.
pub fn frame(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut to = vec![127, code];
    to.extend((fields.len() as u16).to_be_bytes());
    to.extend((body.len() as u32).to_be_bytes());
    to.extend(id.to_be_bytes());
    let held = [fields.as_bytes(), body].concat();
    to.extend(&held);
    to.extend(crc32fast::hash(&held).to_be_bytes());
    to
}
