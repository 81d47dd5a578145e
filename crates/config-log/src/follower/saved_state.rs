//! Encoding of a saved state: a BLAKE3 hash of 32 bytes, followed by the CBOR map that it covers.

use crate::entry::Entry;
use crate::state::State;
use minicbor::Decode;
use minicbor::encode::{Encoder, Error, Write};

/// Size of the leading hash, in bytes.
const HASH_BYTES: usize = 32;

#[derive(Decode)]
#[cbor(map)]
struct SavedState {
    #[n(0)]
    head: u64,
    #[n(1)]
    digest: u64,
    #[n(2)]
    entries: Vec<Entry>,
}

/// Decodes a saved state; `None` if it is corrupt.
pub(super) fn decode(saved: &[u8]) -> Option<State> {
    let (hash, body) = saved.split_at_checked(HASH_BYTES)?;
    if blake3::hash(body).as_bytes() != hash {
        return None;
    }
    let saved: SavedState = minicbor::decode(body).ok()?;
    let mut state = State::default();
    state.install(saved.entries, saved.head);
    (state.digest() == saved.digest).then_some(state)
}

pub(super) fn encode(state: &State) -> Vec<u8> {
    let mut saved = vec![0; HASH_BYTES];
    // Writing to memory cannot fail. If it did, the hash would not match, and the next start would ignore the saved state.
    if write(state, &mut Encoder::new(&mut saved)).is_ok() {
        let hash = blake3::hash(&saved[HASH_BYTES..]);
        saved[..HASH_BYTES].copy_from_slice(hash.as_bytes());
    }
    saved
}

/// Writes the encoding of a [`SavedState`] without copying the entries.
fn write<W: Write>(state: &State, encoder: &mut Encoder<W>) -> Result<(), Error<W::Error>> {
    encoder.map(3)?.u8(0)?.u64(state.head())?.u8(1)?.u64(state.digest())?;
    encoder.u8(2)?.array(state.iter().count() as u64)?;
    for (number, change) in state.iter() {
        encoder.map(2)?.u8(0)?.u64(number)?.u8(1)?.encode(change)?;
    }
    Ok(())
}
