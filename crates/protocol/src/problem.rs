//! Problem documents (RFC 9457), the form of every error that the gateway itself sends.

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// One problem document as JSON. `kind` becomes the last part of its type, which `docs/operators/` explains.
pub fn document(status: u16, kind: &str, title: &str, detail: &str) -> Vec<u8> {
    let document = serde_json::json!({
        "type": format!("urn:milletpath:problem:{kind}"),
        "title": title,
        "status": status,
        "detail": detail,
    });
    document.to_string().into_bytes()
}
