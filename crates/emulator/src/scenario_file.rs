//! Days as scripts in HCL: a fleet, its traffic, and the troubles that befall it. Read with the charter's page, so
//! that mistakes are told the same way. A day may build on another (`upon`), whose figures hold where it gives none.

use crate::store::StoreSpec;
use crate::worker_model::{FunctionModel, WorkerSpec};
use hcl_edit::parser::parse_body;
use hcl_edit::structure::Body;
use milletpath_config::document::{ConfigError, Document, Section};
use milletpath_history_checker::{Idempotency, WindowLimit};
use std::path::Path;

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    pub seconds: f64,
    pub gateways: usize,
    /// Cores of each; as many as the machine has where nothing is said.
    pub cores: Option<usize>,
    /// Whether the gateways know each other, over links that troubles can strike.
    pub sharing: bool,
    /// The busiest gateway gets so many times the mean of the clients' tries.
    pub uneven: f64,
    pub workers: usize,
    pub worker_spec: WorkerSpec,
    pub store_spec: StoreSpec,
    /// Functions that the usual traffic is for, and their popularity.
    pub functions: usize,
    pub zipf: f64,
    pub function_model: FunctionModel,
    pub traffic: Traffic,
    pub profiles: Vec<Profile>,
    pub groups: Vec<Group>,
    pub rules: RuleSettings,
    pub faults: Vec<ScheduledFault>,
}

#[derive(Clone, Debug)]
pub struct Traffic {
    /// Calls a second.
    pub rate: f64,
    /// Mean seconds of work on a core of speed 1, and of waiting beside it.
    pub work: f64,
    pub io: f64,
    /// Bytes of a call's body.
    pub body: usize,
    /// A try is given up after so much of the cut-off, at least.
    pub timeout: f64,
    /// A client's own further tries, and the seconds before each.
    pub retries: u32,
    pub backoff: f64,
    /// Part of the clients that leave in the midst of a call.
    pub abandonment: f64,
}

#[derive(Clone, Debug)]
pub struct Profile {
    pub name: String,
    pub share: f64,
    pub latency_objective: f64,
    pub deadline: f64,
    pub idempotency: Idempotency,
    pub importance: f64,
}

#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    pub share: f64,
    pub quota: Option<f64>,
    /// Calls a second that it may have sent at all, over all gateways.
    pub ceiling: Option<f64>,
}

/// What the rules and the account state.
#[derive(Clone, Debug)]
pub struct RuleSettings {
    pub grace: f64,
    pub load_rate_limit: Option<WindowLimit>,
    /// Gateways' own further shots, over all gateways: window, free ones, share of one for each try.
    pub retries: Option<WindowLimit>,
    /// Shots at one worker, over all gateways.
    pub in_flight: Option<f64>,
    /// Seconds for which receipts are known.
    pub idempotency_window: f64,
    pub late: f64,
    pub over_share: f64,
    /// Seconds until the list says what befell a worker.
    pub notification_delay: f64,
}

#[derive(Clone, Debug)]
pub struct ScheduledFault {
    pub name: String,
    pub kind: FaultKind,
    pub at: f64,
    pub duration: f64,
    /// The part of workers, functions, clients or answers that it strikes.
    pub fraction: f64,
    /// How hard; what it counts depends on the trouble.
    pub magnitude: f64,
}

impl ScheduledFault {
    pub fn is_active(&self, at: f64) -> bool {
        (self.at..self.at + self.duration).contains(&at)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Workers die at once and come back cold, at another address.
    WorkerCrash,
    /// Workers are drained, stopped and replaced one after the other.
    RollingReplacement,
    /// Workers are told to drain, and take work again afterwards.
    Drain,
    /// Workers quickly fail a part (size) of their activations.
    RequestFailures,
    /// Workers take activations and answer none.
    Unresponsiveness,
    /// A part (size) of the answers is lost after the work is done.
    LostResponses,
    /// Workers run so many times (size) slower.
    Slowness,
    /// Workers turn away one client group though they have room.
    FalseRejections,
    /// Functions are released anew: their copies are void.
    FunctionRelease,
    /// Traffic jumps to so many times (size) the usual.
    TrafficBurst,
    /// A part of the calls is for functions wanted once.
    OneTimeFunctions,
    /// A part of the calls is for a few functions not seen before.
    HotFunctions,
    /// A part of the calls costs so many times (size) the usual work.
    HeavyRequests,
    /// A part of the clients waits only this part (size) of the due time.
    ImpatientClients,
    StoreSlowness,
    StoreRejections,
    StoreOutage,
    /// A part (size) of the answers is cut in half, garbage, or reset in mid-body.
    TruncatedResponses,
    GarbageResponses,
    ConnectionResets,
    /// Gateway processes stand still for so many seconds (size), again and again.
    GatewayPause,
    /// Gateway processes are killed outright and started anew.
    GatewayCrash,
    /// A core of each gateway stands still for so many seconds (size), again and again.
    CorePause,
    /// A core of each gateway ends by a panic.
    CorePanic,
    /// The decisions of each gateway panic.
    DispatcherPanic,
    /// Lists come so many seconds (size) late.
    RegistryDelay,
    RegistryStall,
    RegistryLoss,
    RegistryDuplication,
    /// The list shows nobody.
    RegistryEmptied,
    /// A part (size) of the letters between gateways is lost, on a part of the links.
    LinkLoss,
    /// A part of the gateways is cut off from the others, both ways.
    LinkPartition,
    /// A part of the gateways hears no other, and is heard.
    LinkInboundLoss,
    /// Letters come so many seconds (size) late, and overtake each other.
    LinkDelay,
    /// A part (size) of the letters is doubled, and played again later.
    LinkDuplication,
    /// A part (size) of the letters is garbage: cut off, changed, forged, too large, or of long ago.
    LinkCorruption,
    /// A part of the gateways begins only then.
    LateGatewayStart,
}

/// The script's words, with what `part` and `size` are when nothing is said.
const WORDS: [(&str, FaultKind, f64, f64); 37] = [
    ("death", FaultKind::WorkerCrash, 0.2, 1.0),
    ("rolling", FaultKind::RollingReplacement, 0.5, 1.0),
    ("drain", FaultKind::Drain, 0.2, 1.0),
    ("failures", FaultKind::RequestFailures, 0.2, 0.6),
    ("silence", FaultKind::Unresponsiveness, 0.15, 1.0),
    ("lost-answers", FaultKind::LostResponses, 0.2, 0.5),
    ("slowness", FaultKind::Slowness, 0.2, 5.0),
    ("wrong-full", FaultKind::FalseRejections, 0.3, 0.9),
    ("release", FaultKind::FunctionRelease, 0.8, 1.0),
    ("burst", FaultKind::TrafficBurst, 1.0, 2.0),
    ("one-offs", FaultKind::OneTimeFunctions, 0.1, 1.0),
    ("hot", FaultKind::HotFunctions, 0.2, 3.0),
    ("heavy", FaultKind::HeavyRequests, 0.01, 12.0),
    ("impatience", FaultKind::ImpatientClients, 0.6, 0.4),
    ("store-slow", FaultKind::StoreSlowness, 1.0, 4.0),
    ("store-refuses", FaultKind::StoreRejections, 1.0, 1.0),
    ("store-stops", FaultKind::StoreOutage, 1.0, 1.0),
    ("half-answers", FaultKind::TruncatedResponses, 0.2, 0.3),
    ("garbage", FaultKind::GarbageResponses, 0.2, 0.3),
    ("resets", FaultKind::ConnectionResets, 0.2, 0.3),
    ("gateway-stall", FaultKind::GatewayPause, 0.5, 0.5),
    ("gateway-kill", FaultKind::GatewayCrash, 0.5, 1.0),
    ("core-stall", FaultKind::CorePause, 1.0, 0.5),
    ("core-panic", FaultKind::CorePanic, 1.0, 1.0),
    ("desk-break", FaultKind::DispatcherPanic, 1.0, 1.0),
    ("list-late", FaultKind::RegistryDelay, 1.0, 3.0),
    ("list-stalled", FaultKind::RegistryStall, 1.0, 1.0),
    ("list-lost", FaultKind::RegistryLoss, 1.0, 1.0),
    ("list-repeated", FaultKind::RegistryDuplication, 1.0, 1.0),
    ("list-emptied", FaultKind::RegistryEmptied, 1.0, 1.0),
    ("link-lost", FaultKind::LinkLoss, 1.0, 0.2),
    ("link-cut", FaultKind::LinkPartition, 0.4, 1.0),
    ("link-deaf", FaultKind::LinkInboundLoss, 0.1, 1.0),
    ("link-late", FaultKind::LinkDelay, 1.0, 0.5),
    ("link-repeat", FaultKind::LinkDuplication, 1.0, 0.3),
    ("link-garbage", FaultKind::LinkCorruption, 1.0, 0.3),
    ("gateway-join", FaultKind::LateGatewayStart, 0.3, 1.0),
];

/// Reads a day's file and those that it builds on; the error holds a line for each mistake.
pub fn open(path: &Path) -> Result<Scenario, Vec<String>> {
    open_under(path, 0)
}

fn open_under(path: &Path, depth: usize) -> Result<Scenario, Vec<String>> {
    /// Days one upon the other; more are a circle.
    const DEEPEST: usize = 8;
    let (mut texts, mut at) = (Vec::new(), path.to_owned());
    loop {
        let place = at.display();
        let text = std::fs::read_to_string(&at)
            .map_err(|e| vec![format!("{place}: can't be read: {e}; name a day's file")])?;
        let body = parse(&text).map_err(|mistakes| lines(&at, &mistakes))?;
        let upon = body.get_attribute("upon").and_then(|a| a.value.as_str()).map(str::to_owned);
        texts.push((text, body));
        let Some(upon) = upon else { break };
        if texts.len() + depth > DEEPEST {
            return Err(vec![format!(
                "{place}: builds on itself; write a day that ends at one without upon"
            )]);
        }
        at = at.parent().unwrap_or(Path::new("")).join(upon);
        if texts.len() == 1 {
            // Sound by itself: what is told below is about this file alone.
            open_under(&at, depth + 1)?;
        }
    }
    let name = path.file_stem().map_or("day".into(), |n| n.to_string_lossy().into_owned());
    let document = Document::new(&texts[0].0);
    let scenario = whole(&name, &Section::layered(&document, texts.iter().map(|(_, body)| body).collect()));
    let mistakes = document.into_errors();
    if mistakes.is_empty() { Ok(scenario) } else { Err(lines(path, &mistakes)) }
}

fn lines(path: &Path, mistakes: &[ConfigError]) -> Vec<String> {
    mistakes.iter().map(|mistake| format!("{}:{mistake}", path.display())).collect()
}

fn parse(text: &str) -> Result<Body, Vec<ConfigError>> {
    parse_body(text).map_err(|e| {
        let (line, column) = (e.location().line(), e.location().column());
        vec![ConfigError { line, column, problem: e.message().to_owned(), remedy: "mend the line".into() }]
    })
}

fn whole(name: &str, top: &Section<'_>) -> Scenario {
    const LONG: f64 = 86_400.0;
    let _ = top.text("upon");
    let fleet = top.block("fleet");
    let fleet = fleet.as_ref();
    let of = |s: Option<&Section<'_>>, key, unit, high, usual| {
        s.and_then(|s| s.number(key, unit, 0.0..=high)).unwrap_or(usual)
    };
    let may = |key, usual| fleet.and_then(|s| s.flag(key)).unwrap_or(usual);
    let count = |s: Option<&Section<'_>>, key, usual| {
        s.and_then(|s| s.count(key, "", 1..=1_000_000)).unwrap_or(usual)
    };
    let worker_spec = WorkerSpec {
        cores: count(fleet, "cores", 4),
        speed: of(fleet, "speed", "speed", 1000.0, 1.0),
        memory: of(fleet, "memory", "MB", 1e9, 8192.0),
        concurrent_loads: count(fleet, "loads_at_once", 4),
        queue: count(fleet, "queue", 64),
        idle_timeout: of(fleet, "keep", "seconds", LONG, 12.0),
        rejects_unloaded: may("misses", false),
        loads_ahead: may("eager", true),
        initial_capacity: of(fleet, "cold_share", "capacity", 1.0, 0.2),
        warm_up: of(fleet, "warm_up", "seconds", LONG, 8.0),
        overload_multiple: of(fleet, "tip_multiple", "capacities", 1000.0, 2.5),
        overload_window: of(fleet, "tip_window", "seconds", LONG, 1.0),
    };
    let store = top.block("store");
    let store_spec = StoreSpec {
        unslowed_fetches: of(store.as_ref(), "at_once", "fetches", 1e9, 12.0),
        max_fetches: count(store.as_ref(), "takes", 48),
        overload_rate: store.as_ref().and_then(|s| s.number("tips", "fetches a second", 0.0..=1e9)),
        outage_seconds: of(store.as_ref(), "stops", "seconds", LONG, 3.0),
    };
    let functions = top.block("functions");
    let functions = functions.as_ref();
    let function_model = FunctionModel {
        concurrency: count(functions, "lanes", 2) as u32,
        memory: of(functions, "memory", "MB", 1e9, 300.0),
        fetch: of(functions, "fetch", "seconds", LONG, 0.25),
        start: of(functions, "start", "seconds", LONG, 0.15),
    };
    let traffic = top.block("traffic");
    let traffic = traffic.as_ref();
    let plays = Traffic {
        rate: of(traffic, "rate", "calls a second", 1e6, 100.0),
        work: of(traffic, "work", "seconds", LONG, 0.04),
        io: of(traffic, "io", "seconds", LONG, 0.0),
        body: traffic.and_then(|s| s.count("body", "bytes", 0..=1 << 30)).unwrap_or(200),
        timeout: of(traffic, "patience", "of the cut-off", 1.0, 0.5),
        retries: traffic.and_then(|s| s.count("retries", "tries", 0..=10)).unwrap_or(2) as u32,
        backoff: of(traffic, "backoff", "seconds", LONG, 0.1),
        abandonment: of(traffic, "leave", "of the clients", 1.0, 0.002),
    };
    let front = top.block("front");
    let uneven = of(front.as_ref(), "uneven", "times the mean", 1e6, 1.0);
    let rules = top.block("rules");
    let rules = rules.as_ref();
    let rationed = |key| {
        rules.and_then(|r| r.block(key)).map(|r| {
            let r = Some(&r);
            WindowLimit {
                window: of(r, "window", "seconds", LONG, 10.0),
                free: of(r, "free", "of them", 1e9, 10.0),
                per_request: of(r, "share", "of one an activation", 1e3, 0.1),
            }
        })
    };
    let rule_settings = RuleSettings {
        grace: of(rules, "drain_grace", "seconds", LONG, 1.0),
        load_rate_limit: rationed("ration"),
        retries: rationed("retries"),
        in_flight: rules.and_then(|r| r.number("in_flight", "shots at one worker", 1.0..=1e9)),
        idempotency_window: of(rules, "receipts", "seconds", LONG, 30.0),
        late: of(rules, "late", "importance", 1.0, 0.1),
        over_share: of(rules, "over_share", "importance", 1.0, 0.05),
        notification_delay: of(rules, "notice", "seconds", LONG, 1.5),
    };
    Scenario {
        name: name.to_owned(),
        seed: top.number("seed", "chance", 0.0..=9e15).unwrap_or(1.0) as u64,
        seconds: of(Some(top), "seconds", "seconds", LONG, 30.0),
        gateways: count(Some(top), "gateways", 2),
        cores: top.count("cores", "cores", 1..=63),
        sharing: top.flag("sharing").unwrap_or(false),
        uneven,
        workers: count(fleet, "workers", 10),
        worker_spec,
        store_spec,
        functions: count(functions, "count", 40),
        zipf: of(functions, "zipf", "exponent", 10.0, 1.1),
        function_model,
        traffic: plays,
        profiles: profiles(top),
        groups: groups(top),
        rules: rule_settings,
        faults: faults(top),
    }
}

fn profiles(top: &Section<'_>) -> Vec<Profile> {
    let effects = [
        ("pure", Idempotency::Idempotent),
        ("receipted", Idempotency::IdempotentWithKey),
        ("effectful", Idempotency::NonIdempotent),
    ];
    let read = |s: Section<'_>| {
        let due = s.number("due", "seconds", 0.001..=86_400.0).unwrap_or(1.0);
        Profile {
            name: s.label.clone(),
            share: s.number("share", "of the calls", 0.0..=1e6).unwrap_or(1.0),
            latency_objective: due,
            deadline: s.number("cut_off", "seconds", 0.001..=86_400.0).unwrap_or(3.0 * due),
            idempotency: s.one_of("effect", &effects).unwrap_or(Idempotency::Idempotent),
            importance: s.number("importance", "importance", 0.0..=1e9).unwrap_or(1.0),
        }
    };
    let profiles: Vec<_> = top.blocks("profile", true).into_iter().map(read).collect();
    if profiles.is_empty() {
        top.report(0, "the day has no profile", "add profile \"usual\" { due = 1.0 }");
    }
    profiles
}

fn groups(top: &Section<'_>) -> Vec<Group> {
    let read = |s: Section<'_>| Group {
        name: s.label.clone(),
        share: s.number("share", "of the calls", 0.0..=1e6).unwrap_or(1.0),
        quota: s.number("quota", "calls a second", 0.0..=1e9),
        ceiling: s.number("ceiling", "calls a second", 0.0..=1e9),
    };
    let mut groups: Vec<_> = top.blocks("client", true).into_iter().map(read).collect();
    if groups.is_empty() {
        groups.push(Group { name: "all".into(), share: 1.0, quota: None, ceiling: None });
    }
    groups
}

fn faults(top: &Section<'_>) -> Vec<ScheduledFault> {
    let read = |s: Section<'_>| {
        // `death`, or `death-2` where one befalls the day twice.
        let word =
            |w: &str| s.label == w || s.label.strip_prefix(w).is_some_and(|rest| rest.starts_with("-at-"));
        let Some(&(_, what, part, size)) = WORDS.iter().find(|(w, ..)| word(w)) else {
            let known: Vec<_> = WORDS.iter().map(|(w, ..)| *w).collect();
            let remedy = format!("one of {}; `death-at-night` names a second death", known.join(", "));
            s.report(s.offset, format!("there is no trouble called {}", s.label), remedy);
            return None;
        };
        Some(ScheduledFault {
            name: s.label.clone(),
            kind: what,
            at: s.number("at", "seconds", 0.0..=86_400.0).unwrap_or(0.0),
            duration: s.number("lasts", "seconds", 0.0..=86_400.0).unwrap_or(5.0),
            fraction: s.number("part", "of what it strikes", 0.0..=1.0).unwrap_or(part),
            magnitude: s.number("size", "", 0.0..=1e6).unwrap_or(size),
        })
    };
    top.blocks("trouble", true).into_iter().filter_map(read).collect()
}
