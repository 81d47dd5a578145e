//! Problem documents (RFC 9457), the format of all errors that originate in the gateway.

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Writes a problem document as JSON. `kind` is the last part of the problem's type; `docs/operators/` explains each
/// type.
pub fn document(status: u16, kind: &str, title: &str, detail: &str) -> Vec<u8> {
    let document = serde_json::json!({
        "type": format!("urn:milletpath:problem:{kind}"),
        "title": title,
        "status": status,
        "detail": detail,
    });
    document.to_string().into_bytes()
}
