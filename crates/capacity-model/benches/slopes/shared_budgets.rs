//! Budgets of attempts per worker, which the gateways share: the CPU that a gateway spends on them.

use crate::endpoint_list::{WORKER_COUNTS, dispatcher, endpoint, endpoints};
use crate::measure::{MILLISECONDS_PER_SECOND, Options, RunDescription, measurement, timed};
use milletpath_capacity_model::run::Measurement;
use milletpath_dispatcher::dispatcher::Dispatcher;
use milletpath_gateway::budget_sharing::BudgetSharing;
use milletpath_membership::QuotaFraction;

/// Time for which an assertion counts towards a quorum in a large fleet.
pub const LEASE_SECONDS: f64 = 12.0;

/// Interval between two ticks of the membership link, and the number of ticks per second.
pub const TICK_SECONDS: f64 = 0.04;
const TICKS_PER_SECOND: usize = 25;

const GATEWAYS: usize = 1_100;
const IDLE_TIMEOUT_SECONDS: f64 = 60.0;
const REPEATS: usize = 5;

const LIMITS: &str = "limits {\n  in_flight = 2200\n}\n";

/// The quota of a gateway in a quorum of the whole fleet that does not expire.
const QUOTA: QuotaFraction = QuotaFraction {
    likely_gateways: 1_100.0,
    fraction: 1.0,
    floor_fraction: 0.5,
    valid_until: f64::INFINITY,
};

/// The dispatcher of one gateway and its part in budget sharing.
struct Gateway {
    dispatcher: Dispatcher<()>,
    sharing: BudgetSharing,
    others: Vec<u64>,
    now: f64,
}

impl Gateway {
    fn new(workers: usize) -> Self {
        let mut dispatcher = dispatcher(GATEWAYS, IDLE_TIMEOUT_SECONDS, LIMITS);
        dispatcher.update_endpoints(0.0, true, &endpoints(workers));
        let mut gateway =
            Self { dispatcher, sharing: budget_sharing(), others: (2..=GATEWAYS as u64).collect(), now: 0.0 };
        gateway.tick();
        gateway.now = 1.0;
        gateway
    }

    fn tick(&mut self) {
        self.sharing.tick(&mut self.dispatcher, self.now, &QUOTA, self.others.clone());
    }

    /// CPU time of one second of ticks without any change, in milliseconds.
    fn steady_second(&mut self) -> f64 {
        let ticks = || {
            for _ in 0..TICKS_PER_SECOND {
                self.now += TICK_SECONDS;
                self.tick();
                while self.sharing.next_message().is_some() {}
            }
        };
        timed(ticks).0 * MILLISECONDS_PER_SECOND
    }

    /// CPU time of the first tick after a worker joined, in milliseconds.
    fn join(&mut self, worker: usize) -> f64 {
        self.dispatcher.update_endpoints(self.now, false, &[endpoint(worker)]);
        timed(|| self.tick()).0 * MILLISECONDS_PER_SECOND
    }
}

fn budget_sharing() -> BudgetSharing {
    let text = format!(
        "seed = 7\ngateways = {GATEWAYS}\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nworkers {{ \
         registry = \"127.0.0.1:1\" }}\n{LIMITS}"
    );
    let config = milletpath_config::read(&text).unwrap_or_else(|errors| panic!("configuration: {errors:?}"));
    BudgetSharing::new(&config, 1, LEASE_SECONDS, 0.0)
}

pub fn measure(options: &Options) {
    let (steady, joins) = WORKER_COUNTS.into_iter().map(measure_size).unzip();
    let description = RunDescription {
        name: "budgets-join",
        mechanism: "budgets of shots at each worker are looked up one among all (`Sharing::follow`)",
        quantity: "one worker joins: time inside the desk for budgets",
        unit: "ms",
        axis: "workers",
        method: "thread clock; five joins; in_flight stated",
        fixed: &[("gateways", 1_100.0)],
        group: "budgets",
    };
    description.write(options, joins);
    RunDescription {
        name: "budgets-cpu",
        mechanism: "budgets of shots at each worker, all of them looked at 25 times a second \
                    (`Sharing::turn`)",
        quantity: "CPU a second of one gateway",
        method: "thread clock; five seconds of 25 looks; in_flight stated, nothing wanted or lent",
        ..description
    }
    .write(options, steady);
}

/// Measures seconds without any change, and joins of one worker each.
fn measure_size(workers: usize) -> (Measurement, Measurement) {
    const FIRST_JOIN: f64 = 100.0;
    let mut gateway = Gateway::new(workers);
    let steady = (0..REPEATS).map(|_| gateway.steady_second()).collect();
    let join = |n: usize| {
        gateway.now = FIRST_JOIN + n as f64;
        gateway.join(workers + n)
    };
    let joins = (0..REPEATS).map(join).collect();
    (measurement(workers as f64, steady), measurement(workers as f64, joins))
}
