//! Reads the plays of a plan.

use super::regions::read_region_pair;
use super::{MAX_GATEWAYS, MAX_SECONDS};
use crate::plan::action::{Action, ActionKind};
use crate::plan::checks;
use crate::plan::model::{Component, Play};
use crate::plan::region::{RegionPair, Zone};
use milletpath_config::document::Section;

/// Maximum number of configuration changes in a play.
const MAX_CHANGES: u32 = 1_000;

/// Maximum number of endpoint list revisions in a play.
const MAX_REVISIONS: u32 = 100_000;

/// Default duration of an action in seconds.
const DEFAULT_SECONDS: f64 = 10.0;

/// Default number of changes in a play whose action is about changes.
const DEFAULT_CHANGES: usize = 20;

/// Parts of the plan that plays refer to.
pub struct PlayContext<'a> {
    /// Number of gateways.
    pub gateways: usize,
    /// Zones of all regions.
    pub zones: &'a [Zone],
    /// Names of all regions.
    pub regions: &'a [String],
    /// Components that the gateways run.
    pub components: &'a [Component],
}

/// Reads all plays. A play with an unknown action is reported and skipped.
pub fn read_plays(root: &Section<'_>, context: &PlayContext<'_>) -> Vec<Play> {
    let mut plays = Vec::new();
    for section in root.blocks("play", true) {
        let Some(kind) = read_kind(&section) else { continue };
        let play = read_play(&section, kind, context);
        if plays.is_empty() {
            checks::first_play_starts_the_fleet(&section, &play);
        }
        plays.push(play);
    }
    if plays.is_empty() {
        root.report(0, "the plan plays nothing", "add play \"begin\" { does = \"start\" }");
    }
    plays
}

fn read_kind(section: &Section<'_>) -> Option<ActionKind> {
    let kind = section.one_of("does", &ActionKind::ALL.map(|kind| (kind.keyword(), kind)));
    if !section.has("does") {
        section.report_missing("does", "\"start\"");
    }
    kind
}

fn read_play(section: &Section<'_>, kind: ActionKind, context: &PlayContext<'_>) -> Play {
    let action = read_action(section, kind, context);
    let is_about_changes = matches!(kind, ActionKind::ConfigChanges | ActionKind::LeaderFailure);
    let default_changes = if is_about_changes { DEFAULT_CHANGES } else { 0 };
    let changes = section.count("changes", "changes", 1..=MAX_CHANGES).unwrap_or(default_changes);
    checks::changes_are_followed(section, changes, context.components);
    let default_period = action.default_proposal_period();
    let proposal_period =
        if is_about_changes { read_seconds(section, "over", default_period) } else { default_period };
    let settle_timeout = section.number("settle", "seconds", 0.1..=MAX_SECONDS);
    Play { label: section.label.clone(), action, settle_timeout, changes, proposal_period }
}

fn read_action(section: &Section<'_>, kind: ActionKind, context: &PlayContext<'_>) -> Action {
    let seconds = |key| read_seconds(section, key, DEFAULT_SECONDS);
    match kind {
        ActionKind::Start => Action::Start { duration: seconds("over") },
        ActionKind::SteadyState => Action::SteadyState { duration: seconds("seconds") },
        ActionKind::RollingRestart => {
            let gateways = read_gateways(section, 40, context);
            Action::RollingRestart { gateways, duration: seconds("over") }
        }
        ActionKind::RackFailure => {
            let gateways = read_gateways(section, 20, context);
            Action::RackFailure { gateways, downtime: seconds("away") }
        }
        ActionKind::ZoneFailure => {
            Action::ZoneFailure { zone: read_zone(section, context.zones), downtime: seconds("away") }
        }
        ActionKind::Partition => {
            // An invalid pair was reported, so the plan is rejected; the value is never used.
            let regions = read_region_pair(section, context.regions);
            let regions = regions.unwrap_or(RegionPair { first: 0, second: 0 });
            Action::Partition { regions, duration: seconds("seconds") }
        }
        ActionKind::EndpointUpdates => {
            let revisions = section.count("editions", "editions", 1..=MAX_REVISIONS).unwrap_or(100);
            let zone = read_zone(section, context.zones);
            Action::EndpointUpdates { zone, revisions, duration: seconds("over") }
        }
        ActionKind::ConfigChanges => Action::ConfigChanges,
        ActionKind::LeaderFailure => Action::LeaderFailure { downtime: seconds("away") },
    }
}

fn read_seconds(section: &Section<'_>, key: &'static str, default: f64) -> f64 {
    section.number(key, "seconds", 0.0..=MAX_SECONDS).unwrap_or(default)
}

/// Reads how many gateways a play affects. At least one gateway stays up, so the count is reduced in a smaller fleet.
fn read_gateways(section: &Section<'_>, default: usize, context: &PlayContext<'_>) -> usize {
    let max_gateways = (context.gateways - 1).max(1);
    section.count("gateways", "gateways", 1..=MAX_GATEWAYS).unwrap_or(default).min(max_gateways)
}

fn read_zone(section: &Section<'_>, zones: &[Zone]) -> usize {
    let index_of = |name: &str| zones.iter().position(|zone| zone.name == name);
    let zone = section.parsed("zone", "the name of a zone above", index_of);
    if !section.has("zone") {
        section.report_missing("zone", &format!("\"{}\"", zones[0].name));
    }
    zone.unwrap_or(0)
}
