//! The report of a run: measurements, violated bounds, and what was not played. It is printed as a table ([`Report`]
//! implements `Display`) and written as a JSON object ([`Report::json`]). Both leave out what was not measured.

mod bounds;
mod broken_bound;
mod control_cost;
mod convergence_summaries;
mod figures;
mod final_state;
mod json;
mod machine_usage;
mod per_change;
mod play_result;
mod table;

pub use crate::client_calls::CallCounts;
pub use crate::stop_reason::StopReason;
pub use broken_bound::BrokenBound;
pub use control_cost::{ControlCost, ControlMachineCost, FollowerCost};
pub use figures::{MemberFigure, MemberFigures};
pub use final_state::{Agreement, FinalState};
pub use machine_usage::MachineUsage;
pub use play_result::{Convergence, EndpointUpdateCost, FailureDetection, NotPlayed, PlayResult};

use crate::budgets::WorstTotal;
use crate::plan::{ActionKind, Component, Plan};
use std::collections::BTreeMap;

/// The measurements of a run.
pub struct Findings {
    /// Results of the plays that began, in order; the last one may be incomplete.
    pub plays: Vec<PlayResult>,
    /// Worst total of each shared budget, keyed by name.
    pub budgets: BTreeMap<String, WorstTotal>,
    /// Utilization of the machine.
    pub machine: MachineUsage,
    /// Calls to the real gateways, if there were any.
    pub calls: Option<CallCounts>,
    /// Configuration state at the end, if the gateways follow configuration changes.
    pub state: Option<FinalState>,
}

/// The report of a run.
pub struct Report {
    /// Name of the plan.
    pub name: String,
    /// Number of gateways, hollow and real.
    pub gateways: usize,
    /// Number of real gateways.
    pub real_gateways: usize,
    /// Components that the gateways ran.
    pub components: Vec<Component>,
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Violated bounds, with the measured values and where they were measured.
    pub broken: Vec<BrokenBound>,
    /// Results of the plays that began.
    pub plays: Vec<PlayResult>,
    /// What was not played, or not to its end.
    pub not_played: Vec<NotPlayed>,
    /// Worst total of each shared budget, keyed by name.
    pub budgets: BTreeMap<String, WorstTotal>,
    /// Utilization of the machine.
    pub machine: MachineUsage,
    /// Calls to the real gateways, if there were any.
    pub calls: Option<CallCounts>,
    /// Configuration state at the end, if the gateways follow configuration changes.
    pub state: Option<FinalState>,
    /// Why the run ended early, if it did.
    pub stop_reason: Option<StopReason>,
}

impl Report {
    /// Creates the report of a run that took `seconds`. `stop_reason` is why the run ended early, if it did.
    #[must_use]
    pub fn new(plan: &Plan, findings: Findings, stop_reason: Option<StopReason>, seconds: f64) -> Self {
        let Findings { plays, budgets, machine, calls, state } = findings;
        let not_played = not_played(plan, plays.len(), stop_reason.is_some());
        let utilizations = plays.iter().filter_map(|play| play.control_cost.as_ref()?.utilization);
        let machine =
            MachineUsage { utilization_while_measuring: utilizations.max_by(f64::total_cmp), ..machine };
        let mut report = Self {
            name: plan.name.clone(),
            gateways: plan.gateways,
            real_gateways: plan.real_gateways,
            components: plan.components.clone(),
            seed: plan.seed,
            seconds,
            broken: Vec::new(),
            plays,
            not_played,
            budgets,
            machine,
            calls,
            state,
            stop_reason,
        };
        report.broken = bounds::broken_bounds(&report, plan);
        report
    }

    /// The control-plane cost of the last play that measured it.
    fn control_cost(&self) -> Option<&ControlCost> {
        self.plays.iter().rev().find_map(|play| play.control_cost.as_ref())
    }
}

/// Plays that did not begin or did not end, and actions that no play of the plan has. If the run was `stopped`, the
/// last of the `begun` plays is incomplete.
fn not_played(plan: &Plan, begun: usize, stopped: bool) -> Vec<NotPlayed> {
    let complete = if stopped { begun.saturating_sub(1) } else { begun };
    let unfinished = plan.plays[complete..]
        .iter()
        .map(|play| NotPlayed::Unfinished { label: play.label.clone(), action: play.action.kind() });
    let is_absent = |kind: &ActionKind| plan.plays.iter().all(|play| play.action.kind() != *kind);
    let absent = ActionKind::ALL.into_iter().filter(is_absent).map(|action| NotPlayed::NotInPlan { action });
    unfinished.chain(absent).collect()
}
