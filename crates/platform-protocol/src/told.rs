//! The file that a router starts from, and reads again when told to: who it is, its limits, the bulletin, the list so
//! far, and the settings. What is read becomes a [`GatewayConfig`] and the few figures beside it.

use crate::events::{self, Line};
use milletpath_config::{FunctionConfigs, GatewayConfig, Limits, ProfileConfig, WorkerSource};
use milletpath_protocol::Fault;
use milletpath_protocol::registry::Entry;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What a router starts from.
#[derive(Debug)]
pub struct Told {
    pub house: GatewayConfig,
    pub bulletin: SocketAddr,
    /// The number of the last event told, and the lists so far: whether each is whole, and its entries.
    pub last: u64,
    pub lists: Vec<(bool, Vec<Entry>)>,
    /// Bytes of memory that the router may use.
    pub memory: usize,
    /// Descriptors that the router may hold.
    pub descriptors: usize,
    /// Shots that one connection carries at a time.
    pub lanes: usize,
    /// Whether the settings promise reports of load.
    pub reports: bool,
}

fn address(value: &Value, key: &str) -> Result<SocketAddr, Fault> {
    let address = value[key].as_str().and_then(|a| a.parse().ok());
    address.ok_or_else(|| Fault::new(key, "is missing or no address with a port"))
}

/// Where the bulletin is now: all that a router takes from the file when it is read again. Beside it, what else the
/// file says otherwise than the one that the router started from: it holds from the next start.
pub fn again(text: &[u8], first: &[u8]) -> Result<(SocketAddr, Vec<String>), Fault> {
    /// What is new with each file, and tells a running router nothing.
    const NEW: [&str; 3] = ["bulletin", "known", "seed"];
    let read = |text| serde_json::from_slice::<Value>(text).map_err(|e| Fault::new("file", e.to_string()));
    let (value, first) = (read(text)?, read(first)?);
    let address = address(&value, "bulletin")?;
    let mut other = Vec::new();
    differ("", &first, &value, &mut other);
    other.retain(|place| !NEW.contains(&place.split('.').next().unwrap_or_default()));
    Ok((address, other))
}

/// The places at which two values differ, each as deep as both have it.
fn differ(place: &str, one: &Value, other: &Value, places: &mut Vec<String>) {
    /// More say no more.
    const MOST: usize = 16;
    match (one, other) {
        _ if places.len() >= MOST => {}
        (Value::Object(a), Value::Object(b)) => {
            let keys: BTreeSet<_> = a.keys().chain(b.keys()).collect();
            for key in keys {
                let deeper = if place.is_empty() { key.clone() } else { format!("{place}.{key}") };
                differ(&deeper, &one[key.as_str()], &other[key.as_str()], places);
            }
        }
        _ if one != other => places.push(place.to_owned()),
        _ => {}
    }
}

pub fn read(text: &[u8]) -> Result<Told, Fault> {
    /// For want of a stated one: the least that the platform grants.
    const DESCRIPTORS: u64 = 256;
    /// The same of memory, in MB.
    const MEMORY: f64 = 32.0;
    /// Past 20,000 activations in hand memory would be the end before descriptors are.
    const OPEN: usize = 20_000;
    let value: Value = serde_json::from_slice(text).map_err(|e| Fault::new("file", e.to_string()))?;
    let settings = &value["settings"];
    let seed = value["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
    let seed = seed.ok_or_else(|| Fault::new("seed", "is missing or no hex digits"))?;
    let wrong = |e: String| Fault::new("settings", e);
    let policy = milletpath_platform_settings::charter(settings, seed).map_err(wrong)?;
    let known = &value["known"];
    let last = known["no"].as_u64().ok_or_else(|| Fault::new("known.no", "is no whole number"))?;
    let mut lists = Vec::new();
    for item in known["items"].as_array().into_iter().flatten() {
        if let Line::Event { whole, entries, .. } = events::event(item)? {
            lists.push((whole, entries));
        }
    }
    let profiles = milletpath_platform_settings::profiles(settings).map_err(wrong)?;
    let profiles =
        profiles.into_iter().map(|(name, cut_off, importance)| ProfileConfig { name, cut_off, importance });
    let limit = |name| milletpath_platform_settings::limit(settings, name).map_err(wrong);
    let bounds = Limits {
        cores: 1,
        pin: false,
        open: milletpath_platform_settings::count(settings, "OpenCap", OPEN).min(OPEN),
        held: usize::MAX,
        body: crate::lines::BODY,
        answer: crate::frames::ANSWER,
        connections: usize::MAX,
        per_worker: usize::MAX,
        head: f64::INFINITY,
        stall: f64::INFINITY,
        connect: limit("ConnectTimeout")?,
        idle: limit("Keepalive")?,
        // A probe that takes longer than a connection may is as good as lost.
        probe: limit("ConnectTimeout")?,
        grace: milletpath_platform_settings::grace(settings).map_err(wrong)?,
    };
    Ok(Told {
        bulletin: address(&value, "bulletin")?,
        last,
        lists,
        memory: (value["limits"]["memory_mb"].as_f64().filter(|mb| *mb > 0.0).unwrap_or(MEMORY) * 1e6)
            as usize,
        descriptors: value["limits"]["sockets"].as_u64().unwrap_or(DESCRIPTORS) as usize,
        lanes: milletpath_platform_settings::count(settings, "StreamsPerConn", 1),
        reports: !milletpath_platform_settings::report_names(settings).is_empty(),
        house: GatewayConfig {
            listen: address(&value, "listen")?,
            policy,
            profiles: profiles.collect(),
            clients: milletpath_platform_settings::clients(settings),
            functions: FunctionConfigs::default(),
            kinds: milletpath_platform_settings::kinds(settings),
            source: WorkerSource::List(Vec::new()),
            bounds,
            // Routers of the platform share nothing, and go by what they are told.
            peers: None,
            changes: None,
        },
    })
}
