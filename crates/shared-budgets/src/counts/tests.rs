use super::*;

/// Gateways 1 to `size` that each keep some functions busy; letters come at once where the rule lets them.
struct Fleet(Vec<Counts>, f64);

impl Fleet {
    fn new(size: u64) -> Self {
        let mut all: Vec<Counts> = (1..=size).map(|n| Counts::new(n, 0.0)).collect();
        for counts in &mut all {
            let others: Vec<u64> = (1..=size).filter(|life| *life != counts.me).collect();
            counts.others(&others);
        }
        Self(all, 0.0)
    }

    /// Plays some seconds in which gateway n keeps each of ten functions busy with n lanes; gives letters sent.
    fn play(&mut self, seconds: f64, comes: impl Fn(u64, u64) -> bool) -> usize {
        let (mut letters, until) = (0, self.1 + seconds);
        while self.1 < until {
            self.1 += 0.1;
            for n in 0..self.0.len() {
                let me = n as u64 + 1;
                let busy = || (0..10).map(|f| (f, me as f64)).collect();
                for (to, note) in self.0[n].turn(self.1, 0.5, busy) {
                    letters += 1;
                    let bucket = note.bucket.unwrap();
                    if !comes(me, to) {
                        continue;
                    }
                    let told = self.0[to as usize - 1].reported(self.1, me, bucket, note.counts);
                    if let Some(told) = told.filter(|_| comes(to, me)) {
                        letters += 1;
                        self.0[n].summed(self.1, to, bucket, told.of, told.sums);
                    }
                }
            }
        }
        letters
    }

    fn elsewhere(&self, n: u64) -> Option<f64> {
        let known = self.0[n as usize - 1].elsewhere(self.1)?;
        assert!(known.len() <= 10 && known.values().all(|v| *v == known[&0]), "{known:?}");
        Some(known[&0])
    }
}

#[test]
fn each_hears_what_all_the_others_keep_busy() {
    let mut fleet = Fleet::new(12);
    let letters = fleet.play(8.0, |_, _| true);
    for n in 1..=12 {
        assert_eq!(fleet.elsewhere(n), Some(78.0 - n as f64), "{n}");
    }
    assert!(letters <= 12 * 2 * usize::from(BUCKETS) * 10, "{letters}");
}

/// Who adds up is gone, or hears nobody: another does, and nothing is known for a moment at most.
#[test]
fn one_that_does_not_answer_is_passed_over() {
    let mut fleet = Fleet::new(12);
    fleet.play(4.0, |_, _| true);
    fleet.play(5.0, |from, to| from != 3 && to != 3);
    assert_eq!(fleet.elsewhere(1), Some(78.0 - 1.0 - 3.0));
    assert_eq!(fleet.elsewhere(3), None);
}

#[test]
fn alone_nothing_is_known() {
    let mut fleet = Fleet::new(3);
    fleet.play(3.0, |_, _| true);
    assert!(fleet.elsewhere(1).is_some());
    fleet.0[0].others(&[]);
    fleet.play(1.0, |_, _| true);
    assert_eq!(fleet.elsewhere(1), None);
}

/// Who adds up hears no more a second where there are very many.
#[test]
fn very_many_report_less_often() {
    let mut few = Counts::new(1, 0.0);
    let mut many = few.clone();
    few.others(&(2..=40).collect::<Vec<_>>());
    many.others(&(2..=480).collect::<Vec<_>>());
    assert!((many.period / few.period - 10.0).abs() < 0.1, "{} {}", few.period, many.period);
}
