//! When a router that was asked to end may do so: it goes on taking what still comes, and answers all that it took.

/// Seconds for which clients may still come after word to leave: the platform sends no more after 0.7 s, and a busy
/// machine reads them a little late.
const COMING: f64 = 0.75;

/// Seconds after that for which what comes still holds it: a flood that does not end must not.
const LAG: f64 = 1.0;

#[derive(Default)]
pub struct Leave {
    since: Option<f64>,
}

impl Leave {
    pub fn begin(&mut self, now: f64) {
        self.since.get_or_insert(now);
    }

    pub fn begun(&self) -> bool {
        self.since.is_some()
    }

    /// Whether it may end, with so many answers owed or not yet on their way, as far as is known without looking into
    /// the sockets.
    pub fn over(&self, now: f64, owed: usize) -> bool {
        self.since.is_some_and(|since| now - since >= COMING) && owed == 0
    }

    /// Whether it ends without regard to what comes still: nobody who keeps the platform's times comes any more.
    pub fn past(&self, now: f64) -> bool {
        self.since.is_some_and(|since| now - since >= COMING + LAG)
    }
}

#[cfg(test)]
mod tests;
