//! Reads regions, their zones, and the links between regions.

use super::required_block;
use crate::plan::checks;
use crate::plan::model::LinkParameters;
use crate::plan::region::{RegionPair, Zone};
use milletpath_config::document::Section;
use milletpath_protocol::is_name;

const ZONES_EXAMPLE: &str = "[\"north-1\", \"north-2\"]";
const REGIONS_EXAMPLE: &str = "[\"north\", \"south\"]";

/// Maximum one-way latency of a link in milliseconds.
const MAX_LATENCY_MS: f64 = 10_000.0;

const MS_PER_SECOND: f64 = 1e3;

/// Regions and their zones.
#[derive(Default)]
pub struct Regions {
    /// Names of the regions.
    pub names: Vec<String>,
    /// Zones of all regions.
    pub zones: Vec<Zone>,
}

impl Regions {
    /// A region with one zone, used for a plan without regions so that its other errors are still reported.
    fn fallback() -> Self {
        Self { names: vec!["all".into()], zones: vec![Zone { name: "all".into(), region: 0 }] }
    }
}

/// Reads the regions and their zones.
pub fn read_regions(root: &Section<'_>) -> Regions {
    let mut regions = Regions::default();
    for section in root.blocks("region", true) {
        read_zones(&section, regions.names.len(), &mut regions.zones);
        regions.names.push(section.label.clone());
    }
    if regions.zones.is_empty() {
        root.report(0, "the plan has no region", "add region \"north\" { zones = [\"north-1\"] }");
        return Regions::fallback();
    }
    regions
}

/// Appends the zones of one region to those of the earlier regions.
fn read_zones(section: &Section<'_>, region: usize, zones: &mut Vec<Zone>) {
    let parse_name = |text: &str| is_name(text).then(|| text.to_owned());
    let names = section.list("zones", ZONES_EXAMPLE, parse_name).unwrap_or_default();
    if names.is_empty() {
        section.report_missing("zones", ZONES_EXAMPLE);
    }
    for name in names {
        checks::is_new_zone(section, &name, zones);
        zones.push(Zone { name, region });
    }
}

/// Reads the latency within and between regions, and the loss.
pub fn read_links(root: &Section<'_>, regions: &[String]) -> LinkParameters {
    let section = required_block(root, "links", "within = 1, across = 90");
    let section = section.as_ref();
    let latency = |key, default_ms| {
        let stated = section.and_then(|links| links.number(key, "milliseconds", 0.0..=MAX_LATENCY_MS));
        stated.unwrap_or(default_ms) / MS_PER_SECOND
    };
    let within_region = latency("within", 1.0);
    let across = latency("across", 90.0);
    let mut between_regions = vec![vec![across; regions.len()]; regions.len()];
    for pair in section.map(|links| links.blocks("pair", true)).unwrap_or_default() {
        read_pair(&pair, regions, &mut between_regions);
    }
    let loss = section.and_then(|links| links.number("loss", "of the datagrams", 0.0..=0.9)).unwrap_or(0.0);
    LinkParameters { within_region, between_regions, loss }
}

/// Reads the latency between a pair of regions, which applies in both directions.
fn read_pair(section: &Section<'_>, regions: &[String], between_regions: &mut [Vec<f64>]) {
    let latency_ms = section.number("ms", "milliseconds", 0.0..=MAX_LATENCY_MS);
    if !section.has("ms") {
        section.report_missing("ms", "30");
    }
    let pair = read_region_pair(section, regions);
    if let (Some(RegionPair { first, second }), Some(latency_ms)) = (pair, latency_ms) {
        between_regions[first][second] = latency_ms / MS_PER_SECOND;
        between_regions[second][first] = latency_ms / MS_PER_SECOND;
    }
}

/// Reads a pair of different regions by name.
pub fn read_region_pair(section: &Section<'_>, regions: &[String]) -> Option<RegionPair> {
    let index_of = |name: &str| regions.iter().position(|region| region == name);
    let indices = section.list("regions", REGIONS_EXAMPLE, index_of);
    if !section.has("regions") {
        section.report_missing("regions", REGIONS_EXAMPLE);
    }
    match indices?[..] {
        [first, second] if first != second => Some(RegionPair { first, second }),
        _ => {
            let problem = format!("regions of {} must be two different regions", section.title);
            section.report(section.offset_of("regions"), problem, "name two regions of the plan");
            None
        }
    }
}
