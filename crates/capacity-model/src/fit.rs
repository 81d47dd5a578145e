//! The form in which a figure grows, by least squares over what was measured. Of each form a constant and a slope are
//! fitted, neither below zero; deviations count as parts of the figure, so that small sizes say as much as large
//! ones. The form whose residual is least is taken; of those that are as good, the one that grows most slowly. What
//! no single term fits may have two, where these fit far better.

use crate::run::{Run, Size};
use std::fmt;

/// How a figure grows with `n`, its first axis, or with `m`, its second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Flat,
    Log,
    Linear,
    LinearLog,
    Square,
    Cube,
    /// A part that grows with n, and one that overtakes it.
    LinearAndSquare,
    LinearAndCube,
    /// With the second axis alone, and with both multiplied.
    Second,
    Product,
}

const ONE_AXIS: [Form; 6] = [Form::Flat, Form::Log, Form::Linear, Form::LinearLog, Form::Square, Form::Cube];
const TWO_TERMS: [Form; 2] = [Form::LinearAndSquare, Form::LinearAndCube];
const TWO_AXES: [Form; 4] = [Form::Flat, Form::Linear, Form::Second, Form::Product];

/// Part by which a residual may be above the least and still count as good, and a residual below which every form is as
/// good as another: repeats differ by more.
const AS_GOOD: f64 = 1.1;
const NOISE: f64 = 0.01;

/// The residual past which a single term does not fit; the part of it that two terms must come down to; and the sizes
/// that it takes to tell them apart.
const MISFIT: f64 = 0.1;
const BETTER: f64 = 0.6;
const MANY: usize = 5;

impl Form {
    /// What the slope is multiplied by.
    fn of(self, n: f64, m: f64) -> f64 {
        match self {
            Self::Flat => 0.0,
            Self::Log => n.ln_1p(),
            Self::Linear => n,
            Self::LinearLog => n * n.ln_1p(),
            Self::Square | Self::LinearAndSquare => n * n,
            Self::Cube | Self::LinearAndCube => n * n * n,
            Self::Second => m,
            Self::Product => n * m,
        }
    }

    fn word(self) -> &'static str {
        match self {
            Self::Flat => "flat",
            Self::Log => "log n",
            Self::Linear => "n",
            Self::LinearLog => "n log n",
            Self::Square | Self::LinearAndSquare => "n²",
            Self::Cube | Self::LinearAndCube => "n³",
            Self::Second => "m",
            Self::Product => "n·m",
        }
    }

    fn has_linear(self) -> bool {
        matches!(self, Self::LinearAndSquare | Self::LinearAndCube)
    }
}

/// A form with its figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub form: Form,
    pub constant: f64,
    /// Of the part that grows with n beside another; else 0.
    pub linear: f64,
    pub slope: f64,
    /// Root of the mean square of deviations, as parts of the figure, for each degree of freedom.
    pub residual: f64,
}

impl Fit {
    pub fn at(&self, n: f64, m: f64) -> f64 {
        self.constant + self.linear * n + self.slope * self.form.of(n, m)
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (residual, word) = (100.0 * self.residual, self.form.word());
        let (constant, linear, slope) = (self.constant, self.linear, self.slope);
        match self.form {
            Form::Flat => write!(f, "flat: {constant:.3}; {residual:.1}%"),
            form if form.has_linear() => {
                write!(
                    f,
                    "n and {word}: {constant:.3} + {linear:.3e} × n + {slope:.3e} × {word}; {residual:.1}%"
                )
            }
            _ => write!(f, "{word}: {constant:.3} + {slope:.3e} × {word}; {residual:.1}%"),
        }
    }
}

/// The best form for a run's sizes.
pub fn fit(run: &Run) -> Fit {
    let forms: &[Form] = if run.second_axis.is_some() { &TWO_AXES } else { &ONE_AXIS };
    let best = best_of(forms, &run.sizes);
    if best.residual <= MISFIT || run.second_axis.is_some() || run.sizes.len() < MANY {
        return best;
    }
    let two = best_of(&TWO_TERMS, &run.sizes);
    if two.residual <= BETTER * best.residual { two } else { best }
}

/// All forms that fit nearly as well as the best: past what was measured they may tell different things.
pub fn near(run: &Run) -> Vec<Fit> {
    /// Times the residual of the best.
    const NEARLY: f64 = 2.0;
    let best = fit(run);
    let mut forms = if run.second_axis.is_some() { TWO_AXES.to_vec() } else { ONE_AXIS.to_vec() };
    if run.second_axis.is_none() && run.sizes.len() >= MANY {
        forms.extend(TWO_TERMS);
    }
    let all = forms.into_iter().map(|form| fitted(form, &run.sizes));
    all.filter(|f| f.residual <= (NEARLY * best.residual).max(NOISE)).collect()
}

fn best_of(forms: &[Form], sizes: &[Size]) -> Fit {
    let fits: Vec<Fit> = forms.iter().map(|form| fitted(*form, sizes)).collect();
    let least = fits.iter().map(|f| f.residual).fold(f64::INFINITY, f64::min);
    let good = fits.iter().find(|f| f.residual <= (AS_GOOD * least).max(NOISE));
    *good.unwrap_or(&fits[0])
}

/// What one figure of a form is multiplied by.
type Term = Box<dyn Fn(&Size) -> f64>;

/// The figures of one form: least squares, each size weighed by its own figure; of all ways to leave terms out, the best
/// of those with no term below zero.
fn fitted(form: Form, sizes: &[Size]) -> Fit {
    let most = sizes.iter().map(|s| s.value).fold(0.0, f64::max);
    // A figure of nothing would weigh endlessly.
    let weight = |s: &Size| 1.0 / s.value.max(most / 100.0).max(f64::MIN_POSITIVE);
    let terms: Vec<Term> = match form {
        Form::Flat => vec![Box::new(|_| 1.0)],
        _ if form.has_linear() => {
            vec![Box::new(|_| 1.0), Box::new(|s| s.at), Box::new(move |s| form.of(s.at, 0.0))]
        }
        _ => vec![Box::new(|_| 1.0), Box::new(move |s| form.of(s.at, s.and.unwrap_or(0.0)))],
    };
    // Each term by its largest, so that no power of n drowns the others.
    let scales: Vec<f64> =
        terms.iter().map(|t| sizes.iter().map(t).fold(f64::MIN_POSITIVE, f64::max)).collect();
    let rows: Vec<Vec<f64>> = sizes
        .iter()
        .map(|s| terms.iter().zip(&scales).map(|(t, scale)| weight(s) * t(s) / scale).collect())
        .collect();
    let wanted: Vec<f64> = sizes.iter().map(|s| weight(s) * s.value).collect();
    let error = |figures: &[f64]| {
        let of = |row: &Vec<f64>| row.iter().zip(figures).map(|(x, figure)| x * figure).sum::<f64>();
        rows.iter().zip(&wanted).map(|(row, y)| (of(row) - y).powi(2)).sum::<f64>()
    };
    let ways = (1..1usize << terms.len()).filter_map(|chosen| solve(&rows, &wanted, chosen));
    let ways = ways.filter(|figures| figures.iter().all(|f| *f >= 0.0));
    let best = ways.min_by(|a, b| error(a).total_cmp(&error(b))).unwrap_or_else(|| vec![0.0; terms.len()]);
    let degrees = (sizes.len() as f64 - terms.len() as f64).max(1.0);
    let residual = (error(&best) / degrees).sqrt();
    let figures: Vec<f64> = best.iter().zip(&scales).map(|(figure, scale)| figure / scale).collect();
    let slope = if form == Form::Flat { 0.0 } else { figures[figures.len() - 1] };
    let linear = if form.has_linear() { figures[1] } else { 0.0 };
    Fit { form, constant: figures[0], linear, slope, residual }
}

/// Least squares over the chosen terms, a bit for each; the others are 0. None where the sizes can't tell them apart.
fn solve(rows: &[Vec<f64>], wanted: &[f64], chosen: usize) -> Option<Vec<f64>> {
    let terms: Vec<usize> = (0..rows.first()?.len()).filter(|t| chosen >> t & 1 == 1).collect();
    // The normal equations, with what is wanted as their last column; then Gauss and Jordan.
    let mut lines: Vec<Vec<f64>> = terms
        .iter()
        .map(|a| {
            let both = terms.iter().map(|b| rows.iter().map(|row| row[*a] * row[*b]).sum::<f64>());
            let last = rows.iter().zip(wanted).map(|(row, y)| row[*a] * y).sum::<f64>();
            both.chain([last]).collect()
        })
        .collect();
    for n in 0..lines.len() {
        let pivot = (n..lines.len()).max_by(|a, b| lines[*a][n].abs().total_cmp(&lines[*b][n].abs()))?;
        lines.swap(n, pivot);
        if lines[n][n].abs() < 1e-12 {
            return None;
        }
        let line: Vec<f64> = lines[n].iter().map(|x| x / lines[n][n]).collect();
        for (_, row) in lines.iter_mut().enumerate().filter(|(other, _)| *other != n) {
            let times = row[n];
            row.iter_mut().zip(&line).for_each(|(x, y)| *x -= times * y);
        }
        lines[n] = line;
    }
    let mut figures = vec![0.0; rows[0].len()];
    terms.iter().zip(&lines).for_each(|(term, line)| figures[*term] = line[line.len() - 1]);
    Some(figures)
}
