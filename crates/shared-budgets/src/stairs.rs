//! A level that only falls as time passes: what several promises come to, each of which holds up to a level until a time.

/// Promises by their ends; of two, the later one has the lower level.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stairs(Vec<(f64, f64)>);

/// Steps kept; beyond that two become one.
const STEPS: usize = 8;

impl Stairs {
    /// One more promise that was given. Where there are too many, the last two become the higher one until the later
    /// end: nothing that was given counts as not given.
    pub fn give(&mut self, end: f64, level: f64) {
        self.put(end, level);
        while self.0.len() > STEPS {
            let last = self.0.pop();
            if let (Some(last), Some(before)) = (last, self.0.last_mut()) {
                before.0 = last.0;
            }
        }
    }

    /// One more promise that was got. Where there are too many, the last goes: nothing counts as got that was not.
    pub fn get(&mut self, end: f64, level: f64) {
        self.put(end, level);
        self.0.truncate(STEPS);
    }

    fn put(&mut self, end: f64, level: f64) {
        if level <= 0.0 || self.0.iter().any(|(e, l)| *e >= end && *l >= level) {
            return;
        }
        self.0.retain(|(e, l)| *e > end || *l > level);
        let at = self.0.partition_point(|(e, _)| *e < end);
        self.0.insert(at, (end, level));
    }

    /// No promise holds above that level from now on.
    pub fn cap(&mut self, level: f64) {
        let steps = std::mem::take(&mut self.0);
        for (end, l) in steps {
            self.put(end, l.min(level));
        }
    }

    /// Forgets what has ended.
    pub fn pass(&mut self, now: f64) {
        self.0.retain(|(end, _)| *end > now);
    }

    /// The level that holds at a time, and at none before it a lower one.
    pub fn at(&self, when: f64) -> f64 {
        self.0.iter().find(|(end, _)| *end > when).map_or(0.0, |(_, level)| *level)
    }

    /// When the last of them ends.
    pub fn end(&self) -> Option<f64> {
        self.0.last().map(|(end, _)| *end)
    }
}

#[cfg(test)]
mod tests;
