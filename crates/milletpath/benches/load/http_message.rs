//! HTTP/1.1 messages as bytes: building requests and skipping over messages.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The bytes that end the head of a message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Size of a request's body, in bytes.
const BODY_BYTES: usize = 200;

/// Returns a request that calls a function, with a body.
pub fn request() -> Vec<u8> {
    let body = "x".repeat(BODY_BYTES);
    let head = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\nmilletpath-patience: 3\r\n";
    format!("{head}content-length: {BODY_BYTES}\r\n\r\n{body}").into_bytes()
}

/// Reads and discards the next message of a connection. `buffer` holds the bytes that were already read. Returns
/// false at the end of the stream or on an error.
pub async fn skip_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    loop {
        if let Some(length) = message_length(buffer)
            && buffer.len() >= length
        {
            buffer.drain(..length);
            return true;
        }
        match stream.read_buf(buffer).await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
}

/// Returns the size of the message at the start of a buffer, or `None` if its head is incomplete.
fn message_length(buffer: &[u8]) -> Option<usize> {
    let head_length = buffer.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    let head = String::from_utf8_lossy(&buffer[..head_length]).to_ascii_lowercase();
    let body_length =
        head.lines().find_map(|line| line.strip_prefix("content-length: ")?.trim().parse().ok());
    Some(head_length + HEAD_END.len() + body_length.unwrap_or(0))
}
