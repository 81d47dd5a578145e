//! The section on the assumptions and the sensitivity of the results to each of them.

use crate::assumptions::{Assumption, Assumptions};
use crate::fitted_runs::FittedRuns;
use crate::number::number;
use crate::popularity::{Popularity, min_exponent};
use crate::projection::Projection;
use crate::roles::gateway::GatewayCalls;
use crate::roles::projections;
use crate::scale::ScaleRun;
use crate::shortfalls::shortfalls;

const TABLE_HEAD: &str = "| parameter | value | reason | half | double |\n| --- | --- | --- | --- | --- |\n";

/// Smaller relative changes are rounding errors.
const MIN_RELATIVE_CHANGE: f64 = 1e-6;

/// A function that receives fewer calls per second is rarely called; the threshold is one call per minute.
const RARE_CALLS_PER_SECOND: f64 = 1.0 / 60.0;

/// A flatter distribution, with which the dispatcher is measured in addition to the assumed one.
const FLAT_EXPONENT: f64 = 1.1;

/// Number of workers in the measurement of known functions that the section quotes.
const MEASURED_WORKERS: f64 = 9_100.0;

pub(super) fn section(
    assumptions: &Assumptions,
    fitted_runs: &FittedRuns,
    scale_runs: &[ScaleRun],
) -> String {
    let sensitivity = Sensitivity::new(assumptions, fitted_runs, scale_runs);
    let rows = assumptions.parameters.iter().map(|(key, assumption)| sensitivity.row(key, assumption));
    let introduction = introduction(assumptions, &sensitivity);
    [introduction, TABLE_HEAD.into(), rows.collect(), popularity(assumptions, fitted_runs)].concat()
}

fn introduction(assumptions: &Assumptions, sensitivity: &Sensitivity<'_>) -> String {
    let target = &assumptions.target;
    format!(
        "## Assumptions\n\nTarget: {} gateways, {} instances of {} functions, {} calls per second, {} regions with \
         {} zones. All else is assumed. Of {} limits {} are exceeded. The last two columns halve and double a \
         parameter: how many limits would be exceeded, and the quantity that moves most against its limit.\n\n",
        number(target.gateways),
        number(target.instances),
        number(target.functions),
        number(target.calls_per_second),
        target.regions,
        target.zones,
        sensitivity.limit_count(),
        sensitivity.exceeded_count(&sensitivity.projections, assumptions),
    )
}

/// How the projections change with the assumptions.
struct Sensitivity<'a> {
    assumptions: &'a Assumptions,
    fitted_runs: &'a FittedRuns,
    scale_runs: &'a [ScaleRun],
    projections: Vec<Projection>,
}

impl<'a> Sensitivity<'a> {
    fn new(assumptions: &'a Assumptions, fitted_runs: &'a FittedRuns, scale_runs: &'a [ScaleRun]) -> Self {
        Self { assumptions, fitted_runs, scale_runs, projections: projections(assumptions, fitted_runs) }
    }

    /// The number of all limits, kept or exceeded.
    fn limit_count(&self) -> usize {
        let limited = self.projections.iter().filter(|projection| projection.limit.is_some()).count();
        limited + shortfalls(self.assumptions, self.scale_runs).len()
    }

    /// The number of limits that are exceeded under the given assumptions.
    fn exceeded_count(&self, projections: &[Projection], assumptions: &Assumptions) -> usize {
        let exceeded = projections.iter().filter(|projection| projection.exceeds_limit()).count();
        exceeded + shortfalls(assumptions, self.scale_runs).len()
    }

    fn row(&self, key: &str, assumption: &Assumption) -> String {
        format!(
            "| {} (`{key}`) | {} {} | {} | {} | {} |\n",
            assumption.description,
            number(assumption.value),
            assumption.unit,
            assumption.reason,
            self.effect(key, 0.5),
            self.effect(key, 2.0)
        )
    }

    /// Describes the effect of multiplying a parameter by `factor`.
    fn effect(&self, key: &str, factor: f64) -> String {
        let assumptions = self.assumptions.with_scaled(key, factor);
        let projections = projections(&assumptions, self.fitted_runs);
        let largest = largest_change(&self.projections, &projections);
        format!(
            "{} exceeded; {}",
            self.exceeded_count(&projections, &assumptions),
            largest.unwrap_or_else(|| "nothing changes".into())
        )
    }
}

/// A projection before and after a change of one parameter.
struct Change<'a> {
    before: &'a Projection,
    after: &'a Projection,
    /// Absolute logarithm of the factor by which the ratio of value to limit changes.
    magnitude: f64,
}

impl<'a> Change<'a> {
    /// `None` if the projection does not change.
    fn new(before: &'a Projection, after: &'a Projection) -> Option<Self> {
        let against_limit = |projection: &Projection| projection.value / projection.limit.unwrap_or(1.0);
        let ratio = against_limit(after) / against_limit(before);
        // A limit that drops to zero or below counts as the largest possible change.
        let magnitude = if ratio <= 0.0 { f64::MAX } else { ratio.ln().abs() };
        let moves = magnitude.is_finite() && magnitude > MIN_RELATIVE_CHANGE;
        moves.then_some(Self { before, after, magnitude })
    }

    fn has_limit(&self) -> bool {
        self.before.limit.is_some()
    }

    fn describe(&self) -> String {
        let (before, after) = (self.before, self.after);
        let (description, unit) = (&before.description, before.unit);
        if (before.value - after.value).abs() > before.value * MIN_RELATIVE_CHANGE {
            return format!("{description}: {} to {} {unit}", number(before.value), number(after.value));
        }
        let limit = |projection: &Projection| projection.limit.map_or(String::new(), number);
        format!("{description}: limit {} {unit} instead of {}", limit(after), limit(before))
    }
}

/// Describes the projection that changes most relative to its limit; if none with a limit changes, the one without a
/// limit that changes most.
fn largest_change(before: &[Projection], after: &[Projection]) -> Option<String> {
    let changes = before.iter().zip(after).filter_map(|(before, after)| Change::new(before, after));
    let by_magnitude = |a: &Change<'_>, b: &Change<'_>| {
        a.has_limit().cmp(&b.has_limit()).then(a.magnitude.total_cmp(&b.magnitude))
    };
    changes.max_by(by_magnitude).map(|change| change.describe())
}

/// The paragraph on the distribution of calls over functions.
fn popularity(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> String {
    let target = &assumptions.target;
    let assumed = GatewayCalls::at_target(assumptions);
    let flat = GatewayCalls { zipf_exponent: FLAT_EXPONENT, ..assumed };
    let zipf = assumed.zipf_exponent;
    let distribution = |exponent: f64| Popularity::new(target.functions, exponent);
    let rarely_called = |exponent: f64| {
        let often = distribution(exponent).functions_above(RARE_CALLS_PER_SECOND / target.calls_per_second);
        number(target.functions - often as f64)
    };
    let first_percent = |exponent: f64| 100.0 * distribution(exponent).fraction(1.0);
    format!(
        "\nPopularity: with a Zipf exponent of {:.2} or more, most functions are called less than once a \
         minute. With {zipf} these are {} of {}, and the most popular function receives {:.0}% of all calls. \
         With 1.1, which the dispatcher is measured with as well, these are {}, and the most popular receives \
         {:.0}%. A gateway then holds state of {} functions at a time with {zipf}, and of {} with 1.1 ({}).\n",
        min_exponent(target.functions, target.calls_per_second, RARE_CALLS_PER_SECOND),
        rarely_called(zipf),
        number(target.functions),
        first_percent(zipf),
        rarely_called(FLAT_EXPONENT),
        first_percent(FLAT_EXPONENT),
        number(assumed.known_functions()),
        number(flat.known_functions()),
        measured_known_functions(fitted_runs),
    )
}

/// The measured number of known functions, for comparison with the calculated one.
fn measured_known_functions(fitted_runs: &FittedRuns) -> String {
    let measured = fitted_runs.get("functions-known-flat").and_then(|fitted| {
        fitted.run.measurements.iter().find(|measurement| measurement.size == MEASURED_WORKERS)
    });
    measured.map_or("not measured".into(), |measurement| {
        format!("measured at 145 calls a second and 60 s: {}", number(measurement.median))
    })
}
