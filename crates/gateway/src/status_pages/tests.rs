//! Splitting reports into pages and reassembling them.

use super::*;

fn operator() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

/// A text of three pages with different contents.
fn text() -> Vec<u8> {
    (0..2 * PAGE_BYTES + 5).map(|n| (n / PAGE_BYTES) as u8).collect()
}

fn page_of(message: Message) -> (u32, u32, Vec<u8>) {
    match message {
        Message::StatusPage { page, page_count, bytes, .. } => (page, page_count, bytes),
        other => panic!("{other:?}"),
    }
}

#[test]
fn pages_in_reverse_order_and_repeated_give_the_whole_text() {
    let mut status_pages = StatusPages::default();
    let mut collector = PageCollector::default();
    for page in [2, 2, 1, 0] {
        assert!(!collector.is_complete());
        let (index, total, bytes) = page_of(status_pages.page(operator(), 7, page, || Some(text())).unwrap());
        collector.insert(index as usize, total as usize, bytes);
    }
    assert!(collector.is_complete());
    assert_eq!(collector.into_text(), Some(text()));
}

#[test]
fn all_pages_of_a_request_come_from_one_report() {
    let mut status_pages = StatusPages::default();
    assert_eq!(page_of(status_pages.page(operator(), 7, 0, || Some(vec![1])).unwrap()).2, [1]);
    assert_eq!(page_of(status_pages.page(operator(), 7, 0, || Some(vec![2])).unwrap()).2, [1]);
    assert_eq!(page_of(status_pages.page(operator(), 8, 0, || Some(vec![2])).unwrap()).2, [2]);
    assert!(status_pages.page(operator(), 8, 1, || Some(vec![3])).is_none(), "the report has one page");
}

#[test]
fn reports_are_displaced_by_later_requests() {
    let mut status_pages = StatusPages::default();
    for request_id in 0..=MAX_REPORTS as u64 {
        status_pages.page(operator(), request_id, 0, || Some(vec![1]));
    }
    assert_eq!(status_pages.reports.len(), MAX_REPORTS);
    assert_eq!(page_of(status_pages.page(operator(), 0, 0, || Some(vec![2])).unwrap()).2, [2]);
}

#[test]
fn missing_pages_are_known_from_the_first_page_on() {
    let mut collector = PageCollector::default();
    assert_eq!(collector.missing().collect::<Vec<_>>(), [0]);
    assert!(collector.insert(1, 3, vec![1]), "the first page states more pages than known");
    assert_eq!(collector.missing().collect::<Vec<_>>(), [0, 2]);
    assert!(!collector.insert(0, 3, vec![0]));
    assert_eq!(collector.into_text(), None);
}

#[test]
fn out_of_range_pages_and_excessive_totals_are_tolerated() {
    let mut collector = PageCollector::default();
    collector.insert(5, 0, vec![1]);
    assert!(!collector.is_complete());
    collector.insert(0, usize::MAX, vec![1]);
    assert!(collector.missing().count() < 10_000);
}
