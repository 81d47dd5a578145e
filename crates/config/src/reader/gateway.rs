//! Reads the complete configuration file, and passes to each section what it needs from others.

use super::address::parse_address;
use super::policy::PolicyInputs;
use super::{clients, config_log, functions, limits, membership, profiles, syntax, workers};
use crate::document::{ConfigError, Document, Section};
use crate::model::{GatewayConfig, WorkerSource};
use std::net::{Ipv4Addr, SocketAddr};

/// The address for client connections if none is configured.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 8080);

/// Reads a configuration file.
///
/// # Errors
///
/// All errors in the text, in its order, or the first syntax error.
pub fn read(text: &str) -> Result<GatewayConfig, Vec<ConfigError>> {
    let document = Document::new(text);
    let body = syntax::parse(text)?;
    let config = read_root(&Section::root(&document, &body));
    let errors = document.into_errors();
    if errors.is_empty() { Ok(config) } else { Err(errors) }
}

fn read_root(top: &Section<'_>) -> GatewayConfig {
    let listen = top.parsed("listen", "\"127.0.0.1:8080\"", parse_address).unwrap_or(DEFAULT_LISTEN);
    let profiles = profiles::read(top);
    let groups = clients::read(top);
    let workers = top.block("workers");
    if workers.is_none() {
        let remedy = "add workers { worker \"w1\" { address = \"...\" } }";
        top.report(0, "the configuration has no workers", remedy);
    }
    let workers = workers.as_ref();
    let kinds = workers.map(workers::read_kinds).unwrap_or_default();
    let functions = functions::read(top, &profiles.config);
    let source = workers.map(|section| workers::read_source(section, &kinds.names));
    let source = source.unwrap_or_else(|| WorkerSource::List(Vec::new()));
    let limits_section = top.block("limits");
    let gateways = top.count("gateways", "gateways", 1..=100_000).unwrap_or(1);
    let limits = limits::read(top, limits_section.as_ref(), workers);
    let policy = PolicyInputs {
        top,
        limits: limits_section.as_ref(),
        workers,
        gateways,
        profiles: profiles.policy,
        quotas: groups.quotas,
        ceilings: groups.ceilings,
        memory: kinds.memory,
        drain_grace: limits.drain_grace,
    };
    let policy = policy.read(&source);
    let membership = top.block("peers").and_then(|section| membership::read(top, &section, gateways));
    let config_log =
        top.block("changes").and_then(|section| config_log::read(&section, listen, membership.as_ref()));
    GatewayConfig {
        listen,
        policy,
        profiles: profiles.config,
        clients: groups.names,
        functions,
        worker_kinds: kinds.names,
        source,
        limits,
        membership,
        config_log,
    }
}
