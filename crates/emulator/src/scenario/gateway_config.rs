//! Generates the configuration files of a scenario's gateways.

use crate::scenario_file::{Profile, Scenario};
use milletpath_history_checker::{Idempotency, WindowLimit};
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

/// The name of the file with the membership's shared key, beside the configuration files.
pub const KEY_FILE: &str = "peers.key";

/// One in this many gateways, and at least `MIN_SEEDS`, is a seed through which others find the cluster.
const GATEWAYS_PER_SEED: usize = 4;
const MIN_SEEDS: usize = 2;

/// A gateway's configuration. Its [`Display`] output is the text of the file.
#[derive(Clone, Copy, Debug)]
pub struct GatewayConfigFile<'s> {
    /// The scenario.
    pub scenario: &'s Scenario,
    /// The gateway's number.
    pub gateway: usize,
    /// The address on which it listens for clients.
    pub listen: SocketAddr,
    /// The address of the registry to which it subscribes.
    pub registry: SocketAddr,
    /// The addresses at which gateways reach each other, by gateway; `None` without membership.
    pub links: Option<&'s [SocketAddr]>,
    /// The scenario's seed.
    pub seed: u64,
}

impl Display for GatewayConfigFile<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.write_process(f)?;
        self.scenario.profiles.iter().try_for_each(|profile| self.write_profile(f, profile))?;
        self.write_clients(f)?;
        self.write_functions(f)?;
        self.write_workers(f)?;
        self.write_limits(f)?;
        self.links.map_or(Ok(()), |links| self.write_membership(f, links))
    }
}

impl GatewayConfigFile<'_> {
    fn write_process(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { scenario, gateway, listen, seed, .. } = self;
        writeln!(f, "listen   = \"{listen}\"")?;
        writeln!(f, "gateways = {}", scenario.gateways)?;
        writeln!(f, "seed     = {}", seed + *gateway as u64)?;
        scenario.cores.map_or(Ok(()), |cores| writeln!(f, "cores = {cores}"))
    }

    fn write_profile(&self, f: &mut Formatter<'_>, profile: &Profile) -> fmt::Result {
        writeln!(f, "profile \"{}\" {{", profile.name)?;
        writeln!(f, "  due = {}", profile.latency_objective)?;
        writeln!(f, "  cut_off = {}", profile.deadline)?;
        writeln!(f, "  importance = {}", profile.importance)?;
        match profile.idempotency {
            Idempotency::Idempotent => writeln!(f, "  effect = \"pure\"")?,
            Idempotency::NonIdempotent => writeln!(f, "  effect = \"effectful\"")?,
            Idempotency::IdempotentWithKey => {
                writeln!(f, "  effect = \"receipted\"")?;
                writeln!(f, "  group = \"all\"")?;
                writeln!(f, "  memory = {}", self.scenario.rules.idempotency_window)?;
            }
        }
        writeln!(f, "}}")
    }

    fn write_clients(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for client in &self.scenario.groups {
            writeln!(f, "client \"{}\" {{", client.name)?;
            client.quota.map_or(Ok(()), |quota| writeln!(f, "  quota = {quota}"))?;
            client.ceiling.map_or(Ok(()), |ceiling| writeln!(f, "  ceiling = {ceiling}"))?;
            writeln!(f, "}}")?;
        }
        Ok(())
    }

    fn write_functions(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let function = self.scenario.function_model;
        writeln!(f, "functions {{")?;
        writeln!(f, "  lanes = {}", function.concurrency)?;
        writeln!(f, "  memory = {}", function.memory)?;
        writeln!(f, "  load = {}", function.fetch + function.start)?;
        writeln!(f, "}}")
    }

    fn write_workers(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let worker = &self.scenario.worker_spec;
        writeln!(f, "workers {{")?;
        writeln!(f, "  registry = \"{}\"", self.registry)?;
        writeln!(f, "  kind \"std\" {{ memory = {} }}", worker.memory)?;
        writeln!(f, "  misses = {}", worker.rejects_unloaded)?;
        writeln!(f, "  keep = {}", worker.idle_timeout)?;
        writeln!(f, "  drain_grace = {}", self.scenario.rules.drain_grace)?;
        writeln!(f, "  cold_share = {}", worker.initial_capacity)?;
        writeln!(f, "  warm_up = {}", worker.warm_up)?;
        writeln!(f, "  tip_multiple = {}", worker.overload_multiple)?;
        writeln!(f, "  tip_window = {}", worker.overload_window)?;
        writeln!(f, "}}")
    }

    fn write_limits(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let rules = &self.scenario.rules;
        writeln!(f, "limits {{")?;
        writeln!(f, "  over_share = {}", rules.over_quota_weight)?;
        rules.in_flight.map_or(Ok(()), |in_flight| writeln!(f, "  in_flight = {in_flight}"))?;
        for (key, limit) in [("ration", rules.load_rate_limit), ("retries", rules.retries)] {
            let Some(WindowLimit { window, free, per_request }) = limit else { continue };
            writeln!(f, "  {key} {{")?;
            writeln!(f, "    window = {window}")?;
            writeln!(f, "    free = {free}")?;
            writeln!(f, "    share = {per_request}")?;
            writeln!(f, "  }}")?;
        }
        writeln!(f, "}}")
    }

    fn write_membership(&self, f: &mut Formatter<'_>, links: &[SocketAddr]) -> fmt::Result {
        let seeds = links.len().div_ceil(GATEWAYS_PER_SEED).max(MIN_SEEDS);
        let seeds: Vec<_> = links.iter().take(seeds).map(|seed| format!("\"{seed}\"")).collect();
        writeln!(f, "peers {{")?;
        writeln!(f, "  listen = \"127.0.0.1:0\"")?;
        writeln!(f, "  advertise = \"{}\"", links[self.gateway])?;
        writeln!(f, "  name = \"gateway-{}\"", self.gateway)?;
        writeln!(f, "  seeds = [{}]", seeds.join(", "))?;
        writeln!(f, "  key = \"{KEY_FILE}\"")?;
        writeln!(f, "}}")
    }
}
