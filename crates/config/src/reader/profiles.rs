//! Profiles of requests: latency objective, deadline, idempotency and importance.

use super::bounds::MAX_SECONDS;
use crate::document::Section;
use crate::model::ProfileConfig;
use milletpath_policy::{Idempotency, KeyScope, Profile};

/// The profiles, as the policy and as clients know them, in one order.
#[derive(Default)]
pub struct Profiles {
    pub policy: Vec<Profile>,
    pub config: Vec<ProfileConfig>,
}

/// The values of the key `idempotency`; see [`IDEMPOTENCIES`] for their names in the file.
#[derive(Clone, Copy)]
enum IdempotencyKind {
    Idempotent,
    IdempotentWithKey,
    NonIdempotent,
}

const IDEMPOTENCIES: [(&str, IdempotencyKind); 3] = [
    ("idempotent", IdempotencyKind::Idempotent),
    ("idempotent_with_key", IdempotencyKind::IdempotentWithKey),
    ("non_idempotent", IdempotencyKind::NonIdempotent),
];

const GROUPS: [(&str, KeyScope); 3] =
    [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];

/// Deadlines that are not stated, as a multiple of the latency objective.
const DEFAULT_DEADLINE: f64 = 3.0;

/// Reads all profiles; there must be one.
pub fn read(top: &Section<'_>) -> Profiles {
    let mut profiles = Profiles::default();
    for section in top.blocks("profile", true) {
        let objective = latency_objective(&section);
        let deadline = deadline(&section, objective);
        let idempotency = idempotency(&section);
        let importance = section.number("importance", "", 0.0..=1e9).unwrap_or(1.0);
        profiles.policy.push(Profile { latency_objective: objective, idempotency });
        profiles.config.push(ProfileConfig { name: section.label.clone(), deadline, importance });
    }
    if profiles.policy.is_empty() {
        let remedy = "add profile \"usual\" { latency_objective = 1.0, idempotency = \"non_idempotent\" }";
        top.report(0, "the configuration has no profile", remedy);
    }
    profiles
}

fn latency_objective(section: &Section<'_>) -> f64 {
    let stated = section.number("latency_objective", "seconds", 0.001..=MAX_SECONDS);
    if !section.has("latency_objective") {
        section.report_missing("latency_objective", "1.0");
    }
    stated.unwrap_or(1.0)
}

fn deadline(section: &Section<'_>, latency_objective: f64) -> f64 {
    let stated = section.number("deadline", "seconds", 0.001..=MAX_SECONDS);
    let deadline = stated.unwrap_or(DEFAULT_DEADLINE * latency_objective);
    if deadline < latency_objective {
        let problem = format!(
            "{} of {} is shorter than its latency objective",
            section.spelling("deadline"),
            section.title
        );
        section.report(
            section.offset_of("deadline"),
            problem,
            format!("make it {latency_objective} or more"),
        );
    }
    deadline
}

/// The idempotency of a request. One that is not stated is taken for the most harmful to repeat.
fn idempotency(section: &Section<'_>) -> Idempotency {
    let kind = section.one_of("idempotency", &IDEMPOTENCIES);
    if !section.has("idempotency") {
        section
            .report_missing("idempotency", "\"idempotent\", \"idempotent_with_key\" or \"non_idempotent\"");
    }
    let group = section.one_of("group", &GROUPS);
    let memory = section.number("memory", "seconds", 0.0..=MAX_SECONDS);
    match kind {
        Some(IdempotencyKind::IdempotentWithKey) => {
            if memory.is_none() && !section.has("memory") {
                section.report_missing("memory", "60 (seconds for which workers know a repeat)");
            }
            Idempotency::IdempotentWithKey {
                scope: group.unwrap_or(KeyScope::All),
                retention: memory.unwrap_or(0.0),
            }
        }
        Some(IdempotencyKind::Idempotent) => {
            refuse_key_settings(section);
            Idempotency::Idempotent
        }
        Some(IdempotencyKind::NonIdempotent) | None => {
            refuse_key_settings(section);
            Idempotency::NonIdempotent
        }
    }
}

/// Reports the settings that only a profile with idempotency keys has.
fn refuse_key_settings(section: &Section<'_>) {
    let (key_name, with_key) =
        (section.spelling("idempotency"), section.value_spelling("idempotency", "idempotent_with_key"));
    for key in ["group", "memory"].into_iter().filter(|key| section.has(key)) {
        let problem = format!("{key} of {} has no effect, as the profile is not {with_key}", section.title);
        let remedy = format!("remove {key}, or write {key_name} = \"{with_key}\"");
        section.report(section.offset_of(key), problem, remedy);
    }
}
