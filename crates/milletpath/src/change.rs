//! `milletpath change`: proposes the statements of a file, one change each, and reports at how many gateways they are
//! applied.

use crate::changes::{Known, State};
use milletpath_config::{GatewayConfig, Subject};
use milletpath_config_log::{Change, Outcome};
use milletpath_gateway::control_client::{Client, ProposalOutcome, random_id};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// What the command line asks for.
pub struct ChangeRequest<'a> {
    /// The configuration file.
    pub config_file: &'a Path,
    /// A file of statements.
    pub file: Option<&'a Path>,
    /// Statements to take back, by function or key.
    pub remove: &'a [String],
    /// Seconds for all gateways to have it.
    pub wait: f64,
}

/// One change to be proposed.
struct ProposedChange {
    key: String,
    text: Option<String>,
    /// Where it stands in its file.
    position: Option<(usize, usize)>,
}

pub fn change(request: &ChangeRequest<'_>) -> ExitCode {
    let (house, settings) = match crate::control::stated(request.config_file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let changes = match read_changes(&house, request) {
        Ok(changes) => changes,
        Err(mistakes) => {
            mistakes.iter().for_each(|mistake| eprintln!("{mistake}"));
            return ExitCode::from(2);
        }
    };
    let client = match Client::new(&settings) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{}: {e}", request.config_file.display());
            return ExitCode::FAILURE;
        }
    };
    let mut last = 0;
    for one in &changes {
        match propose(&client, one) {
            Ok(number) => {
                println!("{}: number {number}", one.key);
                last = last.max(number);
            }
            Err(ChangeError { reason, input_position }) => {
                match (input_position, one.position, request.file) {
                    (Some(within), Some(begins), Some(file)) => {
                        let (line, column) = position_in_file(begins, within);
                        eprintln!("{}:{line}:{column}: {}: {reason}", file.display(), one.key);
                    }
                    _ => eprintln!("{}: {reason}", one.key),
                }
                return if input_position.is_some() { ExitCode::from(2) } else { ExitCode::FAILURE };
            }
        }
    }
    wait_until_applied(&client, last, request.wait)
}

/// Line and column that a reason begins with, from 1, and the rest of it.
fn split_position(why: &str) -> ((usize, usize), &str) {
    let mut parts = why.splitn(3, ':');
    let mut number = || parts.next()?.parse::<usize>().ok().filter(|n| *n > 0);
    match (number(), number(), parts.next()) {
        (Some(line), Some(column), Some(rest)) => ((line, column), rest.trim_start()),
        _ => ((1, 1), why),
    }
}

/// A place within a statement, as one of the file in which that begins there.
fn position_in_file(begins: (usize, usize), within: (usize, usize)) -> (usize, usize) {
    match within {
        (1, column) => (begins.0, begins.1 + column - 1),
        (line, column) => (begins.0 + line - 1, column),
    }
}

/// All changes that are asked for, or what is wrong with them.
fn read_changes(
    house: &GatewayConfig,
    request: &ChangeRequest<'_>,
) -> Result<Vec<ProposedChange>, Vec<String>> {
    let mut changes = Vec::new();
    if let Some(file) = request.file {
        let name = file.display();
        let text = std::fs::read_to_string(file)
            .map_err(|e| vec![format!("{name}: can't be read: {e}; name a file of statements")])?;
        let statements = house.parse_changes(&text);
        let statements =
            statements.map_err(|all| all.iter().map(|m| format!("{name}:{m}")).collect::<Vec<_>>())?;
        changes.extend(statements.into_iter().map(|s| ProposedChange {
            key: s.subject.to_string(),
            text: Some(s.text),
            position: Some((s.line, s.column)),
        }));
    }
    for name in request.remove {
        // A name alone is a function's.
        let subject = Subject::from_key(name).or_else(|| Subject::from_key(&format!("function {name}")));
        let Some(subject) = subject.filter(|s| s.to_string().len() <= milletpath_config_log::MAX_KEY_BYTES)
        else {
            let remedy = "write the function's name, or functions for what is stated of all";
            return Err(vec![format!("--remove {name}: no statement goes by that; {remedy}")]);
        };
        changes.push(ProposedChange { key: subject.to_string(), text: None, position: None });
    }
    if changes.is_empty() {
        return Err(vec!["nothing to change; name a file of statements, or --remove NAME".into()]);
    }
    Ok(changes)
}

/// Why a change was not made.
struct ChangeError {
    reason: String,
    /// Where in its statement, from 1, if it is what was asked for that is wrong.
    input_position: Option<(usize, usize)>,
}

/// Has one change made; gives its number in the log.
fn propose(client: &Client, proposed: &ProposedChange) -> Result<u64, ChangeError> {
    let failed = |reason: String| Err(ChangeError { reason, input_position: None });
    let Some(before) = client.get(&proposed.key) else {
        return failed(
            "no control machine answers: nothing was proposed; are they running, with this key?".into(),
        );
    };
    if before.text == proposed.text {
        println!("{}: so already", proposed.key);
        return Ok(before.number);
    }
    let (key, text) = (proposed.key.clone(), proposed.text.clone());
    let change = Change { id: random_id(), key, text, replaces: before.number };
    match client.propose(&change, before.from) {
        ProposalOutcome::Decided(Outcome::Committed(number)) => Ok(number),
        ProposalOutcome::Decided(Outcome::Superseded(number)) => {
            // Of two askings for one proposal the later can find the earlier in force.
            match client.get(&proposed.key) {
                Some(now) if now.text == proposed.text => Ok(now.number),
                _ => failed(format!(
                    "another author was first, with number {number}: this changed nothing; look and decide again"
                )),
            }
        }
        ProposalOutcome::Denied(why) => {
            let (within, why) = split_position(&why);
            let reason = format!("the control machine refuses it: {why}");
            Err(ChangeError { reason, input_position: Some(within) })
        }
        ProposalOutcome::Decided(Outcome::TooLarge | Outcome::EmptyKey) => {
            Err(ChangeError { reason: "it is larger than a change may be".into(), input_position: Some((1, 1)) })
        }
        ProposalOutcome::Decided(Outcome::Full) => {
            failed("there is no room for more statements; take back some that are not needed".into())
        }
        ProposalOutcome::Decided(Outcome::Busy) => {
            failed("too many changes wait: it was not proposed; run this again".into())
        }
        ProposalOutcome::Decided(Outcome::Unknown) => failed(
            "no majority of the control machines answered in time: it is not known whether it will come into force; \
             see milletpath changes, and run this again: it is never applied twice"
                .into(),
        ),
        ProposalOutcome::Unanswered => failed(
            "the control machines fell silent: it is not known whether it will come into force; see milletpath changes, \
             and run this again: it is never applied twice"
                .into(),
        ),
    }
}

/// Tells at how many gateways a number is in force, until it is so at all that are heard, or the time is
/// over.
fn wait_until_applied(client: &Client, number: u64, wait: f64) -> ExitCode {
    /// Between two looks.
    const POLL_INTERVAL: Duration = Duration::from_millis(100);
    let end = Instant::now() + Duration::from_secs_f64(wait);
    let mut printed = None;
    loop {
        let known = Known::ask(client);
        let heard: Vec<_> = known.gateways.iter().filter(|g| g.state != State::Silent).collect();
        let there = heard.iter().filter(|g| g.number >= number).count();
        let refusing: Vec<_> =
            heard.iter().filter(|g| g.refused.as_ref().is_some_and(|(n, _)| *n == number)).collect();
        let now = (there - refusing.len().min(there), heard.len());
        if printed != Some(now) {
            println!("number {number}: in force at {} of {} gateways", now.0, now.1);
            printed = Some(now);
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
        std::thread::sleep(POLL_INTERVAL);
    }
}
