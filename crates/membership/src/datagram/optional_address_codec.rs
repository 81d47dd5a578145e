//! CBOR codec of optional socket addresses: null, or the encoding of `address_codec.rs`.

use super::address_codec;
use minicbor::data::Type;
use minicbor::decode::{Decoder, Error as DecodeError};
use minicbor::encode::{Encoder, Error as EncodeError, Write};
use std::net::SocketAddr;

pub fn encode<C, W: Write>(
    address: &Option<SocketAddr>,
    encoder: &mut Encoder<W>,
    context: &mut C,
) -> Result<(), EncodeError<W::Error>> {
    match address {
        Some(address) => address_codec::encode(address, encoder, context),
        None => encoder.null()?.ok(),
    }
}

pub fn decode<C>(decoder: &mut Decoder<'_>, context: &mut C) -> Result<Option<SocketAddr>, DecodeError> {
    if decoder.datatype()? == Type::Null {
        decoder.null()?;
        return Ok(None);
    }
    address_codec::decode(decoder, context).map(Some)
}
