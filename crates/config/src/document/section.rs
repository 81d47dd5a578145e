//! One block of a document: its attributes by name, its source text, and the keys that readers requested.

use super::aliases::{self, former_value, name_in};
use super::text::Document;
use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Body, Structure};
use std::cell::RefCell;
use std::ops::Range;

/// One block of a document: its name, its label and its body. When the section is dropped, each key that no reader has
/// requested is reported as unknown.
pub struct Section<'p> {
    pub(super) document: &'p Document<'p>,
    /// The name of the section in messages, such as `workers` or `profile "refill-check"`.
    pub title: String,
    /// The label; empty if there is none.
    pub label: String,
    /// The byte offset in the document at which the section starts.
    pub offset: usize,
    /// The byte offset after its last byte.
    pub(super) end: usize,
    /// The body of the section, followed by those of the documents that this document extends. The first body that has an
    /// attribute provides its value.
    pub(super) bodies: Vec<&'p Body>,
    /// Whether the first body is part of this document rather than of one that it extends.
    pub(super) in_document: bool,
    /// Keys that readers requested.
    pub(super) known_keys: RefCell<Vec<&'static str>>,
    /// Keys that are not allowed here. Their uses were reported by [`Section::reject_key`], and not as unknown keys.
    pub(super) rejected_keys: RefCell<Vec<&'static str>>,
}

/// The name of an attribute or block, and the byte offset at which it starts.
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
    /// The top-level section of a configuration file.
    #[must_use]
    pub fn root(document: &'p Document<'p>, body: &'p Body) -> Self {
        Self::layered(document, vec![body])
    }

    /// The top-level section of a file that extends others. `bodies` has the body of the file first, then those of the
    /// extended files, which must be valid by themselves: their errors are not reported here.
    #[must_use]
    pub fn layered(document: &'p Document<'p>, bodies: Vec<&'p Body>) -> Self {
        Self::new(document, "the configuration".into(), String::new(), 0..document.text.len(), bodies, true)
    }

    /// The top-level section of another kind of document, with its title for messages.
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
            rejected_keys: RefCell::default(),
        }
    }

    /// The source text of the section.
    #[must_use]
    pub fn source(&self) -> &'p str {
        self.document.text.get(self.offset..self.end).unwrap_or_default()
    }

    /// Reports each attribute and block with this name as not allowed in this section.
    pub fn reject_key(&self, key: &'static str, problem: &str, remedy: &str) {
        self.rejected_keys.borrow_mut().push(key);
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

    /// Reports that a required attribute is missing.
    pub fn report_missing(&self, key: &str, example: &str) {
        let problem = format!("{} has no {key}", self.title);
        self.report(self.offset, problem, format!("add {key} = {example}"));
    }

    /// The name of a key or block as this section spells it: standard or former. If the section does not have it, the
    /// standard name.
    #[must_use]
    pub fn spelling<'k>(&self, key: &'k str) -> &'k str {
        self.bodies.iter().find_map(|body| name_in(body, key)).unwrap_or(key)
    }

    /// The name of a value of a key, to match the spelling of the key: the former name of the value if the section uses the
    /// former name of the key.
    #[must_use]
    pub fn value_spelling<'k>(&self, key: &str, value: &'k str) -> &'k str {
        if self.spelling(key) == key { value } else { former_value(key, value).unwrap_or(value) }
    }

    /// The byte offset of an attribute, or of the section if the attribute is absent.
    #[must_use]
    pub fn offset_of(&self, key: &str) -> usize {
        self.attribute(key).map_or(self.offset, |(offset, _)| offset)
    }

    /// Whether an attribute is present, valid or not.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.attribute(key).is_some()
    }

    /// The value of an attribute with its byte offset. Marks the key as known.
    pub(super) fn value(&self, key: &'static str) -> Option<(usize, &'p Expression)> {
        self.known_keys.borrow_mut().push(key);
        self.attribute(key).map(|(offset, attribute)| (offset, &attribute.value))
    }

    /// An attribute with its byte offset. An attribute of an extended document gets the offset of this section.
    fn attribute(&self, key: &str) -> Option<(usize, &'p Attribute)> {
        self.bodies.iter().enumerate().find_map(|(layer, body)| {
            let attribute = aliases::attribute(body, key)?;
            let is_own = layer == 0 && self.in_document;
            let offset = if is_own { start_of(attribute.span()) } else { self.offset };
            Some((offset, attribute))
        })
    }
}
