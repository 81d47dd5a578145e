//! Plans of scale runs, in HCL: how many gateways in which regions, what their control has to keep, what
//! befalls them in which order. What a figure means, its unit and its bounds stand in
//! `docs/operators/scale-test.md`.

use hcl_edit::parser::parse_body;
use milletpath_config::document::{ConfigError, Document, Section};
use milletpath_protocol::is_name;

/// A whole plan. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    pub seed: u64,
    pub gateways: usize,
    /// Of them, processes of `milletpath serve`.
    pub real: usize,
    /// That the hollow ones are spread over.
    pub processes: usize,
    pub peers: Peers,
    pub budgets: Budgets,
    /// Control machines, where changes are followed.
    pub control: usize,
    pub zones: Vec<Zone>,
    pub regions: Vec<String>,
    pub links: Links,
    pub workers: Workers,
    /// Calls a second that all real gateways together get, of so many functions.
    pub calls: f64,
    pub functions: usize,
    pub runs: Vec<Core>,
    pub grant: Grant,
    pub plays: Vec<Play>,
    /// For the whole run; what is not played by then is left out and said to be.
    pub limit: f64,
    /// Resident memory of all processes of the run together, in GB.
    pub memory_gb: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peers {
    pub period: f64,
    pub lease: f64,
    pub floor: f64,
}

/// What all gateways share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budgets {
    /// Calls a second of the one client group, over all gateways.
    pub quota: f64,
    /// Orders to load of each gateway within a window.
    pub window: f64,
    pub orders: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    pub name: String,
    pub region: usize,
}

/// Seconds that a letter takes from one zone to another, and the part of letters that are lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Links {
    pub within: f64,
    /// Between regions, by their numbers.
    pub between: Vec<Vec<f64>>,
    pub loss: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workers {
    pub hollow: usize,
    pub real: usize,
}

/// A core that a run can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Core {
    Membership,
    Budgets,
    List,
    Changes,
}

/// The cores by the words of a plan.
const CORES: [(&str, Core); 4] = [
    ("membership", Core::Membership),
    ("budgets", Core::Budgets),
    ("list", Core::List),
    ("changes", Core::Changes),
];

impl Core {
    pub fn word(self) -> &'static str {
        CORES.iter().find(|(_, core)| *core == self).map_or("", |(word, _)| word)
    }
}

/// What the control of one gateway may use; what is not stated is not judged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Part of a core.
    pub cpu: Option<f64>,
    pub memory_mb: Option<f64>,
    /// Bytes a second, each way.
    pub bytes: Option<f64>,
    /// Seconds until a change is known to all.
    pub change: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Play {
    pub label: String,
    pub what: What,
    /// Seconds that the fleet has until all believe what is so; none where that is not waited for.
    pub settle: Option<f64>,
    /// Changes that authors propose meanwhile, and seconds over which they do.
    pub changes: usize,
    pub over: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// All begin, spread evenly.
    Start { over: f64 },
    /// Nothing happens; the cost of control is measured.
    Settled { seconds: f64 },
    /// So many leave and begin anew under their names.
    Restarts { gateways: usize, over: f64 },
    /// So many neighbours of one zone are killed at once, and begin anew when all know it, after `away` at the
    /// latest.
    Rack { gateways: usize, away: f64 },
    /// All of a zone.
    Zone { zone: usize, away: f64 },
    /// Two regions that do not hear each other.
    Cut { regions: (usize, usize), seconds: f64 },
    /// The workers of a zone go, then come back in so many editions.
    List { zone: usize, editions: usize, over: f64 },
    /// Nothing but changes.
    Changes,
    /// The control machine that leads is killed in the midst of changes, and begins again after some time.
    Control { away: f64 },
}

impl What {
    pub fn word(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Settled { .. } => "settled",
            Self::Restarts { .. } => "restarts",
            Self::Rack { .. } => "rack",
            Self::Zone { .. } => "zone",
            Self::Cut { .. } => "cut",
            Self::List { .. } => "list",
            Self::Changes => "changes",
            Self::Control { .. } => "control",
        }
    }
}

/// All that a run should play; those that it has not are named in its report.
pub const PLAYS: [&str; 9] =
    ["start", "settled", "restarts", "rack", "zone", "cut", "list", "changes", "control"];

/// Control machines that gateways can follow.
const CONTROL: u32 = 7;

/// Changes of one play.
const CHANGES: u32 = 1_000;

const LONG: f64 = 86_400.0;

/// Gateways that a run may have: more have no place in one machine's ports and memory.
const MOST: u32 = 4_000;

impl Plan {
    /// The zone of a gateway: neighbours by number stand in different zones.
    pub fn zone_of(&self, gateway: usize) -> usize {
        gateway % self.zones.len()
    }

    pub fn region_of(&self, gateway: usize) -> usize {
        self.zones[self.zone_of(gateway)].region
    }

    /// The gateways of a zone.
    pub fn in_zone(&self, zone: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.gateways).filter(move |g| self.zone_of(*g) == zone)
    }

    /// The zone of a control machine: one region after the other, and in each one zone after the other, so
    /// that no region has more than its part, and no zone more than two.
    pub fn zone_of_control(&self, machine: usize) -> usize {
        let in_region = |region| (0..self.zones.len()).filter(move |z| self.zones[*z].region == region);
        let mut order = Vec::new();
        for round in 0..self.zones.len() {
            order.extend((0..self.regions.len()).filter_map(|r| in_region(r).nth(round)));
        }
        order[machine % order.len()]
    }

    /// Seconds from one gateway to another.
    pub fn latency(&self, from: usize, to: usize) -> f64 {
        let (from, to) = (self.region_of(from), self.region_of(to));
        if from == to { self.links.within } else { self.links.between[from][to] }
    }

    pub fn has(&self, core: Core) -> bool {
        self.runs.contains(&core)
    }
}

/// Reads a plan, for another number of gateways where one is given; the error holds every mistake, in its
/// order.
pub fn read(text: &str, gateways: Option<usize>) -> Result<Plan, Vec<ConfigError>> {
    let document = Document::new(text);
    let body = match parse_body(text) {
        Ok(body) => body,
        Err(e) => {
            let (line, column) = (e.location().line(), e.location().column());
            let wrong = format!("no HCL here: {}", e.message());
            let remedy = "mend the line and start again".to_owned();
            return Err(vec![ConfigError { line, column, problem: wrong, remedy }]);
        }
    };
    let mut top = Section::root(&document, &body);
    top.title = "the plan".into();
    let plan = whole(&top, gateways);
    drop(top);
    let mistakes = document.into_errors();
    if mistakes.is_empty() { Ok(plan) } else { Err(mistakes) }
}

/// A block that must be there.
fn needed<'p>(top: &Section<'p>, key: &'static str, example: &str) -> Option<Section<'p>> {
    let block = top.block(key);
    if block.is_none() {
        top.report(0, format!("the plan has no {key}"), format!("add {key} {{ {example} }}"));
    }
    block
}

fn whole(top: &Section<'_>, wanted: Option<usize>) -> Plan {
    let name = top.parsed("name", "\"size\"", |t| is_name(t).then(|| t.to_owned()));
    if !top.has("name") {
        top.report_missing("name", "\"size\"");
    }
    let stated = top.count("gateways", "gateways", 2..=MOST);
    if !top.has("gateways") {
        top.report_missing("gateways", "60");
    }
    let gateways = wanted.or(stated).unwrap_or(2);
    let real = top.count("real", "gateways", 0..=64).unwrap_or(0);
    if real >= gateways {
        let wrong = format!("real of {real} leaves no hollow gateway among {gateways}");
        top.report(top.offset_of("real"), wrong, "make real less than gateways");
    }
    let (regions, zones) = places(top);
    if zones.len() > gateways {
        let wrong = format!("{} zones, but {gateways} gateways only", zones.len());
        top.report(top.offset_of("gateways"), wrong, "have a gateway in each zone, or fewer zones");
    }
    let links = links(top, &regions);
    let control = needed(top, "control", "runs = [\"membership\", \"budgets\", \"list\"]");
    let known = |text: &str| CORES.iter().find(|(word, _)| *word == text).map(|(_, core)| *core);
    let shape = "[\"membership\", \"budgets\", \"list\"]";
    let runs = control.as_ref().and_then(|c| c.list("runs", shape, known)).unwrap_or_default();
    let has = |core| runs.contains(&core);
    if let Some(c) = control.as_ref().filter(|_| runs.is_empty()) {
        c.report(c.offset_of("runs"), "no core runs", format!("write runs = {shape}"));
    }
    if let Some(c) = control.as_ref().filter(|_| has(Core::Budgets) && !has(Core::Membership)) {
        let wrong = "budgets are shared by those who know of each other, and there is no membership";
        c.report(c.offset_of("runs"), wrong, format!("write runs = {shape}, or leave budgets out"));
    }
    // What no core goes by need not be stated.
    let stated = |core, key, example| if has(core) { needed(top, key, example) } else { top.block(key) };
    let peers = stated(Core::Membership, "peers", "period = 0.4, lease = 12");
    let peers = peers.as_ref();
    let of = |key, within, usual| peers.and_then(|p| p.number(key, "seconds", within)).unwrap_or(usual);
    let terms = Peers {
        period: of("period", 0.05..=60.0, 0.4),
        lease: of("lease", 0.1..=600.0, 12.0),
        floor: peers.and_then(|p| p.number("floor", "of its part", 0.0..=1.0)).unwrap_or(0.5),
    };
    if let Some(p) = peers.filter(|_| terms.lease < 4.0 * terms.period) {
        let wrong = format!("lease of peers is shorter than four periods of {}", terms.period);
        p.report(p.offset_of("lease"), wrong, format!("make it {} or more", 4.0 * terms.period));
    }
    let budgets = stated(Core::Budgets, "budgets", "quota = 100");
    let budgets = budgets.as_ref();
    let figure = |key, unit, usual| budgets.and_then(|b| b.number(key, unit, 0.001..=1e9)).unwrap_or(usual);
    let budgets = Budgets {
        quota: figure("quota", "calls a second", 100.0),
        window: figure("window", "seconds", 10.0),
        orders: figure("orders", "orders", 20.0),
    };
    let workers = needed(top, "workers", "hollow = 600, real = 3");
    let workers = workers.as_ref();
    let count = |key, most, usual| workers.and_then(|w| w.count(key, "workers", 1..=most)).unwrap_or(usual);
    let workers = Workers { hollow: count("hollow", 60_000, 600), real: count("real", 64, 3) };
    let functions = top.block("functions");
    let functions = functions.as_ref();
    let calls = functions.and_then(|f| f.number("calls", "calls a second", 0.0..=1_000.0)).unwrap_or(0.0);
    let names = functions.and_then(|f| f.count("names", "functions", 1..=1_000_000)).unwrap_or(1);
    let machines = control_machines(top, &zones, has(Core::Changes));
    let grant = top.block("grant");
    let grant = grant.as_ref();
    let granted = |key, unit| grant.and_then(|g| g.number(key, unit, 0.000_001..=1e12));
    let grant = Grant {
        cpu: granted("cpu", "cores"),
        memory_mb: granted("memory_mb", "MB"),
        bytes: granted("bytes", "bytes a second"),
        change: granted("change", "seconds"),
    };
    let changes = has(Core::Changes);
    Plan {
        name: name.unwrap_or_default(),
        seed: top.number("seed", "chance", 0.0..=9e15).map_or(1, |s| s as u64),
        gateways,
        real,
        processes: top.count("processes", "processes", 1..=16).unwrap_or(8),
        peers: terms,
        budgets,
        control: machines,
        workers,
        calls,
        functions: names,
        runs,
        grant,
        plays: plays(top, gateways, &zones, &regions, changes),
        limit: top.number("limit", "seconds", 1.0..=LONG).unwrap_or(300.0),
        memory_gb: top.number("memory_gb", "GB", 0.1..=1e5).unwrap_or(12.0),
        zones,
        regions,
        links,
    }
}

/// How many control machines there are.
fn control_machines(top: &Section<'_>, zones: &[Zone], wanted: bool) -> usize {
    /// Of one zone at most: what a lost zone takes is then less than half of all.
    const IN_ZONE: usize = 2;
    let section = top.block("changes");
    let machines = section.as_ref().and_then(|s| s.count("control", "control machines", 1..=CONTROL));
    if let Some(s) = section.as_ref().filter(|_| machines.is_some_and(|m| m > IN_ZONE * zones.len())) {
        let wrong = format!("control machines of changes are more than {IN_ZONE} for each zone");
        s.report(s.offset_of("control"), wrong, format!("write {} or less", IN_ZONE * zones.len()));
    }
    match (wanted, section) {
        (true, None) => {
            let remedy = "add changes { control = 7 }";
            top.report(0, "the plan runs changes and has no control machines", remedy);
            1
        }
        (false, _) => 0,
        (true, Some(_)) => machines.unwrap_or(CONTROL as usize),
    }
}

/// Regions, and the zones of all of them.
fn places(top: &Section<'_>) -> (Vec<String>, Vec<Zone>) {
    let (mut regions, mut zones) = (Vec::new(), Vec::<Zone>::new());
    for section in top.blocks("region", true) {
        let named = |text: &str| is_name(text).then(|| text.to_owned());
        let names = section.list("zones", "[\"north-1\", \"north-2\"]", named).unwrap_or_default();
        if names.is_empty() {
            section.report_missing("zones", "[\"north-1\", \"north-2\"]");
        }
        for name in names {
            if zones.iter().any(|z| z.name == name) {
                let wrong = format!("a zone {name} stands here for the second time");
                section.report(section.offset_of("zones"), wrong, "give each its own name");
            }
            zones.push(Zone { name, region: regions.len() });
        }
        regions.push(section.label.clone());
    }
    if zones.is_empty() {
        top.report(0, "the plan has no region", "add region \"north\" { zones = [\"north-1\"] }");
        (regions, zones) = (vec!["all".into()], vec![Zone { name: "all".into(), region: 0 }]);
    }
    (regions, zones)
}

fn links(top: &Section<'_>, regions: &[String]) -> Links {
    let section = needed(top, "links", "within = 1, across = 90");
    let section = section.as_ref();
    let figure = |key, usual| {
        section.and_then(|s| s.number(key, "milliseconds", 0.0..=10_000.0)).unwrap_or(usual) / 1e3
    };
    let (within, across) = (figure("within", 1.0), figure("across", 90.0));
    let mut between = vec![vec![across; regions.len()]; regions.len()];
    for pair in section.map(|s| s.blocks("pair", true)).unwrap_or_default() {
        let ms = pair.number("ms", "milliseconds", 0.0..=10_000.0);
        if !pair.has("ms") {
            pair.report_missing("ms", "30");
        }
        if let (Some((a, b)), Some(ms)) = (two(&pair, regions), ms) {
            (between[a][b], between[b][a]) = (ms / 1e3, ms / 1e3);
        }
    }
    let loss = section.and_then(|s| s.number("loss", "of the letters", 0.0..=0.9)).unwrap_or(0.0);
    Links { within, between, loss }
}

/// Two regions by their names.
fn two(section: &Section<'_>, regions: &[String]) -> Option<(usize, usize)> {
    let known = |text: &str| regions.iter().position(|r| r == text);
    let both = section.list("regions", "[\"north\", \"south\"]", known);
    if !section.has("regions") {
        section.report_missing("regions", "[\"north\", \"south\"]");
    }
    let both = both?;
    if let [a, b] = both[..]
        && a != b
    {
        return Some((a, b));
    }
    let wrong = format!("regions of {} are not two", section.title);
    section.report(section.offset_of("regions"), wrong, "name two regions of the plan");
    None
}

fn plays(
    top: &Section<'_>,
    gateways: usize,
    zones: &[Zone],
    regions: &[String],
    has_changes: bool,
) -> Vec<Play> {
    let mut plays: Vec<Play> = Vec::new();
    let words: Vec<(&str, &str)> = PLAYS.iter().map(|w| (*w, *w)).collect();
    for s in top.blocks("play", true) {
        let word = s.one_of("does", &words);
        if !s.has("does") {
            s.report_missing("does", "\"start\"");
        }
        let seconds = |key, usual| s.number(key, "seconds", 0.0..=LONG).unwrap_or(usual);
        let zone = || {
            let known = |text: &str| zones.iter().position(|z| z.name == text);
            let zone = s.parsed("zone", "the name of a zone above", known);
            if !s.has("zone") {
                s.report_missing("zone", &format!("\"{}\"", zones[0].name));
            }
            zone.unwrap_or(0)
        };
        // More than all but one can't go; a smaller fleet has smaller plays.
        let some = |usual: usize| {
            let most = (gateways - 1).max(1);
            s.count("gateways", "gateways", 1..=MOST).unwrap_or(usual).min(most)
        };
        let what = match word {
            Some("start") => What::Start { over: seconds("over", 10.0) },
            Some("settled") => What::Settled { seconds: seconds("seconds", 10.0) },
            Some("restarts") => What::Restarts { gateways: some(40), over: seconds("over", 10.0) },
            Some("rack") => What::Rack { gateways: some(20), away: seconds("away", 10.0) },
            Some("zone") => What::Zone { zone: zone(), away: seconds("away", 10.0) },
            Some("cut") => {
                let regions = two(&s, regions).unwrap_or((0, 0));
                What::Cut { regions, seconds: seconds("seconds", 10.0) }
            }
            Some("list") => {
                let editions = s.count("editions", "editions", 1..=100_000).unwrap_or(100);
                What::List { zone: zone(), editions, over: seconds("over", 10.0) }
            }
            Some("changes") => What::Changes,
            Some("control") => What::Control { away: seconds("away", 10.0) },
            _ => continue,
        };
        let needs = matches!(what, What::Changes | What::Control { .. });
        let usual = if needs { 20 } else { 0 };
        let changes = s.count("changes", "changes", 1..=CHANGES).unwrap_or(usual);
        if changes > 0 && !has_changes {
            let wrong = format!("{} makes changes, and nothing carries them", s.title);
            s.report(s.offset, wrong, "add \"changes\" to runs of control");
        }
        let over = match what {
            What::Settled { seconds } => seconds,
            What::Start { over } | What::Restarts { over, .. } | What::List { over, .. } => over,
            What::Changes | What::Control { .. } => seconds("over", 1.0),
            What::Rack { .. } | What::Zone { .. } | What::Cut { .. } => 1.0,
        };
        if plays.is_empty() && !matches!(what, What::Start { .. }) {
            let wrong = format!("{} comes before any start", s.title);
            s.report(s.offset, wrong, "let the first play be one that does = \"start\"");
        }
        let settle = s.number("settle", "seconds", 0.1..=LONG);
        plays.push(Play { label: s.label.clone(), what, settle, changes, over });
    }
    if plays.is_empty() {
        top.report(0, "the plan plays nothing", "add play \"begin\" { does = \"start\" }");
    }
    plays
}
