//! What a mechanism comes to at the size asked for: a figure worked out from slopes, against what it may
//! be, and the part of that size at which it fails.

use crate::fit::{Fit, fit, near};
use crate::run::Run;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Who carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Gateway,
    Worker,
    Control,
    List,
    Store,
}

/// What is spent, or how old or late something gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    State,
    Messages,
    Cpu,
    Memory,
    Time,
}

impl Kind {
    pub fn word(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Messages => "messages",
            Self::Cpu => "CPU",
            Self::Memory => "memory",
            Self::Time => "time",
        }
    }
}

/// Runs by name, each with its form.
pub struct Slopes(BTreeMap<String, (Run, Fit)>);

impl Slopes {
    pub fn new(runs: BTreeMap<String, Run>) -> Self {
        let fitted = |(name, run): (String, Run)| {
            let fit = fit(&run);
            (name, (run, fit))
        };
        Self(runs.into_iter().map(fitted).collect())
    }

    pub fn get(&self, name: &str) -> Option<&(Run, Fit)> {
        self.0.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = &(Run, Fit)> {
        self.0.values()
    }
}

/// A run, and the place on its axes at the size asked for.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub run: &'static str,
    pub at: f64,
    pub and: f64,
}

/// A figure out of the size, as a part of that asked for, and of the figures of its runs there.
pub type Figure = Rc<dyn Fn(f64, &[f64]) -> f64>;

/// What is to be worked out.
#[derive(Clone)]
pub struct Ask {
    pub role: Role,
    pub kind: Kind,
    pub what: String,
    /// Else that of its first run.
    pub mechanism: Option<String>,
    pub places: Vec<Place>,
    pub figure: Figure,
    pub unit: &'static str,
    pub may: Option<f64>,
}

impl Ask {
    /// A figure of one run, times something.
    pub fn of(
        role: Role,
        kind: Kind,
        what: &str,
        (run, at): (&'static str, f64),
        times: f64,
        unit: &'static str,
    ) -> Self {
        Self {
            role,
            kind,
            what: what.into(),
            mechanism: None,
            places: vec![Place { run, at, and: 0.0 }],
            figure: Rc::new(move |_, figures| figures[0] * times),
            unit,
            may: None,
        }
    }

    /// A figure that follows from the code and the size alone.
    pub fn by_calculation(
        role: Role,
        kind: Kind,
        what: &str,
        mechanism: &str,
        unit: &'static str,
        figure: impl Fn(f64) -> f64 + 'static,
    ) -> Self {
        Self {
            role,
            kind,
            what: what.into(),
            mechanism: Some(mechanism.into()),
            places: Vec::new(),
            figure: Rc::new(move |size, _| figure(size)),
            unit,
            may: None,
        }
    }

    /// Several together, of one kind and unit.
    pub fn sum(what: &str, mechanism: &str, asks: &[&Ask]) -> Self {
        let first = asks[0];
        let parts: Vec<(usize, Figure)> = asks.iter().map(|a| (a.places.len(), a.figure.clone())).collect();
        let figure = move |size: f64, figures: &[f64]| {
            let mut rest = figures;
            let mut sum = 0.0;
            for (many, figure) in &parts {
                let (own, others) = rest.split_at(*many);
                sum += figure(size, own);
                rest = others;
            }
            sum
        };
        Self {
            what: what.into(),
            mechanism: Some(mechanism.into()),
            places: asks.iter().flat_map(|a| a.places.clone()).collect(),
            figure: Rc::new(figure),
            may: None,
            ..first.clone()
        }
    }

    pub fn may(self, may: f64) -> Self {
        Self { may: Some(may), ..self }
    }

    pub fn by(self, mechanism: &str) -> Self {
        Self { mechanism: Some(mechanism.into()), ..self }
    }
}

/// Where a figure is from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// All its runs were measured at that very size.
    Measured,
    /// By the form; beyond 1 it lies so many times past the largest size measured.
    Fitted(f64),
    Calculated,
    /// These runs are not there.
    NotRun(Vec<&'static str>),
}

/// One line of a table.
#[derive(Clone, Debug)]
pub struct Row {
    pub role: Role,
    pub kind: Kind,
    pub what: String,
    pub mechanism: String,
    pub value: f64,
    pub unit: &'static str,
    pub may: Option<f64>,
    pub source: Source,
    pub runs: Vec<&'static str>,
    /// The part of the size asked for at which it passes what it may be; none where it does not up to
    /// [`FARTHEST`].
    pub fails_at: Option<f64>,
    /// That lies below the smallest size that was measured: the form is carried on downwards.
    pub below: bool,
    /// Past what was measured: the least and the most by forms that fit nearly as well.
    pub range: Option<(f64, f64)>,
}

/// Times the size asked for up to which it is looked where a mechanism fails.
pub const FARTHEST: f64 = 100.0;

impl Row {
    pub fn misses(&self) -> bool {
        self.may.is_some_and(|may| self.value > may)
    }

    /// Whether forms that fit nearly as well would have it the other way.
    pub fn unsure(&self) -> bool {
        let apart = |(low, high): (f64, f64), may: f64| low <= may && may < high;
        self.range.zip(self.may).is_some_and(|(range, may)| apart(range, may))
    }
}

/// Works one out.
pub fn work_out(ask: &Ask, slopes: &Slopes) -> Row {
    let missing: Vec<&'static str> =
        ask.places.iter().map(|p| p.run).filter(|run| slopes.get(run).is_none()).collect();
    let mechanism = ask.mechanism.clone().or_else(|| {
        let first = ask.places.first().and_then(|p| slopes.get(p.run));
        first.map(|(run, _)| run.mechanism.clone())
    });
    let mut row = Row {
        role: ask.role,
        kind: ask.kind,
        what: ask.what.clone(),
        mechanism: mechanism.unwrap_or_default(),
        value: f64::NAN,
        unit: ask.unit,
        may: ask.may,
        source: Source::Calculated,
        runs: ask.places.iter().map(|p| p.run).collect(),
        fails_at: None,
        below: false,
        range: None,
    };
    if !missing.is_empty() {
        row.source = Source::NotRun(missing);
        return row;
    }
    let known: Vec<(&Run, Fit, Place)> =
        ask.places.iter().filter_map(|p| slopes.get(p.run).map(|(run, fit)| (run, *fit, *p))).collect();
    let here: Vec<f64> =
        known.iter().map(|(run, fit, p)| measured(run, p).unwrap_or(fit.at(p.at, p.and))).collect();
    row.value = (ask.figure)(1.0, &here);
    let beyond =
        known.iter().filter(|(run, _, p)| measured(run, p).is_none()).map(|(run, _, p)| p.at / run.largest());
    row.source = match beyond.fold(None, |most: Option<f64>, next| Some(most.map_or(next, |m| m.max(next)))) {
        _ if known.is_empty() => Source::Calculated,
        None => Source::Measured,
        Some(beyond) => Source::Fitted(beyond),
    };
    if matches!(row.source, Source::Fitted(beyond) if beyond > 1.0) {
        let extreme = |pick: fn(f64, f64) -> f64| {
            let of = |((run, fit, p), here): (&(&Run, Fit, Place), &f64)| match measured(run, p) {
                Some(_) => *here,
                None => near(run).iter().map(|f| f.at(p.at, p.and)).fold(fit.at(p.at, p.and), pick),
            };
            (ask.figure)(1.0, &known.iter().zip(&here).map(of).collect::<Vec<f64>>())
        };
        row.range = Some((extreme(f64::min), extreme(f64::max)));
    }
    let at = |size: f64| {
        let figures: Vec<f64> = known.iter().map(|(_, fit, p)| fit.at(p.at * size, p.and * size)).collect();
        (ask.figure)(size, &figures)
    };
    row.fails_at = ask.may.and_then(|may| fails_at(&at, may));
    // Where the form and what was measured at the size itself differ, what was measured holds, and what was measured
    // on both sides of the bound.
    let beyond = |part: Option<f64>| part.is_none_or(|part| part >= 1.0);
    if row.may.is_some() && row.misses() == beyond(row.fails_at) {
        let near = |size: f64| {
            let figure = |(run, fit, p): &(&Run, Fit, Place)| match p.at * size {
                at if run.second_axis.is_none() && at <= run.largest() => between(run, at),
                at => fit.at(at, p.and * size),
            };
            (ask.figure)(size, &known.iter().map(figure).collect::<Vec<f64>>())
        };
        row.fails_at = ask.may.and_then(|may| fails_at(&near, may));
        row.fails_at = match row.fails_at {
            part if row.misses() => Some(part.unwrap_or(1.0).min(1.0)),
            part => part.map(|part| part.max(1.0)),
        };
    }
    let least = |run: &Run| run.sizes.iter().map(|s| s.at).fold(f64::INFINITY, f64::min);
    row.below = row.fails_at.is_some_and(|part| known.iter().any(|(run, _, p)| p.at * part < least(run)));
    row
}

/// A measured figure between two neighbours, in a straight line; from nothing to the least size, and level past the
/// largest.
pub fn between(run: &Run, at: f64) -> f64 {
    let mut sizes: Vec<(f64, f64)> = run.sizes.iter().map(|s| (s.at, s.value)).collect();
    sizes.sort_by(|a, b| a.0.total_cmp(&b.0));
    let Some(next) = sizes.iter().position(|s| s.0 >= at) else { return sizes.last().map_or(0.0, |s| s.1) };
    let (from, to) = (if next == 0 { (0.0, 0.0) } else { sizes[next - 1] }, sizes[next]);
    from.1 + (to.1 - from.1) * (at - from.0) / (to.0 - from.0)
}

/// What a run measured at the very place, within a fiftieth of it.
fn measured(run: &Run, place: &Place) -> Option<f64> {
    let near = |a: f64, b: f64| (a - b).abs() <= b / 50.0;
    let here = |s: &&crate::run::Size| near(s.at, place.at) && s.and.is_none_or(|and| near(and, place.and));
    run.sizes.iter().find(here).map(|s| s.value)
}

/// The least part of the size at which a figure passes its bound: 0 where it does so at any size.
fn fails_at(figure: &dyn Fn(f64) -> f64, may: f64) -> Option<f64> {
    const LEAST: f64 = 1e-4;
    const STEPS: usize = 300;
    let step = (FARTHEST / LEAST).powf(1.0 / STEPS as f64);
    if figure(LEAST) > may {
        return Some(0.0);
    }
    let mut low = LEAST;
    for _ in 0..STEPS {
        let mut high = low * step;
        if figure(high) > may {
            for _ in 0..50 {
                let middle = (low + high) / 2.0;
                if figure(middle) > may { high = middle } else { low = middle }
            }
            return Some(high);
        }
        low = high;
    }
    None
}

/// A mechanism that is not there, or fails by what the code says whatever its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Lack {
    pub what: String,
    pub why: String,
    /// The part of the size from which on it is missed.
    pub fails_at: f64,
    /// See [`Row::below`].
    pub below: bool,
}
