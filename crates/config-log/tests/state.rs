//! The state: compare-and-set of changes, its bounds, its digest, and its compacted log.

use milletpath_config_log::{Change, Entry, MAX_KEYS, MAX_TEXT_BYTES, MAX_TOTAL_BYTES, State};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn entry(number: u64, key: &str, text: Option<&str>, replaces: u64) -> Entry {
    Entry { number, change: Change { id: number, key: key.into(), text: text.map(Into::into), replaces } }
}

#[test]
fn a_change_applies_only_over_the_entry_that_its_author_saw() {
    let mut state = State::default();
    assert!(state.apply(entry(1, "a", Some("1"), 0)));
    assert!(!state.apply(entry(2, "a", Some("2"), 0)), "the key has another entry");
    assert!(state.apply(entry(3, "a", None, 1)));
    assert!(!state.apply(entry(4, "a", Some("4"), 0)), "a removal is an entry, too");
    assert!(state.apply(entry(5, "a", Some("5"), 3)));
    assert!(!state.apply(Entry { number: 6, change: Change::no_op() }));
    assert!(!state.apply(entry(8, "b", Some("8"), 0)), "it is not the next entry");
    assert_eq!((state.head(), state.get("a").map(|(n, _)| n), state.get("b")), (6, Some(5), None));
}

#[test]
fn keys_and_texts_are_bounded() {
    let mut state = State::default();
    for number in 1..=MAX_KEYS as u64 {
        assert!(state.apply(entry(number, &format!("{number}"), None, 0)));
    }
    let next = MAX_KEYS as u64 + 1;
    assert!(!state.apply(entry(next, "one more", None, 0)));
    assert!(state.apply(entry(next + 1, "1", Some("x"), 1)), "an existing key needs no more room");

    let (mut state, text) = (State::default(), "x".repeat(MAX_TEXT_BYTES));
    let mut number = 0;
    while state.apply(entry(number + 1, &format!("{number:06}"), Some(&text), 0)) {
        number += 1;
    }
    assert_eq!(number, (MAX_TOTAL_BYTES / (MAX_TEXT_BYTES + 6)) as u64);
    assert!(state.total_bytes() <= MAX_TOTAL_BYTES);
}

prop_compose! {
    /// Changes of a few keys, most of which replace the current entry.
    fn history()(
        changes in prop::collection::vec((0..8u8, prop::option::of("[a-z]{0,4}"), any::<bool>()), 1..60)
    ) -> Vec<Entry> {
        let mut current = BTreeMap::new();
        let entries = changes.into_iter().zip(1..).map(|((key, text, late), number)| {
            let key = format!("key {key}");
            let replaces = current.get(&key).copied().unwrap_or(0) + u64::from(late && number % 3 == 0);
            if !(late && number % 3 == 0) {
                current.insert(key.clone(), number);
            }
            entry(number, &key, text.as_deref(), replaces)
        });
        entries.collect()
    }
}

proptest! {
    /// The state has the latest effective entry of each key, and the pages of its snapshot have all of them in order.
    #[test]
    fn the_compacted_log_equals_the_current_state(entries in history(), bytes in 200..2000usize) {
        let mut state = State::default();
        let mut expected = BTreeMap::new();
        for entry in &entries {
            if state.apply(entry.clone()) {
                expected.insert(entry.change.key.clone(), (entry.number, entry.change.clone()));
            }
        }
        let actual: BTreeMap<_, _> = state.iter().map(|(n, c)| (c.key.clone(), (n, c.clone()))).collect();
        prop_assert_eq!(&actual, &expected);
        let (mut pages, mut after) = (Vec::new(), 0);
        loop {
            let page = state.entries_after(after, bytes);
            let Some(last) = page.last() else { break };
            after = last.number;
            pages.extend(page);
        }
        prop_assert!(pages.windows(2).all(|p| p[0].number < p[1].number));
        prop_assert_eq!(pages.len(), expected.len());
        let sizes = pages.iter().map(|e| e.change.size()).sum::<usize>();
        prop_assert_eq!(sizes, state.total_bytes());
    }

    /// A different change id gives another digest, if the entry is a current one.
    #[test]
    fn different_states_have_different_digests(entries in history(), at in any::<prop::sample::Index>()) {
        let apply_all = |entries: &[Entry]| {
            let mut state = State::default();
            let effective = entries.iter().map(|e| state.apply(e.clone())).collect::<Vec<_>>();
            (effective, state)
        };
        let (effective, state) = apply_all(&entries);
        let n = at.index(entries.len());
        let mut other = entries.clone();
        other[n].change.id += 1_000;
        let (_, changed) = apply_all(&other);
        let is_current = effective[n]
            && state.get(&entries[n].change.key).map(|(number, _)| number) == Some(entries[n].number);
        prop_assert_eq!(state.digest() != changed.digest(), is_current);
    }
}
