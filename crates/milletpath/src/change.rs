//! `milletpath change`: proposes the statements of a file, each for itself, and tells where they are in
//! force.

use crate::changes::{Known, State};
use milletpath_config::{GatewayConfig, Subject};
use milletpath_config_log::{Change, Outcome};
use milletpath_gateway::control_client::{Client, Told, chance};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// What is asked.
pub struct Asked<'a> {
    pub charter: &'a Path,
    /// A file of statements.
    pub file: Option<&'a Path>,
    /// Statements to take back, by function or key.
    pub remove: &'a [String],
    /// Seconds for all gateways to have it.
    pub wait: f64,
}

/// One change to be proposed.
struct Wanted {
    key: String,
    text: Option<String>,
    /// Where it stands in its file.
    place: Option<(usize, usize)>,
}

pub fn change(asked: &Asked<'_>) -> ExitCode {
    let (house, stated) = match crate::control::stated(asked.charter) {
        Ok(stated) => stated,
        Err(code) => return code,
    };
    let wanted = match wanted(&house, asked) {
        Ok(wanted) => wanted,
        Err(mistakes) => {
            mistakes.iter().for_each(|mistake| eprintln!("{mistake}"));
            return ExitCode::from(2);
        }
    };
    let client = match Client::new(&stated) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{}: {e}", asked.charter.display());
            return ExitCode::FAILURE;
        }
    };
    let mut last = 0;
    for one in &wanted {
        match propose(&client, one) {
            Ok(number) => {
                println!("{}: number {number}", one.key);
                last = last.max(number);
            }
            Err(Failed { wrong, input }) => {
                match (input, one.place, asked.file) {
                    (Some(within), Some(begins), Some(file)) => {
                        let (line, column) = placed(begins, within);
                        eprintln!("{}:{line}:{column}: {}: {wrong}", file.display(), one.key);
                    }
                    _ => eprintln!("{}: {wrong}", one.key),
                }
                return if input.is_some() { ExitCode::from(2) } else { ExitCode::FAILURE };
            }
        }
    }
    watch(&client, last, asked.wait)
}

/// Line and column that a reason begins with, from 1, and the rest of it.
fn located(why: &str) -> ((usize, usize), &str) {
    let mut parts = why.splitn(3, ':');
    let mut number = || parts.next()?.parse::<usize>().ok().filter(|n| *n > 0);
    match (number(), number(), parts.next()) {
        (Some(line), Some(column), Some(rest)) => ((line, column), rest.trim_start()),
        _ => ((1, 1), why),
    }
}

/// A place within a statement, as one of the file in which that begins there.
fn placed(begins: (usize, usize), within: (usize, usize)) -> (usize, usize) {
    match within {
        (1, column) => (begins.0, begins.1 + column - 1),
        (line, column) => (begins.0 + line - 1, column),
    }
}

/// All changes that are asked for, or what is wrong with them.
fn wanted(house: &GatewayConfig, asked: &Asked<'_>) -> Result<Vec<Wanted>, Vec<String>> {
    let mut wanted = Vec::new();
    if let Some(file) = asked.file {
        let name = file.display();
        let text = std::fs::read_to_string(file)
            .map_err(|e| vec![format!("{name}: can't be read: {e}; name a file of statements")])?;
        let stated = house.parse_changes(&text);
        let stated = stated.map_err(|all| all.iter().map(|m| format!("{name}:{m}")).collect::<Vec<_>>())?;
        wanted.extend(stated.into_iter().map(|s| Wanted {
            key: s.subject.to_string(),
            text: Some(s.text),
            place: Some((s.line, s.column)),
        }));
    }
    for name in asked.remove {
        // A name alone is a function's.
        let subject = Subject::from_key(name).or_else(|| Subject::from_key(&format!("function {name}")));
        let Some(subject) = subject.filter(|s| s.to_string().len() <= milletpath_config_log::MAX_KEY_BYTES)
        else {
            let remedy = "write the function's name, or functions for what is stated of all";
            return Err(vec![format!("--remove {name}: no statement goes by that; {remedy}")]);
        };
        wanted.push(Wanted { key: subject.to_string(), text: None, place: None });
    }
    if wanted.is_empty() {
        return Err(vec!["nothing to change; name a file of statements, or --remove NAME".into()]);
    }
    Ok(wanted)
}

/// Why a change was not made.
struct Failed {
    wrong: String,
    /// Where in its statement, from 1, if it is what was asked for that is wrong.
    input: Option<(usize, usize)>,
}

/// Has one change made; gives its number in the log.
fn propose(client: &Client, wanted: &Wanted) -> Result<u64, Failed> {
    let failed = |wrong: String| Err(Failed { wrong, input: None });
    let Some(before) = client.get(&wanted.key) else {
        return failed(
            "no control machine answers: nothing was proposed; are they running, with this key?".into(),
        );
    };
    if before.text == wanted.text {
        println!("{}: so already", wanted.key);
        return Ok(before.number);
    }
    let (key, text) = (wanted.key.clone(), wanted.text.clone());
    let change = Change { id: chance(), key, text, replaces: before.number };
    match client.propose(&change, before.from) {
        Told::Outcome(Outcome::Committed(number)) => Ok(number),
        Told::Outcome(Outcome::Superseded(number)) => {
            // Of two askings for one proposal the later can find the earlier in force.
            match client.get(&wanted.key) {
                Some(now) if now.text == wanted.text => Ok(now.number),
                _ => failed(format!(
                    "another author was first, with number {number}: this changed nothing; look and decide again"
                )),
            }
        }
        Told::Denied(why) => {
            let (within, why) = located(&why);
            let wrong = format!("the control machine refuses it: {why}");
            Err(Failed { wrong, input: Some(within) })
        }
        Told::Outcome(Outcome::TooLarge | Outcome::EmptyKey) => {
            Err(Failed { wrong: "it is larger than a change may be".into(), input: Some((1, 1)) })
        }
        Told::Outcome(Outcome::Full) => {
            failed("there is no room for more statements; take back some that are not needed".into())
        }
        Told::Outcome(Outcome::Busy) => {
            failed("too many changes wait: it was not proposed; run this again".into())
        }
        Told::Outcome(Outcome::Unknown) => failed(
            "no majority of the control machines answered in time: it is not known whether it will come into force; \
             see milletpath changes, and run this again: it is never applied twice"
                .into(),
        ),
        Told::Silence => failed(
            "the control machines fell silent: it is not known whether it will come into force; see milletpath changes, \
             and run this again: it is never applied twice"
                .into(),
        ),
    }
}

/// Tells at how many gateways a number is in force, until it is so at all that are heard, or the time is
/// over.
fn watch(client: &Client, number: u64, wait: f64) -> ExitCode {
    /// Between two looks.
    const LOOK: Duration = Duration::from_millis(100);
    let end = Instant::now() + Duration::from_secs_f64(wait);
    let mut told = None;
    loop {
        let known = Known::ask(client);
        let heard: Vec<_> = known.gateways.iter().filter(|g| g.state != State::Silent).collect();
        let there = heard.iter().filter(|g| g.number >= number).count();
        let refusing: Vec<_> =
            heard.iter().filter(|g| g.refused.as_ref().is_some_and(|(n, _)| *n == number)).collect();
        let now = (there - refusing.len().min(there), heard.len());
        if told != Some(now) {
            println!("number {number}: in force at {} of {} gateways", now.0, now.1);
            told = Some(now);
        }
        let all = !heard.is_empty() && there == heard.len() && known.is_whole();
        if all && refusing.is_empty() {
            return ExitCode::SUCCESS;
        }
        if all || Instant::now() >= end {
            for g in &refusing {
                let why = g.refused.as_ref().map_or("", |(_, why)| why);
                eprintln!("{} could not apply it: {why}", g.name);
            }
            for g in heard.iter().filter(|g| g.number < number) {
                eprintln!("{} is at number {}", g.name, g.number);
            }
            if heard.is_empty() {
                eprintln!("no gateway is heard by the control machines that answer");
            } else if !known.is_whole() {
                eprintln!(
                    "not all control machines answer, or some have just begun: there may be more gateways"
                );
            }
            return ExitCode::FAILURE;
        }
        std::thread::sleep(LOOK);
    }
}
