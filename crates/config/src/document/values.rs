//! Typed values of attributes, each checked against its valid range. An invalid value is reported and returned as `None`,
//! so that reading continues with a default.

use super::aliases::former_value;
use super::section::Section;
use hcl_edit::expr::Expression;
use std::ops::RangeInclusive;

/// The value of a number, with its sign; `None` for any other expression.
fn as_number(value: &Expression) -> Option<f64> {
    match value {
        Expression::Number(number) => number.value().as_f64(),
        Expression::UnaryOp(unary) => match &unary.expr {
            Expression::Number(number) => number.value().as_f64().map(|x| -x),
            _ => None,
        },
        _ => None,
    }
}

impl<'p> Section<'p> {
    /// A number in a range. `unit` names the unit in the error message; empty if the number has none.
    #[must_use]
    pub fn number(&self, key: &'static str, unit: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let (offset, value) = self.value(key)?;
        let number = as_number(value).filter(|x| range.contains(x));
        if number.is_none() {
            let key = self.spelling(key);
            let bounds = match (range.start(), range.end()) {
                (low, high) if high.is_infinite() => format!("{low} or more"),
                (low, high) => format!("{low} to {high}"),
            };
            let unit_phrase = if unit.is_empty() { String::new() } else { format!(" of {unit}") };
            let problem = format!("{key} of {} must be a number{unit_phrase} from {bounds}", self.title);
            self.report(offset, problem, format!("write {key} = NUMBER, {bounds}"));
        }
        number
    }

    /// An integer in a range. `unit` names the unit in the error message.
    #[must_use]
    pub fn count(&self, key: &'static str, unit: &str, range: RangeInclusive<u32>) -> Option<usize> {
        let number = self.number(key, unit, f64::from(*range.start())..=f64::from(*range.end()))?;
        if number.fract() != 0.0 {
            let (offset, key) = (self.offset_of(key), self.spelling(key));
            let problem = format!("{key} of {} must be a whole number", self.title);
            self.report(offset, problem, format!("write {key} = {}", number.round()));
        }
        Some(number as usize)
    }

    /// A Boolean.
    #[must_use]
    pub fn flag(&self, key: &'static str) -> Option<bool> {
        let (offset, value) = self.value(key)?;
        if let Expression::Bool(flag) = value {
            return Some(*flag.value());
        }
        let key = self.spelling(key);
        let problem = format!("{key} of {} must be true or false", self.title);
        self.report(offset, problem, format!("write {key} = true or {key} = false"));
        None
    }

    /// A string.
    #[must_use]
    pub fn text(&self, key: &'static str) -> Option<&'p str> {
        let (offset, value) = self.value(key)?;
        if let Expression::String(text) = value {
            return Some(text.value());
        }
        let key = self.spelling(key);
        self.report(
            offset,
            format!("{key} of {} must be a string", self.title),
            format!("write {key} = \"...\""),
        );
        None
    }

    /// A string that `parse` accepts. `example` is a valid value for the error message.
    #[must_use]
    pub fn parsed<T>(
        &self,
        key: &'static str,
        example: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(key)?;
        let value = parse(text);
        if value.is_none() {
            let (offset, key) = (self.offset_of(key), self.spelling(key));
            let problem = format!("{key} of {} has the invalid value \"{text}\"", self.title);
            self.report(offset, problem, format!("write {key} = {example}"));
        }
        value
    }

    /// A list of strings that `parse` accepts. `example` is a valid list for the error message.
    #[must_use]
    pub fn list<T>(
        &self,
        key: &'static str,
        example: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let (offset, value) = self.value(key)?;
        let key = self.spelling(key);
        let remedy = format!("write {key} = {example}");
        let Expression::Array(items) = value else {
            self.report(offset, format!("{key} of {} must be a list", self.title), remedy);
            return None;
        };
        let parse_item = |item: &Expression| match item {
            Expression::String(text) => parse(text.value()),
            _ => None,
        };
        let values: Option<Vec<T>> = items.iter().map(parse_item).collect();
        if values.is_none() {
            self.report(offset, format!("{key} of {} has an invalid item", self.title), remedy);
        }
        values
    }

    /// One of several names, each given with its value. The former name of a choice is accepted too.
    #[must_use]
    pub fn one_of<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let quote = |(name, _): &(&str, T)| format!("\"{}\"", self.value_spelling(key, name));
        let quoted: Vec<_> = choices.iter().map(quote).collect();
        let matches_choice = |name: &str, text: &str| name == text || former_value(key, name) == Some(text);
        let parse =
            |text: &str| choices.iter().find(|(name, _)| matches_choice(name, text)).map(|(_, value)| *value);
        self.parsed(key, &quoted.join(" or "), parse)
    }
}
