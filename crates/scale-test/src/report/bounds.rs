//! Checks which bounds a run violated.

use super::broken_bound::BrokenBound;
use super::control_cost::ControlCost;
use super::figures::MemberFigures;
use super::final_state::FinalState;
use super::play_result::{Convergence, PlayResult};
use super::{Report, StopReason};
use crate::budgets::WorstTotal;
use crate::change_propagation::ChangeOutcomes;
use crate::plan::{Plan, ResourceLimits};

/// The bounds that a run violated, in the order of the report.
pub(super) fn broken_bounds(report: &Report, plan: &Plan) -> Vec<BrokenBound> {
    let stopped = report.stop_reason.iter().map(|reason| stop_reason_bound(reason, plan));
    let plays = report.plays.iter().flat_map(|play| play_bounds(play, &plan.limits));
    let state = report.state.as_ref().and_then(FinalState::broken_bound);
    let budgets = report.budgets.iter().filter_map(|(name, worst)| budget_bound(name, worst));
    stopped.chain(plays).chain(state).chain(budgets).collect()
}

fn stop_reason_bound(reason: &StopReason, plan: &Plan) -> BrokenBound {
    match reason {
        StopReason::Stopped => BrokenBound::Stopped,
        StopReason::TimeLimit => BrokenBound::TimeLimit { limit: plan.time_limit },
        StopReason::MemoryLimit { gigabytes } => {
            BrokenBound::MemoryLimit { gigabytes: *gigabytes, limit_gb: plan.memory_limit_gb }
        }
        StopReason::Failed(reason) => BrokenBound::ProcessFailed { reason: reason.to_string() },
    }
}

fn play_bounds(play: &PlayResult, limits: &ResourceLimits) -> Vec<BrokenBound> {
    let convergence = play.convergence.and_then(|convergence| convergence_bound(&play.label, convergence));
    let changes =
        play.changes.iter().flat_map(|changes| change_bounds(&play.label, changes, limits.change_seconds));
    let cost = play.control_cost.iter().flat_map(|cost| control_cost_bounds(&play.label, cost, limits));
    convergence.into_iter().chain(changes).chain(cost).collect()
}

fn convergence_bound(play: &str, convergence: Convergence) -> Option<BrokenBound> {
    let Convergence { after: None, waited, known_to_all, total } = convergence else { return None };
    Some(BrokenBound::NotConverged { play: play.to_owned(), known_to_all, total, waited })
}

fn change_bounds(play: &str, changes: &ChangeOutcomes, limit: Option<f64>) -> Vec<BrokenBound> {
    let play = play.to_owned();
    let uncommitted = changes.uncommitted.first().map(|first| BrokenBound::Uncommitted {
        play: play.clone(),
        committed: changes.committed_count,
        proposed: changes.proposed,
        first: first.to_string(),
    });
    let never = changes.propagation_times.never;
    let never_applied = (never > 0).then(|| BrokenBound::NeverApplied {
        play: play.clone(),
        never,
        gateways: changes.gateways_missing_changes,
    });
    let gateways = changes.catch_up_times.never;
    let never_caught_up = (gateways > 0).then(|| BrokenBound::NeverCaughtUp { play: play.clone(), gateways });
    let too_late = limit.and_then(|limit| propagation_bound(&play, changes, limit));
    [uncommitted, never_applied, never_caught_up, too_late].into_iter().flatten().collect()
}

fn propagation_bound(play: &str, changes: &ChangeOutcomes, limit: f64) -> Option<BrokenBound> {
    let seconds = &changes.propagation_times.seconds;
    let worst = changes.propagation_times.summary()?.distribution?.worst;
    (worst > limit).then(|| BrokenBound::AppliedTooLate {
        play: play.to_owned(),
        worst,
        limit,
        late: seconds.iter().filter(|taken| f64::from(**taken) > limit).count(),
        total: seconds.len(),
    })
}

/// A metric of the control-plane cost and its limit.
struct LimitedFigure<'a> {
    resource: &'static str,
    unit: &'static str,
    figures: &'a MemberFigures,
    limit: Option<f64>,
}

fn control_cost_bounds(play: &str, cost: &ControlCost, limits: &ResourceLimits) -> Vec<BrokenBound> {
    let limited = |resource, unit, figures, limit| LimitedFigure { resource, unit, figures, limit };
    let all = [
        limited("cpu", "of a core", &cost.cpu, limits.cpu_cores),
        limited("memory_mb", "MB", &cost.memory_mb, limits.memory_mb),
        limited("bytes_in", "bytes a second", &cost.bytes_in, limits.bytes_per_second),
        limited("bytes_out", "bytes a second", &cost.bytes_out, limits.bytes_per_second),
    ];
    all.iter().filter_map(|figure| limited_figure_bound(play, figure)).collect()
}

fn limited_figure_bound(play: &str, limited: &LimitedFigure<'_>) -> Option<BrokenBound> {
    let limit = limited.limit?;
    let over = || limited.figures.iter().filter(|figure| figure.value > limit);
    let worst = over().max_by(|a, b| a.value.total_cmp(&b.value))?;
    Some(BrokenBound::ControlCost {
        resource: limited.resource,
        unit: limited.unit,
        play: play.to_owned(),
        gateway: worst.member,
        worst: worst.value,
        limit,
        over: over().count(),
        total: limited.figures.len(),
    })
}

fn budget_bound(name: &str, worst: &WorstTotal) -> Option<BrokenBound> {
    (worst.broken_seconds > 0).then(|| BrokenBound::Budget {
        budget: name.to_owned(),
        sum: worst.sum,
        bound: worst.bound,
        broken: worst.broken_seconds,
        seconds: worst.seconds,
        play: worst.first_broken_in.clone().unwrap_or_else(|| "the run".into()),
    })
}
