//! A non-increasing step function of time: the upper envelope of several leases, each of a constant level until its
//! end.

/// A constant level until `end`.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    end: f64,
    level: f64,
}

/// Steps in strictly ascending order of end and strictly descending order of level.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct StepFunction(Vec<Step>);

/// Maximum number of steps; further ones are merged or dropped.
const MAX_STEPS: usize = 8;

impl StepFunction {
    /// Adds a granted lease. If there are too many steps, the last two are merged into one with the higher level and
    /// the later end, so that the granted level is never underestimated.
    pub(crate) fn add_granted(&mut self, end: f64, level: f64) {
        self.insert_step(Step { end, level });
        while self.0.len() > MAX_STEPS {
            let last = self.0.pop();
            if let (Some(last), Some(before)) = (last, self.0.last_mut()) {
                before.end = last.end;
            }
        }
    }

    /// Adds a held lease. If there are too many steps, the last is dropped, so that the held level is never
    /// overestimated.
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

    /// Limits all steps to a level.
    pub(crate) fn cap(&mut self, level: f64) {
        for step in std::mem::take(&mut self.0) {
            self.insert_step(Step { level: step.level.min(level), ..step });
        }
    }

    /// Removes steps that have ended.
    pub(crate) fn remove_expired(&mut self, now: f64) {
        self.0.retain(|step| step.end > now);
    }

    /// The level at the given time. No level at an earlier time is lower.
    pub(crate) fn level_at(&self, when: f64) -> f64 {
        self.0.iter().find(|step| step.end > when).map_or(0.0, |step| step.level)
    }

    /// When the last step ends; `None` if there are no steps.
    pub(crate) fn last_end(&self) -> Option<f64> {
        self.0.last().map(|step| step.end)
    }
}

#[cfg(test)]
mod tests;
