//! Reads the bootstrap file at startup.

use super::address::address;
use crate::events::{self, DiscoveryLine};
use crate::{frames, lines};
use milletpath_config::{FunctionConfigs, GatewayConfig, Limits, ProfileConfig, WorkerSource};
use milletpath_platform_settings::{self as platform_settings, ProfileSettings, SettingsError};
use milletpath_policy::PolicyConfig;
use milletpath_protocol::InputError;
use milletpath_protocol::registry::EndpointEntry;
use serde_json::Value;
use std::net::SocketAddr;

/// File descriptors if the file states no limit: the minimum that the platform grants.
const DEFAULT_DESCRIPTORS: u64 = 256;
/// Memory in MB if the file states no limit: the minimum that the platform grants.
const DEFAULT_MEMORY_MB: f64 = 32.0;
/// Upper limit on open requests: with more, memory would be exhausted before file descriptors.
const MAX_OPEN_REQUESTS: usize = 20_000;

/// The content of the bootstrap file.
#[derive(Debug)]
pub struct Bootstrap {
    /// The router's configuration.
    pub config: GatewayConfig,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// Number of the last discovery event that the file covers; the router subscribes to the events after it.
    pub last_event: u64,
    /// The worker lists of the events so far, in the order of the events.
    pub worker_lists: Vec<WorkerList>,
    /// Memory that the router may use, in bytes.
    pub memory_bytes: usize,
    /// File descriptors that the router may have open.
    pub descriptors: usize,
    /// Maximum number of concurrent attempts on one connection to a worker.
    pub streams_per_connection: usize,
    /// Whether the settings declare that workers send load reports.
    pub load_reports: bool,
}

/// The worker list of one discovery event.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerList {
    /// Whether the list is complete; a worker that a complete list omits is gone.
    pub complete: bool,
    /// All workers if the list is complete, otherwise those that changed.
    pub entries: Vec<EndpointEntry>,
}

/// Parses the bootstrap file. The error names the first field found to be missing or invalid.
pub fn read(text: &[u8]) -> Result<Bootstrap, InputError> {
    let file: Value =
        serde_json::from_slice(text).map_err(|error| InputError::new("file", error.to_string()))?;
    let settings = &file["settings"];
    let seed = file["seed"].as_str().and_then(|seed| u64::from_str_radix(seed, 16).ok());
    let seed = seed.ok_or_else(|| InputError::new("seed", "is missing or not a hexadecimal number"))?;
    let policy = platform_settings::policy_config(settings, seed).map_err(settings_error)?;
    let last_event = file["known"]["no"].as_u64();
    let last_event =
        last_event.ok_or_else(|| InputError::new("known.no", "is not a non-negative integer"))?;
    let worker_lists = worker_lists(&file["known"]["items"])?;
    let profiles = profiles(settings).map_err(settings_error)?;
    let limits = limits(settings).map_err(settings_error)?;
    // An update lost in a broken discovery stream may say that a worker drains. It counts as delivered
    // `NOTICE_AFTER_BREAK` after the break, and the worker accepts requests for the drain grace after that.
    let list_valid_for = events::NOTICE_AFTER_BREAK + limits.drain_grace;
    let memory_mb = file["limits"]["memory_mb"].as_f64().filter(|mb| *mb > 0.0);
    let memory_bytes = (memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1e6) as usize;
    let function_memory = milletpath_policy::function_memory(memory_bytes);
    let policy = PolicyConfig { list_valid_for, function_memory, ..policy };
    Ok(Bootstrap {
        discovery: address(&file, "bulletin")?,
        last_event,
        worker_lists,
        memory_bytes,
        descriptors: file["limits"]["sockets"].as_u64().unwrap_or(DEFAULT_DESCRIPTORS) as usize,
        streams_per_connection: platform_settings::count_limit(settings, "StreamsPerConn", 1),
        load_reports: !platform_settings::load_report_names(settings).is_empty(),
        config: GatewayConfig {
            listen: address(&file, "listen")?,
            policy,
            profiles,
            clients: platform_settings::client_groups(settings),
            functions: FunctionConfigs::default(),
            worker_kinds: platform_settings::worker_kinds(settings),
            source: WorkerSource::List(Vec::new()),
            limits,
            // The platform's routers share no state and take their configuration from this file only.
            membership: None,
            config_log: None,
        },
    })
}

fn settings_error(error: SettingsError) -> InputError {
    InputError::new("settings", error.to_string())
}

fn worker_lists(items: &Value) -> Result<Vec<WorkerList>, InputError> {
    let mut worker_lists = Vec::new();
    for item in items.as_array().into_iter().flatten() {
        if let DiscoveryLine::Event { complete, entries, .. } = events::event(item)? {
            worker_lists.push(WorkerList { complete, entries });
        }
    }
    Ok(worker_lists)
}

fn profiles(settings: &Value) -> Result<Vec<ProfileConfig>, SettingsError> {
    let config = |profile: ProfileSettings| ProfileConfig {
        name: profile.name,
        deadline: profile.deadline,
        importance: profile.importance,
    };
    Ok(platform_settings::profile_settings(settings)?.into_iter().map(config).collect())
}

/// Reads the limits from the settings. Whatever the router's memory budget already bounds is left unlimited here.
fn limits(settings: &Value) -> Result<Limits, SettingsError> {
    let open_requests = platform_settings::count_limit(settings, "OpenCap", MAX_OPEN_REQUESTS);
    Ok(Limits {
        cores: 1,
        pin: false,
        max_open_requests: open_requests.min(MAX_OPEN_REQUESTS),
        max_buffered_bytes: usize::MAX,
        max_request_body: lines::MAX_REQUEST_BODY,
        max_response_body: frames::MAX_RESPONSE_BODY,
        max_connections: usize::MAX,
        max_connections_per_worker: usize::MAX,
        header_timeout: f64::INFINITY,
        stall_timeout: f64::INFINITY,
        connect_timeout: platform_settings::time_limit(settings, "ConnectTimeout")?,
        idle_timeout: platform_settings::time_limit(settings, "Keepalive")?,
        // A health check that takes longer than a connection attempt may take is treated as lost.
        health_check_timeout: platform_settings::time_limit(settings, "ConnectTimeout")?,
        drain_grace: platform_settings::drain_grace(settings)?,
    })
}
