//! Distributes the proposals of configuration changes over authors and time.

use crate::control::AUTHOR_COUNT;
use crate::proposal::ScheduledChange;

/// The changes that one author proposes.
#[derive(Debug)]
pub struct AuthorSchedule {
    /// Number of the author.
    pub author: usize,
    /// Its changes, ordered by due time.
    pub changes: Vec<ScheduledChange>,
}

/// Numbers the changes of a run and assigns them to authors in round-robin order.
#[derive(Debug, Default)]
pub struct ProposalSchedule {
    next_change: usize,
}

impl ProposalSchedule {
    /// Schedules changes evenly over `duration` seconds, beginning at `start`. Returns the schedule of each author that
    /// has any.
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
