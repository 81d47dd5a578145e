use super::*;

/// Gateways 1 to `size`, each with ten functions in use. Messages are delivered without delay.
struct Fleet {
    gateways: Vec<UsageCounts>,
    now: f64,
}

const FUNCTIONS: u64 = 10;

impl Fleet {
    fn new(size: u64) -> Self {
        let mut gateways: Vec<UsageCounts> = (1..=size).map(|id| UsageCounts::new(id, 0.0)).collect();
        for gateway in &mut gateways {
            let peers: Vec<u64> = (1..=size).filter(|peer| *peer != gateway.own_id).collect();
            gateway.set_peers(&peers);
        }
        Self { gateways, now: 0.0 }
    }

    fn gateway(&mut self, id: u64) -> &mut UsageCounts {
        &mut self.gateways[id as usize - 1]
    }

    /// Runs the fleet for the given number of seconds. Each function has a concurrency of n on gateway n.
    /// `is_delivered(from, to)` decides whether a message arrives. Returns the number of messages.
    fn run(&mut self, seconds: f64, is_delivered: impl Fn(u64, u64) -> bool) -> usize {
        let (mut sent_count, until) = (0, self.now + seconds);
        while self.now < until {
            self.now += 0.1;
            for id in 1..=self.gateways.len() as u64 {
                sent_count += self.tick(id, &is_delivered);
            }
        }
        sent_count
    }

    fn tick(&mut self, id: u64, is_delivered: &impl Fn(u64, u64) -> bool) -> usize {
        let now = self.now;
        let own_concurrency = |function| FunctionConcurrency { function, concurrency: id as f64 };
        let reports = self.gateway(id).tick(now, 0.5, || (0..FUNCTIONS).map(own_concurrency).collect());
        let mut sent_count = reports.len();
        for (to, report) in reports.into_iter().filter(|(to, _)| is_delivered(id, *to)) {
            let bucket = report.bucket.expect("a report has a bucket");
            let answer = self.gateway(to).record_report(now, id, bucket, report.usage);
            if let Some(answer) = answer.filter(|_| is_delivered(to, id)) {
                sent_count += 1;
                self.gateway(id).record_total(now, to, bucket, answer.reporters, answer.totals);
            }
        }
        sent_count
    }

    /// The total concurrency on all other gateways as known to a gateway. It is the same for all functions.
    fn remote_concurrency(&mut self, id: u64) -> Option<f64> {
        let now = self.now;
        let known = self.gateway(id).remote_concurrency(now)?;
        assert!(
            known.len() <= 10 && known.values().all(|concurrency| *concurrency == known[&0]),
            "{known:?}"
        );
        Some(known[&0])
    }
}

#[test]
fn each_gateway_learns_the_total_usage_of_all_others() {
    let mut fleet = Fleet::new(12);
    let sent_count = fleet.run(8.0, |_, _| true);
    for n in 1..=12 {
        assert_eq!(fleet.remote_concurrency(n), Some(78.0 - n as f64), "{n}");
    }
    assert!(sent_count <= 12 * 2 * usize::from(BUCKETS) * 10, "{sent_count}");
}

/// Gateway 3 is cut off in both directions, so that another gateway must aggregate its buckets.
#[test]
fn an_unresponsive_aggregator_is_replaced() {
    let mut fleet = Fleet::new(12);
    fleet.run(4.0, |_, _| true);
    fleet.run(5.0, |from, to| from != 3 && to != 3);
    assert_eq!(fleet.remote_concurrency(1), Some(78.0 - 1.0 - 3.0));
    assert_eq!(fleet.remote_concurrency(3), None);
}

#[test]
fn a_gateway_without_peers_knows_no_usage() {
    let mut fleet = Fleet::new(3);
    fleet.run(3.0, |_, _| true);
    assert!(fleet.remote_concurrency(1).is_some());
    fleet.gateway(1).set_peers(&[]);
    fleet.run(1.0, |_, _| true);
    assert_eq!(fleet.remote_concurrency(1), None);
}

/// The rate of messages to an aggregator must not grow with the size of the fleet.
#[test]
fn large_fleets_report_less_often() {
    let mut small_fleet = UsageCounts::new(1, 0.0);
    let mut large_fleet = small_fleet.clone();
    small_fleet.set_peers(&(2..=40).collect::<Vec<_>>());
    large_fleet.set_peers(&(2..=480).collect::<Vec<_>>());
    assert!(
        (large_fleet.interval / small_fleet.interval - 10.0).abs() < 0.1,
        "{} {}",
        small_fleet.interval,
        large_fleet.interval
    );
}
