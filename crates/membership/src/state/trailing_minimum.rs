//! The minimum of a value over a trailing time window.

use std::collections::VecDeque;

/// A value from some time on.
#[derive(Clone, Copy, Debug)]
struct Sample {
    since: f64,
    value: f64,
}

/// The lowest value within a trailing window, kept as a monotonic queue: its values grow from the oldest sample to the
/// newest, and the first of them is the minimum.
#[derive(Clone, Debug)]
pub(crate) struct TrailingMinimum {
    window: f64,
    samples: VecDeque<Sample>,
    /// Until when the newest value holds.
    valid_until: f64,
}

impl TrailingMinimum {
    /// The value counts as 0, hence as the floor, before `started_at`; `window` is in seconds.
    pub(crate) fn new(window: f64, started_at: f64) -> Self {
        let start = Sample { since: started_at, value: 0.0 };
        Self { window, samples: VecDeque::from([start]), valid_until: f64::INFINITY }
    }

    /// Sets the value from `now` until `valid_until`, after which it is `floor`. Returns the minimum over the window,
    /// at least `floor`. A former value that ran out counts as `floor` since then, whether anybody looked or not.
    pub(crate) fn update(&mut self, now: f64, value: f64, floor: f64, valid_until: f64) -> f64 {
        if self.valid_until < now {
            self.push(self.valid_until, floor);
        }
        self.valid_until = valid_until;
        self.push(now, value);
        // The sample before the window's beginning still held at its beginning.
        while self.samples.get(1).is_some_and(|sample| sample.since <= now - self.window) {
            self.samples.pop_front();
        }
        self.samples.front().map_or(floor, |lowest| lowest.value.max(floor))
    }

    fn push(&mut self, since: f64, value: f64) {
        let mut since = since;
        // Samples above a later one are never the minimum again, so that one takes their place.
        while let Some(&newest) = self.samples.back()
            && newest.value > value
        {
            since = newest.since;
            self.samples.pop_back();
        }
        if self.samples.back().is_none_or(|newest| newest.value < value) {
            self.samples.push_back(Sample { since, value });
        }
    }
}

#[cfg(test)]
mod tests;
