//! What a run came to: figures, the bounds that were broken, what was not played. As a table for people, and
//! as one JSON object. What was not measured stands in neither.

use crate::budgets::WorstTotal;
use crate::change_propagation::ChangeOutcomes;
use crate::distribution::{ConvergenceSamples, ConvergenceSummary, Distribution};
use crate::machine_load::SATURATION_THRESHOLD;
use crate::membership_tracker::ConvergenceTimes;
use crate::plan::{ActionKind, Component, Plan};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

mod changes;
mod table;

pub use crate::emulated_workers::CallCounts;
pub use crate::fleet::StopReason;
pub use changes::FinalState;

/// Whether and when all believed what was so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Convergence {
    pub after: Option<f64>,
    pub waited: f64,
    /// Gateways that all others believed to be there, of those that were.
    pub agreed: usize,
    pub of: usize,
}

/// What control cost by gateway, in a time in which nothing happened. Rates are by the second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlCost {
    pub seconds: f64,
    /// The fleet was settled at the end of it.
    pub settled: bool,
    /// Part of all cores that was in use.
    pub busy: Option<f64>,
    /// Hollow gateways whose control thread gave no reading in time.
    pub unread_gateways: usize,
    pub cpu: Vec<(usize, f64)>,
    /// Of that, what was spent inside the desk on the worker list and the desk's own timers.
    pub dispatcher_cpu: Vec<(usize, f64)>,
    pub memory_mb: Vec<(usize, f64)>,
    pub bytes_in: Vec<(usize, f64)>,
    pub bytes_out: Vec<(usize, f64)>,
    pub datagrams_in: Vec<(usize, f64)>,
    pub datagrams_out: Vec<(usize, f64)>,
    /// Of that, what following changes took; and what it costs the control machines, by their numbers.
    pub follower: FollowerCost,
    pub control_machines: ControlMachineCost,
}

/// What following changes costs each gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowerCost {
    pub cpu: Vec<(usize, f64)>,
    pub bytes_in: Vec<(usize, f64)>,
    pub bytes_out: Vec<(usize, f64)>,
    /// Bytes of the file that it keeps.
    pub state_bytes: Vec<(usize, f64)>,
}

/// What control machines use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlMachineCost {
    pub cpu: Vec<(usize, f64)>,
    pub memory_mb: Vec<(usize, f64)>,
    pub bytes_in: Vec<(usize, f64)>,
    pub bytes_out: Vec<(usize, f64)>,
}

/// A flood of list changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdateCost {
    pub workers: usize,
    pub revisions: usize,
    /// Seconds until all desks had all editions.
    pub seconds: f64,
    /// Seconds of processor time of the longest edition inside one desk: when all went at once, and as they
    /// came back.
    pub slowest_removal: f64,
    pub slowest_addition: f64,
    /// Seconds of processor time of each desk in all.
    pub dispatcher_cpu: Option<Distribution>,
}

/// One play.
#[derive(Clone, Debug, PartialEq)]
pub struct PlayResult {
    pub label: String,
    pub action: &'static str,
    /// Seconds from the start of the run, and that it took.
    pub started_at: f64,
    pub seconds: f64,
    pub convergence: Option<Convergence>,
    /// How many knew who was gone before those came back, of how many.
    pub failure_known: Option<(usize, usize)>,
    pub membership_times: ConvergenceTimes,
    pub control_cost: Option<ControlCost>,
    pub endpoint_updates: Option<EndpointUpdateCost>,
    /// Changes that were proposed meanwhile, and the control machine that was killed.
    pub changes: Option<ChangeOutcomes>,
    pub killed_control_machine: Option<usize>,
}

/// What of the machine was in use. Parts are of all cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineUsage {
    pub cores: usize,
    pub utilization: Option<f64>,
    /// While the cost of control was measured, at the worst.
    pub utilization_while_measuring: Option<f64>,
    /// In the worst second.
    pub highest_utilization: Option<f64>,
    /// By the processes of the run.
    pub own_utilization: f64,
    pub memory_gb: f64,
    /// Letters dropped by the system at the relay's sockets, and by the relay for want of room.
    pub dropped_datagrams: u64,
    pub overflowed_datagrams: u64,
    /// Letters lost by the plan's word.
    pub lost_datagrams: u64,
}

impl MachineUsage {
    /// What was measured is then also the measure of a crowd.
    pub fn is_saturated(&self) -> bool {
        self.utilization
            .into_iter()
            .chain(self.utilization_while_measuring)
            .any(|busy| busy > SATURATION_THRESHOLD)
    }
}

/// All that a run found.
pub struct Findings {
    pub plays: Vec<PlayResult>,
    pub budgets: BTreeMap<String, WorstTotal>,
    pub machine: MachineUsage,
    pub calls: Option<CallCounts>,
    pub state: Option<FinalState>,
}

pub struct Report {
    pub name: String,
    pub gateways: usize,
    pub real: usize,
    pub runs: Vec<Component>,
    pub seed: u64,
    pub took: f64,
    /// Which bound, by how much, where.
    pub broken: Vec<String>,
    pub plays: Vec<PlayResult>,
    /// Plays that the plan has and the run had no time for; plays that the plan has not.
    pub unplayed: Vec<String>,
    pub budgets: BTreeMap<String, WorstTotal>,
    pub machine: MachineUsage,
    pub calls: Option<CallCounts>,
    pub state: Option<FinalState>,
    pub over: Option<StopReason>,
}

impl Report {
    pub fn new(
        plan: &Plan,
        Findings { plays, budgets, machine, calls, state }: Findings,
        over: Option<StopReason>,
        took: f64,
    ) -> Self {
        let whole = plays.len() - usize::from(over.is_some() && !plays.is_empty());
        let mut unplayed: Vec<String> = (plan.plays[whole..].iter())
            .map(|p| format!("{} ({}): the run ended before its end", p.label, p.action.kind().keyword()))
            .collect();
        let is_absent = |kind: &ActionKind| plan.plays.iter().all(|play| play.action.kind() != *kind);
        let absent = ActionKind::ALL.into_iter().filter(is_absent);
        unplayed.extend(absent.map(|kind| format!("{}: not in the plan", kind.keyword())));
        let measuring = plays.iter().filter_map(|p| p.control_cost.as_ref()?.busy).max_by(f64::total_cmp);
        let machine = MachineUsage { utilization_while_measuring: measuring, ..machine };
        let mut report = Self {
            name: plan.name.clone(),
            gateways: plan.gateways,
            real: plan.real_gateways,
            runs: plan.components.clone(),
            seed: plan.seed,
            took,
            broken: Vec::new(),
            plays,
            unplayed,
            budgets,
            machine,
            calls,
            state,
            over,
        };
        report.broken = report.judge(plan);
        report
    }

    /// The bounds that were broken.
    fn judge(&self, plan: &Plan) -> Vec<String> {
        let mut broken = Vec::new();
        match &self.over {
            Some(StopReason::Stopped) => broken.push("the run was stopped".into()),
            Some(StopReason::TimeLimit) => {
                broken.push(format!("the run was not over after its limit of {} s", plan.time_limit));
            }
            Some(StopReason::MemoryLimit { gigabytes: gb }) => {
                broken.push(format!(
                    "memory of the run: {gb:.1} GB where {} GB are its most",
                    plan.memory_limit_gb
                ));
            }
            Some(StopReason::Failed(why)) => broken.push(format!("a process failed: {why}")),
            None => {}
        }
        for play in &self.plays {
            if let Some(Convergence { after: None, waited, agreed, of }) = play.convergence {
                broken.push(format!(
                    "never settled in {}: {agreed} of {of} believed by all after {waited:.1} s",
                    play.label
                ));
            }
            if let Some(made) = &play.changes {
                broken.extend(changes::judge(&play.label, made, plan.limits.change_seconds));
            }
            let Some(cost) = &play.control_cost else { continue };
            let mut see = |what: &str, unit: &str, figures: &[(usize, f64)], most: Option<f64>| {
                let Some(most) = most else { return };
                let over: Vec<_> = figures.iter().filter(|(_, f)| *f > most).collect();
                let Some((gateway, worst)) = over.iter().max_by(|a, b| a.1.total_cmp(&b.1)) else { return };
                let (over, of) = (over.len(), figures.len());
                broken.push(format!(
                    "control.{what} in {}: {} {unit} at gateway-{gateway} where {} are granted, \
                     over it at {over} of {of}",
                    play.label,
                    short(*worst),
                    short(most),
                ));
            };
            see("cpu", "of a core", &cost.cpu, plan.limits.cpu_cores);
            see("memory_mb", "MB", &cost.memory_mb, plan.limits.memory_mb);
            see("bytes_in", "bytes a second", &cost.bytes_in, plan.limits.bytes_per_second);
            see("bytes_out", "bytes a second", &cost.bytes_out, plan.limits.bytes_per_second);
        }
        broken.extend(self.state.as_ref().and_then(FinalState::wrong));
        for (name, worst) in &self.budgets {
            if worst.broken > 0 {
                let (sum, bound) = (short(worst.sum), short(worst.bound));
                let during = worst.during.as_deref().unwrap_or("the run");
                let (broken_in, of) = (worst.broken, worst.seconds);
                broken.push(format!(
                    "budget {name}: all together might use {sum} where there is {bound}, \
                     in {broken_in} of {of} seconds, first in {during}"
                ));
            }
        }
        broken
    }

    /// The cost of control that counts: of the last time that it was measured.
    fn cost(&self) -> Option<&ControlCost> {
        self.plays.iter().rev().find_map(|p| p.control_cost.as_ref())
    }

    /// What one change costs each gateway, in seconds of processor time and bytes each way: the slope from the
    /// last time without changes in which it was measured to the last with some, by the median gateway.
    fn per_change(&self) -> Option<Value> {
        let last = |with: bool| {
            let of = |p: &&PlayResult| {
                p.control_cost.is_some()
                    && (p.changes.as_ref().is_some_and(|m| m.committed_count > 0)) == with
            };
            self.plays.iter().rfind(of)
        };
        let (with, without) = (last(true)?, last(false)?);
        let (cost, before) = (with.control_cost.as_ref()?, without.control_cost.as_ref()?);
        let rate = with.changes.as_ref()?.committed_count as f64 / cost.seconds;
        let middle =
            |figures: &[(usize, f64)]| Some(Distribution::of(figures.iter().map(|f| f.1).collect())?.p50);
        let slope = |now: &[(usize, f64)], then: &[(usize, f64)]| Some((middle(now)? - middle(then)?) / rate);
        let (now, then) = (&cost.follower, &before.follower);
        Some(json!({
            "cpu": slope(&now.cpu, &then.cpu)?,
            "bytes_in": slope(&now.bytes_in, &then.bytes_in)?,
            "bytes_out": slope(&now.bytes_out, &then.bytes_out)?,
        }))
    }

    /// What was learnt in all plays.
    fn convergence_summaries(&self) -> [(&'static str, Option<ConvergenceSummary>); 5] {
        let all = |of: fn(&ConvergenceTimes) -> &ConvergenceSamples| {
            let mut times = ConvergenceSamples::default();
            for play in &self.plays {
                times.seconds.extend(&of(&play.membership_times).seconds);
                times.never += of(&play.membership_times).never;
            }
            times.summary()
        };
        let made = |of: fn(&ChangeOutcomes) -> &ConvergenceSamples| {
            let mut times = ConvergenceSamples::default();
            for made in self.plays.iter().filter_map(|p| p.changes.as_ref()) {
                times.seconds.extend(&of(made).seconds);
                times.never += of(made).never;
            }
            times.summary()
        };
        [
            ("death", all(|l| &l.death)),
            ("join", all(|l| &l.join)),
            ("healing", all(|l| &l.healing)),
            ("change", made(|m| &m.propagation_times)),
            ("catch_up", made(|m| &m.catch_up_times)),
        ]
    }

    pub fn json(&self) -> Value {
        let mut report = json!({
            "plan": self.name, "runs": self.runs.iter().map(|c| c.keyword()).collect::<Vec<_>>(),
            "gateways": self.gateways, "real": self.real, "seed": self.seed,
            "seconds": self.took, "broken": self.broken, "not_played": self.unplayed,
            "plays": self.plays.iter().map(PlayResult::json).collect::<Vec<_>>(),
            "machine": self.machine.json(),
        });
        if let Some(control) = self.cost().map(ControlCost::json).filter(|c| !c.is_empty()) {
            report["control"] = Value::Object(control);
        }
        for (name, apart) in self.cost().into_iter().flat_map(ControlCost::apart) {
            report[name] = Value::Object(apart);
        }
        if let Some(one) = self.per_change() {
            report["per_change"] = one;
        }
        if let Some(state) = &self.state {
            let ((equal, gateways), (agree, control)) = (state.gateways, state.control);
            report["state"] = json!({
                "number": state.number, "digest": format!("{:016x}", state.digest), "equal": equal,
                "gateways": gateways, "control_equal": agree, "control": control,
            });
        }
        let known = known(&self.convergence_summaries());
        if !known.is_empty() {
            report["known"] = Value::Object(known);
        }
        if !self.budgets.is_empty() {
            report["budgets"] = json!(self.budgets);
        }
        if let Some(CallCounts { sent, succeeded }) = self.calls {
            report["calls"] = json!({"sent": sent, "handled": succeeded});
        }
        report
    }
}

/// What is there of several, by name.
fn known(known: &[(&'static str, Option<ConvergenceSummary>)]) -> Map<String, Value> {
    known.iter().filter_map(|(name, known)| Some(((*name).to_owned(), json!((*known)?)))).collect()
}

/// A figure with as many digits as mean something.
fn short(figure: f64) -> String {
    match figure.abs() {
        x if x >= 100.0 => format!("{figure:.0}"),
        x if x >= 1.0 => format!("{figure:.2}"),
        _ => format!("{figure:.5}"),
    }
}

impl ControlCost {
    /// What following changes costs, apart: gateways and control machines.
    fn apart(&self) -> Vec<(&'static str, Map<String, Value>)> {
        let spread = |(name, figures): (&str, &[(usize, f64)])| {
            let spread = Distribution::of(figures.iter().map(|(_, f)| *f).collect())?;
            Some((name.to_owned(), json!(spread)))
        };
        let Self { follower: c, control_machines: m, .. } = self;
        let changes: [(&str, &[(usize, f64)]); 4] = [
            ("cpu", &c.cpu),
            ("bytes_in", &c.bytes_in),
            ("bytes_out", &c.bytes_out),
            ("state_bytes", &c.state_bytes),
        ];
        let machines: [(&str, &[(usize, f64)]); 4] = [
            ("cpu", &m.cpu),
            ("memory_mb", &m.memory_mb),
            ("bytes_in", &m.bytes_in),
            ("bytes_out", &m.bytes_out),
        ];
        let all = [("control_changes", changes), ("control_machines", machines)];
        let maps =
            all.map(|(name, figures)| (name, figures.into_iter().filter_map(spread).collect::<Map<_, _>>()));
        maps.into_iter().filter(|(_, map)| !map.is_empty()).collect()
    }

    /// Each figure's spread over the gateways.
    fn spreads(&self) -> Vec<(&'static str, Distribution)> {
        let all = [
            ("cpu", &self.cpu),
            ("cpu_desk", &self.dispatcher_cpu),
            ("memory_mb", &self.memory_mb),
            ("bytes_in", &self.bytes_in),
            ("bytes_out", &self.bytes_out),
            ("letters_in", &self.datagrams_in),
            ("letters_out", &self.datagrams_out),
        ];
        let spread = |figures: &[(usize, f64)]| Distribution::of(figures.iter().map(|(_, f)| *f).collect());
        all.into_iter().filter_map(|(name, figures)| Some((name, spread(figures)?))).collect()
    }

    fn json(&self) -> Map<String, Value> {
        self.spreads().into_iter().map(|(name, spread)| (name.to_owned(), json!(spread))).collect()
    }
}

impl PlayResult {
    fn json(&self) -> Value {
        let mut play = json!({
            "label": self.label, "does": self.action, "at": self.started_at, "seconds": self.seconds,
            "false_deaths": self.membership_times.false_deaths,
        });
        if let Some(Convergence { after, waited, agreed, of }) = self.convergence {
            play["settled"] = match after {
                Some(after) => json!({"after": after, "believed_by_all": agreed, "of": of}),
                None => json!({"waited": waited, "believed_by_all": agreed, "of": of}),
            };
        }
        if let Some((knew, of)) = self.failure_known {
            play["gone_known"] = json!({"by": knew, "of": of});
        }
        let times =
            [&self.membership_times.death, &self.membership_times.join, &self.membership_times.healing]
                .map(ConvergenceSamples::summary);
        let [death, join, healing] = times;
        let change = self.changes.as_ref().and_then(|m| m.propagation_times.summary());
        let catch_up = self.changes.as_ref().and_then(|m| m.catch_up_times.summary());
        let known = known(&[
            ("death", death),
            ("join", join),
            ("healing", healing),
            ("change", change),
            ("catch_up", catch_up),
        ]);
        if !known.is_empty() {
            play["known"] = Value::Object(known);
        }
        if let Some(cost) = &self.control_cost {
            play["control"] = Value::Object(cost.json());
            play["measured"] = json!({"seconds": cost.seconds, "fleet_settled": cost.settled, "unread": cost.unread_gateways});
            if let Some(busy) = cost.busy {
                play["measured"]["busy"] = json!(busy);
                play["measured"]["saturated"] = json!(busy > SATURATION_THRESHOLD);
            }
        }
        for (name, apart) in self.control_cost.iter().flat_map(ControlCost::apart) {
            play[name] = Value::Object(apart);
        }
        if let Some(made) = self.changes.as_ref().filter(|m| m.proposed > 0) {
            play["changes"] = json!({
                "proposed": made.proposed, "made": made.committed_count, "unmade": made.uncommitted,
                "gateways_without": made.gateways_without,
            });
            made.commit_times.summary().iter().for_each(|known| play["changes"]["committed"] = json!(known));
        }
        self.killed_control_machine.iter().for_each(|killed| play["killed_control"] = json!(killed));
        if let Some(l) = &self.endpoint_updates {
            play["list"] = json!({
                "workers": l.workers, "editions": l.revisions, "seconds": l.seconds,
                "slowest_gone": l.slowest_removal, "slowest": l.slowest_addition,
            });
            l.dispatcher_cpu.iter().for_each(|desk| play["list"]["desk"] = json!(desk));
        }
        play
    }
}

impl MachineUsage {
    fn json(&self) -> Value {
        let mut machine = json!({
            "cores": self.cores, "own": self.own_utilization, "saturated": self.is_saturated(), "memory_gb": self.memory_gb,
            "letters_dropped": self.dropped_datagrams, "letters_crowded": self.overflowed_datagrams,
            "letters_lost_by_plan": self.lost_datagrams,
        });
        self.utilization.iter().for_each(|busy| machine["busy"] = json!(busy));
        self.utilization_while_measuring.iter().for_each(|busy| machine["busy_measuring"] = json!(busy));
        self.highest_utilization.iter().for_each(|highest| machine["busy_highest"] = json!(highest));
        machine
    }
}
