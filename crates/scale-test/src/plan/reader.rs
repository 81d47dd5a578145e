//! Reads a plan, with one function per block.

mod components;
mod plays;
mod regions;

use super::checks;
use super::model::{Plan, ResourceLimits, WorkerCounts};
use components::{read_budgets, read_components, read_control_machines, read_membership};
use hcl_edit::parser::{Error as SyntaxError, parse_body};
use milletpath_config::document::{ConfigError, Document, Section};
use milletpath_protocol::is_name;
use plays::{PlayContext, read_plays};
use regions::{Regions, read_links, read_regions};

/// Maximum number of gateways: the ports and memory of one machine do not suffice for more.
pub(super) const MAX_GATEWAYS: u32 = 4_000;

/// Maximum number of real gateways, and of their emulated workers.
const MAX_REAL: u32 = 64;

/// Maximum duration in a plan, in seconds.
pub(super) const MAX_SECONDS: f64 = 86_400.0;

/// Number of gateways assumed if it can't be read, so that other errors are still reported.
const FALLBACK_GATEWAYS: usize = 2;

/// Reads a plan. `gateways`, if given, overrides the number of gateways.
///
/// # Errors
///
/// All errors in the text, in order.
pub fn read(text: &str, gateways: Option<usize>) -> Result<Plan, Vec<ConfigError>> {
    let document = Document::new(text);
    let body = parse_body(text).map_err(|error| vec![syntax_error(&error)])?;
    let plan = read_plan(&Section::titled(&document, "the plan", &body), gateways);
    let errors = document.into_errors();
    if errors.is_empty() { Ok(plan) } else { Err(errors) }
}

fn syntax_error(error: &SyntaxError) -> ConfigError {
    ConfigError {
        line: error.location().line(),
        column: error.location().column(),
        problem: format!("invalid HCL: {}", error.message()),
        remedy: "correct the syntax of this line".into(),
    }
}

fn read_plan(root: &Section<'_>, gateways_override: Option<usize>) -> Plan {
    let name = read_name(root);
    let gateways = read_gateways(root, gateways_override);
    let real_gateways = root.count("real", "gateways", 0..=MAX_REAL).unwrap_or(0);
    checks::leaves_hollow_gateways(root, real_gateways, gateways);
    let Regions { names: regions, zones } = read_regions(root);
    checks::has_gateway_for_each_zone(root, zones.len(), gateways);
    let links = read_links(root, &regions);
    let components = read_components(root);
    let calls = read_calls(root);
    let context = PlayContext { gateways, zones: &zones, regions: &regions, components: &components };
    let plays = read_plays(root, &context);
    Plan {
        name,
        seed: root.number("seed", "", 0.0..=9e15).map_or(1, |seed| seed as u64),
        gateways,
        real_gateways,
        host_processes: root.count("processes", "processes", 1..=16).unwrap_or(8),
        membership: read_membership(root, &components),
        budgets: read_budgets(root, &components),
        control_machines: read_control_machines(root, zones.len(), &components),
        workers: read_workers(root),
        calls_per_second: calls.per_second,
        functions: calls.functions,
        limits: read_limits(root),
        plays,
        time_limit: root.number("limit", "seconds", 1.0..=MAX_SECONDS).unwrap_or(300.0),
        memory_limit_gb: root.number("memory_gb", "GB", 0.1..=1e5).unwrap_or(12.0),
        components,
        zones,
        regions,
        links,
    }
}

fn read_name(root: &Section<'_>) -> String {
    let name = root.parsed("name", "\"size\"", |text| is_name(text).then(|| text.to_owned()));
    if !root.has("name") {
        root.report_missing("name", "\"size\"");
    }
    name.unwrap_or_default()
}

fn read_gateways(root: &Section<'_>, gateways_override: Option<usize>) -> usize {
    let stated = root.count("gateways", "gateways", 2..=MAX_GATEWAYS);
    if !root.has("gateways") {
        root.report_missing("gateways", "60");
    }
    gateways_override.or(stated).unwrap_or(FALLBACK_GATEWAYS)
}

fn read_workers(root: &Section<'_>) -> WorkerCounts {
    let section = required_block(root, "workers", "hollow = 600, real = 3");
    let count = |key, max, default| {
        let stated = section.as_ref().and_then(|workers| workers.count(key, "workers", 1..=max));
        stated.unwrap_or(default)
    };
    WorkerCounts { hollow: count("hollow", 60_000, 600), real: count("real", MAX_REAL, 3) }
}

/// Settings of the calls to the real gateways.
struct CallSettings {
    per_second: f64,
    functions: usize,
}

fn read_calls(root: &Section<'_>) -> CallSettings {
    let section = root.block("functions");
    let section = section.as_ref();
    let per_second = section.and_then(|calls| calls.number("calls", "calls a second", 0.0..=1_000.0));
    let functions = section.and_then(|calls| calls.count("names", "functions", 1..=1_000_000));
    CallSettings { per_second: per_second.unwrap_or(0.0), functions: functions.unwrap_or(1) }
}

fn read_limits(root: &Section<'_>) -> ResourceLimits {
    let Some(section) = root.block("grant") else { return ResourceLimits::default() };
    let limit = |key, unit| section.number(key, unit, 0.000_001..=1e12);
    ResourceLimits {
        cpu_cores: limit("cpu", "cores"),
        memory_mb: limit("memory_mb", "MB"),
        bytes_per_second: limit("bytes", "bytes a second"),
        change_seconds: limit("change", "seconds"),
    }
}

/// Returns a required block. A missing block is reported together with an example.
fn required_block<'p>(root: &Section<'p>, key: &'static str, example: &str) -> Option<Section<'p>> {
    let block = root.block(key);
    if block.is_none() {
        root.report(0, format!("the plan has no {key}"), format!("add {key} {{ {example} }}"));
    }
    block
}
