//! The section on the limits that are exceeded, by the size at which this happens, on those that are kept, and on the
//! quantities that are unknown because a run is missing.

use super::breaking_point_text;
use crate::projection::Projection;
use crate::shortfalls::Shortfall;

const EXCEEDED_HEAD: &str = "## Limits that are exceeded, by size\n\nSizes are fractions of the target, with all axes of a quantity \
                          scaled together: where the fitted form exceeds the limit. The first one is what to work \
                          on next.\n\n| | exceeded at | requirement | reason |\n| --- | --- | --- | --- |\n";

const KEPT_HEAD: &str = "\nLimits that are kept, and up to which fraction of the target:\n\n| up to | quantity | source |\n\
                          | --- | --- | --- |\n";

const MISSING_RUNS_HEAD: &str = "\nNot known, as it was not run:\n\n";

pub(super) fn section(projections: &[Projection], ranked: &[Shortfall]) -> String {
    [exceeded_limits(ranked), kept_limits(projections), missing_runs(projections)].concat()
}

fn exceeded_limits(ranked: &[Shortfall]) -> String {
    let row = |(index, shortfall): (usize, &Shortfall)| {
        format!(
            "| {} | {} | {} | {} |\n",
            index + 1,
            breaking_point_text(Some(shortfall.breaking_point), shortfall.breaks_below_measured),
            shortfall.description,
            shortfall.reason
        )
    };
    EXCEEDED_HEAD.to_owned() + &ranked.iter().enumerate().map(row).collect::<String>()
}

fn kept_limits(projections: &[Projection]) -> String {
    let is_kept = |p: &&Projection| p.limit.is_some() && p.value.is_finite() && !p.exceeds_limit();
    let mut kept: Vec<&Projection> = projections.iter().filter(is_kept).collect();
    let breaking_point = |p: &Projection| p.breaking_point.unwrap_or(f64::INFINITY);
    kept.sort_by(|a, b| breaking_point(a).total_cmp(&breaking_point(b)));
    let row = |projection: &&Projection| {
        let up_to = breaking_point_text(projection.breaking_point, projection.breaks_below_measured);
        format!("| {up_to} | {} | {} |\n", projection.description, projection.provenance())
    };
    KEPT_HEAD.to_owned() + &kept.iter().map(row).collect::<String>()
}

fn missing_runs(projections: &[Projection]) -> String {
    let missing = projections.iter().filter(|projection| projection.has_missing_runs());
    let items: String = missing.map(|p| format!("- {} ({})\n", p.description, p.provenance())).collect();
    if items.is_empty() { items } else { MISSING_RUNS_HEAD.to_owned() + &items }
}
