//! The section on what fails, by the size at which it does; what holds; and what is not known.

use super::breaking_point_text;
use crate::projection::Projection;
use crate::shortfalls::Shortfall;

const FAILS_HEAD: &str = "## Limits that are exceeded, by size\n\nSizes are fractions of the target, with all axes of a quantity \
                          scaled together: where the fitted form exceeds the limit. The first one is what to work \
                          on next.\n\n| | exceeded at | requirement | reason |\n| --- | --- | --- | --- |\n";

const HOLDS_HEAD: &str = "\nLimits that are kept, and up to which fraction of the target:\n\n| up to | quantity | source |\n\
                          | --- | --- | --- |\n";

const NOT_RUN_HEAD: &str = "\nNot known, as it was not run:\n\n";

pub(super) fn section(projections: &[Projection], ranked: &[Shortfall]) -> String {
    [fails(ranked), holds(projections), not_run(projections)].concat()
}

fn fails(ranked: &[Shortfall]) -> String {
    let row = |(index, shortfall): (usize, &Shortfall)| {
        format!(
            "| {} | {} | {} | {} |\n",
            index + 1,
            breaking_point_text(Some(shortfall.breaking_point), shortfall.breaks_below_measured),
            shortfall.description,
            shortfall.reason
        )
    };
    FAILS_HEAD.to_owned() + &ranked.iter().enumerate().map(row).collect::<String>()
}

fn holds(projections: &[Projection]) -> String {
    let holds = |p: &&Projection| p.limit.is_some() && p.value.is_finite() && !p.misses();
    let mut held: Vec<&Projection> = projections.iter().filter(holds).collect();
    let breaking_point = |p: &Projection| p.breaking_point.unwrap_or(f64::INFINITY);
    held.sort_by(|a, b| breaking_point(a).total_cmp(&breaking_point(b)));
    let row = |projection: &&Projection| {
        let up_to = breaking_point_text(projection.breaking_point, projection.breaks_below_measured);
        format!("| {up_to} | {} | {} |\n", projection.description, projection.provenance())
    };
    HOLDS_HEAD.to_owned() + &held.iter().map(row).collect::<String>()
}

fn not_run(projections: &[Projection]) -> String {
    let missing = projections.iter().filter(|projection| projection.is_not_run());
    let items: String = missing.map(|p| format!("- {} ({})\n", p.description, p.provenance())).collect();
    if items.is_empty() { items } else { NOT_RUN_HEAD.to_owned() + &items }
}
