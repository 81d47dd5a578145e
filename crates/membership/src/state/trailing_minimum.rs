//! The minimum of a value over a trailing time window.

use std::collections::VecDeque;

/// A value that applies from `since` until the next sample.
#[derive(Clone, Copy, Debug)]
struct Sample {
    since: f64,
    value: f64,
}

/// The minimum of a value over a trailing time window, kept as a monotonic queue: the values increase from the oldest
/// sample to the newest, so the first one is the minimum.
#[derive(Clone, Debug)]
pub(crate) struct TrailingMinimum {
    window: f64,
    samples: VecDeque<Sample>,
    /// Time until which the newest value is valid.
    valid_until: f64,
}

impl TrailingMinimum {
    /// Creates a window of `window` seconds. The value before the first update is 0, which [`update`](Self::update)
    /// raises to the floor.
    pub(crate) fn new(window: f64, started_at: f64) -> Self {
        let start = Sample { since: started_at, value: 0.0 };
        Self { window, samples: VecDeque::from([start]), valid_until: f64::INFINITY }
    }

    /// Sets the value from `now` until `valid_until`, after which it is `floor`. Returns the minimum over the window,
    /// but at least `floor`. If the previous value expired before `now`, the value is taken as `floor` since its
    /// expiry, even if there was no call in between.
    pub(crate) fn update(&mut self, now: f64, value: f64, floor: f64, valid_until: f64) -> f64 {
        if self.valid_until < now {
            self.push(self.valid_until, floor);
        }
        self.valid_until = valid_until;
        self.push(now, value);
        // Of the samples from before the window, only the last one applies at the start of the window.
        while self.samples.get(1).is_some_and(|sample| sample.since <= now - self.window) {
            self.samples.pop_front();
        }
        self.samples.front().map_or(floor, |lowest| lowest.value.max(floor))
    }

    fn push(&mut self, since: f64, value: f64) {
        let mut since = since;
        // Samples greater than a later one can never be the minimum again, so the later one replaces them.
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
