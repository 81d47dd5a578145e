//! Reads a charter section by section. Each figure has its bounds and its usual value here, beside where it is
//! read; the usual ones are chosen for one gateway beside a handful of workers.

use crate::page::{ConfigError, Page, Section};
use crate::{
    ConfigLogConfig, FunctionConfigs, FunctionOverrides, GatewayConfig, Limits, MembershipConfig,
    ProfileConfig, WorkerSource,
};
use hcl_edit::parser::parse_body;
use hcl_edit::structure::Body;
use milletpath_policy::host::{Charter, Effect, Group, Profile};
use milletpath_protocol::is_name;
use milletpath_protocol::registry::{Entry, Standing};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;

const LONG: f64 = 86_400.0;

/// Reads a charter; the error holds every mistake of the text, in its order.
pub fn read(text: &str) -> Result<GatewayConfig, Vec<ConfigError>> {
    let page = Page::new(text);
    let body = body(text)?;
    let house = whole(&Section::whole(&page, &body));
    let mistakes = page.mistakes();
    if mistakes.is_empty() { Ok(house) } else { Err(mistakes) }
}

pub(crate) fn body(text: &str) -> Result<Body, Vec<ConfigError>> {
    parse_body(text).map_err(|e| {
        // The parser stops at the first slip of the grammar.
        let (line, column) = (e.location().line(), e.location().column());
        let (wrong, remedy) = (format!("no HCL here: {}", e.message()), "mend the line and check again");
        vec![ConfigError { line, column, wrong, remedy: remedy.into() }]
    })
}

fn whole(top: &Section<'_>) -> GatewayConfig {
    let listen = top.parsed("listen", "\"127.0.0.1:8080\"", address);
    let (profiles, kinds_of_call) = profiles(top);
    let Groups { names: clients, quotas, ceilings } = clients(top);
    let workers = top.block("workers");
    if workers.is_none() {
        top.mistake(0, "the charter has no workers", "add workers { worker \"w1\" { address = \"...\" } }");
    }
    let workers = workers.as_ref();
    let (kinds, memory) = workers.map(kinds).unwrap_or_default();
    let functions = functions(top, &kinds_of_call);
    let source = workers.map(|w| source(w, &kinds)).unwrap_or(WorkerSource::List(Vec::new()));
    let limits = top.block("limits");
    let limits = limits.as_ref();
    let limit = |key, unit, within, usual| limits.and_then(|l| l.figure(key, unit, within)).unwrap_or(usual);
    let of = |key, unit, within, usual| workers.and_then(|w| w.figure(key, unit, within)).unwrap_or(usual);
    let may = |key, usual| workers.and_then(|w| w.flag(key)).unwrap_or(usual);
    let routers = top.count("gateways", "gateways", 1..=100_000).unwrap_or(1);
    let policy = Charter {
        seed: top.figure("seed", "chance", 0.0..=9e15).map_or_else(chance, |s| s as u64),
        routers,
        profiles,
        quotas,
        ceilings,
        retries: limits
            .and_then(|l| rationed(l, "retries"))
            .map(|(w, free, s)| (w, free / routers as f64, s)),
        hand: limits.and_then(|l| in_flight(l, routers)).unwrap_or(f64::INFINITY),
        over_share: limit("over_share", "importance", 0.0..=1.0, 1.0),
        shots: limits.and_then(|l| l.count("shots", "shots", 1..=16)).unwrap_or(4),
        cancels: may("cancels", true),
        orders: may("orders", true),
        misses: may("misses", false),
        // The registry streams to whoever asks, and is asked again when the stream breaks.
        asks: matches!(source, WorkerSource::Registry(_)),
        probes: may("probes", true),
        come_back: Some(limit("come_back", "seconds", 0.0..=LONG, 1.0)).filter(|x| *x > 0.0),
        keep: of("keep", "seconds", 0.0..=LONG, 10.0),
        ration: limits.and_then(|l| rationed(l, "ration")),
        order_wait: of("order_wait", "seconds", 0.01..=LONG, 30.0),
        cold_share: of("cold_share", "capacity", 0.0..=1.0, 0.2),
        warm_up: of("warm_up", "seconds", 0.0..=LONG, 15.0),
        tip_multiple: of("tip_multiple", "capacities", 0.0..=1000.0, 2.5),
        tip_window: of("tip_window", "seconds", 0.0..=LONG, 1.0),
        memory,
        // The turn of the gateway's clock: what a loop on a busy core keeps.
        tick: 0.004,
    };
    const GIB: u32 = 1 << 30;
    let count = |key, unit, within, usual| limits.and_then(|l| l.count(key, unit, within)).unwrap_or(usual);
    let bounds = Limits {
        cores: top.count("cores", "cores", 1..=63).unwrap_or_else(processors),
        pin: top.flag("pin").unwrap_or(false),
        open: count("open", "activations", 1..=10_000_000, 20_000),
        held: count("held", "bytes", 1024..=u32::MAX, 256 << 20),
        body: count("body", "bytes", 0..=GIB, 1 << 20),
        answer: count("answer", "bytes", 0..=GIB, 8 << 20),
        connections: count("connections", "connections", 1..=10_000_000, 20_000),
        per_worker: count("per_worker", "connections", 1..=100_000, 512),
        head: limit("head", "seconds", 0.01..=LONG, 10.0),
        stall: limit("stall", "seconds", 0.01..=LONG, 10.0),
        connect: of("connect", "seconds", 0.001..=LONG, 0.25),
        idle: of("idle", "seconds", 0.01..=LONG, 30.0),
        probe: of("probe_wait", "seconds", 0.001..=LONG, 0.25),
        grace: of("drain_grace", "seconds", 0.0..=LONG, 1.0),
    };
    if bounds.body.max(bounds.answer) > bounds.held
        && let Some(l) = limits
    {
        l.mistake(
            l.place("held"),
            "held is less than one body or answer",
            "raise held, or lower body and answer",
        );
    }
    let listen = listen.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)));
    let peers = top.block("peers").and_then(|p| peers(top, &p, policy.routers));
    let changes = top.block("changes").and_then(|c| changes(&c, listen, peers.as_ref()));
    let profiles = kinds_of_call;
    GatewayConfig { listen, policy, profiles, clients, functions, kinds, source, bounds, peers, changes }
}

/// Where changes of configuration come from.
fn changes(
    section: &Section<'_>,
    listen: SocketAddr,
    peers: Option<&MembershipConfig>,
) -> Option<ConfigLogConfig> {
    const EXAMPLE: &str = "[\"10.0.0.1:7500\", \"10.0.1.1:7500\", \"10.0.2.1:7500\"]";
    /// Control machines: with seven, three may fail; more are more letters and no more safety against a zone.
    const MOST: usize = 7;
    let control = section.list("control", EXAMPLE, address);
    let at = section.place("control");
    if !section.has("control") {
        section.missing("control", EXAMPLE);
    }
    let control = control.unwrap_or_default();
    if section.has("control") && !(1..=MOST).contains(&control.len()) {
        let wrong = format!("changes names {} control machines", control.len());
        section.mistake(at, wrong, format!("name 1 to {MOST}; an odd number, as more than half must agree"));
    }
    let place = |a: &SocketAddr| a.port() != 0 && !a.ip().is_unspecified();
    if let Some(none) = control.iter().find(|a| !place(a)) {
        let remedy = "name the address and port at which the others reach it";
        section.mistake(at, format!("{none} is no place of a control machine"), remedy);
    }
    if control.iter().any(|a| a.is_ipv4() != control[0].is_ipv4()) {
        let remedy = "name all by IPv4 or all by IPv6 addresses";
        section.mistake(at, "control machines that can't reach each other", remedy);
    }
    if let Some(twice) = (1..control.len()).find(|n| control[..*n].contains(&control[*n])) {
        let wrong = format!("{} is named as two control machines", control[twice]);
        section.mistake(at, wrong, "name each once");
    }
    let any = match control.first() {
        Some(SocketAddr::V6(_)) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
        _ => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
    };
    let key = section.text("key").map(PathBuf::from);
    if key.is_none() && !section.has("key") {
        section.missing("key", "\"changes.key\" (a file with 32 bytes of chance or more)");
    }
    let hears = section.parsed("listen", "\"0.0.0.0:0\"", address).unwrap_or(any);
    if control.first().is_some_and(|a| a.is_ipv4() != hears.is_ipv4()) {
        let remedy = format!("write listen = \"{any}\", or leave it out");
        section.mistake(
            section.place("listen"),
            "listen of changes can't reach the control machines",
            remedy,
        );
    }
    let state = section.text("state").map_or_else(|| PathBuf::from("changes.state"), PathBuf::from);
    let known = |text: &str| {
        let fits = is_name(text) && text.len() <= milletpath_config_log::message::LONGEST_NAME;
        fits.then(|| text.to_owned())
    };
    let name = section.parsed("name", "a name of up to 64 letters, digits and -._~:", known);
    // The address tells gateways apart only where it is one of its own.
    let address = Some(listen).filter(place).map(|a| a.to_string().replace(['[', ']'], ""));
    let name = name.or(peers.map(|p| p.name.clone())).or(address);
    if name.is_none() && !section.has("name") {
        section.missing("name", "\"gateway-1\" (its own among the gateways, as listen is no address of one)");
    }
    Some(ConfigLogConfig { control, key: key?, listen: hears, state, name: name? })
}

/// How gateways know each other. The figures should be the same in all charters of a fleet: the usual ones find a death
/// within some seconds at some 2 kB a second, and serve dozens of gateways (`docs/design/peers.md`).
fn peers(top: &Section<'_>, section: &Section<'_>, most: usize) -> Option<MembershipConfig> {
    let listen = section.parsed("listen", "\"10.0.0.3:7400\"", address);
    if !section.has("listen") {
        section.missing("listen", "\"10.0.0.3:7400\"");
    }
    let advertise = section.parsed("advertise", "\"10.0.0.3:7400\"", address);
    if advertise.is_none() && listen.is_some_and(|at| at.ip().is_unspecified()) {
        section.missing("advertise", "\"10.0.0.3:7400\" (where others reach it)");
    }
    let known = |text: &str| {
        let fits = is_name(text) && text.len() <= milletpath_membership::datagram::MAX_NAME_BYTES;
        fits.then(|| text.to_owned())
    };
    let name = section.parsed("name", "a name of up to 64 letters, digits and -._~:", known);
    let key = section.text("key").map(PathBuf::from);
    if key.is_none() && !section.has("key") {
        section.missing("key", "\"peers.key\" (a file with 32 bytes of chance or more)");
    }
    let usual = milletpath_membership::MembershipConfig::default();
    let period = section.figure("period", "seconds", 0.05..=60.0).unwrap_or(usual.period);
    let lease = section.figure("lease", "seconds", 0.1..=600.0).unwrap_or(usual.lease);
    if lease < 4.0 * period {
        let wrong = format!("lease of peers is shorter than four periods of {period}");
        section.mistake(section.place("lease"), wrong, format!("make it {} or more", 4.0 * period));
    }
    let floor = section.figure("floor", "of its part", 0.0..=1.0).unwrap_or(usual.floor);
    let seeds = section.list("seeds", "[\"10.0.0.1:7400\"]", address).unwrap_or_default();
    if most < 2 {
        let remedy = "add gateways = NUMBER, the most that there may be";
        top.mistake(section.at, "peers, but the charter allows for one gateway only", remedy);
    }
    let (listen, key) = (listen?, key?);
    let advertise = advertise.unwrap_or(listen);
    let name = name.unwrap_or_else(|| advertise.to_string().replace(['[', ']'], ""));
    Some(MembershipConfig { listen, advertise, name, seeds, key, period, lease, floor })
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// The processors that this process may use.
fn processors() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get()).min(63)
}

/// A seed for an instance that is given none: alike gateways must not act in step.
fn chance() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// The profiles; one that says nothing of effects is taken for the wariest kind.
fn profiles(top: &Section<'_>) -> (Vec<Profile>, Vec<ProfileConfig>) {
    #[derive(Clone, Copy)]
    enum Word {
        Pure,
        Receipted,
        Effectful,
    }
    let words = [("pure", Word::Pure), ("receipted", Word::Receipted), ("effectful", Word::Effectful)];
    let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
    let (mut profiles, mut kinds) = (Vec::new(), Vec::new());
    for section in top.blocks("profile", true) {
        let due = section.figure("due", "seconds", 0.001..=LONG);
        if !section.has("due") {
            section.missing("due", "1.0");
        }
        let due = due.unwrap_or(1.0);
        let cut_off = section.figure("cut_off", "seconds", 0.001..=LONG).unwrap_or(3.0 * due);
        if cut_off < due {
            let wrong = format!("cut_off of {} comes before its due time", section.title);
            section.mistake(section.place("cut_off"), wrong, format!("make it {due} or more"));
        }
        let word = section.word("effect", &words);
        if !section.has("effect") {
            section.missing("effect", "\"pure\", \"receipted\" or \"effectful\"");
        }
        let group = section.word("group", &groups);
        let memory = section.figure("memory", "seconds", 0.0..=LONG);
        let effect = match word {
            Some(Word::Pure) => Effect::Pure,
            Some(Word::Receipted) => {
                if memory.is_none() && !section.has("memory") {
                    section.missing("memory", "60 (seconds for which workers know a repeat)");
                }
                Effect::Receipted { group: group.unwrap_or(Group::All), memory: memory.unwrap_or(0.0) }
            }
            Some(Word::Effectful) | None => Effect::Effectful,
        };
        if !matches!(effect, Effect::Receipted { .. }) {
            for key in ["group", "memory"].into_iter().filter(|key| section.has(key)) {
                let wrong = format!("{key} of {} means nothing, as it is not receipted", section.title);
                section.mistake(
                    section.place(key),
                    wrong,
                    format!("remove {key}, or write effect = \"receipted\""),
                );
            }
        }
        let importance = section.figure("importance", "importance", 0.0..=1e9).unwrap_or(1.0);
        profiles.push(Profile { due, effect });
        kinds.push(ProfileConfig { name: section.label.clone(), cut_off, importance });
    }
    if profiles.is_empty() {
        top.mistake(
            0,
            "the charter has no profile",
            "add profile \"usual\" { due = 1.0, effect = \"effectful\" }",
        );
    }
    (profiles, kinds)
}

/// Client groups, with what each may send within its share and at all.
#[derive(Default)]
struct Groups {
    names: Vec<String>,
    quotas: Vec<f64>,
    ceilings: Vec<f64>,
}

/// Who names no group, or another, is within its share always, and under no ceiling.
fn clients(top: &Section<'_>) -> Groups {
    let mut groups = Groups::default();
    for s in top.blocks("client", true) {
        let figure = |key| s.figure(key, "activations a second over all gateways", 0.0..=1e9);
        groups.quotas.push(figure("quota").unwrap_or(f64::INFINITY));
        groups.ceilings.push(figure("ceiling").unwrap_or(f64::INFINITY));
        groups.names.push(s.label.clone());
    }
    groups
}

fn kinds(workers: &Section<'_>) -> (Vec<String>, Vec<f64>) {
    let read = |s: Section<'_>| {
        if !s.has("memory") {
            s.missing("memory", "8192 (MB)");
        }
        (s.label.clone(), s.figure("memory", "MB", 1.0..=1e9).unwrap_or(f64::INFINITY))
    };
    workers.blocks("kind", true).into_iter().map(read).unzip()
}

fn functions(top: &Section<'_>, profiles: &[ProfileConfig]) -> FunctionConfigs {
    let usual = top.block("functions").map(|s| statement(&s, profiles)).unwrap_or_default();
    let named = top.blocks("function", true).into_iter().map(|s| (s.label.clone(), statement(&s, profiles)));
    FunctionConfigs { named: named.collect::<BTreeMap<_, _>>(), usual }
}

/// The figures of one statement, in a charter or in a change.
pub(crate) fn statement(s: &Section<'_>, profiles: &[ProfileConfig]) -> FunctionOverrides {
    let words: Vec<_> = profiles.iter().enumerate().map(|(n, p)| (p.name.as_str(), n)).collect();
    FunctionOverrides {
        lanes: s.figure("lanes", "activations", 1.0..=10_000.0),
        memory: s.figure("memory", "MB", 0.0..=1e9),
        load: s.figure("load", "seconds", 0.0..=LONG),
        profile: s.word("profile", &words),
    }
}

fn source(workers: &Section<'_>, kinds: &[String]) -> WorkerSource {
    let mut list: Vec<Entry> = Vec::new();
    for section in workers.blocks("worker", true) {
        let address = section.parsed("address", "\"127.0.0.1:9001\"", address);
        if !section.has("address") {
            section.missing("address", "\"127.0.0.1:9001\"");
        }
        if list.iter().any(|other| Some(other.address) == address) {
            let wrong = format!("{} has the address of another worker", section.title);
            section.mistake(section.place("address"), wrong, "give each worker an address of its own");
        }
        let known = |text: &str| kinds.iter().any(|k| k == text).then(|| text.to_owned());
        let part = |key| {
            let name = |t: &str| milletpath_protocol::is_name(t).then(|| t.to_owned());
            section.parsed(key, "a name of letters, digits and -._~:", name).unwrap_or_default()
        };
        list.push(Entry {
            name: section.label.clone(),
            address: address.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
            started: None,
            size: section.figure("size", "sizes", 0.001..=1e6).unwrap_or(1.0),
            kind: section.parsed("kind", "the name of a kind above", known).unwrap_or_default(),
            zone: part("zone"),
            cell: part("cell"),
            state: Standing::Ready,
        });
    }
    match workers.parsed("registry", "\"127.0.0.1:9000\"", address) {
        Some(_) if !list.is_empty() => {
            let remedy = "keep either the list or the registry";
            workers.mistake(workers.place("registry"), "workers has both a list and a registry", remedy);
            WorkerSource::List(list)
        }
        Some(address) => WorkerSource::Registry(address),
        None => {
            if list.is_empty() && !workers.has("registry") {
                workers.mistake(
                    workers.at,
                    "workers lists none",
                    "add worker \"w1\" { ... } or registry = \"...\"",
                );
            }
            WorkerSource::List(list)
        }
    }
}

/// What is rationed: window, free ones, and a share of one for each activation taken.
fn rationed(limits: &Section<'_>, key: &'static str) -> Option<(f64, f64, f64)> {
    let ration = limits.block(key)?;
    let window = ration.figure("window", "seconds", 0.001..=LONG);
    if !ration.has("window") {
        ration.missing("window", "10");
    }
    let free = ration.figure("free", "of them", 0.0..=1e9).unwrap_or(0.0);
    Some((window?, free, ration.figure("share", "of one an activation", 0.0..=1e3).unwrap_or(0.0)))
}

/// Shots out at one worker, over all gateways. Each needs a whole one of its own, for when it hears nobody.
fn in_flight(limits: &Section<'_>, gateways: usize) -> Option<f64> {
    let most = limits.figure("in_flight", "shots at one worker", 1.0..=1e9)?;
    if most < gateways as f64 {
        let wrong = format!("in_flight of {most} is less than one shot for each of {gateways} gateways");
        limits.mistake(limits.place("in_flight"), wrong, format!("make it {gateways} or more"));
    }
    Some(most)
}
