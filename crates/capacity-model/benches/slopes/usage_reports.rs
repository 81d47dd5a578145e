//! Usage reports between the gateways of a fleet, in simulated time. Messages arrive without delay, and CPU is
//! measured at the first gateway only.

use crate::measure::{
    BYTES_PER_KILOBYTE, MILLISECONDS_PER_SECOND, Options, RunDescription, measurement, timed,
};
use crate::shared_budgets::{LEASE_SECONDS, TICK_SECONDS};
use milletpath_capacity_model::run::Measurement;
use milletpath_shared_budgets::{Entitlement, FunctionConcurrency, SharedBudgets};

/// Bytes of a datagram besides the message, as `milletpath-shared-budgets` counts them.
const ENVELOPE_BYTES: f64 = 150.0;

/// Interval between the reports of a gateway in a fleet of up to [`GATEWAYS_AT_FULL_RATE`]. In larger fleets it
/// grows in proportion to their size.
const REPORT_INTERVAL_SECONDS: f64 = 0.8;
const GATEWAYS_AT_FULL_RATE: f64 = 48.0;

/// Number of periods before the measurement, and number of measured periods.
const WARM_UP_PERIODS: f64 = 2.5;
const MEASURED_PERIODS: f64 = 4.0;

/// Concurrency of each function at each gateway.
const CONCURRENCY: f64 = 0.05;

const SEED_COUNT: u64 = 3;
const SEED_STEP: u64 = 1_000;

/// The entitlement of a gateway in a quorum of the whole fleet that does not expire.
const ENTITLEMENT: Entitlement =
    Entitlement { fraction: 1.0, floor_fraction: 0.5, valid_until: f64::INFINITY };

/// Results of a simulation.
struct ReportingMetrics {
    /// Seconds between two reports of a gateway.
    period: f64,
    /// Mean kilobytes per second that a gateway sends.
    kilobytes: f64,
    /// CPU time of the first gateway, in milliseconds per second.
    cpu_millis: f64,
    /// Number of functions whose usage a gateway knows at the end; mean of all gateways.
    known_functions: f64,
    /// Fraction of the messages that are suppressed by the limit on bytes.
    suppressed: f64,
}

/// A message in transit; gateways are given by index.
struct Message {
    sender: usize,
    receiver: usize,
    bytes: Vec<u8>,
}

/// Message counters, summed over all gateways.
#[derive(Clone, Copy, Default)]
struct MessageCounts {
    sent: u64,
    suppressed: u64,
}

/// Totals since the end of the warm-up.
#[derive(Default)]
struct Totals {
    bytes: f64,
    messages: u64,
    reports: u64,
    cpu_seconds: f64,
}

/// A fleet of gateways that each report a number of functions. The starts of the gateways are spread over one period:
/// otherwise all reports would reach the aggregators at the same time.
struct Simulation {
    size: usize,
    functions: usize,
    seed: u64,
    gateways: Vec<SharedBudgets>,
    period: f64,
    now: f64,
    next_tick: f64,
    totals: Totals,
    counts_before: Option<MessageCounts>,
}

impl Simulation {
    fn new(size: usize, functions: usize, seed: u64) -> Self {
        Self {
            size,
            functions,
            seed,
            gateways: Vec::new(),
            period: REPORT_INTERVAL_SECONDS * (size as f64 / GATEWAYS_AT_FULL_RATE).max(1.0),
            now: 0.0,
            next_tick: 0.0,
            totals: Totals::default(),
            counts_before: None,
        }
    }

    fn warm_up_end(&self) -> f64 {
        WARM_UP_PERIODS * self.period
    }

    fn end(&self) -> f64 {
        (WARM_UP_PERIODS + MEASURED_PERIODS) * self.period
    }

    fn is_measured(&self) -> bool {
        self.now >= self.warm_up_end()
    }

    fn run(mut self) -> ReportingMetrics {
        while self.now < self.end() {
            self.advance();
            if self.is_measured() && self.counts_before.is_none() {
                self.counts_before = Some(self.message_counts());
            }
            for gateway in 0..self.gateways.len() {
                if self.gateways[gateway].next_usage_report() <= self.now {
                    self.report(gateway);
                }
            }
            self.tick();
        }
        self.finish()
    }

    /// Advances time to the next report or start of a gateway.
    fn advance(&mut self) {
        let next_reports = self.gateways.iter().map(SharedBudgets::next_usage_report);
        let next_report = next_reports.fold(f64::INFINITY, f64::min);
        let next_start = if self.gateways.len() < self.size {
            self.period * self.gateways.len() as f64 / self.size as f64
        } else {
            f64::INFINITY
        };
        self.now = next_report.min(next_start).max(self.now).min(self.end());
        if next_start <= self.now {
            self.start_gateway();
        }
    }

    fn start_gateway(&mut self) {
        let index = self.gateways.len();
        let mut budgets = SharedBudgets::new(id(index), LEASE_SECONDS, self.seed + index as u64, self.now);
        budgets.set_entitlement(self.now, ENTITLEMENT, self.others(index));
        self.gateways.push(budgets);
    }

    /// Ids of all gateways but one.
    fn others(&self, gateway: usize) -> Vec<u64> {
        (1..=self.size as u64).filter(|other| *other != id(gateway)).collect()
    }

    /// Lets a gateway report its usage, and delivers all resulting messages.
    fn report(&mut self, gateway: usize) {
        self.totals.reports += u64::from(self.is_measured());
        let (now, functions) = (self.now, self.functions);
        let mut in_transit = self.messages_after(gateway, |budgets| {
            budgets.report_usage(now, || usage(functions));
        });
        while let Some(message) = in_transit.pop() {
            if self.is_measured() {
                self.totals.bytes += ENVELOPE_BYTES + message.bytes.len() as f64;
                self.totals.messages += 1;
            }
            // Messages to a gateway that has not started are lost.
            if message.receiver < self.gateways.len() {
                in_transit.extend(self.messages_after(message.receiver, |budgets| {
                    budgets.receive(now, id(message.sender), &message.bytes, &mut |_| None);
                }));
            }
        }
    }

    /// Performs an operation at a gateway and returns the messages that it sends. At the first gateway the CPU time is
    /// measured.
    fn messages_after(&mut self, gateway: usize, operation: impl FnOnce(&mut SharedBudgets)) -> Vec<Message> {
        let budgets = &mut self.gateways[gateway];
        let (cpu_seconds, sent) = timed(|| {
            operation(budgets);
            std::iter::from_fn(|| budgets.next_message()).collect::<Vec<_>>()
        });
        if gateway == 0 && self.is_measured() {
            self.totals.cpu_seconds += cpu_seconds;
        }
        let message = |sent: milletpath_shared_budgets::OutgoingMessage| Message {
            sender: gateway,
            receiver: sent.recipient as usize - 1,
            bytes: sent.bytes,
        };
        sent.into_iter().map(message).collect()
    }

    /// Performs the ticks of the first gateway's membership link, each of which renews the entitlement.
    fn tick(&mut self) {
        while self.next_tick < self.now && self.now < self.end() {
            let (now, others) = (self.now, self.others(0));
            let gateway = &mut self.gateways[0];
            let (cpu_seconds, ()) = timed(|| gateway.set_entitlement(now, ENTITLEMENT, others));
            if self.is_measured() {
                self.totals.cpu_seconds += cpu_seconds;
            }
            self.next_tick += TICK_SECONDS;
        }
    }

    fn message_counts(&self) -> MessageCounts {
        let counters = self.gateways.iter().map(SharedBudgets::counters);
        counters.fold(MessageCounts::default(), |sum, counters| MessageCounts {
            sent: sum.sent + counters.messages,
            suppressed: sum.suppressed + counters.suppressed,
        })
    }

    fn finish(mut self) -> ReportingMetrics {
        assert!(self.totals.messages > 0, "at least one message was sent");
        let seconds = self.end() - self.warm_up_end();
        let size = self.size as f64;
        let (before, after) = (self.counts_before.unwrap_or_default(), self.message_counts());
        let sent = (after.sent - before.sent) as f64;
        let suppressed = (after.suppressed - before.suppressed) as f64;
        ReportingMetrics {
            period: seconds * size / self.totals.reports.max(1) as f64,
            kilobytes: self.totals.bytes / seconds / size / BYTES_PER_KILOBYTE,
            cpu_millis: self.totals.cpu_seconds * MILLISECONDS_PER_SECOND / seconds,
            known_functions: self.known_functions() as f64 / size,
            suppressed: suppressed / (sent + suppressed),
        }
    }

    /// Number of functions whose usage is known, summed over all gateways. A gateway that lacks the total of a bucket
    /// knows none.
    fn known_functions(&mut self) -> usize {
        let now = self.now;
        let known = self.gateways.iter_mut().map(|budgets| budgets.usage_elsewhere(now));
        known.map(|known| known.map_or(0, |functions| functions.len())).sum()
    }
}

/// The id of a gateway by its index.
fn id(index: usize) -> u64 {
    index as u64 + 1
}

/// The usage that every gateway reports.
fn usage(functions: usize) -> Vec<FunctionConcurrency> {
    /// Spreads the ids over all buckets.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let concurrency_of =
        |n: u64| FunctionConcurrency { function: n.wrapping_mul(MULTIPLIER), concurrency: CONCURRENCY };
    (1..=functions as u64).map(concurrency_of).collect()
}

/// Simulates one size with several seeds.
fn simulate(options: &Options, gateways: usize, functions: usize) -> Vec<ReportingMetrics> {
    let seeds = (0..SEED_COUNT).map(|n| options.seed + SEED_STEP * n);
    seeds.map(|seed| Simulation::new(gateways, functions, seed).run()).collect()
}

fn measured(size: usize, results: &[ReportingMetrics], value: fn(&ReportingMetrics) -> f64) -> Measurement {
    measurement(size as f64, results.iter().map(value).collect())
}

/// Measures period, bytes and CPU against the number of gateways.
pub fn measure_gateways(options: &Options) {
    const GATEWAY_COUNTS: [usize; 6] = [24, 48, 100, 200, 400, 1_100];
    const FUNCTIONS: usize = 30;
    let (mut period, mut bytes, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    for gateways in GATEWAY_COUNTS {
        let results = simulate(options, gateways, FUNCTIONS);
        period.push(measured(gateways, &results, |metrics| metrics.period));
        bytes.push(measured(gateways, &results, |metrics| metrics.kilobytes));
        cpu.push(measured(gateways, &results, |metrics| metrics.cpu_millis));
    }
    let description = RunDescription {
        name: "counts-period",
        mechanism: "reports of usage to one gateway a bucket (`shares::counts`)",
        quantity: "seconds between two reports of a gateway",
        unit: "s",
        axis: "gateways",
        method: "all cores in simulated time over four periods, three seeds; letters arrive at once",
        fixed: &[("functions that each keeps busy", 30.0)],
        group: "counts",
    };
    description.write(options, period);
    RunDescription {
        name: "counts-bytes",
        quantity: "bytes a second that one gateway sends; it hears as many",
        unit: "kB",
        ..description
    }
    .write(options, bytes);
    RunDescription {
        name: "counts-cpu",
        quantity: "CPU a second of one gateway",
        unit: "ms",
        method: "thread clock around one core of all, its word of who is there 25 times a second \
                 included; three seeds",
        ..description
    }
    .write(options, cpu);
}

/// Measures known functions and suppressed messages against the number of functions that all gateways keep busy.
pub fn measure_functions(options: &Options) {
    let known = RunDescription {
        name: "counts-functions",
        mechanism: "reports of usage to one gateway a bucket, within the bound on its notes \
                    (`shares::counts`, `Shares::send`)",
        quantity: "functions of which a gateway hears, of those that all keep busy",
        unit: "functions",
        axis: "functions",
        method: "mean over all gateways after 6.5 periods, three seeds; one that lacks the sum of a bucket \
                 hears of none; letters arrive at once",
        fixed: &[("gateways", 1_100.0)],
        group: "counts-functions",
    };
    let suppressed = RunDescription {
        name: "counts-held-back",
        quantity: "notes held back by the bound on bytes",
        unit: "% of all",
        method: "over four periods, three seeds; letters arrive at once",
        ..known
    };
    write_by_functions(options, 1_100, &[10, 30, 100, 330], known, suppressed);
    let fixed = &[("gateways", 24.0)];
    let known = RunDescription { name: "counts-functions-24", fixed, ..known };
    let suppressed = RunDescription { name: "counts-held-back-24", fixed, ..suppressed };
    write_by_functions(options, 24, &[10, 30, 100, 330, 1_000, 3_300], known, suppressed);
}

fn write_by_functions(
    options: &Options,
    gateways: usize,
    functions: &[usize],
    known: RunDescription,
    suppressed: RunDescription,
) {
    let measure_size = |functions: &usize| {
        let results = simulate(options, gateways, *functions);
        (
            measured(*functions, &results, |metrics| metrics.known_functions),
            measured(*functions, &results, |metrics| 100.0 * metrics.suppressed),
        )
    };
    let (known_functions, suppressed_percent) = functions.iter().map(measure_size).unzip();
    known.write(options, known_functions);
    suppressed.write(options, suppressed_percent);
}
