use super::*;
use test_case::test_case;

/// A client had connected a moment ago and its first call was on the way, when room was made for another.
#[test]
fn one_that_has_just_come_is_not_sent_away_for_the_next() {
    let keeping = Keeping::new(256, 32, 30.0, 0.25, 3.0);
    let clients = [(7, false, 0.01), (3, true, 5.0), (4, true, 9.0), (5, false, 1.0), (6, true, 0.1)];
    assert_eq!(keeping.evict(clients.into_iter()).collect::<Vec<_>>(), [5, 4, 3, 6, 7]);
}

#[test]
fn a_crowded_connection_gets_company_while_there_is_room() {
    let keeping = Keeping::new(256, 32, 30.0, 0.25, 3.0);
    let pick = |open: [usize; 2], links| keeping.pick(1.0, open.map(|n| (n, Some(0.9))).into_iter(), links);
    assert_eq!(pick([3, 2], 9), Some(1));
    assert_eq!(pick([4, 4], 9), None);
    assert_eq!(pick([9, 8], keeping.links), Some(1));
    assert!(keeping.clients + keeping.links + RESERVE <= 256);
}
/// A machine vanished without a sign, and each new shot went to the connection that had the fewest.
#[test]
fn a_silent_connection_gets_no_company_while_there_is_room() {
    let keeping = Keeping::new(256, 32, 30.0, 0.25, 3.0);
    let pick = |links| keeping.pick(1.0, [(1, Some(0.7)), (3, Some(0.8))].into_iter(), links);
    assert_eq!((pick(9), pick(keeping.links)), (Some(1), Some(1)));
    assert_eq!(keeping.pick(1.0, [(1, Some(0.7))].into_iter(), 9), None);
    assert_eq!(keeping.pick(1.0, [(0, None)].into_iter(), 9), Some(0));
}

/// A line of a known client that came in pieces for longer than 2 s was given up, with its call.
#[test_case(2.9, 0.1, true, false; "pieces of a known client")]
#[test_case(3.0, 0.1, true, true; "for longer than anyone waits")]
#[test_case(2.1, 2.0, true, true; "half of one, and no more")]
#[test_case(2.4, 0.1, false, false; "pieces of the first")]
#[test_case(2.5, 0.1, false, true; "the first in pieces without end")]
fn how_long_a_line_may_take(began: f64, heard: f64, said: bool, over: bool) {
    let keeping = Keeping::new(256, 32, 30.0, 0.25, 3.0);
    assert_eq!(keeping.unfinished(100.0, 100.0 - began, 100.0 - heard, said), over);
}
