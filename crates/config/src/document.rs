//! HCL text with its mistakes. A [`Section`] is one block; its figures are asked for by name, each with the bounds
//! that make sense, and what nobody asked for is a mistake too. Reading goes on after a mistake, so that all of
//! them are told at once.

use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Body, Structure};
use milletpath_protocol::is_name;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::ops::{Range, RangeInclusive};

/// One thing that is wrong with a text, where, and what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    pub problem: String,
    pub remedy: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.line, self.column, self.problem, self.remedy)
    }
}

/// A text and what is wrong with it so far.
pub struct Document<'t> {
    text: &'t str,
    errors: RefCell<Vec<ConfigError>>,
}

impl<'t> Document<'t> {
    pub fn new(text: &'t str) -> Self {
        Self { text, errors: RefCell::default() }
    }

    pub fn report(&self, offset: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        let (line, column) = self.position(offset);
        let report = ConfigError { line, column, problem: problem.into(), remedy: remedy.into() };
        self.errors.borrow_mut().push(report);
    }

    /// Line and column of a byte, from 1.
    pub fn position(&self, offset: usize) -> (usize, usize) {
        let offset =
            (0..=offset.min(self.text.len())).rev().find(|&n| self.text.is_char_boundary(n)).unwrap_or(0);
        let before = &self.text[..offset];
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        (before.matches('\n').count() + 1, column)
    }

    /// All mistakes, in the order of the text.
    pub fn into_errors(self) -> Vec<ConfigError> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|m| (m.line, m.column));
        errors
    }
}

/// One block of a page: its name, its label and what stands in it.
pub struct Section<'p> {
    document: &'p Document<'p>,
    /// `workers` or `profile "refill-check"`, as messages name it.
    pub title: String,
    /// The label, empty where there is none.
    pub label: String,
    pub offset: usize,
    /// Where it ends.
    end: usize,
    /// Its body, and below it those of the texts that this one builds on, whose figures hold where it gives none.
    bodies: Vec<&'p Body>,
    /// Whether the first of them stands on this page.
    in_document: bool,
    known_keys: RefCell<Vec<&'static str>>,
    /// Keys that were told of as not belonging here.
    refused_keys: RefCell<Vec<&'static str>>,
    sealed: Cell<bool>,
}

fn offset(span: Option<Range<usize>>) -> usize {
    span.map_or(0, |s| s.start)
}

/// The name of an attribute or block, and where it stands.
fn name_and_offset(structure: &Structure) -> (&str, usize) {
    match structure {
        Structure::Attribute(a) => (a.key.as_str(), offset(a.span())),
        Structure::Block(b) => (b.ident.as_str(), offset(b.span())),
    }
}

impl<'p> Section<'p> {
    pub fn root(document: &'p Document<'p>, body: &'p Body) -> Self {
        Self::layered(document, vec![body])
    }

    /// A text that builds on others: first its own body, then those of the others, which must be sound by themselves.
    pub fn layered(document: &'p Document<'p>, bodies: Vec<&'p Body>) -> Self {
        Self::new(document, "the charter".into(), String::new(), 0..document.text.len(), bodies, true)
    }

    /// A text that is no charter, by the title that messages give it.
    pub fn titled(document: &'p Document<'p>, title: &str, body: &'p Body) -> Self {
        Self::new(document, title.into(), String::new(), 0..document.text.len(), vec![body], true)
    }

    fn new(
        document: &'p Document<'p>,
        title: String,
        label: String,
        span: Range<usize>,
        bodies: Vec<&'p Body>,
        in_document: bool,
    ) -> Self {
        Self {
            document,
            title,
            label,
            offset: span.start,
            end: span.end,
            bodies,
            in_document,
            known_keys: RefCell::default(),
            refused_keys: RefCell::default(),
            sealed: Cell::new(false),
        }
    }

    /// The section as it is written.
    pub fn source(&self) -> &'p str {
        self.document.text.get(self.offset..self.end).unwrap_or_default()
    }

    /// Tells of each attribute and block of that name that it does not belong here.
    pub fn refuse(&self, key: &'static str, problem: &str, remedy: &str) {
        self.refused_keys.borrow_mut().push(key);
        for structure in self.bodies[0] {
            let (name, offset) = name_and_offset(structure);
            if name == key {
                self.report(offset, problem, remedy);
            }
        }
    }

    /// An attribute, and where it stands; for one of another text that is where this section does.
    fn attribute(&self, key: &str) -> Option<(usize, &'p Attribute)> {
        self.bodies.iter().enumerate().find_map(|(layer, body)| {
            let attribute = body.get_attribute(key)?;
            Some((
                if layer == 0 && self.in_document { offset(attribute.span()) } else { self.offset },
                attribute,
            ))
        })
    }

    pub fn report(&self, offset: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        self.document.report(offset, problem, remedy);
    }

    fn value(&self, key: &'static str) -> Option<(usize, &'p Expression)> {
        self.known_keys.borrow_mut().push(key);
        self.attribute(key).map(|(offset, attribute)| (offset, &attribute.value))
    }

    /// Where an attribute stands, or the section itself.
    pub fn offset_of(&self, key: &str) -> usize {
        self.attribute(key).map_or(self.offset, |(offset, _)| offset)
    }

    pub fn has(&self, key: &str) -> bool {
        self.attribute(key).is_some()
    }

    /// A figure within bounds; `unit` says what it counts.
    pub fn number(&self, key: &'static str, unit: &str, within: RangeInclusive<f64>) -> Option<f64> {
        let (offset, value) = self.value(key)?;
        let number = match value {
            Expression::Number(n) => n.value().as_f64(),
            Expression::UnaryOp(op) => match &op.expr {
                Expression::Number(n) => n.value().as_f64().map(|x| -x),
                _ => None,
            },
            _ => None,
        };
        let bounds = match (within.start(), within.end()) {
            (low, high) if high.is_infinite() => format!("{low} or more"),
            (low, high) => format!("{low} to {high}"),
        };
        if number.is_none_or(|x| !within.contains(&x)) {
            let problem = format!("{key} of {} is no number of {unit} from {bounds}", self.title);
            self.report(offset, problem, format!("write {key} = NUMBER, {bounds}"));
        }
        number.filter(|x| within.contains(x))
    }

    /// A whole figure within bounds.
    pub fn count(&self, key: &'static str, unit: &str, within: RangeInclusive<u32>) -> Option<usize> {
        let number = self.number(key, unit, f64::from(*within.start())..=f64::from(*within.end()))?;
        if number.fract() != 0.0 {
            let problem = format!("{key} of {} is no whole number", self.title);
            self.report(self.offset_of(key), problem, format!("write {key} = {}", number.round()));
        }
        Some(number as usize)
    }

    pub fn flag(&self, key: &'static str) -> Option<bool> {
        let (offset, value) = self.value(key)?;
        if let Expression::Bool(flag) = value {
            return Some(*flag.value());
        }
        let problem = format!("{key} of {} is neither true nor false", self.title);
        self.report(offset, problem, format!("write {key} = true or {key} = false"));
        None
    }

    pub fn text(&self, key: &'static str) -> Option<&'p str> {
        let (offset, value) = self.value(key)?;
        if let Expression::String(text) = value {
            return Some(text.value());
        }
        self.report(offset, format!("{key} of {} is no text", self.title), format!("write {key} = \"...\""));
        None
    }

    /// A text that `read` understands; `shape` shows one.
    pub fn parsed<T>(&self, key: &'static str, shape: &str, read: impl Fn(&str) -> Option<T>) -> Option<T> {
        let text = self.text(key)?;
        let value = read(text);
        if value.is_none() {
            let problem = format!("{key} of {} can't be \"{text}\"", self.title);
            self.report(self.offset_of(key), problem, format!("write {key} = {shape}"));
        }
        value
    }

    /// A list of texts that `read` understands; `shape` shows one.
    pub fn list<T>(
        &self,
        key: &'static str,
        shape: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let (offset, value) = self.value(key)?;
        let texts = match value {
            Expression::Array(items) => items.iter().map(|item| match item {
                Expression::String(text) => read(text.value()),
                _ => None,
            }),
            _ => {
                self.report(
                    offset,
                    format!("{key} of {} is no list", self.title),
                    format!("write {key} = {shape}"),
                );
                return None;
            }
        };
        let read: Option<Vec<T>> = texts.collect();
        if read.is_none() {
            let problem = format!("{key} of {} holds what it can't", self.title);
            self.report(offset, problem, format!("write {key} = {shape}"));
        }
        read
    }

    /// One of a few words.
    pub fn one_of<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let shape: Vec<_> = choices.iter().map(|(w, _)| format!("\"{w}\"")).collect();
        self.parsed(key, &shape.join(" or "), |text| {
            choices.iter().find(|(w, _)| *w == text).map(|(_, v)| *v)
        })
    }

    /// A required attribute that is not there.
    pub fn report_missing(&self, key: &str, example: &str) {
        let problem = format!("{} has no {key}", self.title);
        self.report(self.offset, problem, format!("add {key} = {example}"));
    }

    /// The blocks of that name; each with a label of its own where `labelled`, which must be a name.
    pub fn blocks(&self, key: &'static str, labelled: bool) -> Vec<Section<'p>> {
        self.known_keys.borrow_mut().push(key);
        let mut sections: Vec<Section<'p>> = Vec::new();
        // From the ground up: what stands below comes first, and gets its figures from above.
        for (layer, body) in self.bodies.iter().enumerate().rev() {
            let in_document = layer == 0 && self.in_document;
            for block in body.get_blocks(key) {
                let span = block.span().filter(|_| in_document).unwrap_or(self.offset..self.offset);
                let start = span.start;
                let label = block.labels.first().map(|l| l.as_str().to_owned()).unwrap_or_default();
                let title = if labelled { format!("{key} \"{label}\"") } else { key.to_owned() };
                if block.labels.len() != usize::from(labelled) || labelled && !is_name(&label) {
                    let problem = format!("{title} has no proper label");
                    let shape = if labelled {
                        format!("{key} \"name\" {{ ... }}")
                    } else {
                        format!("{key} {{ ... }}")
                    };
                    self.report(start, problem, format!("write {shape}"));
                }
                match sections.iter_mut().find(|s| s.label == label) {
                    Some(below) if in_document && !below.in_document => {
                        below.bodies.insert(0, &block.body);
                        (below.offset, below.end, below.in_document) = (start, span.end, true);
                    }
                    Some(below) if !in_document => below.bodies.insert(0, &block.body),
                    duplicate => {
                        if duplicate.is_some() {
                            let remedy = if labelled { "give each its own name" } else { "keep one" };
                            self.report(start, format!("{title} stands here for the second time"), remedy);
                        }
                        sections.push(Section::new(
                            self.document,
                            title,
                            label,
                            span,
                            vec![&block.body],
                            in_document,
                        ));
                    }
                }
            }
        }
        sections
    }

    /// The one block of that name.
    pub fn block(&self, key: &'static str) -> Option<Section<'p>> {
        self.blocks(key, false).into_iter().next()
    }
}

/// When a section is done with, what nobody asked for is unknown.
impl Drop for Section<'_> {
    fn drop(&mut self) {
        /// Words at least so alike are taken for a slip.
        const MIN_SIMILARITY: f64 = 0.75;
        // What another text holds was looked at with that one.
        if self.sealed.replace(true) || !self.in_document {
            return;
        }
        let known_keys = self.known_keys.borrow();
        for structure in self.bodies[0] {
            let (name, offset) = name_and_offset(structure);
            if known_keys.contains(&name) || self.refused_keys.borrow().contains(&name) {
                continue;
            }
            let similarity = |known: &&&str| strsim::jaro_winkler(known, name);
            let closest = known_keys
                .iter()
                .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
                .filter(|k| similarity(k) >= MIN_SIMILARITY);
            let remedy = closest.map_or_else(
                || format!("remove it; known here: {}", known_keys.join(", ")),
                |closest| format!("did you mean {closest}?"),
            );
            self.document.report(offset, format!("{} knows no {name}", self.title), remedy);
        }
    }
}
