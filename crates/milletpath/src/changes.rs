//! `milletpath changes`: what the control machines know of what is in force, and where it is not.

use crate::control::ControlStatus;
use milletpath_config::ConfigLogConfig;
use milletpath_config_log::message::ApplyError;
use milletpath_gateway::ConfigStatus;
use milletpath_gateway::control_client::Client;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::process::ExitCode;

/// Seconds after which a gateway counts as silent: several of its polls.
const SILENCE_TIMEOUT: f64 = 3.0;

/// What all control machines together know. The names in JSON are older than the fields' names.
#[derive(Serialize)]
pub struct ControlOverview {
    /// The highest number that one of them reports.
    pub head: u64,
    /// Digest of the configuration there, in hexadecimal.
    pub digest: String,
    /// Seconds since a majority knew of nothing beyond `head`; `None` if that never was so.
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// All control machines, by number.
    pub control: Vec<ControlMachineStatus>,
    /// The gateways that poll any of them, by name.
    pub gateways: Vec<GatewayStatus>,
}

/// A control machine and its report.
#[derive(Serialize)]
pub struct ControlMachineStatus {
    /// Its number in the configuration, from 0.
    pub number: usize,
    /// Its address.
    pub at: SocketAddr,
    /// Its report; `None` if it does not answer.
    pub view: Option<ControlStatus>,
}

/// How far a gateway has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum GatewayState {
    /// It has the latest configuration.
    Current,
    /// It has an older one.
    Behind,
    /// It has the latest, and could not apply an entry of it.
    Refusing,
    /// No control machine has received anything from it for a while.
    Silent,
}

/// A gateway as the control machines know it.
#[derive(Clone, Debug, Serialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Number of the configuration in force there.
    pub number: u64,
    /// Seconds since its last poll of any control machine.
    #[serde(rename = "heard")]
    pub seconds_since_contact: f64,
    pub state: GatewayState,
    /// The latest entry that it could not apply.
    #[serde(rename = "refused")]
    pub apply_error: Option<ApplyError>,
}

impl ControlOverview {
    /// Asks all control machines, and combines their reports.
    pub fn query(client: &Client) -> Self {
        let statuses: Vec<Option<ControlStatus>> = client.control_status();
        let views = || statuses.iter().flatten().map(|status| &status.view);
        let latest = views().max_by_key(|view| view.number);
        let (head, digest) = latest.map_or((0, 0), |view| (view.number, view.digest));
        let confirmation = views().filter(|view| view.number == head).filter_map(|v| v.confirmed_age);
        let confirmed_age = confirmation.reduce(f64::min);
        let mut gateways: BTreeMap<String, GatewayStatus> = BTreeMap::new();
        for follower in views().flat_map(|view| &view.followers) {
            let (name, state) = (follower.name.clone(), GatewayState::Current);
            let unknown = GatewayStatus {
                name,
                number: 0,
                seconds_since_contact: f64::INFINITY,
                state,
                apply_error: None,
            };
            let gateway = gateways.entry(follower.name.clone()).or_insert(unknown);
            // The latest report counts: a gateway that restarted may be further behind than before.
            if follower.seconds_since_contact < gateway.seconds_since_contact {
                gateway.seconds_since_contact = follower.seconds_since_contact;
                gateway.number = follower.number;
                gateway.apply_error.clone_from(&follower.apply_error);
            }
        }
        for gateway in gateways.values_mut() {
            gateway.state = match &*gateway {
                g if g.seconds_since_contact > SILENCE_TIMEOUT => GatewayState::Silent,
                g if g.number < head => GatewayState::Behind,
                g if g.apply_error.is_some() => GatewayState::Refusing,
                _ => GatewayState::Current,
            };
        }
        let control = statuses.into_iter().zip(&client.control).enumerate();
        Self {
            head,
            digest: format!("{digest:016x}"),
            confirmed_age,
            control: control
                .map(|(number, (view, at))| ControlMachineStatus { number, at: *at, view })
                .collect(),
            gateways: gateways.into_values().collect(),
        }
    }

    /// Whether no gateway can be missing: each control machine that another one can reach has answered, and has been up
    /// long enough for all its followers to have polled it.
    pub fn is_complete(&self) -> bool {
        /// Seconds: time for three polls, of which two may be lost.
        const MIN_UPTIME: f64 = 2.0;
        let views = || self.control.iter().filter_map(|machine| machine.view.as_ref());
        let answers = |n: &usize| self.control.get(*n).is_some_and(|machine| machine.view.is_some());
        self.answering() > 0
            && views().all(|status| status.up >= MIN_UPTIME && status.view.reachable.iter().all(answers))
    }

    /// Number of control machines that answer.
    pub fn answering(&self) -> usize {
        self.control.iter().filter(|machine| machine.view.is_some()).count()
    }

    /// Number of gateways in that state.
    pub fn count(&self, state: GatewayState) -> usize {
        self.gateways.iter().filter(|gateway| gateway.state == state).count()
    }
}

/// Runs `milletpath changes`; with `here`, asks the gateway of that configuration file instead of the control machines.
pub fn changes(config_file: &Path, json: bool, here: bool) -> ExitCode {
    let (_, config_log) = match crate::control::read_config_log(config_file) {
        Ok(config) => config,
        Err(code) => return code,
    };
    let client = match Client::new(&config_log) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{}: {e}", config_file.display());
            return ExitCode::FAILURE;
        }
    };
    if here {
        return print_own_gateway(config_file, &config_log, &client, json);
    }
    let known = ControlOverview::query(&client);
    if json {
        match serde_json::to_string(&known) {
            Ok(text) => println!("{text}"),
            Err(_) => return ExitCode::FAILURE,
        }
    } else {
        print(&known);
    }
    if known.answering() == 0 {
        eprintln!("no control machine answers: are they running, with this key?");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print(known: &ControlOverview) {
    let age = |age: Option<f64>| age.map_or("never".into(), |age| format!("{age:.1}"));
    let confirmation = match known.confirmed_age {
        Some(age) => format!("sure {age:.1} s ago that it is the latest"),
        None => "no majority is heard: there may be later ones".into(),
    };
    println!("number {}, digest {}; {confirmation}", known.head, known.digest);
    println!(
        "control machines: {} of {} answer; gateways: {} current, {} behind, {} refusing, {} silent",
        known.answering(),
        known.control.len(),
        known.count(GatewayState::Current),
        known.count(GatewayState::Behind),
        known.count(GatewayState::Refusing),
        known.count(GatewayState::Silent)
    );
    println!(
        "{:<8} {:<22} {:>9} {:>8} {:>8} {:>9}  hears",
        "control", "at", "number", "sure, s", "votes", "gateways"
    );
    for ControlMachineStatus { number, at, view } in &known.control {
        let at = at.to_string();
        let Some(v) = view else {
            println!("{number:<8} {at:<22} does not answer");
            continue;
        };
        let log_error = v.log_error.as_ref();
        let v = &v.view;
        let votes = if v.votes { "yes" } else { "no" };
        let (confirmation, gateways) = (age(v.confirmed_age), v.followers.len());
        println!(
            "{number:<8} {at:<22} {:>9} {confirmation:>8} {votes:>8} {gateways:>9}  {:?}",
            v.number, v.reachable
        );
        if let Some(error) = log_error {
            println!("{:<8} its log can't be written: {error}; make room on its disk", "");
        }
    }
    /// Largest number of gateways listed that are not current.
    const MAX_LISTED_GATEWAYS: usize = 100;
    let not_current: Vec<_> = known.gateways.iter().filter(|g| g.state != GatewayState::Current).collect();
    if !not_current.is_empty() {
        println!("{:<32} {:<9} {:>9} {:>9}  why", "gateway", "state", "number", "heard, s");
    }
    for g in not_current.iter().take(MAX_LISTED_GATEWAYS) {
        let why = match &g.apply_error {
            Some(ApplyError { number, reason }) => format!("number {number}: {reason}"),
            None => String::new(),
        };
        let state = format!("{:?}", g.state).to_lowercase();
        println!("{:<32} {state:<9} {:>9} {:>9.1}  {why}", g.name, g.number, g.seconds_since_contact);
    }
    if not_current.len() > MAX_LISTED_GATEWAYS {
        println!("and {} more", not_current.len() - MAX_LISTED_GATEWAYS);
    }
}

/// Prints what the gateway of a configuration file reports itself.
fn print_own_gateway(
    config_file: &Path,
    config_log: &ConfigLogConfig,
    client: &Client,
    json: bool,
) -> ExitCode {
    let mut at = config_log.listen;
    if at.port() == 0 {
        let name = config_file.display();
        eprintln!("{name}: listen of changes has port 0: nobody can tell where the gateway is; give it one");
        return ExitCode::from(2);
    }
    if at.ip().is_unspecified() {
        at.set_ip(if at.is_ipv4() { IpAddr::from(Ipv4Addr::LOCALHOST) } else { Ipv6Addr::LOCALHOST.into() });
    }
    let text = client.status_texts(&[at]).into_iter().flatten().next();
    let report = text.as_ref().and_then(|text| serde_json::from_slice::<ConfigStatus>(text).ok());
    let (Some(text), Some(report)) = (text, report) else {
        eprintln!(
            "{}: the gateway does not answer on {at}: is it running, with this key?",
            config_file.display()
        );
        return ExitCode::FAILURE;
    };
    if json {
        println!("{}", String::from_utf8_lossy(&text));
        return ExitCode::SUCCESS;
    }
    let view = &report.view;
    let confirmation = match view.confirmed_age {
        Some(age) => format!("known to be the latest {age:.1} s ago"),
        None => "not known to be the latest since the start".into(),
    };
    println!("{}: number {}, digest {:016x}; {confirmation}", view.name, view.number, view.digest);
    if view.behind {
        println!("behind: there is number {}", view.known);
    }
    if let Some(ApplyError { number, reason: why }) = &view.apply_error {
        println!("could not apply number {number}: {why}");
    }
    println!("follows control machines {:?}", view.follows);
    println!("{:<8} {:>9} {:>9} {:>10}", "control", "heard, s", "number", "conflicts");
    for r in &view.replicas {
        let contact = r.seconds_since_contact.map_or("never".into(), |age| format!("{age:.1}"));
        println!("{:<8} {contact:>9} {:>9} {:>10}", r.replica, r.head, r.conflicts);
    }
    println!(
        "gathered anew {} times; state kept {} times, not kept {}; not taken: {} of another key or changed, {} others; \
         processor {:.3} s",
        view.rebuilds,
        report.saves,
        report.failed_saves,
        report.rejected_seal,
        report.rejected_other,
        report.cpu_seconds
    );
    ExitCode::SUCCESS
}
