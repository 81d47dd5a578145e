//! The table of all runs: what was measured, and the fitted growth curve.

use crate::fitted_runs::{FittedRun, FittedRuns};
use crate::number::number;
use crate::run::Measurement;

const TABLE_HEAD: &str = "## Slopes\n\nFor each run: sizes with the median of the repeats (the upper one of an even number) and, in \
                    brackets, the least and the greatest; the fitted form with constant, slope and relative \
                    residual.\n\n| run | quantity | axis: values | form; residual | fixed | method, date, cores | \
                    command |\n| --- | --- | --- | --- | --- | --- | --- |\n";

pub(super) fn section(fitted_runs: &FittedRuns) -> String {
    TABLE_HEAD.to_owned() + &fitted_runs.iter().map(row).collect::<String>()
}

fn row(fitted: &FittedRun) -> String {
    let (run, fit) = (&fitted.run, &fitted.fit);
    let measurements = run.measurements.iter().map(measurement).collect::<Vec<_>>().join("; ");
    let axis = match &run.second_axis {
        Some(second) => format!("{} n and {second} m", run.axis),
        None => run.axis.clone(),
    };
    let fixed = run.fixed.iter().map(|(name, value)| format!("{name} {}", number(*value)));
    let fixed = fixed.collect::<Vec<_>>().join(", ");
    format!(
        "| [{}](capacity/{}.json) | {}, {} | {axis}: {measurements} | {fit} | {fixed} | {}; {}; {} cores | `{}` |\n",
        run.name, run.name, run.quantity, run.unit, run.method, run.date, run.cores, run.command
    )
}

fn measurement(measurement: &Measurement) -> String {
    let second_size = measurement.second_size.map_or(String::new(), |size| format!(" and {}", number(size)));
    let range = if measurement.repeats > 1 {
        format!(" ({} to {})", number(measurement.min), number(measurement.max))
    } else {
        String::new()
    };
    format!("{}{second_size}: {}{range}", number(measurement.size), number(measurement.median))
}
