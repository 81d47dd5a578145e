//! Tools for the measurements: the thread's CPU clock, a counting allocator, and the output of a run to its file.

use cap::Cap;
use milletpath_capacity_model::run::{Measurement, Run};
use milletpath_process_environment::wall_clock::unix_time;
use nix::time::{ClockId, clock_gettime};
use std::alloc::System;
use std::collections::BTreeMap;
use std::path::PathBuf;

pub const MILLISECONDS_PER_SECOND: f64 = 1e3;
pub const MICROSECONDS_PER_SECOND: f64 = 1e6;
pub const BYTES_PER_MEGABYTE: f64 = 1e6;
pub const BYTES_PER_KILOBYTE: f64 = 1e3;

const SECONDS_PER_DAY: i64 = 86_400;

/// Counts the bytes that the bench has allocated.
#[global_allocator]
static ALLOCATED: Cap<System> = Cap::new(System, usize::MAX);

/// Number of bytes currently allocated.
pub fn allocated_bytes() -> f64 {
    ALLOCATED.allocated() as f64
}

/// CPU time of this thread, in seconds.
#[expect(clippy::disallowed_methods, reason = "the thread's CPU clock is not affected by clock adjustments")]
pub fn cpu_seconds() -> f64 {
    let time =
        clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the system provides thread CPU clocks");
    time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9
}

/// CPU time of one reading of the thread's CPU clock, in seconds. It is subtracted from measurements of short
/// operations.
pub fn clock_overhead() -> f64 {
    const READINGS: usize = 10_000;
    let start = cpu_seconds();
    (0..READINGS).for_each(|_| _ = std::hint::black_box(cpu_seconds()));
    (cpu_seconds() - start) / READINGS as f64
}

/// Runs an operation and returns its CPU time in seconds together with its result.
pub fn timed<T>(operation: impl FnOnce() -> T) -> (f64, T) {
    let start = cpu_seconds();
    let result = operation();
    (cpu_seconds() - start, result)
}

/// Summarizes the repeats at a size by their median (the upper one of an even number), minimum and maximum.
pub fn measurement(size: f64, mut repeats: Vec<f64>) -> Measurement {
    repeats.sort_by(f64::total_cmp);
    Measurement {
        size,
        second_size: None,
        median: repeats[repeats.len() / 2],
        min: repeats[0],
        max: repeats[repeats.len() - 1],
        repeats: repeats.len(),
    }
}

/// Options from the command line.
pub struct Options {
    /// Names of the groups to measure.
    pub groups: Vec<String>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The folder that the runs are written to.
    pub folder: PathBuf,
}

/// The description of a run. Everything except the group, which is part of the recorded command, is stored in the
/// file of the run and printed on the page.
#[derive(Clone, Copy)]
pub struct RunDescription {
    /// Name of the run and of its file.
    pub name: &'static str,
    /// The mechanism that causes the cost.
    pub mechanism: &'static str,
    /// The measured quantity.
    pub quantity: &'static str,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// Name of the axis.
    pub axis: &'static str,
    /// How the quantity is measured, and what the values include besides the mechanism.
    pub method: &'static str,
    /// Names and values of the parameters that are the same at all sizes.
    pub fixed: &'static [(&'static str, f64)],
    /// Name of the group that measures the run.
    pub group: &'static str,
}

impl RunDescription {
    /// Writes a run with one axis to its file, and one line per size to standard output.
    pub fn write(&self, options: &Options, measurements: Vec<Measurement>) {
        self.write_run(options, None, measurements);
    }

    /// Writes a run with two axes to its file, and one line per size to standard output.
    pub fn write_with_second_axis(
        &self,
        options: &Options,
        second_axis: &str,
        measurements: Vec<Measurement>,
    ) {
        self.write_run(options, Some(second_axis), measurements);
    }

    fn write_run(&self, options: &Options, second_axis: Option<&str>, measurements: Vec<Measurement>) {
        measurements.iter().for_each(|measurement| self.print(measurement));
        let run = self.run(options, second_axis, measurements);
        let path = options.folder.join(format!("{}.json", self.name));
        let text = serde_json::to_string_pretty(&run).expect("a run can be encoded as JSON") + "\n";
        std::fs::write(&path, text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }

    fn print(&self, measurement: &Measurement) {
        let second_size = measurement.second_size.map_or(String::new(), |size| format!(" and {size}"));
        let Measurement { size, median, min, max, .. } = measurement;
        let (name, axis, unit) = (self.name, self.axis, self.unit);
        println!("{name}: {size}{second_size} {axis}: {median:.4} ({min:.4} to {max:.4}) {unit}");
    }

    fn run(&self, options: &Options, second_axis: Option<&str>, measurements: Vec<Measurement>) -> Run {
        let command = format!(
            "cargo bench -p milletpath-capacity-model --bench slopes -- {} --seed {}",
            self.group, options.seed
        );
        let fixed: BTreeMap<String, f64> =
            self.fixed.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect();
        Run {
            name: self.name.into(),
            mechanism: self.mechanism.into(),
            quantity: self.quantity.into(),
            unit: self.unit.into(),
            axis: self.axis.into(),
            second_axis: second_axis.map(str::to_owned),
            fixed,
            method: self.method.into(),
            command,
            seed: options.seed,
            date: today(),
            cores: std::thread::available_parallelism().map_or(1, |n| n.get()),
            measurements,
        }
    }
}

/// Today's date in UTC, such as 2026-12-02.
fn today() -> String {
    civil_date(unix_time() as i64 / SECONDS_PER_DAY)
}

/// Converts a number of days since 1970-01-01 into a Gregorian date. Years are counted from March, so that the leap
/// day is the last day of the year, and in eras of 400 years, after which the calendar repeats.
fn civil_date(days_since_epoch: i64) -> String {
    const DAYS_FROM_MARCH_OF_YEAR_0: i64 = 719_468;
    const DAYS_PER_ERA: i64 = 146_097;
    let days = days_since_epoch + DAYS_FROM_MARCH_OF_YEAR_0;
    let era = days.div_euclid(DAYS_PER_ERA);
    let day_of_era = days.rem_euclid(DAYS_PER_ERA);
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    format!("{year:04}-{month:02}-{day:02}")
}
