//! Limits on the gateway's own queues, tables and waits.

use super::bounds::MAX_SECONDS;
use super::host::{MAX_CORES, available_cores};
use super::optional_section::OptionalSection;
use crate::document::Section;
use crate::model::Limits;

/// Largest configurable limit on the size of a body, in bytes: 1 GiB.
const MAX_BODY_BYTES: u32 = 1 << 30;

/// Reads the limits: those of the process from the top level, the others from the sections `limits` and `workers`.
pub fn read(top: &Section<'_>, section: Option<&Section<'_>>, workers: Option<&Section<'_>>) -> Limits {
    let (optional, workers) = (OptionalSection(section), OptionalSection(workers));
    let limits = Limits {
        cores: top.count("cores", "cores", 1..=MAX_CORES).unwrap_or_else(available_cores),
        pin: top.flag("pin").unwrap_or(false),
        max_open_requests: optional.count("open", "requests", 1..=10_000_000, 20_000),
        max_buffered_bytes: optional.count("held", "bytes", 1024..=u32::MAX, 256 << 20),
        max_request_body: optional.count("body", "bytes", 0..=MAX_BODY_BYTES, 1 << 20),
        max_response_body: optional.count("answer", "bytes", 0..=MAX_BODY_BYTES, 8 << 20),
        max_connections: optional.count("connections", "connections", 1..=10_000_000, 20_000),
        max_connections_per_worker: optional.count("per_worker", "connections", 1..=100_000, 512),
        header_timeout: optional.number("head", "seconds", 0.01..=MAX_SECONDS, 10.0),
        stall_timeout: optional.number("stall", "seconds", 0.01..=MAX_SECONDS, 10.0),
        connect_timeout: workers.number("connect", "seconds", 0.001..=MAX_SECONDS, 0.25),
        idle_timeout: workers.number("idle", "seconds", 0.01..=MAX_SECONDS, 30.0),
        health_check_timeout: workers.number("health_check_timeout", "seconds", 0.001..=MAX_SECONDS, 0.25),
        drain_grace: workers.number("drain_grace", "seconds", 0.0..=MAX_SECONDS, 1.0),
    };
    if let Some(section) = section {
        check_buffer(section, &limits);
    }
    limits
}

/// Checks that a body of the maximum size fits into the buffer that all bodies share.
fn check_buffer(section: &Section<'_>, limits: &Limits) {
    if limits.max_request_body.max(limits.max_response_body) > limits.max_buffered_bytes {
        let remedy = "raise held, or lower body and answer";
        section.report(section.offset_of("held"), "held is less than one body or answer", remedy);
    }
}
