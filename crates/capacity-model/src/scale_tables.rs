//! What whole fleets showed, as tables of the page: each scale run, and changes of configuration before and after there was
//! a mechanism that carries them.

use crate::assumed::Assumed;
use crate::page::number;
use crate::scale::{Fleet, Machine, Spread};
use std::fmt::Write;

fn spread(of: Option<&Spread>, times: f64) -> String {
    let Some(spread) = of else { return "not measured".into() };
    let figure = |x: Option<f64>| x.map_or("-".into(), |x| number(x * times));
    let never = spread.never.filter(|n| *n > 0).map_or(String::new(), |n| format!("; never: {n}"));
    format!("{}, {}, {}{never}", figure(spread.p50), figure(spread.p99), figure(spread.worst))
}

/// A row for each scale run.
pub fn scale_run(a: &Assumed, fleets: &[Fleet]) -> String {
    let mut text = String::from("## Scale run\n\n");
    if fleets.is_empty() {
        text += "Not run: no `scale-*.json` is among the runs.\n";
        return text;
    }
    text += "`milletpath scale FILE --seed N --json`: p50, p99, worst over the gateways.\n\n";
    text += "| run | gateways | seed | cores that ran | CPU, % of a core | MB | kB/s in | kB/s out | death \
     known, s | join known, s | change known, s | bounds broken | not played | machine |\n";
    text += "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for f in fleets {
        let control = |key: &str, times: f64| spread(f.control.get(key), times);
        let known = |key: &str| spread(f.known.get(key), 1.0);
        let misses = |key: &str, times: f64, may: f64| {
            let over = f.control.get(key).and_then(|s| s.p99).is_some_and(|p99| p99 * times > may);
            if over { " **MISSES**" } else { "" }
        };
        let sum = ["bytes_in", "bytes_out"].iter().filter_map(|key| f.control.get(*key)?.p99).sum::<f64>();
        let bytes = if sum * 1e-3 > a.asked.kb_a_second { " **MISSES**" } else { "" };
        let machine = match f.machine {
            Machine { saturated: Some(true), .. } => "saturated: figures are of a crowd too".into(),
            Machine { busy: Some(busy), .. } => format!("{} % busy", number(100.0 * busy)),
            _ => "not told".into(),
        };
        let broken: Vec<String> =
            f.broken.iter().map(|b| b.as_str().map_or_else(|| b.to_string(), str::to_owned)).collect();
        let _ = writeln!(
            text,
            "| [{}](capacity/{}) | {} | {} | {} | {}{} | {}{} | {} | {}{bytes} | {} | {} | {} | {} | {} | {machine} |",
            f.file.trim_end_matches(".json"),
            f.file,
            number(f.gateways as f64),
            f.seed,
            f.runs.as_ref().map_or("not told".into(), |runs| runs.join(", ")),
            control("cpu", 100.0),
            misses("cpu", 100.0, a.asked.cpu_percent),
            control("memory_mb", 1.0),
            misses("memory_mb", 1.0, a.asked.memory_mb),
            control("bytes_in", 1e-3),
            control("bytes_out", 1e-3),
            known("death"),
            known("join"),
            known("change"),
            if broken.is_empty() { "none".into() } else { broken.join("; ") },
            if f.not_played.is_empty() { "none told".into() } else { f.not_played.join("; ") },
        );
    }
    text
}

/// What carrying changes of configuration costs and how soon they are in force, beside fleets of the same size
/// without it.
pub fn changes(a: &Assumed, fleets: &[Fleet]) -> String {
    let mut text = String::from("## Changes of configuration, before and after\n\n");
    let bound = a.asked.change_in_force_s;
    let _ = writeln!(
        text,
        "{} a day, in force at all within {bound} s. Before: nothing carries a change; `serve` reads \
         its charter at start; what such fleets spend is membership's and budgets'.\n",
        number(a.asked.changes_a_day)
    );
    let first = number(1.0 / a.asked.gateways);
    let _ =
        writeln!(text, "Without a mechanism it stands first on the list below, at one gateway: {first}.\n");
    let after: Vec<&Fleet> = fleets.iter().filter(|f| f.known.contains_key("change")).collect();
    if after.is_empty() {
        text += "After: not run.\n";
        return text;
    }
    text += "| gateways | | change known, s | | CPU, % of a core | kB/s in | kB/s out | run |\n| --- | \
     --- | --- | --- | --- | --- | --- | --- |\n";
    for f in fleets {
        let carries = f.known.get("change");
        // A fleet of the same size without it is what it is compared with.
        if carries.is_none() && !after.iter().any(|other| other.gateways == f.gateways) {
            continue;
        }
        let verdict = match carries {
            Some(spread) if spread.within(bound) => "holds",
            Some(_) => "**MISSES**",
            None if f.ran("changes") && f.machine.saturated == Some(true) => "**MISSES**, on a full machine",
            None if f.ran("changes") => "**MISSES**",
            None => "",
        };
        let control = |key: &str, times: f64| spread(f.control.get(key), times);
        let _ = writeln!(
            text,
            "| {} | {} | {} | {verdict} | {} | {} | {} | [{}](capacity/{}) |",
            number(f.gateways as f64),
            if carries.is_some() || f.ran("changes") { "after" } else { "before" },
            carries.map_or("never".into(), |_| spread(carries, 1.0)),
            control("cpu", 100.0),
            control("bytes_in", 1e-3),
            control("bytes_out", 1e-3),
            f.file.trim_end_matches(".json"),
            f.file,
        );
    }
    text
}
