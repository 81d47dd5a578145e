//! `milletpath changes`: what the control machines know of what is in force, and where it is not.

use crate::control::ControlStatus;
use milletpath_config::ConfigLogConfig;
use milletpath_config_log::message::ApplyError;
use milletpath_gateway::Followed;
use milletpath_gateway::control_client::Client;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::Path;
use std::process::ExitCode;

/// Seconds after which a gateway counts as silent: several of its polls.
const SILENT: f64 = 3.0;

/// What all control machines together know.
#[derive(Serialize)]
pub struct Known {
    /// The latest number that one of them tells of, and the digest of what is in force there.
    pub head: u64,
    pub digest: String,
    /// Seconds since a majority knew of nothing beyond it; none where no machine heard one.
    pub sure_as_of: Option<f64>,
    pub control: Vec<Machine>,
    pub gateways: Vec<Gateway>,
}

#[derive(Serialize)]
pub struct Machine {
    pub number: usize,
    pub at: SocketAddr,
    /// None where it does not answer.
    pub view: Option<ControlStatus>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Current,
    Behind,
    /// It has the latest, and could not apply an entry of it.
    Refusing,
    Silent,
}

#[derive(Clone, Debug, Serialize)]
pub struct Gateway {
    pub name: String,
    /// What is in force there.
    pub number: u64,
    /// Seconds since any control machine heard it.
    pub heard: f64,
    pub state: State,
    /// The latest entry that it could not apply, and why.
    pub refused: Option<(u64, String)>,
}

impl Known {
    pub fn ask(client: &Client) -> Self {
        let told: Vec<Option<ControlStatus>> = client.machines();
        let views = || told.iter().flatten().map(|told| &told.view);
        let latest = views().max_by_key(|view| view.number);
        let (head, digest) = latest.map_or((0, 0), |view| (view.number, view.digest));
        let sure = views().filter(|view| view.number == head).filter_map(|v| v.confirmed_age);
        let sure_as_of = sure.reduce(f64::min);
        let mut gateways: BTreeMap<String, Gateway> = BTreeMap::new();
        for seen in views().flat_map(|view| &view.followers) {
            let (name, state) = (seen.name.clone(), State::Current);
            let fresh = Gateway { name, number: 0, heard: f64::INFINITY, state, refused: None };
            let gateway = gateways.entry(seen.name.clone()).or_insert(fresh);
            // What was said last counts: a gateway that began anew may be further back than it was.
            if seen.seconds_since_contact < gateway.heard {
                gateway.heard = seen.seconds_since_contact;
                gateway.number = seen.number;
                gateway.refused = seen.apply_error.clone().map(Into::into);
            }
        }
        for gateway in gateways.values_mut() {
            gateway.state = match &*gateway {
                g if g.heard > SILENT => State::Silent,
                g if g.number < head => State::Behind,
                g if g.refused.is_some() => State::Refusing,
                _ => State::Current,
            };
        }
        let control = told.into_iter().zip(&client.control).enumerate();
        Self {
            head,
            digest: format!("{digest:016x}"),
            sure_as_of,
            control: control.map(|(number, (view, at))| Machine { number, at: *at, view }).collect(),
            gateways: gateways.into_values().collect(),
        }
    }

    /// Whether all gateways that are there must be among those that are known: each control machine that
    /// another one hears has answered, and has been up for long enough to have been polled by all that follow
    /// it.
    pub fn is_whole(&self) -> bool {
        /// Seconds: three polls, of which two may get lost.
        const POLLED: f64 = 2.0;
        let views = || self.control.iter().filter_map(|machine| machine.view.as_ref());
        let answers = |n: &usize| self.control.get(*n).is_some_and(|machine| machine.view.is_some());
        self.heard() > 0 && views().all(|told| told.up >= POLLED && told.view.reachable.iter().all(answers))
    }

    pub fn heard(&self) -> usize {
        self.control.iter().filter(|machine| machine.view.is_some()).count()
    }

    pub fn count(&self, state: State) -> usize {
        self.gateways.iter().filter(|gateway| gateway.state == state).count()
    }
}

pub fn changes(charter: &Path, json: bool, here: bool) -> ExitCode {
    let (_, stated) = match crate::control::stated(charter) {
        Ok(stated) => stated,
        Err(code) => return code,
    };
    let client = match Client::new(&stated) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{}: {e}", charter.display());
            return ExitCode::FAILURE;
        }
    };
    if here {
        return gateway(charter, &stated, &client, json);
    }
    let known = Known::ask(&client);
    if json {
        match serde_json::to_string(&known) {
            Ok(text) => println!("{text}"),
            Err(_) => return ExitCode::FAILURE,
        }
    } else {
        print(&known);
    }
    if known.heard() == 0 {
        eprintln!("no control machine answers: are they running, with this key?");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print(known: &Known) {
    let age = |age: Option<f64>| age.map_or("never".into(), |age| format!("{age:.1}"));
    let sure = match known.sure_as_of {
        Some(age) => format!("sure {age:.1} s ago that it is the latest"),
        None => "no majority is heard: there may be later ones".into(),
    };
    println!("number {}, digest {}; {sure}", known.head, known.digest);
    println!(
        "control machines: {} of {} answer; gateways: {} current, {} behind, {} refusing, {} silent",
        known.heard(),
        known.control.len(),
        known.count(State::Current),
        known.count(State::Behind),
        known.count(State::Refusing),
        known.count(State::Silent)
    );
    println!(
        "{:<8} {:<22} {:>9} {:>8} {:>8} {:>9}  hears",
        "control", "at", "number", "sure, s", "votes", "gateways"
    );
    for Machine { number, at, view } in &known.control {
        let at = at.to_string();
        let Some(v) = view else {
            println!("{number:<8} {at:<22} does not answer");
            continue;
        };
        let log_error = v.log_error.as_ref();
        let v = &v.view;
        let votes = if v.votes { "yes" } else { "no" };
        let (sure, gateways) = (age(v.confirmed_age), v.followers.len());
        println!(
            "{number:<8} {at:<22} {:>9} {sure:>8} {votes:>8} {gateways:>9}  {:?}",
            v.number, v.reachable
        );
        if let Some(error) = log_error {
            println!("{:<8} its log can't be written: {error}; make room on its disk", "");
        }
    }
    /// Gateways in trouble that are named.
    const NAMED: usize = 100;
    let troubled: Vec<_> = known.gateways.iter().filter(|g| g.state != State::Current).collect();
    if !troubled.is_empty() {
        println!("{:<32} {:<9} {:>9} {:>9}  why", "gateway", "state", "number", "heard, s");
    }
    for g in troubled.iter().take(NAMED) {
        let why = match &g.refused {
            Some((number, why)) => format!("number {number}: {why}"),
            None => String::new(),
        };
        let state = format!("{:?}", g.state).to_lowercase();
        println!("{:<32} {state:<9} {:>9} {:>9.1}  {why}", g.name, g.number, g.heard);
    }
    if troubled.len() > NAMED {
        println!("and {} more", troubled.len() - NAMED);
    }
}

/// What the gateway of a charter knows itself.
fn gateway(charter: &Path, stated: &ConfigLogConfig, client: &Client, json: bool) -> ExitCode {
    let mut at = stated.listen;
    if at.port() == 0 {
        let name = charter.display();
        eprintln!("{name}: listen of changes has port 0: nobody can tell where the gateway is; give it one");
        return ExitCode::from(2);
    }
    if at.ip().is_unspecified() {
        at.set_ip(if at.is_ipv4() { IpAddr::from(Ipv4Addr::LOCALHOST) } else { Ipv6Addr::LOCALHOST.into() });
    }
    let text = client.told(&[at]).into_iter().flatten().next();
    let told = text.as_ref().and_then(|text| serde_json::from_slice::<Followed>(text).ok());
    let (Some(text), Some(told)) = (text, told) else {
        eprintln!(
            "{}: the gateway does not answer on {at}: is it running, with this key?",
            charter.display()
        );
        return ExitCode::FAILURE;
    };
    if json {
        println!("{}", String::from_utf8_lossy(&text));
        return ExitCode::SUCCESS;
    }
    let view = &told.view;
    let sure = match view.confirmed_age {
        Some(age) => format!("known to be the latest {age:.1} s ago"),
        None => "not known to be the latest since the start".into(),
    };
    println!("{}: number {}, digest {:016x}; {sure}", view.name, view.number, view.digest);
    if view.behind {
        println!("behind: there is number {}", view.known);
    }
    if let Some(ApplyError { number, reason: why }) = &view.apply_error {
        println!("could not apply number {number}: {why}");
    }
    println!("follows control machines {:?}", view.follows);
    println!("{:<8} {:>9} {:>9} {:>10}", "control", "heard, s", "number", "conflicts");
    for r in &view.replicas {
        let heard = r.seconds_since_contact.map_or("never".into(), |age| format!("{age:.1}"));
        println!("{:<8} {heard:>9} {:>9} {:>10}", r.replica, r.head, r.conflicts);
    }
    println!(
        "gathered anew {} times; state kept {} times, not kept {}; not taken: {} of another key or changed, {} others; \
         processor {:.3} s",
        view.rebuilds, told.kept, told.not_kept, told.seals, told.unread, told.cpu
    );
    ExitCode::SUCCESS
}
