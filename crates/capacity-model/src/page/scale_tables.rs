//! Tables of the scale tests: one of all results, and one that compares fleets without a mechanism that propagates
//! configuration changes (before) and with it (after).

use crate::assumptions::Target;
use crate::number::number;
use crate::scale::{Distribution, MachineLoad, ScaleRun};

const KILOBYTES_PER_BYTE: f64 = 1e-3;
const PERCENT: f64 = 100.0;

const EXCEEDED: &str = "**MISSES**";

const SCALE_RUNS_TITLE: &str = "## Scale tests\n\n";

const SCALE_RUNS_HEAD: &str = "`milletpath scale FILE --seed N --json`: p50, p99 and largest value over the gateways.\n\n\
    | run | gateways | seed | mechanisms | CPU, % of a core | MB | kB/s received | kB/s sent | death known, s | \
    join known, s | change known, s | violated bounds | steps left out | machine |\n\
    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

const CONFIG_CHANGES_HEAD: &str = "| gateways | mechanism | change known, s | verdict | CPU, % of a core | kB/s received | kB/s sent | run |\n\
                                   | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// Formats a distribution, with each value multiplied by `factor`.
fn distribution(distribution: Option<&Distribution>, factor: f64) -> String {
    let Some(distribution) = distribution else { return "not measured".into() };
    let value = |value: Option<f64>| value.map_or("-".into(), |value| number(value * factor));
    let never = distribution.never.filter(|never| *never > 0);
    let never = never.map_or(String::new(), |never| format!("; never: {never}"));
    let (p50, p99, worst) = (distribution.p50, distribution.p99, distribution.worst);
    format!("{}, {}, {}{never}", value(p50), value(p99), value(worst))
}

/// The section with one row for each scale test.
pub(super) fn scale_runs(target: &Target, scale_runs: &[ScaleRun]) -> String {
    if scale_runs.is_empty() {
        return format!("{SCALE_RUNS_TITLE}Not run: no `scale-*.json` is among the runs.\n");
    }
    let rows: String = scale_runs.iter().map(|run| scale_run_row(target, run)).collect();
    [SCALE_RUNS_TITLE, SCALE_RUNS_HEAD, &rows].concat()
}

fn scale_run_row(target: &Target, run: &ScaleRun) -> String {
    let control = |key: &str, factor: f64| distribution(run.control.get(key), factor);
    let with_verdict = |key: &str, factor: f64, limit: f64| {
        let p99 = run.control.get(key).and_then(|distribution| distribution.p99);
        let exceeds_limit = p99.is_some_and(|p99| p99 * factor > limit);
        control(key, factor) + &exceeded_suffix(exceeds_limit)
    };
    let known = |event: &str| distribution(run.known.get(event), 1.0);
    let cells = [
        file_link(run),
        number(run.gateways as f64),
        run.seed.to_string(),
        run.runs.as_ref().map_or("not reported".into(), |runs| runs.join(", ")),
        with_verdict("cpu", PERCENT, target.cpu_percent),
        with_verdict("memory_mb", 1.0, target.memory_megabytes),
        control("bytes_in", KILOBYTES_PER_BYTE),
        control("bytes_out", KILOBYTES_PER_BYTE) + &exceeded_suffix(exceeds_traffic(target, run)),
        known("death"),
        known("join"),
        known("change"),
        violations(run),
        if run.not_played.is_empty() { "none reported".into() } else { run.not_played.join("; ") },
        machine_load(&run.machine),
    ];
    format!("| {} |\n", cells.join(" | "))
}

fn file_link(run: &ScaleRun) -> String {
    format!("[{}](capacity/{})", run.file_stem(), run.file)
}

fn exceeded_suffix(exceeds_limit: bool) -> String {
    if exceeds_limit { format!(" {EXCEEDED}") } else { String::new() }
}

/// Whether the sum of the 99th percentiles of sent and received bytes exceeds the limit.
fn exceeds_traffic(target: &Target, run: &ScaleRun) -> bool {
    let p99 = |key: &&str| run.control.get(*key)?.p99;
    let bytes = ["bytes_in", "bytes_out"].iter().filter_map(p99).sum::<f64>();
    bytes * KILOBYTES_PER_BYTE > target.kilobytes_per_second
}

fn violations(run: &ScaleRun) -> String {
    if run.broken.is_empty() {
        return "none".into();
    }
    let text = |value: &serde_json::Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    run.broken.iter().map(text).collect::<Vec<_>>().join("; ")
}

fn machine_load(machine: &MachineLoad) -> String {
    match machine {
        MachineLoad { saturated: Some(true), .. } => "saturated: contention is part of the values".into(),
        MachineLoad { busy: Some(busy), .. } => format!("{} % busy", number(PERCENT * busy)),
        _ => "not reported".into(),
    }
}

/// The section on the cost and delay of propagating configuration changes, with fleets of the same size that do not
/// propagate them for comparison.
pub(super) fn config_changes(target: &Target, scale_runs: &[ScaleRun]) -> String {
    let introduction = config_changes_introduction(target);
    let with_changes: Vec<&ScaleRun> =
        scale_runs.iter().filter(|run| run.change_propagation().is_some()).collect();
    if with_changes.is_empty() {
        return introduction + "After: not run.\n";
    }
    // Fleets without changes are only shown next to one of the same size with changes.
    let is_compared = |run: &&ScaleRun| {
        run.change_propagation().is_some() || with_changes.iter().any(|other| other.gateways == run.gateways)
    };
    let rows = scale_runs.iter().filter(is_compared).map(|run| config_change_row(target, run));
    introduction + CONFIG_CHANGES_HEAD + &rows.collect::<String>()
}

fn config_changes_introduction(target: &Target) -> String {
    format!(
        "## Configuration changes, before and after\n\nTarget: {} per day, each in force at all gateways within \
         {} s. Before: no mechanism carries a change; `serve` reads its configuration at start, and such fleets \
         spend on membership and budgets only.\n\nWithout a mechanism this limit is the first one that is \
         exceeded, at one gateway: {}.\n\n",
        number(target.config_changes_per_day),
        target.config_propagation_seconds,
        number(1.0 / target.gateways),
    )
}

fn config_change_row(target: &Target, run: &ScaleRun) -> String {
    let propagation = run.change_propagation();
    let verdict = match propagation {
        Some(propagation) if propagation.reached_all_in(target.config_propagation_seconds) => "holds".into(),
        Some(_) => EXCEEDED.into(),
        None if run.enabled("changes") && run.is_saturated() => format!("{EXCEEDED}, on a saturated machine"),
        None if run.enabled("changes") => EXCEEDED.into(),
        None => String::new(),
    };
    let has_mechanism = propagation.is_some() || run.enabled("changes");
    let control = |key: &str, factor: f64| distribution(run.control.get(key), factor);
    let cells = [
        number(run.gateways as f64),
        if has_mechanism { "after" } else { "before" }.into(),
        propagation.map_or("never".into(), |_| distribution(propagation, 1.0)),
        verdict,
        control("cpu", PERCENT),
        control("bytes_in", KILOBYTES_PER_BYTE),
        control("bytes_out", KILOBYTES_PER_BYTE),
        file_link(run),
    ];
    format!("| {} |\n", cells.join(" | "))
}
