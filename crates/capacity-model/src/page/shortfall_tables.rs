//! The section on what fails, by the size at which it does; what holds; and what is not known.

use super::breaking_point_text;
use crate::projection::Projection;
use crate::shortfalls::Shortfall;

const FAILS_HEAD: &str = "## What fails, by the size at which it does\n\nParts of the size asked for, all axes of a \
                          figure scaled together: where the form passes the bound. The first is what comes \
                          next.\n\n| | fails at | what | why |\n| --- | --- | --- | --- |\n";

const HOLDS_HEAD: &str = "\nWhat holds, and up to which part of the size:\n\n| up to | what | figure is |\n\
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
