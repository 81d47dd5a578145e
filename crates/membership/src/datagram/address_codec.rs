//! CBOR codec of socket addresses: a byte string of 6 (IPv4) or 18 (IPv6) bytes, the IP address followed by the port
//! in big-endian order.

use minicbor::decode::{Decoder, Error as DecodeError};
use minicbor::encode::{Encoder, Error as EncodeError, Write};
use std::net::{IpAddr, SocketAddr};

pub fn encode<C, W: Write>(
    address: &SocketAddr,
    encoder: &mut Encoder<W>,
    _: &mut C,
) -> Result<(), EncodeError<W::Error>> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    encoder.bytes(&bytes)?.ok()
}

pub fn decode<C>(decoder: &mut Decoder<'_>, _: &mut C) -> Result<SocketAddr, DecodeError> {
    let bytes = decoder.bytes()?;
    let (ip, port) = bytes.split_at(bytes.len().saturating_sub(2));
    let port = <[u8; 2]>::try_from(port).map(u16::from_be_bytes);
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok().map(IpAddr::from),
        16 => <[u8; 16]>::try_from(ip).ok().map(IpAddr::from),
        _ => None,
    };
    match (ip, port) {
        (Some(ip), Ok(port)) => Ok(SocketAddr::new(ip, port)),
        _ => Err(DecodeError::message("not a socket address of 6 or 18 bytes")),
    }
}
