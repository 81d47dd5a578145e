//! One block of a document: its attributes by name, its source text, and the keys that were asked for.

use super::aliases::{self, former_value, stated_name};
use super::text::Document;
use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Body, Structure};
use std::cell::RefCell;
use std::ops::Range;

/// One block of a document: its name, its label and its body. A key that nobody has asked for by the time it is dropped
/// is reported as unknown.
pub struct Section<'p> {
    pub(super) document: &'p Document<'p>,
    /// `workers` or `profile "refill-check"`, as messages name it.
    pub title: String,
    /// The label, empty where there is none.
    pub label: String,
    /// The byte of the document at which it begins.
    pub offset: usize,
    /// The byte after its last one.
    pub(super) end: usize,
    /// Its body, and after it those of the texts that this document builds on, whose values hold where it gives none.
    pub(super) bodies: Vec<&'p Body>,
    /// Whether the first body stands in this document.
    pub(super) in_document: bool,
    /// Keys that were asked for.
    pub(super) known_keys: RefCell<Vec<&'static str>>,
    /// Keys that were reported as not belonging here.
    pub(super) refused_keys: RefCell<Vec<&'static str>>,
}

/// The name of an attribute or block, and the byte at which it begins.
pub(super) fn name_and_offset(structure: &Structure) -> (&str, usize) {
    match structure {
        Structure::Attribute(attribute) => (attribute.key.as_str(), start_of(attribute.span())),
        Structure::Block(block) => (block.ident.as_str(), start_of(block.span())),
    }
}

fn start_of(span: Option<Range<usize>>) -> usize {
    span.map_or(0, |span| span.start)
}

impl<'p> Section<'p> {
    /// The top level of a configuration file.
    #[must_use]
    pub fn root(document: &'p Document<'p>, body: &'p Body) -> Self {
        Self::layered(document, vec![body])
    }

    /// A file that builds on others: first its own body, then those of the others, which must be valid by themselves.
    #[must_use]
    pub fn layered(document: &'p Document<'p>, bodies: Vec<&'p Body>) -> Self {
        Self::new(document, "the configuration".into(), String::new(), 0..document.text.len(), bodies, true)
    }

    /// A text that is no configuration file, by the title that messages give it.
    #[must_use]
    pub fn titled(document: &'p Document<'p>, title: &str, body: &'p Body) -> Self {
        Self::new(document, title.into(), String::new(), 0..document.text.len(), vec![body], true)
    }

    pub(super) fn new(
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
        }
    }

    /// The section as it is written.
    #[must_use]
    pub fn source(&self) -> &'p str {
        self.document.text.get(self.offset..self.end).unwrap_or_default()
    }

    /// Reports each attribute and block of that name as one that does not belong here.
    pub fn refuse(&self, key: &'static str, problem: &str, remedy: &str) {
        self.refused_keys.borrow_mut().push(key);
        for structure in self.bodies[0] {
            let (name, offset) = name_and_offset(structure);
            if name == key {
                self.report(offset, problem, remedy);
            }
        }
    }

    /// Records an error at a byte offset of the document.
    pub fn report(&self, offset: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        self.document.report(offset, problem, remedy);
    }

    /// Reports that a required attribute is not there.
    pub fn report_missing(&self, key: &str, example: &str) {
        let problem = format!("{} has no {key}", self.title);
        self.report(self.offset, problem, format!("add {key} = {example}"));
    }

    /// The name by which this section states a key or block: the standard one or the former one. Where it states neither,
    /// the standard one.
    #[must_use]
    pub fn spelling<'k>(&self, key: &'k str) -> &'k str {
        self.bodies.iter().find_map(|body| stated_name(body, key)).unwrap_or(key)
    }

    /// A value of a key in the same vocabulary as the key: its former name where the section has the former key.
    #[must_use]
    pub fn value_spelling<'k>(&self, key: &str, value: &'k str) -> &'k str {
        if self.spelling(key) == key { value } else { former_value(key, value).unwrap_or(value) }
    }

    /// The byte at which an attribute begins; where it is not stated, that of the section.
    #[must_use]
    pub fn offset_of(&self, key: &str) -> usize {
        self.attribute(key).map_or(self.offset, |(offset, _)| offset)
    }

    /// Whether an attribute is stated, valid or not.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.attribute(key).is_some()
    }

    /// The value of an attribute with its offset; the key counts as known from here on.
    pub(super) fn value(&self, key: &'static str) -> Option<(usize, &'p Expression)> {
        self.known_keys.borrow_mut().push(key);
        self.attribute(key).map(|(offset, attribute)| (offset, &attribute.value))
    }

    /// An attribute with its offset; one of another text gets the offset of this section.
    fn attribute(&self, key: &str) -> Option<(usize, &'p Attribute)> {
        self.bodies.iter().enumerate().find_map(|(layer, body)| {
            let attribute = aliases::attribute(body, key)?;
            let is_own = layer == 0 && self.in_document;
            let offset = if is_own { start_of(attribute.span()) } else { self.offset };
            Some((offset, attribute))
        })
    }
}
