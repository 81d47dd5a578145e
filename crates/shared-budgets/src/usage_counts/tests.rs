use super::*;

/// Gateways 1 to `size` that each keep some functions busy; letters come at once where the rule lets them.
struct Fleet(Vec<UsageCounts>, f64);

impl Fleet {
    fn new(size: u64) -> Self {
        let mut all: Vec<UsageCounts> = (1..=size).map(|n| UsageCounts::new(n, 0.0)).collect();
        for usage in &mut all {
            let peers: Vec<u64> = (1..=size).filter(|peer| *peer != usage.own_id).collect();
            usage.set_peers(&peers);
        }
        Self(all, 0.0)
    }

    /// Plays some seconds in which gateway n keeps each of ten functions busy with n lanes; gives letters sent.
    fn run(&mut self, seconds: f64, is_delivered: impl Fn(u64, u64) -> bool) -> usize {
        let (mut sent_count, until) = (0, self.1 + seconds);
        while self.1 < until {
            self.1 += 0.1;
            for n in 0..self.0.len() {
                let own_id = n as u64 + 1;
                let busy = || {
                    (0..10)
                        .map(|function| FunctionConcurrency { function, concurrency: own_id as f64 })
                        .collect()
                };
                for (to, message) in self.0[n].tick(self.1, 0.5, busy) {
                    sent_count += 1;
                    let bucket = message.bucket.unwrap();
                    if !is_delivered(own_id, to) {
                        continue;
                    }
                    let answer = self.0[to as usize - 1].record_report(self.1, own_id, bucket, message.usage);
                    if let Some(answer) = answer.filter(|_| is_delivered(to, own_id)) {
                        sent_count += 1;
                        self.0[n].record_total(self.1, to, bucket, answer.reporters, answer.totals);
                    }
                }
            }
        }
        sent_count
    }

    fn elsewhere(&self, n: u64) -> Option<f64> {
        let known = self.0[n as usize - 1].elsewhere(self.1)?;
        assert!(known.len() <= 10 && known.values().all(|v| *v == known[&0]), "{known:?}");
        Some(known[&0])
    }
}

#[test]
fn each_gateway_learns_the_total_usage_of_all_others() {
    let mut fleet = Fleet::new(12);
    let sent_count = fleet.run(8.0, |_, _| true);
    for n in 1..=12 {
        assert_eq!(fleet.elsewhere(n), Some(78.0 - n as f64), "{n}");
    }
    assert!(sent_count <= 12 * 2 * usize::from(BUCKETS) * 10, "{sent_count}");
}

/// Who adds up is gone, or hears nobody: another does, and nothing is known for a moment at most.
#[test]
fn an_unresponsive_aggregator_is_replaced() {
    let mut fleet = Fleet::new(12);
    fleet.run(4.0, |_, _| true);
    fleet.run(5.0, |from, to| from != 3 && to != 3);
    assert_eq!(fleet.elsewhere(1), Some(78.0 - 1.0 - 3.0));
    assert_eq!(fleet.elsewhere(3), None);
}

#[test]
fn a_gateway_without_peers_knows_no_usage() {
    let mut fleet = Fleet::new(3);
    fleet.run(3.0, |_, _| true);
    assert!(fleet.elsewhere(1).is_some());
    fleet.0[0].set_peers(&[]);
    fleet.run(1.0, |_, _| true);
    assert_eq!(fleet.elsewhere(1), None);
}

/// Who adds up hears no more a second where there are very many.
#[test]
fn large_fleets_report_less_often() {
    let mut few = UsageCounts::new(1, 0.0);
    let mut many = few.clone();
    few.set_peers(&(2..=40).collect::<Vec<_>>());
    many.set_peers(&(2..=480).collect::<Vec<_>>());
    assert!((many.interval / few.interval - 10.0).abs() < 0.1, "{} {}", few.interval, many.interval);
}
