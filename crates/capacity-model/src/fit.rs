//! The form in which a measured quantity grows, fitted by least squares.
//!
//! Each form has a constant and a slope, neither negative. Deviations are relative to the measured value, so that small
//! sizes count as much as large ones. The form with the least residual is taken; among those about as good, the one
//! that grows most slowly. Where no single term fits, a form with two terms is taken if it fits far better.

use crate::least_squares::solve_non_negative;
use crate::run::{Measurement, Run};
use std::fmt;

/// How a quantity grows with `n`, its first axis, or with `m`, its second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Constant.
    Constant,
    /// With log(1 + n).
    Logarithmic,
    /// With n.
    Linear,
    /// With n · log(1 + n).
    Linearithmic,
    /// With n².
    Quadratic,
    /// With n³.
    Cubic,
    /// With n, and with n² beside it.
    LinearPlusQuadratic,
    /// With n, and with n³ beside it.
    LinearPlusCubic,
    /// With m alone.
    SecondAxis,
    /// With n · m.
    Product,
}

/// Forms of a run with one axis, from the slowest growth.
const SINGLE_AXIS_FORMS: [Form; 6] =
    [Form::Constant, Form::Logarithmic, Form::Linear, Form::Linearithmic, Form::Quadratic, Form::Cubic];

/// Forms of a run with one axis that have two terms.
const TWO_TERM_FORMS: [Form; 2] = [Form::LinearPlusQuadratic, Form::LinearPlusCubic];

/// Forms of a run with two axes, from the slowest growth.
const TWO_AXIS_FORMS: [Form; 4] = [Form::Constant, Form::Linear, Form::SecondAxis, Form::Product];

/// A residual up to this multiple of the least one counts as equally good.
const EQUALLY_GOOD_FACTOR: f64 = 1.1;

/// Residuals below this are not compared: the repeats differ by more.
const NOISE_RESIDUAL: f64 = 0.01;

/// A residual above this means that a single term does not fit.
const MAX_SINGLE_TERM_RESIDUAL: f64 = 0.1;

/// Two terms are taken if they leave at most this fraction of the single term's residual.
const MAX_TWO_TERM_RESIDUAL_RATIO: f64 = 0.6;

/// Measured sizes needed to fit two terms.
const MIN_SIZES_FOR_TWO_TERMS: usize = 5;

/// A form is plausible if its residual is at most this multiple of the best one's.
const PLAUSIBLE_FACTOR: f64 = 2.0;

/// Measured values below the largest divided by this are weighted as if they were that large: a value of zero would
/// weigh infinitely.
const MAX_WEIGHT_RATIO: f64 = 100.0;

impl Form {
    /// The term that the slope is multiplied by.
    fn term(self, n: f64, m: f64) -> f64 {
        match self {
            Self::Constant => 0.0,
            Self::Logarithmic => n.ln_1p(),
            Self::Linear => n,
            Self::Linearithmic => n * n.ln_1p(),
            Self::Quadratic | Self::LinearPlusQuadratic => n * n,
            Self::Cubic | Self::LinearPlusCubic => n * n * n,
            Self::SecondAxis => m,
            Self::Product => n * m,
        }
    }

    /// The term as the page prints it.
    fn symbol(self) -> &'static str {
        match self {
            Self::Constant => "flat",
            Self::Logarithmic => "log n",
            Self::Linear => "n",
            Self::Linearithmic => "n log n",
            Self::Quadratic | Self::LinearPlusQuadratic => "n²",
            Self::Cubic | Self::LinearPlusCubic => "n³",
            Self::SecondAxis => "m",
            Self::Product => "n·m",
        }
    }

    fn has_two_terms(self) -> bool {
        TWO_TERM_FORMS.contains(&self)
    }

    /// The terms of this form, the constant first.
    fn terms(self) -> Vec<Term> {
        let constant: Term = Box::new(|_| 1.0);
        match self {
            Self::Constant => vec![constant],
            _ if self.has_two_terms() => {
                vec![constant, Box::new(|m| m.size), Box::new(move |m| self.term(m.size, 0.0))]
            }
            _ => vec![constant, Box::new(move |m| self.term(m.size, m.second_size.unwrap_or(0.0)))],
        }
    }
}

/// What one coefficient is multiplied by, at a measured size.
type Term = Box<dyn Fn(&Measurement) -> f64>;

/// A form with its coefficients, in the unit of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The form of growth.
    pub form: Form,
    /// The value at size 0.
    pub constant: f64,
    /// Coefficient of n in a form with two terms; otherwise 0.
    pub linear: f64,
    /// Coefficient of the form's own term.
    pub slope: f64,
    /// Root mean square of the relative deviations, per degree of freedom.
    pub residual: f64,
}

impl Fit {
    /// The fitted value at a place on both axes.
    pub fn value_at(&self, n: f64, m: f64) -> f64 {
        self.constant + self.linear * n + self.slope * self.form.term(n, m)
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (constant, linear, slope) = (self.constant, self.linear, self.slope);
        let (percent, symbol) = (100.0 * self.residual, self.form.symbol());
        match self.form {
            Form::Constant => write!(formatter, "flat: {constant:.3}; {percent:.1}%"),
            form if form.has_two_terms() => write!(
                formatter,
                "n and {symbol}: {constant:.3} + {linear:.3e} × n + {slope:.3e} × {symbol}; {percent:.1}%"
            ),
            _ => write!(formatter, "{symbol}: {constant:.3} + {slope:.3e} × {symbol}; {percent:.1}%"),
        }
    }
}

/// The best form for the measurements of a run.
pub fn fit(run: &Run) -> Fit {
    let best = best_fit(single_term_forms(run), &run.measurements);
    if best.residual <= MAX_SINGLE_TERM_RESIDUAL || !can_have_two_terms(run) {
        return best;
    }
    let two_terms = best_fit(&TWO_TERM_FORMS, &run.measurements);
    if two_terms.residual <= MAX_TWO_TERM_RESIDUAL_RATIO * best.residual { two_terms } else { best }
}

/// All forms that fit nearly as well as the best one. Beyond the measured sizes they may differ widely.
pub fn plausible_fits(run: &Run) -> Vec<Fit> {
    let limit = (PLAUSIBLE_FACTOR * fit(run).residual).max(NOISE_RESIDUAL);
    let mut forms = single_term_forms(run).to_vec();
    if can_have_two_terms(run) {
        forms.extend(TWO_TERM_FORMS);
    }
    let fits = forms.into_iter().map(|form| fit_form(form, &run.measurements));
    fits.filter(|fit| fit.residual <= limit).collect()
}

fn single_term_forms(run: &Run) -> &'static [Form] {
    if run.second_axis.is_some() { &TWO_AXIS_FORMS } else { &SINGLE_AXIS_FORMS }
}

fn can_have_two_terms(run: &Run) -> bool {
    run.second_axis.is_none() && run.measurements.len() >= MIN_SIZES_FOR_TWO_TERMS
}

/// The first of the forms whose residual counts as good as the least.
fn best_fit(forms: &[Form], measurements: &[Measurement]) -> Fit {
    let fits: Vec<Fit> = forms.iter().map(|form| fit_form(*form, measurements)).collect();
    let least = fits.iter().map(|fit| fit.residual).fold(f64::INFINITY, f64::min);
    let good = fits.iter().find(|fit| fit.residual <= (EQUALLY_GOOD_FACTOR * least).max(NOISE_RESIDUAL));
    *good.unwrap_or(&fits[0])
}

/// The coefficients of one form.
fn fit_form(form: Form, measurements: &[Measurement]) -> Fit {
    let largest = measurements.iter().map(|m| m.median).fold(0.0, f64::max);
    let weight = |m: &Measurement| 1.0 / m.median.max(largest / MAX_WEIGHT_RATIO).max(f64::MIN_POSITIVE);
    let terms = form.terms();
    // Each term is scaled by its largest value, so that no power of n drowns the others.
    let scale = |term: &Term| measurements.iter().map(term).fold(f64::MIN_POSITIVE, f64::max);
    let scales: Vec<f64> = terms.iter().map(scale).collect();
    let row = |m: &Measurement| {
        terms.iter().zip(&scales).map(|(term, scale)| weight(m) * term(m) / scale).collect()
    };
    let rows: Vec<Vec<f64>> = measurements.iter().map(row).collect();
    let targets: Vec<f64> = measurements.iter().map(|m| weight(m) * m.median).collect();

    let solution = solve_non_negative(&rows, &targets, terms.len());
    let degrees_of_freedom = (measurements.len() as f64 - terms.len() as f64).max(1.0);
    let residual = (solution.squared_error / degrees_of_freedom).sqrt();
    let coefficients: Vec<f64> =
        solution.coefficients.iter().zip(&scales).map(|(coefficient, scale)| coefficient / scale).collect();
    let slope = if form == Form::Constant { 0.0 } else { coefficients[coefficients.len() - 1] };
    let linear = if form.has_two_terms() { coefficients[1] } else { 0.0 };
    Fit { form, constant: coefficients[0], linear, slope, residual }
}
