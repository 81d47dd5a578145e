//! Blocks within a section, merged with those of the documents that this document extends: a block of this document
//! overrides, attribute by attribute, the block with the same label in an extended document.

use super::aliases::name_in;
use super::section::Section;
use hcl_edit::Span;
use hcl_edit::structure::Block;
use milletpath_protocol::is_name;

impl<'p> Section<'p> {
    /// The only block with this name.
    #[must_use]
    pub fn block(&self, key: &'static str) -> Option<Section<'p>> {
        self.blocks(key, false).into_iter().next()
    }

    /// The blocks with this name. If `labelled`, each must have a unique label that is a valid name; otherwise there is one
    /// block without a label.
    #[must_use]
    pub fn blocks(&self, key: &'static str, labelled: bool) -> Vec<Section<'p>> {
        self.known_keys.borrow_mut().push(key);
        let mut sections: Vec<Section<'p>> = Vec::new();
        // From the base upwards: the blocks of extended documents come first and keep their order.
        for (layer, body) in self.bodies.iter().enumerate().rev() {
            let in_document = layer == 0 && self.in_document;
            // A block that is present under both names is reported along with the unknown keys.
            let Some(name) = name_in(body, key) else { continue };
            for block in body.get_blocks(name) {
                self.add_block(&mut sections, name, block, in_document, labelled);
            }
        }
        sections
    }

    /// Adds a block as a new section, or as a layer of the section that already has its label.
    fn add_block(
        &self,
        sections: &mut Vec<Section<'p>>,
        key: &str,
        block: &'p Block,
        in_document: bool,
        labelled: bool,
    ) {
        let span = block.span().filter(|_| in_document).unwrap_or(self.offset..self.offset);
        let label = block.labels.first().map(|label| label.as_str().to_owned()).unwrap_or_default();
        let title = if labelled { format!("{key} \"{label}\"") } else { key.to_owned() };
        if block.labels.len() != usize::from(labelled) || labelled && !is_name(&label) {
            let (problem, example) = if labelled {
                ("needs one label, which is a name", format!("{key} \"name\" {{ ... }}"))
            } else {
                ("takes no label", format!("{key} {{ ... }}"))
            };
            self.report(span.start, format!("{title} {problem}"), format!("write {example}"));
        }
        match sections.iter_mut().find(|section| section.label == label) {
            Some(existing) if in_document && !existing.in_document => {
                existing.bodies.insert(0, &block.body);
                (existing.offset, existing.end, existing.in_document) = (span.start, span.end, true);
                existing.title = title;
            }
            Some(existing) if !in_document => existing.bodies.insert(0, &block.body),
            duplicate => {
                if duplicate.is_some() {
                    let remedy = if labelled { "give each its own name" } else { "keep one" };
                    self.report(span.start, format!("{title} is defined more than once"), remedy);
                }
                let bodies = vec![&block.body];
                sections.push(Section::new(self.document, title, label, span, bodies, in_document));
            }
        }
    }
}
