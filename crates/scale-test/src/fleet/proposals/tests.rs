//! Distribution of changes over authors and time.

use super::ProposalSchedule;
use crate::control::AUTHOR_COUNT;

#[test]
fn changes_are_assigned_to_authors_in_turn_and_spread_evenly() {
    let mut schedule = ProposalSchedule::default();
    let by_author = schedule.schedule(4, 10.0, 2.0);
    let scheduled: Vec<_> = by_author
        .iter()
        .flat_map(|schedule| schedule.changes.iter().map(|c| (schedule.author, c.change, c.due_at)))
        .collect();
    assert_eq!(scheduled, [(0, 0, 10.0), (1, 1, 10.5), (2, 2, 11.0), (3, 3, 11.5)]);
}

#[test]
fn an_author_has_several_changes_if_there_are_more_changes_than_authors() {
    let by_author = ProposalSchedule::default().schedule(AUTHOR_COUNT + 1, 0.0, 0.0);
    assert_eq!(by_author.len(), AUTHOR_COUNT);
    let numbers: Vec<usize> = by_author[0].changes.iter().map(|scheduled| scheduled.change).collect();
    assert_eq!(numbers, [0, AUTHOR_COUNT]);
}

#[test]
fn change_numbers_continue_in_the_next_play() {
    let mut schedule = ProposalSchedule::default();
    schedule.schedule(3, 0.0, 1.0);
    let by_author = schedule.schedule(1, 5.0, 1.0);
    assert_eq!((by_author.len(), by_author[0].changes[0].change), (1, 3));
}
