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
    pub wrong: String,
    pub remedy: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.line, self.column, self.wrong, self.remedy)
    }
}

/// A text and what is wrong with it so far.
pub struct Page<'t> {
    text: &'t str,
    mistakes: RefCell<Vec<ConfigError>>,
}

impl<'t> Page<'t> {
    pub fn new(text: &'t str) -> Self {
        Self { text, mistakes: RefCell::default() }
    }

    pub fn mistake(&self, at: usize, wrong: impl Into<String>, remedy: impl Into<String>) {
        let (line, column) = self.place(at);
        let mistake = ConfigError { line, column, wrong: wrong.into(), remedy: remedy.into() };
        self.mistakes.borrow_mut().push(mistake);
    }

    /// Line and column of a byte, from 1.
    pub fn place(&self, at: usize) -> (usize, usize) {
        let at = (0..=at.min(self.text.len())).rev().find(|&n| self.text.is_char_boundary(n)).unwrap_or(0);
        let before = &self.text[..at];
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        (before.matches('\n').count() + 1, column)
    }

    /// All mistakes, in the order of the text.
    pub fn mistakes(self) -> Vec<ConfigError> {
        let mut mistakes = self.mistakes.into_inner();
        mistakes.sort_by_key(|m| (m.line, m.column));
        mistakes
    }
}

/// One block of a page: its name, its label and what stands in it.
pub struct Section<'p> {
    page: &'p Page<'p>,
    /// `workers` or `profile "refill-check"`, as messages name it.
    pub title: String,
    /// The label, empty where there is none.
    pub label: String,
    pub at: usize,
    /// Where it ends.
    end: usize,
    /// Its body, and below it those of the texts that this one builds on, whose figures hold where it gives none.
    bodies: Vec<&'p Body>,
    /// Whether the first of them stands on this page.
    own: bool,
    asked: RefCell<Vec<&'static str>>,
    /// Keys that were told of as not belonging here.
    refused: RefCell<Vec<&'static str>>,
    sealed: Cell<bool>,
}

fn at(span: Option<Range<usize>>) -> usize {
    span.map_or(0, |s| s.start)
}

/// The name of an attribute or block, and where it stands.
fn named(structure: &Structure) -> (&str, usize) {
    match structure {
        Structure::Attribute(a) => (a.key.as_str(), at(a.span())),
        Structure::Block(b) => (b.ident.as_str(), at(b.span())),
    }
}

impl<'p> Section<'p> {
    pub fn whole(page: &'p Page<'p>, body: &'p Body) -> Self {
        Self::layered(page, vec![body])
    }

    /// A text that builds on others: first its own body, then those of the others, which must be sound by themselves.
    pub fn layered(page: &'p Page<'p>, bodies: Vec<&'p Body>) -> Self {
        Self::new(page, "the charter".into(), String::new(), 0..page.text.len(), bodies, true)
    }

    /// A text that is no charter, by the title that messages give it.
    pub fn titled(page: &'p Page<'p>, title: &str, body: &'p Body) -> Self {
        Self::new(page, title.into(), String::new(), 0..page.text.len(), vec![body], true)
    }

    fn new(
        page: &'p Page<'p>,
        title: String,
        label: String,
        span: Range<usize>,
        bodies: Vec<&'p Body>,
        own: bool,
    ) -> Self {
        Self {
            page,
            title,
            label,
            at: span.start,
            end: span.end,
            bodies,
            own,
            asked: RefCell::default(),
            refused: RefCell::default(),
            sealed: Cell::new(false),
        }
    }

    /// The section as it is written.
    pub fn source(&self) -> &'p str {
        self.page.text.get(self.at..self.end).unwrap_or_default()
    }

    /// Tells of each attribute and block of that name that it does not belong here.
    pub fn refuse(&self, key: &'static str, wrong: &str, remedy: &str) {
        self.refused.borrow_mut().push(key);
        for structure in self.bodies[0] {
            let (name, at) = named(structure);
            if name == key {
                self.mistake(at, wrong, remedy);
            }
        }
    }

    /// An attribute, and where it stands; for one of another text that is where this section does.
    fn attribute(&self, key: &str) -> Option<(usize, &'p Attribute)> {
        self.bodies.iter().enumerate().find_map(|(layer, body)| {
            let attribute = body.get_attribute(key)?;
            Some((if layer == 0 && self.own { at(attribute.span()) } else { self.at }, attribute))
        })
    }

    pub fn mistake(&self, at: usize, wrong: impl Into<String>, remedy: impl Into<String>) {
        self.page.mistake(at, wrong, remedy);
    }

    fn value(&self, key: &'static str) -> Option<(usize, &'p Expression)> {
        self.asked.borrow_mut().push(key);
        self.attribute(key).map(|(at, attribute)| (at, &attribute.value))
    }

    /// Where an attribute stands, or the section itself.
    pub fn place(&self, key: &str) -> usize {
        self.attribute(key).map_or(self.at, |(at, _)| at)
    }

    pub fn has(&self, key: &str) -> bool {
        self.attribute(key).is_some()
    }

    /// A figure within bounds; `unit` says what it counts.
    pub fn figure(&self, key: &'static str, unit: &str, within: RangeInclusive<f64>) -> Option<f64> {
        let (at, value) = self.value(key)?;
        let figure = match value {
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
        if figure.is_none_or(|x| !within.contains(&x)) {
            let wrong = format!("{key} of {} is no number of {unit} from {bounds}", self.title);
            self.mistake(at, wrong, format!("write {key} = NUMBER, {bounds}"));
        }
        figure.filter(|x| within.contains(x))
    }

    /// A whole figure within bounds.
    pub fn count(&self, key: &'static str, unit: &str, within: RangeInclusive<u32>) -> Option<usize> {
        let figure = self.figure(key, unit, f64::from(*within.start())..=f64::from(*within.end()))?;
        if figure.fract() != 0.0 {
            let wrong = format!("{key} of {} is no whole number", self.title);
            self.mistake(self.place(key), wrong, format!("write {key} = {}", figure.round()));
        }
        Some(figure as usize)
    }

    pub fn flag(&self, key: &'static str) -> Option<bool> {
        let (at, value) = self.value(key)?;
        if let Expression::Bool(flag) = value {
            return Some(*flag.value());
        }
        let wrong = format!("{key} of {} is neither true nor false", self.title);
        self.mistake(at, wrong, format!("write {key} = true or {key} = false"));
        None
    }

    pub fn text(&self, key: &'static str) -> Option<&'p str> {
        let (at, value) = self.value(key)?;
        if let Expression::String(text) = value {
            return Some(text.value());
        }
        self.mistake(at, format!("{key} of {} is no text", self.title), format!("write {key} = \"...\""));
        None
    }

    /// A text that `read` understands; `shape` shows one.
    pub fn parsed<T>(&self, key: &'static str, shape: &str, read: impl Fn(&str) -> Option<T>) -> Option<T> {
        let text = self.text(key)?;
        let value = read(text);
        if value.is_none() {
            let wrong = format!("{key} of {} can't be \"{text}\"", self.title);
            self.mistake(self.place(key), wrong, format!("write {key} = {shape}"));
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
        let (at, value) = self.value(key)?;
        let texts = match value {
            Expression::Array(items) => items.iter().map(|item| match item {
                Expression::String(text) => read(text.value()),
                _ => None,
            }),
            _ => {
                self.mistake(
                    at,
                    format!("{key} of {} is no list", self.title),
                    format!("write {key} = {shape}"),
                );
                return None;
            }
        };
        let read: Option<Vec<T>> = texts.collect();
        if read.is_none() {
            let wrong = format!("{key} of {} holds what it can't", self.title);
            self.mistake(at, wrong, format!("write {key} = {shape}"));
        }
        read
    }

    /// One of a few words.
    pub fn word<T: Copy>(&self, key: &'static str, words: &[(&str, T)]) -> Option<T> {
        let shape: Vec<_> = words.iter().map(|(w, _)| format!("\"{w}\"")).collect();
        self.parsed(key, &shape.join(" or "), |text| words.iter().find(|(w, _)| *w == text).map(|(_, v)| *v))
    }

    /// A required attribute that is not there.
    pub fn missing(&self, key: &str, example: &str) {
        let wrong = format!("{} has no {key}", self.title);
        self.mistake(self.at, wrong, format!("add {key} = {example}"));
    }

    /// The blocks of that name; each with a label of its own where `labelled`, which must be a name.
    pub fn blocks(&self, key: &'static str, labelled: bool) -> Vec<Section<'p>> {
        self.asked.borrow_mut().push(key);
        let mut sections: Vec<Section<'p>> = Vec::new();
        // From the ground up: what stands below comes first, and gets its figures from above.
        for (layer, body) in self.bodies.iter().enumerate().rev() {
            let own = layer == 0 && self.own;
            for block in body.get_blocks(key) {
                let span = block.span().filter(|_| own).unwrap_or(self.at..self.at);
                let start = span.start;
                let label = block.labels.first().map(|l| l.as_str().to_owned()).unwrap_or_default();
                let title = if labelled { format!("{key} \"{label}\"") } else { key.to_owned() };
                if block.labels.len() != usize::from(labelled) || labelled && !is_name(&label) {
                    let wrong = format!("{title} has no proper label");
                    let shape = if labelled {
                        format!("{key} \"name\" {{ ... }}")
                    } else {
                        format!("{key} {{ ... }}")
                    };
                    self.mistake(start, wrong, format!("write {shape}"));
                }
                match sections.iter_mut().find(|s| s.label == label) {
                    Some(below) if own && !below.own => {
                        below.bodies.insert(0, &block.body);
                        (below.at, below.end, below.own) = (start, span.end, true);
                    }
                    Some(below) if !own => below.bodies.insert(0, &block.body),
                    twice => {
                        if twice.is_some() {
                            let remedy = if labelled { "give each its own name" } else { "keep one" };
                            self.mistake(start, format!("{title} stands here for the second time"), remedy);
                        }
                        sections.push(Section::new(self.page, title, label, span, vec![&block.body], own));
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
        const ALIKE: f64 = 0.75;
        // What another text holds was looked at with that one.
        if self.sealed.replace(true) || !self.own {
            return;
        }
        let asked = self.asked.borrow();
        for structure in self.bodies[0] {
            let (name, at) = named(structure);
            if asked.contains(&name) || self.refused.borrow().contains(&name) {
                continue;
            }
            let alike = |known: &&&str| strsim::jaro_winkler(known, name);
            let near =
                asked.iter().max_by(|a, b| alike(a).total_cmp(&alike(b))).filter(|k| alike(k) >= ALIKE);
            let remedy = near.map_or_else(
                || format!("remove it; known here: {}", asked.join(", ")),
                |near| format!("did you mean {near}?"),
            );
            self.page.mistake(at, format!("{} knows no {name}", self.title), remedy);
        }
    }
}
