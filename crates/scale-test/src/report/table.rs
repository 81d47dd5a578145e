//! A report as a table for people.

use super::{ControlCost, Convergence, Report, short};
use crate::client_calls::CallCounts;
use crate::distribution::ConvergenceSummary;
use std::fmt;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, gateways, real, seed, took, .. } = self;
        writeln!(f, "{name}: {gateways} gateways, {real} of them real, seed {seed}, {took:.0} s")?;
        if let Some(cost) = self.cost() {
            let state = if cost.settled { "settled" } else { "NOT settled" };
            writeln!(f, "control of one gateway, over {:.0} s, fleet {state}", cost.seconds)?;
            writeln!(f, "  {:<22} {:>12} {:>12} {:>12}", "", "p50", "p99", "worst")?;
            for (name, s) in cost.spreads() {
                let unit = match name {
                    "cpu" => "cpu, of a core",
                    "cpu_desk" => "  of it in the desk",
                    "memory_mb" => "memory, MB",
                    "bytes_in" => "bytes in a second",
                    "bytes_out" => "bytes out a second",
                    "letters_in" => "letters in a second",
                    _ => "letters out a second",
                };
                let (p50, p99, worst) = (short(s.p50), short(s.p99), short(s.worst));
                writeln!(f, "  {unit:<22} {p50:>12} {p99:>12} {worst:>12}")?;
            }
        }
        for (name, apart) in self.cost().into_iter().flat_map(ControlCost::apart) {
            let title =
                if name == "control_machines" { "of one control machine" } else { "of it following changes" };
            writeln!(f, "{title}")?;
            for (figure, spread) in apart {
                let of = |which: &str| short(spread[which].as_f64().unwrap_or(f64::NAN));
                writeln!(f, "  {figure:<22} {:>12} {:>12} {:>12}", of("p50"), of("p99"), of("worst"))?;
            }
        }
        writeln!(f, "plays")?;
        for play in &self.plays {
            write!(
                f,
                "  {:<12} {:<9} from {:>6.1} s, {:>6.1} s",
                play.label, play.action, play.started_at, play.seconds
            )?;
            match play.convergence {
                Some(Convergence { after: Some(after), of, .. }) => {
                    write!(f, "; all {of} agree after {after:.1} s")?;
                }
                Some(Convergence { waited, agreed, of, .. }) => {
                    write!(f, "; NEVER SETTLED, {agreed} of {of} believed by all after {waited:.1} s")?;
                }
                None => {}
            }
            if let Some((knew, of)) = play.failure_known {
                write!(f, "; {knew} of {of} knew who was gone")?;
            }
            if let Some(made) = play.changes.as_ref().filter(|m| m.proposed > 0) {
                write!(f, "; {} of {} changes made", made.committed_count, made.proposed)?;
                if let Some(s) = made.propagation_times.summary().and_then(|k| k.distribution) {
                    write!(f, ", in force after {:.2} s, {:.2} s at the latest", s.p50, s.worst)?;
                }
            }
            if play.membership_times.false_deaths > 0 {
                write!(f, "; {} times one was wrongly said to be gone", play.membership_times.false_deaths)?;
            }
            if let Some(l) = &play.endpoint_updates {
                let (workers, editions, ms) = (l.workers, l.revisions, 1e3 * l.slowest_addition);
                write!(f, "; {workers} workers in {editions} editions, the slowest {ms:.1} ms in one desk")?;
            }
            writeln!(f)?;
        }
        for (what, known) in self.convergence_summaries() {
            let Some(ConvergenceSummary { distribution, learnt, never }) = known else { continue };
            let times = distribution.map_or_else(String::new, |s| {
                format!("p50 {:.2} s, p99 {:.2} s, worst {:.2} s; ", s.p50, s.p99, s.worst)
            });
            writeln!(f, "{what} known: {times}{learnt} learnt it, {never} never")?;
        }
        if let Some(state) = &self.state {
            let ((equal, of), (agree, machines)) = (state.gateways, state.control);
            writeln!(
                f,
                "in force: number {}, digest {:016x}, at {equal} of {of} gateways and {agree} of {machines} control machines",
                state.number, state.digest
            )?;
        }
        for (name, w) in &self.budgets {
            let (sum, bound, (least, most)) = (short(w.sum), short(w.bound), w.gateways);
            let seconds = w.seconds;
            writeln!(
                f,
                "budget {name}: {sum} of {bound} at worst, in {seconds} seconds of {least} to {most} gateways"
            )?;
        }
        if let Some(CallCounts { sent, succeeded }) = self.calls {
            writeln!(f, "calls to real gateways: {sent}, handled {succeeded}")?;
        }
        let m = &self.machine;
        let busy = m.utilization.map_or("unknown".into(), |b| format!("{:.0}%", 100.0 * b));
        let (own, memory) = (100.0 * m.own_utilization, m.memory_gb);
        writeln!(f, "machine: {busy} of {} cores in use, {own:.0}% by this run; {memory:.1} GB", m.cores)?;
        if m.is_saturated() {
            let measuring = m
                .utilization_while_measuring
                .map_or(String::new(), |b| format!(" ({:.0}% while control was measured)", 100.0 * b));
            writeln!(
                f,
                "THE MACHINE WAS SATURATED{measuring}: what is late may be so for want of processors, \
                 and cpu is what there was of them, not what was wanted"
            )?;
        }
        if m.dropped_datagrams + m.overflowed_datagrams > 0 {
            writeln!(
                f,
                "letters dropped for want of room: {} by the system, {} by the relay",
                m.dropped_datagrams, m.overflowed_datagrams
            )?;
        }
        for unplayed in &self.unplayed {
            writeln!(f, "not played: {unplayed}")?;
        }
        match self.broken.len() {
            0 => writeln!(f, "bounds: all kept"),
            _ => self.broken.iter().try_for_each(|b| writeln!(f, "BROKEN {b}")),
        }
    }
}
