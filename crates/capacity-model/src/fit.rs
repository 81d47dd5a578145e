//! Fits growth curves to a measured quantity by least squares.
//!
//! Each form of growth has a non-negative constant and slope. Deviations are relative to the measured value, so that
//! small sizes count as much as large ones. The form with the smallest residual is selected; among forms that fit about
//! equally well, the one that grows most slowly. If no single-term form fits, a form with two terms is selected if it
//! fits much better.

use crate::least_squares::solve_non_negative;
use crate::run::{Measurement, Run};
use std::fmt;

/// How a quantity grows, on top of a constant, with `n`, the position on the first axis, and `m`, that on the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Does not grow.
    Constant,
    /// Proportional to log(1 + n).
    Logarithmic,
    /// Proportional to n.
    Linear,
    /// Proportional to n · log(1 + n).
    Linearithmic,
    /// Proportional to n².
    Quadratic,
    /// Proportional to n³.
    Cubic,
    /// The sum of a term in n and a term in n².
    LinearPlusQuadratic,
    /// The sum of a term in n and a term in n³.
    LinearPlusCubic,
    /// Proportional to m, independent of n.
    SecondAxis,
    /// Proportional to n · m.
    Product,
}

/// Single-term forms for a run with one axis, in order of growth.
const SINGLE_AXIS_FORMS: [Form; 6] =
    [Form::Constant, Form::Logarithmic, Form::Linear, Form::Linearithmic, Form::Quadratic, Form::Cubic];

/// Two-term forms for a run with one axis.
const TWO_TERM_FORMS: [Form; 2] = [Form::LinearPlusQuadratic, Form::LinearPlusCubic];

/// Forms for a run with two axes, in order of growth.
const TWO_AXIS_FORMS: [Form; 4] = [Form::Constant, Form::Linear, Form::SecondAxis, Form::Product];

/// Residuals up to this multiple of the smallest one count as equally good.
const EQUALLY_GOOD_FACTOR: f64 = 1.1;

/// Residuals below this are not compared: repeated measurements differ by more.
const NOISE_RESIDUAL: f64 = 0.01;

/// If the best single-term form has a larger residual, two-term forms are tried.
const MAX_SINGLE_TERM_RESIDUAL: f64 = 0.1;

/// A two-term form is selected if its residual is at most this fraction of the best single-term residual.
const MAX_TWO_TERM_RESIDUAL_RATIO: f64 = 0.6;

/// Minimum number of measured sizes to which a two-term form is fitted.
const MIN_SIZES_FOR_TWO_TERMS: usize = 5;

/// A form is plausible if its residual is at most this multiple of the best form's.
const PLAUSIBLE_FACTOR: f64 = 2.0;

/// Largest ratio of two weights: a measured value is weighted by its inverse, and as the weight of a value of zero
/// would be infinite, smaller values are weighted like the largest one divided by this.
const MAX_WEIGHT_RATIO: f64 = 100.0;

impl Form {
    /// The value of the term that the slope is multiplied by.
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

    /// The term as printed on the page.
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

    /// The terms of this form, beginning with the constant.
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

/// The factor of one coefficient, as a function of the measured size.
type Term = Box<dyn Fn(&Measurement) -> f64>;

/// A fitted form with its coefficients, in the unit of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The form of growth.
    pub form: Form,
    /// The value at size 0.
    pub constant: f64,
    /// Coefficient of n in a two-term form; otherwise 0.
    pub linear: f64,
    /// Coefficient of the form's term, or of its faster growing term if it has two.
    pub slope: f64,
    /// Root mean square of the relative deviations, per degree of freedom.
    pub residual: f64,
}

impl Fit {
    /// The fitted value at position `n` on the first axis and `m` on the second.
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

/// Fits all forms to the measurements of a run and selects the best one.
pub fn fit(run: &Run) -> Fit {
    let best = best_fit(single_term_forms(run), &run.measurements);
    if best.residual <= MAX_SINGLE_TERM_RESIDUAL || !can_have_two_terms(run) {
        return best;
    }
    let two_terms = best_fit(&TWO_TERM_FORMS, &run.measurements);
    if two_terms.residual <= MAX_TWO_TERM_RESIDUAL_RATIO * best.residual { two_terms } else { best }
}

/// Fits of all forms that match the measurements nearly as well as the best one. Beyond the measured sizes they may
/// differ widely.
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

/// The first of the forms whose residual is about as small as the smallest one.
fn best_fit(forms: &[Form], measurements: &[Measurement]) -> Fit {
    let fits: Vec<Fit> = forms.iter().map(|form| fit_form(*form, measurements)).collect();
    let least = fits.iter().map(|fit| fit.residual).fold(f64::INFINITY, f64::min);
    let good = fits.iter().find(|fit| fit.residual <= (EQUALLY_GOOD_FACTOR * least).max(NOISE_RESIDUAL));
    *good.unwrap_or(&fits[0])
}

/// Fits the coefficients of one form.
fn fit_form(form: Form, measurements: &[Measurement]) -> Fit {
    let largest = measurements.iter().map(|m| m.median).fold(0.0, f64::max);
    let weight = |m: &Measurement| 1.0 / m.median.max(largest / MAX_WEIGHT_RATIO).max(f64::MIN_POSITIVE);
    let terms = form.terms();
    // Each term is divided by its largest value: otherwise high powers of n would dominate the equations numerically.
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
