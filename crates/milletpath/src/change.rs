//! `milletpath change`: proposes the statements of a file, one by one, and reports until they are in force.

use crate::changes::{ControlOverview, GatewayState};
use milletpath_config::{GatewayConfig, Subject};
use milletpath_config_log::{Change, Outcome};
use milletpath_gateway::control_client::{Client, ProposalOutcome, random_id};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Options of the command.
pub struct ChangeOptions<'a> {
    /// The configuration file, which names the control machines.
    pub config_file: &'a Path,
    /// A file of statements to set.
    pub file: Option<&'a Path>,
    /// Statements to remove, by function or key.
    pub remove: &'a [String],
    /// Seconds to wait for all gateways to apply the changes.
    pub wait: f64,
}

/// A change to propose.
struct ProposedChange {
    key: String,
    text: Option<String>,
    /// Its line and column in the file, from 1.
    position: Option<(usize, usize)>,
}

/// Runs `milletpath change`. Exits with 2 if the request is wrong, and with 1 if it could not be carried out.
pub fn change(options: &ChangeOptions<'_>) -> ExitCode {
    let (config, config_log) = match crate::control::read_config_log(options.config_file) {
        Ok(config) => config,
        Err(code) => return code,
    };
    let proposals = match proposals_of(&config, options) {
        Ok(proposals) => proposals,
        Err(mistakes) => {
            mistakes.iter().for_each(|mistake| eprintln!("{mistake}"));
            return ExitCode::from(2);
        }
    };
    let client = match Client::new(&config_log) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{}: {e}", options.config_file.display());
            return ExitCode::FAILURE;
        }
    };
    let mut last = 0;
    for change in &proposals {
        match propose(&client, change) {
            Ok(number) => {
                println!("{}: number {number}", change.key);
                last = last.max(number);
            }
            Err(ProposalError { message, position }) => {
                match (position, change.position, options.file) {
                    (Some(relative), Some(start), Some(file)) => {
                        let (line, column) = position_in_file(start, relative);
                        eprintln!("{}:{line}:{column}: {}: {message}", file.display(), change.key);
                    }
                    _ => eprintln!("{}: {message}", change.key),
                }
                return if position.is_some() { ExitCode::from(2) } else { ExitCode::FAILURE };
            }
        }
    }
    wait_until_applied(&client, last, options.wait)
}

/// The line and column at the beginning of a reason, from 1, and the rest of it.
fn parse_position(why: &str) -> ((usize, usize), &str) {
    let mut parts = why.splitn(3, ':');
    let mut number = || parts.next()?.parse::<usize>().ok().filter(|n| *n > 0);
    match (number(), number(), parts.next()) {
        (Some(line), Some(column), Some(rest)) => ((line, column), rest.trim_start()),
        _ => ((1, 1), why),
    }
}

/// Converts a position in a statement to one in the file, where the statement begins at `start`.
fn position_in_file(start: (usize, usize), relative: (usize, usize)) -> (usize, usize) {
    match relative {
        (1, column) => (start.0, start.1 + column - 1),
        (line, column) => (start.0 + line - 1, column),
    }
}

/// The changes that the options ask for, or what is wrong with them.
fn proposals_of(
    config: &GatewayConfig,
    options: &ChangeOptions<'_>,
) -> Result<Vec<ProposedChange>, Vec<String>> {
    let mut proposals = Vec::new();
    if let Some(file) = options.file {
        let name = file.display();
        let text = std::fs::read_to_string(file)
            .map_err(|e| vec![format!("{name}: can't be read: {e}; name a file of statements")])?;
        let statements = config.parse_changes(&text);
        let statements =
            statements.map_err(|all| all.iter().map(|m| format!("{name}:{m}")).collect::<Vec<_>>())?;
        proposals.extend(statements.into_iter().map(|s| ProposedChange {
            key: s.subject.to_string(),
            text: Some(s.text),
            position: Some((s.line, s.column)),
        }));
    }
    for name in options.remove {
        // A name alone is a function's.
        let subject = Subject::from_key(name).or_else(|| Subject::from_key(&format!("function {name}")));
        let Some(subject) = subject.filter(|s| s.to_string().len() <= milletpath_config_log::MAX_KEY_BYTES)
        else {
            let remedy = "write the function's name, or functions for what is stated of all";
            return Err(vec![format!("--remove {name}: no statement goes by that; {remedy}")]);
        };
        proposals.push(ProposedChange { key: subject.to_string(), text: None, position: None });
    }
    if proposals.is_empty() {
        return Err(vec!["nothing to change; name a file of statements, or --remove NAME".into()]);
    }
    Ok(proposals)
}

/// Why a change was not committed.
struct ProposalError {
    message: String,
    /// Line and column in its statement, from 1, if the statement is wrong.
    position: Option<(usize, usize)>,
}

/// Has one change committed, and returns its number in the log.
fn propose(client: &Client, proposed: &ProposedChange) -> Result<u64, ProposalError> {
    let failed = |message: String| Err(ProposalError { message, position: None });
    let Some(current) = client.get(&proposed.key) else {
        return failed(
            "no control machine answers: nothing was proposed; are they running, with this key?".into(),
        );
    };
    if current.text == proposed.text {
        println!("{}: so already", proposed.key);
        return Ok(current.number);
    }
    let (key, text) = (proposed.key.clone(), proposed.text.clone());
    let change = Change { id: random_id(), key, text, replaces: current.number };
    match client.propose(&change, current.from) {
        ProposalOutcome::Decided(Outcome::Committed(number)) => Ok(number),
        ProposalOutcome::Decided(Outcome::Superseded(number)) => {
            // The change may have been committed by an earlier one of the client's own requests.
            match client.get(&proposed.key) {
                Some(now) if now.text == proposed.text => Ok(now.number),
                _ => failed(format!(
                    "another author was first, with number {number}: this changed nothing; look and decide again"
                )),
            }
        }
        ProposalOutcome::Denied(why) => {
            let (relative, why) = parse_position(&why);
            let message = format!("the control machine refuses it: {why}");
            Err(ProposalError { message, position: Some(relative) })
        }
        ProposalOutcome::Decided(Outcome::TooLarge | Outcome::EmptyKey) => {
            Err(ProposalError { message: "it is larger than a change may be".into(), position: Some((1, 1)) })
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

/// Prints at how many gateways a number is in force, until it is at all reachable ones or the time is over.
fn wait_until_applied(client: &Client, number: u64, wait: f64) -> ExitCode {
    /// Time between two queries.
    const POLL_INTERVAL: Duration = Duration::from_millis(100);
    let end = Instant::now() + Duration::from_secs_f64(wait);
    let mut printed = None;
    loop {
        let known = ControlOverview::query(client);
        let reachable: Vec<_> = known.gateways.iter().filter(|g| g.state != GatewayState::Silent).collect();
        let reached = reachable.iter().filter(|g| g.number >= number).count();
        let failing: Vec<_> = reachable
            .iter()
            .filter(|g| g.apply_error.as_ref().is_some_and(|error| error.number == number))
            .collect();
        let progress = (reached - failing.len().min(reached), reachable.len());
        if printed != Some(progress) {
            println!("number {number}: in force at {} of {} gateways", progress.0, progress.1);
            printed = Some(progress);
        }
        let is_everywhere = !reachable.is_empty() && reached == reachable.len() && known.is_complete();
        if is_everywhere && failing.is_empty() {
            return ExitCode::SUCCESS;
        }
        if is_everywhere || Instant::now() >= end {
            for g in &failing {
                let why = g.apply_error.as_ref().map_or("", |error| &error.reason);
                eprintln!("{} could not apply it: {why}", g.name);
            }
            for g in reachable.iter().filter(|g| g.number < number) {
                eprintln!("{} is at number {}", g.name, g.number);
            }
            if reachable.is_empty() {
                eprintln!("no gateway is heard by the control machines that answer");
            } else if !known.is_complete() {
                eprintln!(
                    "not all control machines answer, or some have just begun: there may be more gateways"
                );
            }
            return ExitCode::FAILURE;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
