//! HTTP/1.1 messages as sent on the connection.

use std::io::BufRead;

/// An HTTP/1.1 message with a `Content-Length`, or without a body.
#[derive(Clone, Debug)]
pub struct Message {
    /// The start line and the header fields up to the empty line, byte for byte.
    pub head: String,
    /// The request line or the status line.
    pub start_line: String,
    /// The lines of the header fields in lower case.
    pub fields: Vec<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message; `None` if the connection ends before the message is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let head = read_head(from)?;
        let mut lines = head.lines();
        let start_line = lines.next()?.to_owned();
        let fields: Vec<_> =
            lines.filter(|line| !line.is_empty()).map(|line| line.trim_end().to_ascii_lowercase()).collect();
        let length = fields.iter().find_map(|field| field.strip_prefix("content-length: ")?.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        from.read_exact(&mut body).ok()?;
        Some(Self { head, start_line, fields, body })
    }

    /// Returns the status code of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether the line of a header field begins with `prefix`, which must be in lower case.
    pub fn has_field(&self, prefix: &str) -> bool {
        self.fields.iter().any(|line| line.starts_with(prefix))
    }
}

/// Reads up to and including the first empty line.
fn read_head(from: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        if !line.ends_with('\n') {
            return None;
        }
        head.push_str(&line);
        if line.trim_end().is_empty() {
            return Some(head);
        }
    }
}
