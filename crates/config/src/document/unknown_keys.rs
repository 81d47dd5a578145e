//! When a section is dropped, reports the keys that no reader requested, with the closest known key as a suggestion, and
//! the keys that are present under two names.

use super::aliases::{KEY_ALIASES, former_key, has_name};
use super::section::{Section, name_and_offset};

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which an unknown key is considered a misspelling of a known one.
const MIN_SIMILARITY: f64 = 0.75;

/// The known key most similar to an unknown one; `None` if no known key is similar enough.
fn closest_key<'k>(known_keys: &[&'k str], unknown: &str) -> Option<&'k str> {
    let similarity = |known: &str| strsim::jaro_winkler(known, unknown);
    let closest = known_keys.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    closest.copied().filter(|key| similarity(key) >= MIN_SIMILARITY)
}

impl Section<'_> {
    /// Reports each key that the section's body in this document has under both its standard and its former name, at the
    /// position of the later one.
    fn report_keys_under_two_names(&self, known_keys: &[&str]) {
        for alias in KEY_ALIASES.iter().filter(|alias| known_keys.contains(&alias.standard)) {
            if !has_name(self.bodies[0], alias.standard) || !has_name(self.bodies[0], alias.former) {
                continue;
            }
            let offset_of = |wanted: &str| {
                let mut structures = self.bodies[0].iter().map(name_and_offset);
                structures.find(|(name, _)| *name == wanted).map_or(self.offset, |(_, offset)| offset)
            };
            let offset = offset_of(alias.standard).max(offset_of(alias.former));
            let problem =
                format!("{} has both {} and {}, its former name", self.title, alias.standard, alias.former);
            self.report(offset, problem, format!("keep {}, and remove {}", alias.standard, alias.former));
        }
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        // The keys of an extended document were checked when that document was read.
        if !self.in_document {
            return;
        }
        let (known_keys, rejected_keys) = (self.known_keys.borrow(), self.rejected_keys.borrow());
        self.report_keys_under_two_names(&known_keys);
        let former_keys = known_keys.iter().filter_map(|key| former_key(key));
        let accepted_keys: Vec<&str> = known_keys.iter().copied().chain(former_keys).collect();
        for structure in self.bodies[0] {
            let (name, offset) = name_and_offset(structure);
            if accepted_keys.contains(&name) || rejected_keys.contains(&name) {
                continue;
            }
            let remedy = match closest_key(&accepted_keys, name) {
                Some(closest) => format!("did you mean {closest}?"),
                None => format!("remove it; known keys: {}", known_keys.join(", ")),
            };
            self.document.report(offset, format!("unknown key {name} in {}", self.title), remedy);
        }
    }
}
