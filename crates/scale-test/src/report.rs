//! What a run came to: figures, the bounds that were broken, what was not played. As a table for people, and
//! as one JSON object. What was not measured stands in neither.

use crate::book::Learnt;
use crate::budgets::Worst;
use crate::changed::Made;
use crate::emulated_workers::CallCounts;
use crate::fleet::StopReason;
use crate::machine::SATURATED;
use crate::plan::{Core, PLAYS, Plan};
use crate::spread::{Known, Spread, Times};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

mod changes;
mod table;

pub use changes::State;

/// Whether and when all believed what was so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settled {
    pub after: Option<f64>,
    pub waited: f64,
    /// Gateways that all others believed to be there, of those that were.
    pub agreed: usize,
    pub of: usize,
}

/// What control cost by gateway, in a time in which nothing happened. Rates are by the second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cost {
    pub seconds: f64,
    /// The fleet was settled at the end of it.
    pub settled: bool,
    /// Part of all cores that was in use.
    pub busy: Option<f64>,
    /// Hollow gateways whose control thread gave no reading in time.
    pub unread: usize,
    pub cpu: Vec<(usize, f64)>,
    /// Of that, what was spent inside the desk on the worker list and the desk's own timers.
    pub desk: Vec<(usize, f64)>,
    pub memory: Vec<(usize, f64)>,
    pub bytes_in: Vec<(usize, f64)>,
    pub bytes_out: Vec<(usize, f64)>,
    pub letters_in: Vec<(usize, f64)>,
    pub letters_out: Vec<(usize, f64)>,
    /// Of that, what following changes took; and what it costs the control machines, by their numbers.
    pub changes: Follow,
    pub machines: Machines,
}

/// What following changes costs each gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Follow {
    pub cpu: Vec<(usize, f64)>,
    pub bytes_in: Vec<(usize, f64)>,
    pub bytes_out: Vec<(usize, f64)>,
    /// Bytes of the file that it keeps.
    pub state: Vec<(usize, f64)>,
}

/// What control machines use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machines {
    pub cpu: Vec<(usize, f64)>,
    pub memory: Vec<(usize, f64)>,
    pub bytes_in: Vec<(usize, f64)>,
    pub bytes_out: Vec<(usize, f64)>,
}

/// A flood of list changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    pub workers: usize,
    pub editions: usize,
    /// Seconds until all desks had all editions.
    pub took: f64,
    /// Seconds of processor time of the longest edition inside one desk: when all went at once, and as they
    /// came back.
    pub slowest_gone: f64,
    pub slowest: f64,
    /// Seconds of processor time of each desk in all.
    pub desk: Option<Spread>,
}

/// One play.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    pub label: String,
    pub does: &'static str,
    /// Seconds from the start of the run, and that it took.
    pub at: f64,
    pub took: f64,
    pub settled: Option<Settled>,
    /// How many knew who was gone before those came back, of how many.
    pub gone_known: Option<(usize, usize)>,
    pub learnt: Learnt,
    pub cost: Option<Cost>,
    pub list: Option<Listed>,
    /// Changes that were proposed meanwhile, and the control machine that was killed.
    pub made: Option<Made>,
    pub killed: Option<usize>,
}

/// What of the machine was in use. Parts are of all cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Machine {
    pub cores: usize,
    pub busy: Option<f64>,
    /// While the cost of control was measured, at the worst.
    pub measuring: Option<f64>,
    /// In the worst second.
    pub highest: Option<f64>,
    /// By the processes of the run.
    pub own: f64,
    pub memory_gb: f64,
    /// Letters dropped by the system at the relay's sockets, and by the relay for want of room.
    pub dropped: u64,
    pub crowded: u64,
    /// Letters lost by the plan's word.
    pub lost: u64,
}

impl Machine {
    /// What was measured is then also the measure of a crowd.
    pub fn saturated(&self) -> bool {
        self.busy.into_iter().chain(self.measuring).any(|busy| busy > SATURATED)
    }
}

/// All that a run found.
pub struct Findings {
    pub plays: Vec<Played>,
    pub budgets: BTreeMap<String, Worst>,
    pub machine: Machine,
    pub calls: Option<CallCounts>,
    pub state: Option<State>,
}

pub struct Report {
    pub name: String,
    pub gateways: usize,
    pub real: usize,
    pub runs: Vec<Core>,
    pub seed: u64,
    pub took: f64,
    /// Which bound, by how much, where.
    pub broken: Vec<String>,
    pub plays: Vec<Played>,
    /// Plays that the plan has and the run had no time for; plays that the plan has not.
    pub unplayed: Vec<String>,
    pub budgets: BTreeMap<String, Worst>,
    pub machine: Machine,
    pub calls: Option<CallCounts>,
    pub state: Option<State>,
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
            .map(|p| format!("{} ({}): the run ended before its end", p.label, p.what.word()))
            .collect();
        let absent = PLAYS.iter().filter(|w| !plan.plays.iter().any(|p| p.what.word() == **w));
        unplayed.extend(absent.map(|word| format!("{word}: not in the plan")));
        let measuring = plays.iter().filter_map(|p| p.cost.as_ref()?.busy).max_by(f64::total_cmp);
        let machine = Machine { measuring, ..machine };
        let mut report = Self {
            name: plan.name.clone(),
            gateways: plan.gateways,
            real: plan.real,
            runs: plan.runs.clone(),
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
                broken.push(format!("the run was not over after its limit of {} s", plan.limit));
            }
            Some(StopReason::MemoryLimit { gigabytes: gb }) => {
                broken
                    .push(format!("memory of the run: {gb:.1} GB where {} GB are its most", plan.memory_gb));
            }
            Some(StopReason::Failed(why)) => broken.push(format!("a process failed: {why}")),
            None => {}
        }
        for play in &self.plays {
            if let Some(Settled { after: None, waited, agreed, of }) = play.settled {
                broken.push(format!(
                    "never settled in {}: {agreed} of {of} believed by all after {waited:.1} s",
                    play.label
                ));
            }
            if let Some(made) = &play.made {
                broken.extend(changes::judge(&play.label, made, plan.grant.change));
            }
            let Some(cost) = &play.cost else { continue };
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
            see("cpu", "of a core", &cost.cpu, plan.grant.cpu);
            see("memory_mb", "MB", &cost.memory, plan.grant.memory_mb);
            see("bytes_in", "bytes a second", &cost.bytes_in, plan.grant.bytes);
            see("bytes_out", "bytes a second", &cost.bytes_out, plan.grant.bytes);
        }
        broken.extend(self.state.as_ref().and_then(State::wrong));
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
    fn cost(&self) -> Option<&Cost> {
        self.plays.iter().rev().find_map(|p| p.cost.as_ref())
    }

    /// What one change costs each gateway, in seconds of processor time and bytes each way: the slope from the
    /// last time without changes in which it was measured to the last with some, by the median gateway.
    fn per_change(&self) -> Option<Value> {
        let last = |with: bool| {
            let of = |p: &&Played| p.cost.is_some() && (p.made.as_ref().is_some_and(|m| m.made > 0)) == with;
            self.plays.iter().rfind(of)
        };
        let (with, without) = (last(true)?, last(false)?);
        let (cost, before) = (with.cost.as_ref()?, without.cost.as_ref()?);
        let rate = with.made.as_ref()?.made as f64 / cost.seconds;
        let middle = |figures: &[(usize, f64)]| Some(Spread::of(figures.iter().map(|f| f.1).collect())?.p50);
        let slope = |now: &[(usize, f64)], then: &[(usize, f64)]| Some((middle(now)? - middle(then)?) / rate);
        let (now, then) = (&cost.changes, &before.changes);
        Some(json!({
            "cpu": slope(&now.cpu, &then.cpu)?,
            "bytes_in": slope(&now.bytes_in, &then.bytes_in)?,
            "bytes_out": slope(&now.bytes_out, &then.bytes_out)?,
        }))
    }

    /// What was learnt in all plays.
    fn known(&self) -> [(&'static str, Option<Known>); 5] {
        let all = |of: fn(&Learnt) -> &Times| {
            let mut times = Times::default();
            for play in &self.plays {
                times.seconds.extend(&of(&play.learnt).seconds);
                times.never += of(&play.learnt).never;
            }
            times.known()
        };
        let made = |of: fn(&Made) -> &Times| {
            let mut times = Times::default();
            for made in self.plays.iter().filter_map(|p| p.made.as_ref()) {
                times.seconds.extend(&of(made).seconds);
                times.never += of(made).never;
            }
            times.known()
        };
        [
            ("death", all(|l| &l.death)),
            ("join", all(|l| &l.join)),
            ("healing", all(|l| &l.healing)),
            ("change", made(|m| &m.change)),
            ("catch_up", made(|m| &m.catch_up)),
        ]
    }

    pub fn json(&self) -> Value {
        let mut report = json!({
            "plan": self.name, "runs": self.runs.iter().map(|c| c.word()).collect::<Vec<_>>(),
            "gateways": self.gateways, "real": self.real, "seed": self.seed,
            "seconds": self.took, "broken": self.broken, "not_played": self.unplayed,
            "plays": self.plays.iter().map(Played::json).collect::<Vec<_>>(),
            "machine": self.machine.json(),
        });
        if let Some(control) = self.cost().map(Cost::json).filter(|c| !c.is_empty()) {
            report["control"] = Value::Object(control);
        }
        for (name, apart) in self.cost().into_iter().flat_map(Cost::apart) {
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
        let known = known(&self.known());
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
fn known(known: &[(&'static str, Option<Known>)]) -> Map<String, Value> {
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

impl Cost {
    /// What following changes costs, apart: gateways and control machines.
    fn apart(&self) -> Vec<(&'static str, Map<String, Value>)> {
        let spread = |(name, figures): (&str, &[(usize, f64)])| {
            let spread = Spread::of(figures.iter().map(|(_, f)| *f).collect())?;
            Some((name.to_owned(), json!(spread)))
        };
        let Self { changes: c, machines: m, .. } = self;
        let changes: [(&str, &[(usize, f64)]); 4] = [
            ("cpu", &c.cpu),
            ("bytes_in", &c.bytes_in),
            ("bytes_out", &c.bytes_out),
            ("state_bytes", &c.state),
        ];
        let machines: [(&str, &[(usize, f64)]); 4] = [
            ("cpu", &m.cpu),
            ("memory_mb", &m.memory),
            ("bytes_in", &m.bytes_in),
            ("bytes_out", &m.bytes_out),
        ];
        let all = [("control_changes", changes), ("control_machines", machines)];
        let maps =
            all.map(|(name, figures)| (name, figures.into_iter().filter_map(spread).collect::<Map<_, _>>()));
        maps.into_iter().filter(|(_, map)| !map.is_empty()).collect()
    }

    /// Each figure's spread over the gateways.
    fn spreads(&self) -> Vec<(&'static str, Spread)> {
        let all = [
            ("cpu", &self.cpu),
            ("cpu_desk", &self.desk),
            ("memory_mb", &self.memory),
            ("bytes_in", &self.bytes_in),
            ("bytes_out", &self.bytes_out),
            ("letters_in", &self.letters_in),
            ("letters_out", &self.letters_out),
        ];
        let spread = |figures: &[(usize, f64)]| Spread::of(figures.iter().map(|(_, f)| *f).collect());
        all.into_iter().filter_map(|(name, figures)| Some((name, spread(figures)?))).collect()
    }

    fn json(&self) -> Map<String, Value> {
        self.spreads().into_iter().map(|(name, spread)| (name.to_owned(), json!(spread))).collect()
    }
}

impl Played {
    fn json(&self) -> Value {
        let mut play = json!({
            "label": self.label, "does": self.does, "at": self.at, "seconds": self.took,
            "false_deaths": self.learnt.false_deaths,
        });
        if let Some(Settled { after, waited, agreed, of }) = self.settled {
            play["settled"] = match after {
                Some(after) => json!({"after": after, "believed_by_all": agreed, "of": of}),
                None => json!({"waited": waited, "believed_by_all": agreed, "of": of}),
            };
        }
        if let Some((knew, of)) = self.gone_known {
            play["gone_known"] = json!({"by": knew, "of": of});
        }
        let times = [&self.learnt.death, &self.learnt.join, &self.learnt.healing].map(Times::known);
        let [death, join, healing] = times;
        let change = self.made.as_ref().and_then(|m| m.change.known());
        let catch_up = self.made.as_ref().and_then(|m| m.catch_up.known());
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
        if let Some(cost) = &self.cost {
            play["control"] = Value::Object(cost.json());
            play["measured"] =
                json!({"seconds": cost.seconds, "fleet_settled": cost.settled, "unread": cost.unread});
            if let Some(busy) = cost.busy {
                play["measured"]["busy"] = json!(busy);
                play["measured"]["saturated"] = json!(busy > SATURATED);
            }
        }
        for (name, apart) in self.cost.iter().flat_map(Cost::apart) {
            play[name] = Value::Object(apart);
        }
        if let Some(made) = self.made.as_ref().filter(|m| m.proposed > 0) {
            play["changes"] = json!({
                "proposed": made.proposed, "made": made.made, "unmade": made.unmade,
                "gateways_without": made.without,
            });
            made.committed.known().iter().for_each(|known| play["changes"]["committed"] = json!(known));
        }
        self.killed.iter().for_each(|killed| play["killed_control"] = json!(killed));
        if let Some(l) = &self.list {
            play["list"] = json!({
                "workers": l.workers, "editions": l.editions, "seconds": l.took,
                "slowest_gone": l.slowest_gone, "slowest": l.slowest,
            });
            l.desk.iter().for_each(|desk| play["list"]["desk"] = json!(desk));
        }
        play
    }
}

impl Machine {
    fn json(&self) -> Value {
        let mut machine = json!({
            "cores": self.cores, "own": self.own, "saturated": self.saturated(), "memory_gb": self.memory_gb,
            "letters_dropped": self.dropped, "letters_crowded": self.crowded,
            "letters_lost_by_plan": self.lost,
        });
        self.busy.iter().for_each(|busy| machine["busy"] = json!(busy));
        self.measuring.iter().for_each(|busy| machine["busy_measuring"] = json!(busy));
        self.highest.iter().for_each(|highest| machine["busy_highest"] = json!(highest));
        machine
    }
}
