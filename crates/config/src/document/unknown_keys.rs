//! Keys that nobody asked for: reported as unknown when the section is dropped, with the closest known key.

use super::section::{Section, name_and_offset};

/// Keys at least this similar, by the Jaro-Winkler measure from 0 to 1, are taken for a slip.
const MIN_SIMILARITY: f64 = 0.75;

/// The known key most like an unknown one; none where none is like it.
fn closest_key<'k>(known_keys: &[&'k str], unknown: &str) -> Option<&'k str> {
    let similarity = |known: &str| strsim::jaro_winkler(known, unknown);
    let closest = known_keys.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    closest.copied().filter(|key| similarity(key) >= MIN_SIMILARITY)
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        // The keys of another text were checked when that text was read.
        if !self.in_document {
            return;
        }
        let (known_keys, refused_keys) = (self.known_keys.borrow(), self.refused_keys.borrow());
        for structure in self.bodies[0] {
            let (name, offset) = name_and_offset(structure);
            if known_keys.contains(&name) || refused_keys.contains(&name) {
                continue;
            }
            let remedy = match closest_key(&known_keys, name) {
                Some(closest) => format!("did you mean {closest}?"),
                None => format!("remove it; known keys: {}", known_keys.join(", ")),
            };
            self.document.report(offset, format!("unknown key {name} in {}", self.title), remedy);
        }
    }
}
