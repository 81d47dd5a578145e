//! Evaluates a quantity at the target size and finds the fraction of that size at which it exceeds its limit.

pub use crate::breaking_point::MAX_SIZE_FACTOR;
use crate::breaking_point::breaking_point;
use crate::fit::plausible_fits;
use crate::fitted_runs::{FittedRun, FittedRuns};
use crate::number::number;
use crate::quantity::{Quantity, Resource, Role, RunInput};
use crate::run::Run;
use std::fmt;

/// A measured size that deviates from the target by at most this fraction counts as the target.
const SIZE_TOLERANCE: f64 = 1.0 / 50.0;

/// A range narrower than this fraction of its upper end is not printed.
const MIN_PRINTED_RANGE: f64 = 0.01;

/// How a projected value was obtained.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// All runs were measured at the target size.
    Measured,
    /// From fitted growth curves. The number is the target size divided by the largest measured size: above 1 the value
    /// is extrapolated.
    Fitted(f64),
    /// By a formula, without a run.
    Calculated,
    /// Not at all, as these runs are missing.
    MissingRuns(Vec<&'static str>),
}

impl fmt::Display for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Measured => formatter.write_str("measured at this size"),
            Self::Fitted(ratio) if *ratio <= 1.0 => formatter.write_str("fitted, within the measured sizes"),
            Self::Fitted(ratio) => {
                write!(formatter, "EXTRAPOLATED to {ratio:.2} times the largest measured size")
            }
            Self::Calculated => formatter.write_str("calculated"),
            Self::MissingRuns(runs) => write!(formatter, "not run: {}", runs.join(", ")),
        }
    }
}

/// The range of values according to all plausible forms of growth, in the unit of the projection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange {
    /// Smallest value.
    pub low: f64,
    /// Largest value.
    pub high: f64,
}

/// A quantity at the target size; one row of a table.
#[derive(Clone, Debug)]
pub struct Projection {
    /// The part of the system that bears the cost.
    pub role: Role,
    /// The resource that is used.
    pub resource: Resource,
    /// The name of the quantity on the page.
    pub description: String,
    /// The mechanism that causes the cost.
    pub mechanism: String,
    /// The value at the target size, in [`Projection::unit`]; NaN if a run is missing.
    pub value: f64,
    /// Unit of the value, the limit and the range.
    pub unit: &'static str,
    /// The largest acceptable value, if there is a limit.
    pub limit: Option<f64>,
    /// How the value was obtained.
    pub source: Source,
    /// The runs that the value is computed from.
    pub runs: Vec<&'static str>,
    /// The fraction of the target size at which the limit is exceeded; `None` if it is not up to [`MAX_SIZE_FACTOR`].
    pub breaking_point: Option<f64>,
    /// Whether the breaking point lies below the smallest measured size, so that it is extrapolated downwards.
    pub breaks_below_measured: bool,
    /// For an extrapolated value: the range of values according to all plausible forms.
    pub range: Option<ValueRange>,
}

impl Projection {
    /// Whether the value exceeds the limit.
    pub fn exceeds_limit(&self) -> bool {
        self.limit.is_some_and(|limit| self.value > limit)
    }

    /// Whether the limit is exceeded according to some plausible forms and kept according to others.
    pub fn is_uncertain(&self) -> bool {
        let straddles = |(range, limit): (ValueRange, f64)| range.low <= limit && limit < range.high;
        self.range.zip(self.limit).is_some_and(straddles)
    }

    /// How the value was obtained, with the range of an extrapolated value, as printed on the page.
    pub fn provenance(&self) -> String {
        let is_wide = |range: &ValueRange| range.high - range.low > MIN_PRINTED_RANGE * range.high;
        let Some(range) = self.range.filter(is_wide) else { return self.source.to_string() };
        let (low, high) = (number(range.low), number(range.high));
        format!("{}; {low} to {high} by other forms that fit nearly as well", self.source)
    }

    /// Whether a run that the value is computed from is missing.
    pub fn has_missing_runs(&self) -> bool {
        matches!(self.source, Source::MissingRuns(_))
    }
}

/// Evaluates a quantity at the target size.
pub fn project(quantity: &Quantity, fitted_runs: &FittedRuns) -> Projection {
    let runs: Vec<&'static str> = quantity.inputs.iter().map(|input| input.run).collect();
    let missing: Vec<&'static str> =
        runs.iter().copied().filter(|run| fitted_runs.get(run).is_none()).collect();
    let projection = Projection {
        role: quantity.role,
        resource: quantity.resource,
        description: quantity.description.clone(),
        mechanism: mechanism(quantity, fitted_runs),
        value: f64::NAN,
        unit: quantity.unit,
        limit: quantity.limit,
        source: Source::Calculated,
        runs,
        breaking_point: None,
        breaks_below_measured: false,
        range: None,
    };
    if missing.is_empty() {
        Evaluation::new(quantity, fitted_runs).complete(projection)
    } else {
        Projection { source: Source::MissingRuns(missing), ..projection }
    }
}

/// The mechanism that the quantity names, otherwise that of its first run.
fn mechanism(quantity: &Quantity, fitted_runs: &FittedRuns) -> String {
    let of_first_run = || {
        let fitted = quantity.inputs.first().and_then(|input| fitted_runs.get(input.run))?;
        Some(fitted.run.mechanism.clone())
    };
    quantity.mechanism.clone().or_else(of_first_run).unwrap_or_default()
}

/// A run together with the position on its axes that corresponds to the target size.
struct EvaluatedInput<'a> {
    run: &'a FittedRun,
    position: RunInput,
    /// The median measured at this position, if there is one.
    measured: Option<f64>,
}

impl<'a> EvaluatedInput<'a> {
    fn new(run: &'a FittedRun, position: RunInput) -> Self {
        Self { run, position, measured: measured_at(&run.run, &position) }
    }

    /// The value on the fitted curve at a fraction of the target size.
    fn fitted_value(&self, size: f64) -> f64 {
        self.run.fit.value_at(self.position.size * size, self.position.second_size * size)
    }

    /// The value at the target size: the measured one if there is one, otherwise that on the fitted curve.
    fn target_value(&self) -> f64 {
        self.measured.unwrap_or(self.run.fit.value_at(self.position.size, self.position.second_size))
    }

    /// The value at a fraction of the target size: interpolated up to the largest measured size, beyond it on the
    /// fitted curve. Runs with two axes are not interpolated.
    fn interpolated_value(&self, size: f64) -> f64 {
        let run = &self.run.run;
        let position = self.position.size * size;
        if run.second_axis.is_none() && position <= run.max_size() {
            run.interpolate(position)
        } else {
            self.fitted_value(size)
        }
    }

    /// The smallest or largest value at the target size according to all plausible forms; `pick` is `f64::min` or
    /// `f64::max`.
    fn extreme_value(&self, pick: fn(f64, f64) -> f64) -> f64 {
        if let Some(measured) = self.measured {
            return measured;
        }
        let values = plausible_fits(&self.run.run)
            .into_iter()
            .map(|fit| fit.value_at(self.position.size, self.position.second_size));
        values.fold(self.target_value(), pick)
    }

    /// The target size divided by the largest measured size; `None` if the target size was measured.
    fn extrapolation_ratio(&self) -> Option<f64> {
        match self.measured {
            Some(_) => None,
            None => Some(self.position.size / self.run.run.max_size()),
        }
    }
}

/// The median measured at a position, if there is one.
fn measured_at(run: &Run, position: &RunInput) -> Option<f64> {
    let is_near = |measured: f64, target: f64| (measured - target).abs() <= target * SIZE_TOLERANCE;
    let measurement = run.measurements.iter().find(|m| {
        is_near(m.size, position.size) && m.second_size.is_none_or(|size| is_near(size, position.second_size))
    });
    measurement.map(|m| m.median)
}

/// A quantity with all runs that it is computed from.
struct Evaluation<'a> {
    quantity: &'a Quantity,
    inputs: Vec<EvaluatedInput<'a>>,
}

impl<'a> Evaluation<'a> {
    fn new(quantity: &'a Quantity, fitted_runs: &'a FittedRuns) -> Self {
        let evaluated = |input: &RunInput| Some(EvaluatedInput::new(fitted_runs.get(input.run)?, *input));
        Self { quantity, inputs: quantity.inputs.iter().filter_map(evaluated).collect() }
    }

    /// Fills in the fields of a projection that depend on the runs.
    fn complete(&self, projection: Projection) -> Projection {
        let projection = Projection {
            value: self.evaluate(1.0, EvaluatedInput::target_value),
            source: self.source(),
            range: self.range(),
            ..projection
        };
        let breaking_point = self.breaking_point(projection.exceeds_limit());
        Projection {
            breaking_point,
            breaks_below_measured: breaking_point.is_some_and(|size| self.is_below_measured(size)),
            ..projection
        }
    }

    /// The quantity at a fraction of the target size, computed from the given value of each input.
    fn evaluate(&self, size: f64, value: impl Fn(&EvaluatedInput<'a>) -> f64) -> f64 {
        let values: Vec<f64> = self.inputs.iter().map(value).collect();
        (self.quantity.formula)(size, &values)
    }

    fn source(&self) -> Source {
        let extrapolation_ratio =
            self.inputs.iter().filter_map(EvaluatedInput::extrapolation_ratio).reduce(f64::max);
        match extrapolation_ratio {
            _ if self.inputs.is_empty() => Source::Calculated,
            None => Source::Measured,
            Some(extrapolation_ratio) => Source::Fitted(extrapolation_ratio),
        }
    }

    /// The range of values according to all plausible forms; `None` if the value is not extrapolated.
    fn range(&self) -> Option<ValueRange> {
        let is_extrapolated =
            matches!(self.source(), Source::Fitted(extrapolation_ratio) if extrapolation_ratio > 1.0);
        is_extrapolated.then(|| ValueRange {
            low: self.evaluate(1.0, |input| input.extreme_value(f64::min)),
            high: self.evaluate(1.0, |input| input.extreme_value(f64::max)),
        })
    }

    /// The fraction of the target size at which the limit is exceeded. If the fitted curve contradicts the measurement
    /// at the target size, the measurement takes precedence: the curve is replaced by interpolation.
    fn breaking_point(&self, exceeds_limit: bool) -> Option<f64> {
        let limit = self.quantity.limit?;
        let fitted = |size: f64| self.evaluate(size, |input| input.fitted_value(size));
        let by_form = breaking_point(&fitted, limit);
        let form_within_limit = by_form.is_none_or(|size| size >= 1.0);
        if exceeds_limit != form_within_limit {
            return by_form;
        }
        let interpolated = |size: f64| self.evaluate(size, |input| input.interpolated_value(size));
        let by_measurement = breaking_point(&interpolated, limit);
        if exceeds_limit {
            Some(by_measurement.unwrap_or(1.0).min(1.0))
        } else {
            by_measurement.map(|size| size.max(1.0))
        }
    }

    fn is_below_measured(&self, size: f64) -> bool {
        self.inputs.iter().any(|input| input.position.size * size < input.run.run.min_size())
    }
}
