//! Mechanisms that are not there, and those that fail by what the code says whatever they cost.

use crate::assumed::Assumed;
use crate::model::Lack;
use crate::page::number;
use crate::scale::{Fleet, Spread};

/// What is not there, and what fails by what the code says whatever it costs. A fleet that showed that a
/// change gets known takes the first off the list.
pub fn lacks(a: &Assumed, fleets: &[Fleet]) -> Vec<Lack> {
    let asked = &a.asked;
    let mut lacks = Vec::new();
    lacks.extend(change(a, fleets));
    lacks.extend(processor(a, fleets));
    lacks.extend(unsettled(a, fleets));
    // Equal regions that do not hear each other: each has a majority of all only while there is one.
    let regions = (1..=asked.regions as usize).find(|r| asked.gateways / *r as f64 <= asked.gateways / 2.0);
    if let Some(regions) = regions {
        lacks.push(Lack {
            what: "regions that lose each other keep standing for budgets".into(),
            why: format!(
                "by calculation from `peers::backing`: standing needs words of more than half of all \
                 gateways, so of {regions} equal \
                 regions apart none has it, nor of {}; each gateway then has its floor for as long",
                asked.regions
            ),
            fails_at: regions as f64 / asked.regions,
            below: false,
        });
    }
    lacks
}

/// Among real threads and sockets: the least fleet of which half of the gateways spent more on control than is
/// granted. This is what was measured there; the rows of slopes are worked out.
fn processor(a: &Assumed, fleets: &[Fleet]) -> Option<Lack> {
    let spent = |f: &Fleet| f.control.get("cpu")?.p50.map(|cpu| 100.0 * cpu);
    let over = |f: &&Fleet| spent(f).is_some_and(|cpu| cpu > a.asked.cpu_percent);
    let least = fleets.iter().filter(over).min_by_key(|f| f.gateways)?;
    let full = if least.machine.saturated == Some(true) { ", on a machine that was full" } else { "" };
    Some(Lack {
        what: "control's part of a core in the scale run, half of the gateways".into(),
        why: format!(
            "{} % (p50) among {} gateways where it may be {} ([{file}](capacity/{file})){full}; it is the \
             least of the runs that miss",
            number(spent(least)?),
            least.gateways,
            a.asked.cpu_percent,
            file = least.file,
        ),
        fails_at: least.gateways as f64 / a.asked.gateways,
        below: false,
    })
}

/// The least fleet of which not all knew who was there, in whichever play.
fn unsettled(a: &Assumed, fleets: &[Fleet]) -> Option<Lack> {
    let never = |f: &Fleet| {
        let said = f.broken.iter().filter_map(|b| b.as_str()).find(|b| b.starts_with("never settled"))?;
        Some((f.gateways, f.file.clone(), said.to_owned()))
    };
    let (gateways, file, said) = fleets.iter().filter_map(never).min_by_key(|f| f.0)?;
    Some(Lack {
        what: "all know who is there, in the scale run".into(),
        why: format!("{said} ([{file}](capacity/{file})); it is the least of the runs that miss"),
        fails_at: gateways as f64 / a.asked.gateways,
        below: false,
    })
}

/// Changes of configuration: lacking, not shown at the size, or shown to come too late.
fn change(a: &Assumed, fleets: &[Fleet]) -> Option<Lack> {
    let (gateways, bound) = (a.asked.gateways, a.asked.change_in_force_s);
    let shown: Vec<(f64, &Spread)> =
        fleets.iter().filter_map(|f| Some((f.gateways as f64, f.known.get("change")?))).collect();
    let largest = shown.iter().map(|s| s.0).fold(0.0, f64::max);
    let late = shown.iter().filter(|s| !s.1.within(bound)).min_by(|a, b| a.0.total_cmp(&b.0));
    let (why, fails_at) = match late {
        _ if shown.is_empty() => {
            ("there is no mechanism: `serve` reads its charter at start only".into(), 1.0 / gateways)
        }
        Some((at, spread)) => {
            let worst =
                spread.worst.or(spread.p99).map_or("no time was measured".into(), |s| format!("{s} s"));
            let never = spread.never.unwrap_or(0);
            let why = format!("among {at} gateways in a scale run, at worst: {worst}; never learnt: {never}");
            (why, at / gateways)
        }
        None if largest < gateways => {
            (format!("not shown among more than {largest} gateways in a scale run"), largest / gateways)
        }
        None => return None,
    };
    let what = format!("a change of configuration gets into every running gateway within {bound} s");
    Some(Lack { what, why, fails_at: fails_at.min(1.0), below: false })
}
