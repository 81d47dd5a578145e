//! What the slopes are measured with: the thread's own clock, the bytes that are allocated, and the file
//! that a slope is written to.

use cap::Cap;
use milletpath_capacity_model::run::{Measurement, Run};
use milletpath_process_environment::wall_clock::unix_time;
use nix::time::{ClockId, clock_gettime};
use std::alloc::System;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Counts all that the bench allocates.
#[global_allocator]
static ALLOCATED: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that are allocated now.
pub fn allocated() -> f64 {
    ALLOCATED.allocated() as f64
}

/// Seconds that this thread has spent on a processor.
#[expect(clippy::disallowed_methods, reason = "the thread's own clock, which no step moves")]
pub fn spent() -> f64 {
    let at = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect(
        "the system has a clock for each \
     thread",
    );
    at.tv_sec() as f64 + at.tv_nsec() as f64 / 1e9
}

/// Seconds that one look at that clock takes: subtracted where it is looked at around small things.
pub fn look() -> f64 {
    const LOOKS: usize = 10_000;
    let began = spent();
    (0..LOOKS).for_each(|_| _ = std::hint::black_box(spent()));
    (spent() - began) / LOOKS as f64
}

/// The median of repeats at a size (of an even number the upper one), with the least and the most of them.
pub fn size(at: f64, mut values: Vec<f64>) -> Measurement {
    values.sort_by(f64::total_cmp);
    let (last, middle) = (values.len() - 1, values.len() / 2);
    Measurement {
        size: at,
        second_size: None,
        median: values[middle],
        min: values[0],
        max: values[last],
        repeats: values.len(),
    }
}

/// What is asked of the bench: which groups, the seed, and where runs are written.
pub struct Asked {
    pub groups: Vec<String>,
    pub seed: u64,
    pub folder: PathBuf,
}

/// A slope that is being measured: all of its words but the sizes.
pub struct Slope {
    pub name: &'static str,
    pub mechanism: &'static str,
    pub figure: &'static str,
    pub unit: &'static str,
    pub axis: &'static str,
    pub method: &'static str,
    pub fixed: &'static [(&'static str, f64)],
    pub group: &'static str,
}

impl Slope {
    /// Writes the run to its file, and a line a size to standard output.
    pub fn write(&self, asked: &Asked, second_axis: Option<&str>, sizes: Vec<Measurement>) {
        for s in &sizes {
            let and = s.second_size.map_or(String::new(), |and| format!(" and {and}"));
            println!(
                "{}: {}{and} {}: {:.4} ({:.4} to {:.4}) {}",
                self.name, s.size, self.axis, s.median, s.min, s.max, self.unit
            );
        }
        let command = format!(
            "cargo bench -p milletpath-capacity-model --bench slopes -- {} --seed {}",
            self.group, asked.seed
        );
        let fixed: BTreeMap<String, f64> =
            self.fixed.iter().map(|(key, value)| ((*key).to_owned(), *value)).collect();
        let run = Run {
            name: self.name.into(),
            mechanism: self.mechanism.into(),
            quantity: self.figure.into(),
            unit: self.unit.into(),
            axis: self.axis.into(),
            second_axis: second_axis.map(str::to_owned),
            fixed,
            method: self.method.into(),
            command,
            seed: asked.seed,
            date: today(),
            cores: std::thread::available_parallelism().map_or(1, |n| n.get()),
            measurements: sizes,
        };
        let path = asked.folder.join(format!("{}.json", self.name));
        let text = serde_json::to_string_pretty(&run).expect("a run is JSON") + "\n";
        std::fs::write(&path, text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    }
}

/// The day in UTC, as 2026-12-02.
fn today() -> String {
    // Days of the civil calendar, counted in years that begin in March.
    let days = unix_time() as i64 / 86_400 + 719_468;
    let era = days.div_euclid(146_097);
    let of_era = days.rem_euclid(146_097);
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    format!("{:04}-{month:02}-{day:02}", year + era * 400 + i64::from(month <= 2))
}
