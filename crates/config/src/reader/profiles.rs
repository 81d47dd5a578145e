//! Request profiles: latency objective, deadline, idempotency and importance.

use super::bounds::MAX_SECONDS;
use crate::document::Section;
use crate::model::ProfileConfig;
use milletpath_policy::{Idempotency, KeyScope, Profile};

/// The profiles, split into the parts for the policy and for clients. Both lists have the same order.
#[derive(Default)]
pub struct Profiles {
    pub policy: Vec<Profile>,
    pub config: Vec<ProfileConfig>,
}

/// The values of the key `idempotency`. [`IDEMPOTENCIES`] has their names in the file.
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

const KEY_SCOPES: [(&str, KeyScope); 3] =
    [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];

/// The default deadline, as a multiple of the latency objective.
const DEFAULT_DEADLINE_MULTIPLE: f64 = 3.0;

/// Reads all profiles. At least one is required.
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
    let configured = section.number("latency_objective", "seconds", 0.001..=MAX_SECONDS);
    if !section.has("latency_objective") {
        section.report_missing("latency_objective", "1.0");
    }
    configured.unwrap_or(1.0)
}

fn deadline(section: &Section<'_>, latency_objective: f64) -> f64 {
    let configured = section.number("deadline", "seconds", 0.001..=MAX_SECONDS);
    let deadline = configured.unwrap_or(DEFAULT_DEADLINE_MULTIPLE * latency_objective);
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

/// Reads the idempotency of a profile. If it is missing or invalid, requests are assumed to be non-idempotent, which is
/// the safest assumption.
fn idempotency(section: &Section<'_>) -> Idempotency {
    let kind = section.one_of("idempotency", &IDEMPOTENCIES);
    if !section.has("idempotency") {
        section
            .report_missing("idempotency", "\"idempotent\", \"idempotent_with_key\" or \"non_idempotent\"");
    }
    let group = section.one_of("group", &KEY_SCOPES);
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
            reject_key_settings(section);
            Idempotency::Idempotent
        }
        Some(IdempotencyKind::NonIdempotent) | None => {
            reject_key_settings(section);
            Idempotency::NonIdempotent
        }
    }
}

/// Reports settings that apply only to profiles with idempotency keys.
fn reject_key_settings(section: &Section<'_>) {
    let (key_name, with_key) =
        (section.spelling("idempotency"), section.value_spelling("idempotency", "idempotent_with_key"));
    for key in ["group", "memory"].into_iter().filter(|key| section.has(key)) {
        let problem = format!("{key} of {} has no effect, as the profile is not {with_key}", section.title);
        let remedy = format!("remove {key}, or write {key_name} = \"{with_key}\"");
        section.report(section.offset_of(key), problem, remedy);
    }
}
