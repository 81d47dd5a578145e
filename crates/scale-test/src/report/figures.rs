//! Metrics with one value for each gateway or control machine, and their formatting.

use crate::distribution::Distribution;
use serde_json::{Map, Value, json};

/// The values of one metric, one for each gateway or control machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberFigures(Vec<MemberFigure>);

/// The value of a metric for one gateway or control machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberFigure {
    /// Number of the gateway or control machine.
    pub member: usize,
    /// Its value.
    pub value: f64,
}

impl MemberFigures {
    /// Adds the value of one member.
    pub fn record(&mut self, member: usize, value: f64) {
        self.0.push(MemberFigure { member, value });
    }

    /// All values, in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &MemberFigure> {
        self.0.iter()
    }

    /// Number of members with a value.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no member has a value.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Distribution of the values over the members; `None` if there are no values.
    #[must_use]
    pub fn distribution(&self) -> Option<Distribution> {
        Distribution::of(self.iter().map(|figure| figure.value).collect())
    }

    /// Median value.
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

/// A column of a report: one metric of a cost and its names.
pub(super) struct Column<C> {
    /// Name in JSON.
    pub key: &'static str,
    /// Name in the table.
    pub label: &'static str,
    /// Accessor of the metric.
    pub figures: fn(&C) -> &MemberFigures,
}

/// Distribution of a metric over gateways or control machines.
pub(super) struct NamedDistribution {
    /// Name in JSON.
    pub key: &'static str,
    /// Name in the table.
    pub label: &'static str,
    /// The distribution.
    pub distribution: Distribution,
}

/// Returns the columns of a cost that were measured.
pub(super) fn measured_columns<C>(columns: &[Column<C>], cost: &C) -> Vec<NamedDistribution> {
    let measured = |column: &Column<C>| {
        let distribution = (column.figures)(cost).distribution()?;
        Some(NamedDistribution { key: column.key, label: column.label, distribution })
    };
    columns.iter().filter_map(measured).collect()
}

/// Converts distributions to a JSON object, keyed by name.
pub(super) fn distributions_json(distributions: &[NamedDistribution]) -> Map<String, Value> {
    distributions.iter().map(|named| (named.key.to_owned(), json!(named.distribution))).collect()
}

/// Formats a value with a sensible number of digits.
pub(super) fn format_figure(figure: f64) -> String {
    match figure.abs() {
        x if x >= 100.0 => format!("{figure:.0}"),
        x if x >= 1.0 => format!("{figure:.2}"),
        _ => format!("{figure:.5}"),
    }
}
