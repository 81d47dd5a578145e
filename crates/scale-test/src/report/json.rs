//! The JSON form of a report. The fields are documented in `docs/operators/scale-test.md`.

use super::control_cost::ControlCost;
use super::convergence_summaries::convergence_summaries;
use super::figures::distributions_json;
use super::final_state::FinalState;
use super::machine_usage::MachineUsage;
use super::play_result::{Convergence, EndpointUpdateCost, FailureDetection, PlayResult};
use super::{CallCounts, Report};
use crate::change_propagation::ChangeOutcomes;
use crate::machine_load::SATURATION_THRESHOLD;
use crate::plan::Component;
use serde::Serialize;
use serde_json::{Map, Value, json};

impl Report {
    /// Converts the report to a JSON object.
    #[must_use]
    pub fn json(&self) -> Value {
        let components: Vec<_> = self.components.iter().copied().map(Component::keyword).collect();
        let mut report = json!({
            "plan": self.name,
            "runs": components,
            "gateways": self.gateways,
            "real": self.real_gateways,
            "seed": self.seed,
            "seconds": self.seconds,
            "broken": to_strings(&self.broken),
            "not_played": to_strings(&self.not_played),
            "plays": self.plays.iter().map(play_json).collect::<Vec<_>>(),
            "machine": machine_json(&self.machine),
        });
        if let Some(cost) = self.control_cost() {
            insert_measured(&mut report, "control", distributions_json(&cost.distributions()));
            insert_breakdowns(&mut report, cost);
        }
        insert_some(&mut report, "per_change", self.cost_per_change());
        insert_some(&mut report, "state", self.state.as_ref().map(state_json));
        insert_measured(&mut report, "known", summaries_json(&self.plays));
        if !self.budgets.is_empty() {
            report["budgets"] = json!(self.budgets);
        }
        insert_some(&mut report, "calls", self.calls.map(calls_json));
        report
    }
}

/// Formats each item as a string.
fn to_strings(all: &[impl ToString]) -> Vec<String> {
    all.iter().map(ToString::to_string).collect()
}

/// Sets a field if there is a value for it.
fn insert_some(object: &mut Value, key: &str, value: Option<impl Serialize>) {
    if let Some(value) = value {
        object[key] = json!(value);
    }
}

/// Sets a field if anything was measured for it.
fn insert_measured(object: &mut Value, key: &str, measured: Map<String, Value>) {
    if !measured.is_empty() {
        object[key] = Value::Object(measured);
    }
}

fn insert_breakdowns(object: &mut Value, cost: &ControlCost) {
    for breakdown in cost.breakdowns() {
        insert_measured(object, breakdown.key, distributions_json(&breakdown.distributions));
    }
}

/// Summaries of the convergence times in these plays, keyed by name.
fn summaries_json(plays: &[PlayResult]) -> Map<String, Value> {
    let summaries = convergence_summaries(plays).into_iter();
    summaries.map(|named| (named.name.to_owned(), json!(named.summary))).collect()
}

fn play_json(result: &PlayResult) -> Value {
    let mut play = json!({
        "label": result.label,
        "does": result.action.keyword(),
        "at": result.started_at,
        "seconds": result.seconds,
        "false_deaths": result.membership_times.false_deaths,
    });
    insert_some(&mut play, "settled", result.convergence.map(convergence_json));
    insert_some(&mut play, "gone_known", result.failure_detection.map(failure_json));
    insert_measured(&mut play, "known", summaries_json(std::slice::from_ref(result)));
    if let Some(cost) = &result.control_cost {
        play["control"] = Value::Object(distributions_json(&cost.distributions()));
        play["measured"] = measurement_json(cost);
        insert_breakdowns(&mut play, cost);
    }
    let proposed = result.changes.as_ref().filter(|changes| changes.proposed > 0);
    insert_some(&mut play, "changes", proposed.map(changes_json));
    insert_some(&mut play, "killed_control", result.killed_control_machine);
    insert_some(&mut play, "list", result.endpoint_updates.as_ref().map(endpoint_updates_json));
    play
}

fn convergence_json(Convergence { after, waited, known_to_all, total }: Convergence) -> Value {
    match after {
        Some(after) => json!({"after": after, "believed_by_all": known_to_all, "of": total}),
        None => json!({"waited": waited, "believed_by_all": known_to_all, "of": total}),
    }
}

fn failure_json(FailureDetection { detected_by, total }: FailureDetection) -> Value {
    json!({"by": detected_by, "of": total})
}

fn measurement_json(cost: &ControlCost) -> Value {
    let mut measured = json!({
        "seconds": cost.seconds,
        "fleet_settled": cost.converged,
        "unread": cost.unread_gateways,
    });
    insert_some(&mut measured, "busy", cost.utilization);
    insert_some(&mut measured, "saturated", cost.utilization.map(|used| used > SATURATION_THRESHOLD));
    measured
}

fn changes_json(outcomes: &ChangeOutcomes) -> Value {
    let mut changes = json!({
        "proposed": outcomes.proposed,
        "made": outcomes.committed_count,
        "unmade": to_strings(&outcomes.uncommitted),
        "gateways_without": outcomes.gateways_missing_changes,
    });
    insert_some(&mut changes, "committed", outcomes.commit_times.summary());
    changes
}

fn endpoint_updates_json(updates: &EndpointUpdateCost) -> Value {
    let mut list = json!({
        "workers": updates.workers,
        "editions": updates.revisions,
        "seconds": updates.seconds,
        "slowest_gone": updates.slowest_removal,
        "slowest": updates.slowest_addition,
    });
    insert_some(&mut list, "desk", updates.dispatcher_cpu);
    list
}

fn state_json(state: &FinalState) -> Value {
    json!({
        "number": state.number,
        "digest": format!("{:016x}", state.digest),
        "equal": state.gateways.agreeing,
        "gateways": state.gateways.total,
        "control_equal": state.control_machines.agreeing,
        "control": state.control_machines.total,
    })
}

fn calls_json(CallCounts { sent, succeeded }: CallCounts) -> Value {
    json!({"sent": sent, "handled": succeeded})
}

fn machine_json(usage: &MachineUsage) -> Value {
    let mut machine = json!({
        "cores": usage.cores,
        "own": usage.own_utilization,
        "saturated": usage.is_saturated(),
        "memory_gb": usage.memory_gb,
        "letters_dropped": usage.dropped_datagrams,
        "letters_crowded": usage.overflowed_datagrams,
        "letters_lost_by_plan": usage.lost_datagrams,
    });
    insert_some(&mut machine, "busy", usage.utilization);
    insert_some(&mut machine, "busy_measuring", usage.utilization_while_measuring);
    insert_some(&mut machine, "busy_highest", usage.peak_utilization);
    machine
}
