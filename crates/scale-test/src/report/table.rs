//! The report as a human-readable table.

use super::control_cost::ControlCost;
use super::convergence_summaries::{NamedSummary, convergence_summaries};
use super::figures::{NamedDistribution, format_figure};
use super::machine_usage::MachineUsage;
use super::play_result::{Convergence, FailureDetection, PlayResult};
use super::{CallCounts, FinalState, Report};
use crate::budgets::WorstTotal;
use crate::change_propagation::ChangeOutcomes;
use crate::distribution::ConvergenceSummary;
use std::fmt::{self, Display, Formatter};

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { name, gateways, real_gateways, seed, seconds, .. } = self;
        writeln!(
            f,
            "{name}: {gateways} gateways, {real_gateways} of them real, seed {seed}, {seconds:.0} s"
        )?;
        if let Some(cost) = self.control_cost() {
            write_control_cost(f, cost)?;
        }
        writeln!(f, "plays")?;
        self.plays.iter().try_for_each(|play| write_play(f, play))?;
        convergence_summaries(&self.plays).iter().try_for_each(|named| write_summary(f, named))?;
        if let Some(state) = &self.state {
            write_state(f, state)?;
        }
        self.budgets.iter().try_for_each(|(name, worst)| write_budget(f, name, worst))?;
        if let Some(CallCounts { sent, succeeded }) = self.calls {
            writeln!(f, "calls to real gateways: {sent}, handled {succeeded}")?;
        }
        write_machine(f, &self.machine)?;
        self.not_played.iter().try_for_each(|not_played| writeln!(f, "not played: {not_played}"))?;
        if self.broken.is_empty() {
            return writeln!(f, "bounds: all kept");
        }
        self.broken.iter().try_for_each(|broken| writeln!(f, "BROKEN {broken}"))
    }
}

fn write_control_cost(f: &mut Formatter<'_>, cost: &ControlCost) -> fmt::Result {
    let state = if cost.converged { "settled" } else { "NOT settled" };
    writeln!(f, "control of one gateway, over {:.0} s, fleet {state}", cost.seconds)?;
    write_row(f, "", ["p50", "p99", "worst"])?;
    write_distributions(f, &cost.distributions())?;
    for breakdown in cost.breakdowns() {
        writeln!(f, "{}", breakdown.title)?;
        write_distributions(f, &breakdown.distributions)?;
    }
    Ok(())
}

fn write_distributions(f: &mut Formatter<'_>, rows: &[NamedDistribution]) -> fmt::Result {
    rows.iter().try_for_each(|NamedDistribution { label, distribution, .. }| {
        write_row(f, label, [distribution.p50, distribution.p99, distribution.worst].map(format_figure))
    })
}

/// Writes one row of the cost table: a label and three values.
fn write_row(f: &mut Formatter<'_>, label: &str, cells: [impl Display; 3]) -> fmt::Result {
    let [p50, p99, worst] = cells;
    writeln!(f, "  {label:<22} {p50:>12} {p99:>12} {worst:>12}")
}

/// Writes one line for a play: its times, then its results.
fn write_play(f: &mut Formatter<'_>, play: &PlayResult) -> fmt::Result {
    let (label, action) = (&play.label, play.action.keyword());
    write!(f, "  {label:<12} {action:<9} from {:>6.1} s, {:>6.1} s", play.started_at, play.seconds)?;
    if let Some(convergence) = play.convergence {
        write_convergence(f, convergence)?;
    }
    if let Some(FailureDetection { detected_by, total }) = play.failure_detection {
        write!(f, "; {detected_by} of {total} knew who was gone")?;
    }
    if let Some(changes) = play.changes.as_ref().filter(|changes| changes.proposed > 0) {
        write_changes(f, changes)?;
    }
    if play.membership_times.false_deaths > 0 {
        write!(f, "; {} times one was wrongly said to be gone", play.membership_times.false_deaths)?;
    }
    if let Some(updates) = &play.endpoint_updates {
        let (workers, revisions) = (updates.workers, updates.revisions);
        let slowest_ms = 1e3 * updates.slowest_addition;
        write!(f, "; {workers} workers in {revisions} editions, the slowest {slowest_ms:.1} ms in one desk")?;
    }
    writeln!(f)
}

fn write_convergence(f: &mut Formatter<'_>, convergence: Convergence) -> fmt::Result {
    match convergence {
        Convergence { after: Some(after), total, .. } => write!(f, "; all {total} agree after {after:.1} s"),
        Convergence { after: None, waited, known_to_all, total } => {
            write!(f, "; NEVER SETTLED, {known_to_all} of {total} believed by all after {waited:.1} s")
        }
    }
}

fn write_changes(f: &mut Formatter<'_>, changes: &ChangeOutcomes) -> fmt::Result {
    write!(f, "; {} of {} changes made", changes.committed_count, changes.proposed)?;
    let propagation = changes.propagation_times.summary().and_then(|summary| summary.distribution);
    match propagation {
        Some(seconds) => {
            write!(f, ", in force after {:.2} s, {:.2} s at the latest", seconds.p50, seconds.worst)
        }
        None => Ok(()),
    }
}

fn write_summary(f: &mut Formatter<'_>, named: &NamedSummary) -> fmt::Result {
    let ConvergenceSummary { distribution, converged, never } = named.summary;
    write!(f, "{} known: ", named.name)?;
    if let Some(seconds) = distribution {
        write!(f, "p50 {:.2} s, p99 {:.2} s, worst {:.2} s; ", seconds.p50, seconds.p99, seconds.worst)?;
    }
    writeln!(f, "{converged} learnt it, {never} never")
}

fn write_state(f: &mut Formatter<'_>, state: &FinalState) -> fmt::Result {
    let FinalState { number, digest, gateways, control_machines, .. } = state;
    write!(f, "in force: number {number}, digest {digest:016x}, ")?;
    write!(f, "at {} of {} gateways ", gateways.agreeing, gateways.total)?;
    writeln!(f, "and {} of {} control machines", control_machines.agreeing, control_machines.total)
}

fn write_budget(f: &mut Formatter<'_>, name: &str, worst: &WorstTotal) -> fmt::Result {
    let (sum, bound) = (format_figure(worst.sum), format_figure(worst.bound));
    let (seconds, gateways) = (worst.seconds, worst.gateways);
    write!(f, "budget {name}: {sum} of {bound} at worst, ")?;
    writeln!(f, "in {seconds} seconds of {} to {} gateways", gateways.fewest, gateways.most)
}

fn write_machine(f: &mut Formatter<'_>, usage: &MachineUsage) -> fmt::Result {
    let percent = |fraction: f64| format!("{:.0}%", 100.0 * fraction);
    let all = usage.utilization.map_or_else(|| "unknown".to_owned(), percent);
    let own = percent(usage.own_utilization);
    write!(f, "machine: {all} of {} cores in use, {own} by this run; ", usage.cores)?;
    writeln!(f, "{:.1} GB", usage.memory_gb)?;
    if usage.is_saturated() {
        let measuring = usage.utilization_while_measuring.map(percent);
        let measuring = measuring.map(|used| format!(" ({used} while control was measured)"));
        writeln!(
            f,
            "THE MACHINE WAS SATURATED{}: what is late may be so for want of processors, \
             and cpu is what there was of them, not what was wanted",
            measuring.unwrap_or_default()
        )?;
    }
    let (dropped, overflowed) = (usage.dropped_datagrams, usage.overflowed_datagrams);
    if dropped + overflowed > 0 {
        writeln!(f, "letters dropped for want of room: {dropped} by the system, {overflowed} by the relay")?;
    }
    Ok(())
}
