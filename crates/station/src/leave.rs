//! When a router that was asked to end may do so: it goes on taking what still comes, and answers all that it took.

/// Seconds for which clients may still come after word to leave: the platform sends no more after 0.7 s, and a busy
/// machine reads them a little late.
const COMING: f64 = 0.75;

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

    /// Whether it may end, with so many answers owed or not yet on their way.
    pub fn over(&self, now: f64, owed: usize) -> bool {
        self.since.is_some_and(|since| now - since >= COMING) && owed == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_waits_for_those_on_their_way_and_for_what_it_owes() {
        let mut leave = Leave::default();
        assert!(!leave.over(9.0, 0));
        leave.begin(10.0);
        leave.begin(10.5);
        assert!(leave.begun() && !leave.over(10.6, 0) && !leave.over(11.0, 3) && leave.over(11.0, 0));
    }
}
