//! A level that only falls as time passes: what several promises come to, each of which holds up to a level until a time.

/// Promises by their ends; of two, the later one has the lower level.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StepFunction(Vec<(f64, f64)>);

/// Steps kept; beyond that two become one.
const MAX_STEPS: usize = 8;

impl StepFunction {
    /// One more promise that was given. Where there are too many, the last two become the higher one until the later
    /// end: nothing that was given counts as not given.
    pub fn add_granted(&mut self, until: f64, level: f64) {
        self.insert_step(until, level);
        while self.0.len() > MAX_STEPS {
            let last = self.0.pop();
            if let (Some(last), Some(before)) = (last, self.0.last_mut()) {
                before.0 = last.0;
            }
        }
    }

    /// One more promise that was got. Where there are too many, the last goes: nothing counts as got that was not.
    pub fn add_held(&mut self, until: f64, level: f64) {
        self.insert_step(until, level);
        self.0.truncate(MAX_STEPS);
    }

    fn insert_step(&mut self, until: f64, level: f64) {
        if level <= 0.0 || self.0.iter().any(|(e, l)| *e >= until && *l >= level) {
            return;
        }
        self.0.retain(|(e, l)| *e > until || *l > level);
        let index = self.0.partition_point(|(e, _)| *e < until);
        self.0.insert(index, (until, level));
    }

    /// No promise holds above that level from now on.
    pub fn cap(&mut self, level: f64) {
        let steps = std::mem::take(&mut self.0);
        for (until, l) in steps {
            self.insert_step(until, l.min(level));
        }
    }

    /// Forgets what has ended.
    pub fn forget_expired(&mut self, now: f64) {
        self.0.retain(|(until, _)| *until > now);
    }

    /// The level that holds at a time, and at none before it a lower one.
    pub fn level_at(&self, when: f64) -> f64 {
        self.0.iter().find(|(until, _)| *until > when).map_or(0.0, |(_, level)| *level)
    }

    /// When the last of them ends.
    pub fn last_end(&self) -> Option<f64> {
        self.0.last().map(|(until, _)| *until)
    }
}

#[cfg(test)]
mod tests;
