//! A level that only falls as time passes: the upper envelope of several leases, each of which holds up to a level until
//! a time.

/// A step: up to `level` until `end`.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    end: f64,
    level: f64,
}

/// Steps in the order of their ends; of two, the later one has the lower level.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct StepFunction(Vec<Step>);

/// Steps that are kept; beyond that two become one.
const MAX_STEPS: usize = 8;

impl StepFunction {
    /// Adds a lease that was granted. Where there are too many steps, the last two become the higher one until the later
    /// end: what was granted is never understated.
    pub(crate) fn add_granted(&mut self, end: f64, level: f64) {
        self.insert_step(Step { end, level });
        while self.0.len() > MAX_STEPS {
            let last = self.0.pop();
            if let (Some(last), Some(before)) = (last, self.0.last_mut()) {
                before.end = last.end;
            }
        }
    }

    /// Adds a lease that is held. Where there are too many steps, the last is dropped: what is held is never overstated.
    pub(crate) fn add_held(&mut self, end: f64, level: f64) {
        self.insert_step(Step { end, level });
        self.0.truncate(MAX_STEPS);
    }

    fn insert_step(&mut self, new: Step) {
        let is_covered = self.0.iter().any(|step| step.end >= new.end && step.level >= new.level);
        if new.level <= 0.0 || is_covered {
            return;
        }
        self.0.retain(|step| step.end > new.end || step.level > new.level);
        let index = self.0.partition_point(|step| step.end < new.end);
        self.0.insert(index, new);
    }

    /// Limits all steps to a level from now on.
    pub(crate) fn cap(&mut self, level: f64) {
        for step in std::mem::take(&mut self.0) {
            self.insert_step(Step { level: step.level.min(level), ..step });
        }
    }

    /// Drops the steps that have ended.
    pub(crate) fn remove_expired(&mut self, now: f64) {
        self.0.retain(|step| step.end > now);
    }

    /// The level that holds at a time; it is not lower at any time before.
    pub(crate) fn level_at(&self, when: f64) -> f64 {
        self.0.iter().find(|step| step.end > when).map_or(0.0, |step| step.level)
    }

    /// When the last step ends; none if there is no step.
    pub(crate) fn last_end(&self) -> Option<f64> {
        self.0.last().map(|step| step.end)
    }
}

#[cfg(test)]
mod tests;
