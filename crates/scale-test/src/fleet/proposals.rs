//! Which author proposes which change, and when.

use crate::control::AUTHOR_COUNT;
use crate::proposal::ScheduledChange;

/// The changes that one author is to propose.
#[derive(Debug)]
pub struct AuthorSchedule {
    /// The author's number.
    pub author: usize,
    /// Its changes, in the order in which they are due.
    pub changes: Vec<ScheduledChange>,
}

/// Numbers the changes of a run and deals them out to authors.
#[derive(Debug, Default)]
pub struct ProposalSchedule {
    next_change: usize,
}

impl ProposalSchedule {
    /// Schedules changes evenly over `duration` seconds from `start` on. Gives the schedule of each author that has
    /// some.
    pub fn schedule(&mut self, changes: usize, start: f64, duration: f64) -> Vec<AuthorSchedule> {
        let mut by_author: Vec<Vec<ScheduledChange>> = vec![Vec::new(); AUTHOR_COUNT];
        for number in 0..changes {
            let due_at = start + duration * number as f64 / changes as f64;
            by_author[number % AUTHOR_COUNT]
                .push(ScheduledChange { change: self.next_change + number, due_at });
        }
        self.next_change += changes;
        let schedules = by_author.into_iter().enumerate();
        let schedules = schedules.map(|(author, changes)| AuthorSchedule { author, changes });
        schedules.filter(|schedule| !schedule.changes.is_empty()).collect()
    }
}

#[cfg(test)]
mod tests;
