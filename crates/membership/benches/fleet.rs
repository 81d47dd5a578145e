//! Measures the network traffic of the membership protocol and how quickly it detects changes, by cluster size and
//! datagram loss. It runs in simulated time, with datagrams sealed as in production. Run it with
//! `cargo bench -p milletpath-membership --bench fleet`; append `-- quick` for the small sizes only.

use milletpath_membership::{MembershipConfig, MembershipEvent};
use milletpath_test_support::simulated_network::delivery::{cut_where, lossy, reliable};
use milletpath_test_support::simulated_network::{Node, SimulatedNetwork};

/// Clusters above this size get a longer lease and fewer, shorter runs.
const LARGE: usize = 50;

/// The quantile at `fraction`; NaN if there are no values.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (fraction * values.len().saturating_sub(1) as f64).round() as usize;
    values.get(index).copied().unwrap_or(f64::NAN)
}

fn converged_network(size: usize, seed: u64) -> SimulatedNetwork {
    // Assertions take longer to reach all gateways of a larger cluster, so an operator would choose a longer lease.
    let lease = if size > LARGE { 12.0 } else { 3.0 };
    let config = MembershipConfig { lease, floor: 0.5, ..MembershipConfig::default() };
    let mut network = SimulatedNetwork::new(size, 1.max(size / 8), config, seed);
    network.start_all();
    network.run_until(if size > LARGE { 100.0 } else { 20.0 });
    network
}

/// Runs until all gateways agree on the members, but at most `limit` seconds, and returns the seconds that it took.
/// Checked every 0.1 s.
fn seconds_to_agreement(network: &mut SimulatedNetwork, limit: f64) -> f64 {
    let from = network.now;
    while !network.all_agree() && network.now < from + limit {
        network.run_until(network.now + 0.1);
    }
    network.now - from
}

/// Measurements of clusters of one size. Times and ages are in seconds.
#[derive(Default)]
struct Measurements {
    /// Total gateway-seconds over which the traffic was measured.
    gateway_seconds: f64,
    bytes: u64,
    datagrams: u64,
    assertion_ages: Vec<f64>,
    death_detection: Vec<f64>,
    healing: Vec<f64>,
    joining: Vec<f64>,
}

impl Measurements {
    /// Measures traffic and assertion ages in a cluster without changes.
    fn measure_settled(&mut self, network: &mut SimulatedNetwork) {
        const SECONDS: f64 = 20.0;
        let sum = |network: &SimulatedNetwork, count: fn(&Node) -> u64| {
            network.nodes.iter().map(count).sum::<u64>()
        };
        let (bytes, datagrams) = (sum(network, |n| n.bytes_sent), sum(network, |n| n.datagrams_sent));
        network.run_until(network.now + SECONDS);
        self.gateway_seconds += SECONDS * network.nodes.len() as f64;
        self.bytes += sum(network, |n| n.bytes_sent) - bytes;
        self.datagrams += sum(network, |n| n.datagrams_sent) - datagrams;
        for (n, node) in network.nodes.iter().enumerate() {
            let others = (0..network.nodes.len()).filter(|other| *other != n);
            let ids = others.map(|other| network.instance_id(other));
            self.assertion_ages.extend(ids.filter_map(|id| node.running_membership().assertion_age(id)));
        }
    }

    /// Measures death detection and joining by killing and restarting some gateways one after the other.
    fn measure_restarts(&mut self, network: &mut SimulatedNetwork) {
        for n in 0..5.min(network.nodes.len() - 1) {
            network.kill(n);
            let from = network.now;
            network.run_until(from + 20.0);
            let killed = format!("gateway-{n}");
            let death =
                |event: &MembershipEvent| matches!(event, MembershipEvent::Died { name } if *name == killed);
            self.death_detection.extend(network.first_event_times(from, death).into_values());
            network.start(n);
            self.joining.push(seconds_to_agreement(network, 30.0));
            network.run_until(network.now + 5.0);
        }
    }

    /// Measures healing after two fifths of the cluster were cut off for 15 s.
    fn measure_partition(&mut self, network: &mut SimulatedNetwork) {
        let minority = network.nodes.len() * 2 / 5;
        network.delivery_rule = cut_where(move |t| (t.from < minority) != (t.to < minority));
        network.run_until(network.now + 15.0);
        network.delivery_rule = reliable();
        self.healing.push(seconds_to_agreement(network, 60.0));
    }

    fn print(&mut self, size: usize) {
        println!(
            "{size:>4} {:>9.0} {:>10.1} {:>12.2} {:.2} {:>15.2} {:.2} {:>14.1} {:>8.1}",
            self.bytes as f64 / self.gateway_seconds,
            self.datagrams as f64 / self.gateway_seconds,
            quantile(&mut self.assertion_ages, 0.5),
            quantile(&mut self.assertion_ages, 0.99),
            quantile(&mut self.death_detection, 0.5),
            quantile(&mut self.death_detection, 0.99),
            quantile(&mut self.healing, 1.0),
            quantile(&mut self.joining, 1.0),
        );
    }
}

fn measure_size(size: usize) {
    let seeds = if size > LARGE { 1 } else { 5 };
    let mut measurements = Measurements::default();
    for seed in 1..=seeds {
        let mut network = converged_network(size, seed);
        measurements.measure_settled(&mut network);
        measurements.measure_restarts(&mut network);
        measurements.measure_partition(&mut network);
    }
    measurements.print(size);
}

/// Measures false suspicions, false deaths and the time without a quorum while datagrams are lost with this
/// probability.
fn measure_loss(size: usize, probability: f64) {
    let mut network = converged_network(size, 1);
    network.delivery_rule = lossy(probability);
    let from = network.now;
    let seconds = if size > LARGE { 60.0 } else { 600.0 };
    let (mut without_quorum, mut samples) = (0, 0);
    while network.now < from + seconds {
        network.run_until(network.now + 0.5);
        samples += size;
        let at_floor = |node: &&Node| node.quota.is_some_and(|quota| quota.fraction <= quota.floor_fraction);
        without_quorum += network.nodes.iter().filter(at_floor).count();
    }
    let per_gateway_hour = |matches: fn(&MembershipEvent) -> bool| {
        let counts = network.nodes.iter().map(|node| node.count_events(from, matches));
        counts.sum::<usize>() as f64 / (seconds / 3600.0) / size as f64
    };
    println!(
        "{size:>4} {probability:>5} {:>12.1} {:>12.2} {:>12.3}",
        per_gateway_hour(|event| matches!(event, MembershipEvent::Suspected { .. })),
        per_gateway_hour(|event| matches!(event, MembershipEvent::Died { .. })),
        without_quorum as f64 / samples as f64
    );
}

fn main() {
    let quick = std::env::args().any(|argument| argument == "quick");
    let sizes: &[usize] = if quick { &[3, 10] } else { &[3, 10, 24, 100, 300] };
    println!(
        "size   bytes/s  datagrams/s  assertion age p50 p99   death detection p50 p99   healed after  joined"
    );
    sizes.iter().for_each(|size| measure_size(*size));
    println!(
        "\nsize  lost   false suspicions, false deaths per gateway-hour; fraction of time without a quorum"
    );
    for size in sizes {
        for probability in [0.01, 0.05, 0.2, 0.3] {
            measure_loss(*size, probability);
        }
    }
}
