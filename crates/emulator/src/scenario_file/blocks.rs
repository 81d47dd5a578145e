//! The blocks of a scenario file, with their bounds and defaults; one function per block.

use super::faults::{FAULT_KEYWORDS, ScheduledFault, keyword_of};
use super::model::{Group, Profile, RuleSettings, Scenario, Traffic};
use crate::store::StoreSpec;
use crate::worker_model::{FunctionModel, WorkerSpec};
use milletpath_config::document::Section;
use milletpath_history_checker::{Idempotency, WindowLimit};

/// The maximum duration in seconds: one day.
const MAX_SECONDS: f64 = 86_400.0;
const MIN_SECONDS: f64 = 0.001;
const MAX_COUNT: u32 = 1_000_000;
const MAX_CORES: u32 = 63;
const MAX_BODY_BYTES: u32 = 1 << 30;
const MAX_CLIENT_RETRIES: u32 = 10;
const MAX_SEED: f64 = 9e15;

/// A block that a file may omit, in which case all its values are the defaults.
#[derive(Clone, Copy)]
struct OptionalBlock<'a, 'p>(Option<&'a Section<'p>>);

impl OptionalBlock<'_, '_> {
    fn number(self, key: &'static str, unit: &str, max: f64, default: f64) -> f64 {
        self.optional_number(key, unit, 0.0, max).unwrap_or(default)
    }

    fn optional_number(self, key: &'static str, unit: &str, min: f64, max: f64) -> Option<f64> {
        self.0?.number(key, unit, min..=max)
    }

    fn seconds(self, key: &'static str, default: f64) -> f64 {
        self.number(key, "seconds", MAX_SECONDS, default)
    }

    fn count(self, key: &'static str, default: usize) -> usize {
        self.0.and_then(|block| block.count(key, "", 1..=MAX_COUNT)).unwrap_or(default)
    }

    fn flag(self, key: &'static str, default: bool) -> bool {
        self.0.and_then(|block| block.flag(key)).unwrap_or(default)
    }
}

/// Reads a scenario from the top level of its file.
pub(super) fn scenario(name: &str, top: &Section<'_>) -> Scenario {
    // Marks `extends` as a known key; it was evaluated when the layers were read.
    let _ = top.text("extends");
    let fleet = top.block("fleet");
    let fleet = OptionalBlock(fleet.as_ref());
    let functions = top.block("functions");
    let functions = OptionalBlock(functions.as_ref());
    let root = OptionalBlock(Some(top));
    Scenario {
        name: name.to_owned(),
        worker_spec: worker_spec(fleet),
        store_spec: store_spec(top),
        function_model: function_model(functions),
        traffic: traffic(top),
        uneven: uneven(top),
        rules: rules(top),
        seed: root.number("seed", "", MAX_SEED, 1.0) as u64,
        seconds: root.seconds("seconds", 30.0),
        gateways: root.count("gateways", 2),
        cores: top.count("cores", "cores", 1..=MAX_CORES),
        sharing: root.flag("sharing", false),
        workers: fleet.count("workers", 10),
        functions: functions.count("count", 40),
        zipf: functions.number("zipf", "", 10.0, 1.1),
        profiles: profiles(top),
        groups: groups(top),
        faults: faults(top),
    }
}

fn worker_spec(fleet: OptionalBlock<'_, '_>) -> WorkerSpec {
    WorkerSpec {
        cores: fleet.count("cores", 4),
        speed: fleet.number("speed", "", 1000.0, 1.0),
        memory: fleet.number("memory", "MB", 1e9, 8192.0),
        concurrent_loads: fleet.count("loads_at_once", 4),
        queue: fleet.count("queue", 64),
        idle_timeout: fleet.seconds("idle_timeout", 12.0),
        rejects_unloaded: fleet.flag("rejects_unloaded", false),
        loads_ahead: fleet.flag("loads_ahead", true),
        initial_capacity: fleet.number("initial_capacity", "", 1.0, 0.2),
        warm_up: fleet.seconds("warm_up", 8.0),
        overload_multiple: fleet.number("overload_multiple", "capacities", 1000.0, 2.5),
        overload_window: fleet.seconds("overload_window", 1.0),
    }
}

fn store_spec(top: &Section<'_>) -> StoreSpec {
    let block = top.block("store");
    let block = OptionalBlock(block.as_ref());
    StoreSpec {
        unslowed_fetches: block.number("at_once", "fetches", 1e9, 12.0),
        max_fetches: block.count("takes", 48),
        overload_rate: block.optional_number("tips", "fetches a second", 0.0, 1e9),
        outage_seconds: block.seconds("stops", 3.0),
    }
}

fn function_model(functions: OptionalBlock<'_, '_>) -> FunctionModel {
    FunctionModel {
        concurrency: functions.count("concurrency", 2) as u32,
        memory: functions.number("memory", "MB", 1e9, 300.0),
        fetch: functions.seconds("fetch", 0.25),
        start: functions.seconds("start", 0.15),
    }
}

fn traffic(top: &Section<'_>) -> Traffic {
    let section = top.block("traffic");
    let section = section.as_ref();
    let block = OptionalBlock(section);
    let body = section.and_then(|section| section.count("body", "bytes", 0..=MAX_BODY_BYTES));
    let retries = section.and_then(|section| section.count("retries", "retries", 0..=MAX_CLIENT_RETRIES));
    Traffic {
        rate: block.number("rate", "calls a second", 1e6, 100.0),
        work: block.seconds("work", 0.04),
        io: block.seconds("io", 0.0),
        body: body.unwrap_or(200),
        shortest_timeout: block.number("timeout", "deadlines", 1.0, 0.5),
        retries: retries.unwrap_or(2) as u32,
        backoff: block.seconds("backoff", 0.1),
        abandonment: block.number("abandonment", "", 1.0, 0.002),
    }
}

fn uneven(top: &Section<'_>) -> f64 {
    let block = top.block("front");
    OptionalBlock(block.as_ref()).number("uneven", "mean shares", 1e6, 1.0)
}

fn rules(top: &Section<'_>) -> RuleSettings {
    let section = top.block("rules");
    let section = section.as_ref();
    let block = OptionalBlock(section);
    RuleSettings {
        drain_grace: block.seconds("drain_grace", 1.0),
        load_rate_limit: window_limit(section, "load_rate_limit"),
        retries: window_limit(section, "retries"),
        in_flight: block.optional_number("in_flight", "attempts at one worker", 1.0, 1e9),
        idempotency_window: block.seconds("idempotency_window", 30.0),
        late_weight: block.number("late", "", 1.0, 0.1),
        over_quota_weight: block.number("over_quota", "", 1.0, 0.05),
        notification_delay: block.seconds("notification_delay", 1.5),
    }
}

fn window_limit(rules: Option<&Section<'_>>, key: &'static str) -> Option<WindowLimit> {
    let section = rules?.block(key)?;
    let block = OptionalBlock(Some(&section));
    Some(WindowLimit {
        window: block.seconds("window", 10.0),
        free: block.number("free", "", 1e9, 10.0),
        per_request: block.number("share", "", 1e3, 0.1),
    })
}

fn profiles(top: &Section<'_>) -> Vec<Profile> {
    let profiles: Vec<_> = top.blocks("profile", true).iter().map(profile).collect();
    if profiles.is_empty() {
        top.report(0, "the day has no profile", "add profile \"usual\" { latency_objective = 1.0 }");
    }
    profiles
}

fn profile(section: &Section<'_>) -> Profile {
    /// The values of `idempotency`.
    const IDEMPOTENCIES: [(&str, Idempotency); 3] = [
        ("idempotent", Idempotency::Idempotent),
        ("idempotent_with_key", Idempotency::IdempotentWithKey),
        ("non_idempotent", Idempotency::NonIdempotent),
    ];
    /// The default deadline, as a multiple of the latency objective.
    const DEADLINE_MULTIPLE: f64 = 3.0;
    let seconds = |key| section.number(key, "seconds", MIN_SECONDS..=MAX_SECONDS);
    let latency_objective = seconds("latency_objective").unwrap_or(1.0);
    Profile {
        name: section.label.clone(),
        share: section.number("share", "", 0.0..=1e6).unwrap_or(1.0),
        latency_objective,
        deadline: seconds("deadline").unwrap_or(DEADLINE_MULTIPLE * latency_objective),
        idempotency: section.one_of("idempotency", &IDEMPOTENCIES).unwrap_or(Idempotency::Idempotent),
        importance: section.number("importance", "", 0.0..=1e9).unwrap_or(1.0),
    }
}

fn groups(top: &Section<'_>) -> Vec<Group> {
    let group = |section: &Section<'_>| Group {
        name: section.label.clone(),
        share: section.number("share", "", 0.0..=1e6).unwrap_or(1.0),
        quota: section.number("quota", "calls a second", 0.0..=1e9),
        ceiling: section.number("ceiling", "calls a second", 0.0..=1e9),
    };
    let mut groups: Vec<_> = top.blocks("client", true).iter().map(group).collect();
    if groups.is_empty() {
        groups.push(Group { name: "all".into(), share: 1.0, quota: None, ceiling: None });
    }
    groups
}

fn faults(top: &Section<'_>) -> Vec<ScheduledFault> {
    let block_name = top.spelling("fault");
    top.blocks("fault", true).iter().filter_map(|section| fault(section, block_name)).collect()
}

/// Reads a fault from its block; `block_name` is the name that the file uses for such blocks.
fn fault(section: &Section<'_>, block_name: &str) -> Option<ScheduledFault> {
    let Some(keyword) = keyword_of(&section.label) else {
        let known: Vec<_> = FAULT_KEYWORDS.iter().map(|known| known.keyword).collect();
        let remedy = format!("one of {}; `death-at-night` names a second death", known.join(", "));
        section.report(section.offset, format!("there is no {block_name} called {}", section.label), remedy);
        return None;
    };
    Some(ScheduledFault {
        name: section.label.clone(),
        kind: keyword.kind,
        at: section.number("at", "seconds", 0.0..=MAX_SECONDS).unwrap_or(0.0),
        duration: section.number("duration", "seconds", 0.0..=MAX_SECONDS).unwrap_or(5.0),
        fraction: section.number("fraction", "", 0.0..=1.0).unwrap_or(keyword.fraction),
        magnitude: section.number("magnitude", "", 0.0..=1e6).unwrap_or(keyword.magnitude),
    })
}
