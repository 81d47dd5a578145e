use super::*;

#[test]
fn ids_are_remembered_for_a_time() {
    let mut ids = AbandonedIds::default();
    ids.insert(1.0, 7);
    assert!(ids.contains(1.0 + RETENTION_SECONDS / 2.0, 7));
    assert!(!ids.contains(1.0 + RETENTION_SECONDS, 7));
}

#[test]
fn the_oldest_ids_are_forgotten_beyond_the_limit() {
    let mut ids = AbandonedIds::default();
    (0..=MAX_IDS as u64).for_each(|id| ids.insert(1.0, id));
    assert!(!ids.contains(1.0, 0) && ids.contains(1.0, 1));
    assert_eq!((ids.queue.len(), ids.ids.len()), (MAX_IDS, MAX_IDS));
}
