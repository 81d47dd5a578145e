//! Which author proposes which change, and when.

use crate::control::AUTHORS;
use crate::proposal::ScheduledChange;

/// Numbers the changes of a run and deals them out to authors.
#[derive(Debug, Default)]
pub struct ProposalSchedule {
    next_change: usize,
}

impl ProposalSchedule {
    /// Schedules changes evenly over `duration` seconds from `start` on. Gives those of each author that has some, with
    /// the author's number.
    pub fn schedule(
        &mut self,
        changes: usize,
        start: f64,
        duration: f64,
    ) -> Vec<(usize, Vec<ScheduledChange>)> {
        let mut by_author: Vec<Vec<ScheduledChange>> = vec![Vec::new(); AUTHORS];
        for number in 0..changes {
            let due_at = start + duration * number as f64 / changes as f64;
            by_author[number % AUTHORS].push(ScheduledChange { change: self.next_change + number, due_at });
        }
        self.next_change += changes;
        by_author.into_iter().enumerate().filter(|(_, scheduled)| !scheduled.is_empty()).collect()
    }
}

#[cfg(test)]
mod tests;
