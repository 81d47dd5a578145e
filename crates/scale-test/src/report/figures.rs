//! Figures of many gateways or control machines, and how they are printed.

use crate::distribution::Distribution;
use serde_json::{Map, Value, json};

/// One figure of each gateway, or of each control machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberFigures(Vec<MemberFigure>);

/// A figure of one gateway or control machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberFigure {
    /// The number of the gateway or control machine.
    pub member: usize,
    /// Its figure.
    pub value: f64,
}

impl MemberFigures {
    /// Adds the figure of one member.
    pub fn record(&mut self, member: usize, value: f64) {
        self.0.push(MemberFigure { member, value });
    }

    /// All figures, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &MemberFigure> {
        self.0.iter()
    }

    /// How many members have a figure.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no member has a figure.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How the figures are distributed over the members; none where there are none.
    #[must_use]
    pub fn distribution(&self) -> Option<Distribution> {
        Distribution::of(self.iter().map(|figure| figure.value).collect())
    }

    /// The figure of the median member.
    #[must_use]
    pub fn median(&self) -> Option<f64> {
        self.distribution().map(|distribution| distribution.p50)
    }
}

impl Extend<(usize, f64)> for MemberFigures {
    fn extend<T: IntoIterator<Item = (usize, f64)>>(&mut self, figures: T) {
        figures.into_iter().for_each(|(member, value)| self.record(member, value));
    }
}

impl FromIterator<(usize, f64)> for MemberFigures {
    fn from_iter<T: IntoIterator<Item = (usize, f64)>>(figures: T) -> Self {
        let mut all = Self::default();
        all.extend(figures);
        all
    }
}

/// A column of a report: one figure of a cost, with its names.
pub(super) struct Column<C> {
    /// Its name in JSON.
    pub key: &'static str,
    /// Its name in the table.
    pub label: &'static str,
    /// Where the figure is in the cost.
    pub figures: fn(&C) -> &MemberFigures,
}

/// How one figure is distributed over gateways or control machines.
pub(super) struct NamedDistribution {
    /// Its name in JSON.
    pub key: &'static str,
    /// Its name in the table.
    pub label: &'static str,
    /// The distribution.
    pub distribution: Distribution,
}

/// The columns of a cost that were measured.
pub(super) fn measured_columns<C>(columns: &[Column<C>], cost: &C) -> Vec<NamedDistribution> {
    let measured = |column: &Column<C>| {
        let distribution = (column.figures)(cost).distribution()?;
        Some(NamedDistribution { key: column.key, label: column.label, distribution })
    };
    columns.iter().filter_map(measured).collect()
}

/// Distributions as a JSON object, by their names.
pub(super) fn distributions_json(distributions: &[NamedDistribution]) -> Map<String, Value> {
    distributions.iter().map(|named| (named.key.to_owned(), json!(named.distribution))).collect()
}

/// A figure with as many digits as mean something.
pub(super) fn format_figure(figure: f64) -> String {
    match figure.abs() {
        x if x >= 100.0 => format!("{figure:.0}"),
        x if x >= 1.0 => format!("{figure:.2}"),
        _ => format!("{figure:.5}"),
    }
}
