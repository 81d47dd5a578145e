//! The tables of docs/CAPACITY.md, made of the runs, the assumptions and the scale runs alone; and the page
//! around them, of which only what stands between two marks is written anew.

use crate::assumed::Assumed;
use crate::fit::Fit;
use crate::gateway::functions_known;
use crate::lacks::lacks;
use crate::model::{FARTHEST, Lack, Role, Row, Slopes, Source};
use crate::popularity::{Popularity, least_exponent};
use crate::roles::rows;
use crate::run::{self, Run};
use crate::scale::{self, Fleet};
use crate::scale_tables::{changes, scale_run};
use std::fmt::Write;
use std::path::Path;

/// What the tables stand between.
pub const BEGIN: &str =
    "<!-- made by `milletpath capacity --page`; nothing between these marks is written by hand -->";
pub const END: &str = "<!-- end of what is made -->";

/// The name of the assumptions' file in the folder of the runs.
pub const ASSUMPTIONS: &str = "assumptions.json";

/// All tables, from a folder of runs.
pub fn tables(folder: &Path) -> Result<String, String> {
    let assumed = Assumed::read(&folder.join(ASSUMPTIONS))?;
    let slopes = Slopes::new(run::read_all(folder)?);
    let fleets = scale::read_all(folder)?;
    let all = rows(&assumed, &slopes);
    let lacking = lacks(&assumed, &fleets);
    let parts = [
        assumptions(&assumed, &slopes, &fleets),
        roles(&all),
        cold_start(&assumed, &all),
        scale_run(&assumed, &fleets),
        changes(&assumed, &fleets),
        fails(&all, &lacking),
        measured(&slopes),
    ];
    Ok(parts.join("\n"))
}

/// The page with its tables made anew.
pub fn rewrite(page: &str, tables: &str) -> Result<String, String> {
    let begin = page
        .find(BEGIN)
        .ok_or_else(|| format!("the page has no line {BEGIN}; add it where the tables belong"))?;
    let end = page
        .find(END)
        .filter(|end| *end > begin)
        .ok_or_else(|| format!("the page has no line {END} after the first; add it"))?;
    Ok(format!("{}{BEGIN}\n\n{tables}\n{}", &page[..begin], &page[end..]))
}

/// What fails, first what does so at the smallest part of the size: what, why, and that part.
pub fn failing(rows: &[Row], lacking: &[Lack]) -> Vec<Lack> {
    let missed = rows.iter().filter(|row| row.misses()).map(|row| Lack {
        what: row.what.clone(),
        why: format!(
            "{}: {} {} where it may be {}; {}",
            row.mechanism,
            number(row.value),
            row.unit,
            row.may.map_or(String::new(), number),
            figure_is(row)
        ),
        fails_at: row.fails_at.unwrap_or(1.0),
        below: row.below,
    });
    let mut all: Vec<Lack> = lacking.iter().cloned().chain(missed).collect();
    all.sort_by(|a, b| a.fails_at.total_cmp(&b.fails_at));
    all
}

/// Three digits, thousands apart.
pub fn number(x: f64) -> String {
    if !x.is_finite() {
        return "-".into();
    }
    if x == 0.0 {
        return "0".into();
    }
    if x < 0.0 {
        return format!("-{}", number(-x));
    }
    let digits = (2 - x.abs().log10().floor() as i32).max(0) as usize;
    let text = format!("{x:.digits$}");
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let mut grouped = String::new();
    for (n, digit) in whole.chars().enumerate() {
        if n > 0 && (whole.len() - n).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let part = part.trim_end_matches('0');
    if part.is_empty() { grouped } else { format!("{grouped}.{part}") }
}

fn source(source: &Source) -> String {
    match source {
        Source::Measured => "measured at this size".into(),
        Source::Fitted(beyond) if *beyond <= 1.0 => "by the form, within what was measured".into(),
        Source::Fitted(beyond) => format!("EXTRAPOLATED, {beyond:.2} times past what was measured"),
        Source::Calculated => "by calculation".into(),
        Source::NotRun(runs) => format!("not run: {}", runs.join(", ")),
    }
}

/// Where a row's figure is from, and what other forms would make of it.
fn figure_is(row: &Row) -> String {
    let others = row.range.filter(|(low, high)| high - low > 0.01 * high);
    let others = others
        .map(|(low, high)| format!("; {} to {} by forms that fit nearly as well", number(low), number(high)));
    source(&row.source) + &others.unwrap_or_default()
}

fn part(at: Option<f64>, below: bool) -> String {
    match at {
        Some(at) if below && at > 0.0 => format!("{} (below the least measured)", number(at)),
        Some(0.0) => "any size".into(),
        Some(at) => number(at),
        None => format!("over {FARTHEST}"),
    }
}

/// The assumptions, and how the answer moves with each.
fn assumptions(a: &Assumed, slopes: &Slopes, fleets: &[Fleet]) -> String {
    let mut text = String::from("## What is assumed\n\n");
    let now = rows(a, slopes);
    let misses =
        |rows: &[Row], a: &Assumed| rows.iter().filter(|r| r.misses()).count() + lacks(a, fleets).len();
    let asked = &a.asked;
    let _ = writeln!(
        text,
        "Asked for: {} gateways, {} instances of {} functions, {} calls a second, {} regions with {} \
         zones. The rest is assumed. \
         Of {} bounds {} are missed. Half and double: how many would be, and the figure that moves most \
         against its bound.\n",
        number(asked.gateways),
        number(asked.instances),
        number(asked.functions),
        number(asked.calls_a_second),
        asked.regions,
        asked.zones,
        now.iter().filter(|r| r.may.is_some()).count() + lacks(a, fleets).len(),
        misses(&now, a),
    );
    text += "| assumed | figure | why | half | double |\n| --- | --- | --- | --- | --- |\n";
    for (name, assumption) in &a.assumed {
        let moved = |times: f64| {
            let with = a.with(name, times);
            let then = rows(&with, slopes);
            let most = moved_most(&now, &then);
            format!("{} missed; {}", misses(&then, &with), most.unwrap_or_else(|| "nothing moves".into()))
        };
        let _ = writeln!(
            text,
            "| {} (`{name}`) | {} {} | {} | {} | {} |",
            assumption.what,
            number(assumption.value),
            assumption.unit,
            assumption.why,
            moved(0.5),
            moved(2.0)
        );
    }
    let rare = |zipf: f64| {
        let popularity = Popularity::new(asked.functions, zipf);
        asked.functions - popularity.over(1.0 / 60.0 / asked.calls_a_second) as f64
    };
    let (zipf, calls) = (a.get("zipf"), a.calls_at_gateway());
    let _ = writeln!(
        text,
        "\nPopularity: of Zipf's laws those from an exponent of {:.2} on have most of the functions \
         called less than once a minute. \
         With {zipf} that is {} of {}; the first function has {:.0}% of all calls. With 1.1, which the \
         desk is measured with as well, it is \
         {}; the first has {:.0}%. A gateway then knows {} functions at a time with {zipf}, and {} with \
         1.1 ({}).",
        least_exponent(asked.functions, asked.calls_a_second, 1.0 / 60.0),
        number(rare(zipf)),
        number(asked.functions),
        100.0 * Popularity::new(asked.functions, zipf).part(1.0),
        number(rare(1.1)),
        100.0 * Popularity::new(asked.functions, 1.1).part(1.0),
        number(functions_known(asked.functions, zipf, calls, a.get("keep_s"))),
        number(functions_known(asked.functions, 1.1, calls, a.get("keep_s"))),
        slopes
            .get("functions-known-flat")
            .and_then(|(run, _)| run.sizes.iter().find(|s| s.at == 9_100.0))
            .map_or("not measured".into(), |s| format!(
                "measured at 145 calls a second and 60 s: {}",
                number(s.value)
            )),
    );
    text
}

/// The row whose figure moves most against its bound; where none does, the one without a bound that moves most.
fn moved_most(now: &[Row], then: &[Row]) -> Option<String> {
    let against = |row: &Row| row.value / row.may.unwrap_or(1.0);
    let moved = |(a, b): (&Row, &Row)| {
        let ratio = against(b) / against(a);
        // A bound that is gone altogether counts as farther than any.
        let by = if ratio <= 0.0 { f64::MAX } else { ratio.ln().abs() };
        (by.is_finite() && by > 1e-6).then(|| (a.may.is_some(), by, a.clone(), b.clone()))
    };
    let most = now.iter().zip(then).filter_map(moved);
    let (_, _, a, b) = most.max_by(|a, b| (a.0).cmp(&b.0).then(a.1.total_cmp(&b.1)))?;
    if (a.value - b.value).abs() > a.value * 1e-6 {
        return Some(format!("{}: {} to {} {}", a.what, number(a.value), number(b.value), a.unit));
    }
    let may = |row: &Row| row.may.map_or(String::new(), number);
    Some(format!("{}: may be {} {} where it might be {}", a.what, may(&b), a.unit, may(&a)))
}

fn roles(rows: &[Row]) -> String {
    let titles = [
        (Role::Gateway, "Gateway", "Granted for control: 1.2% of a core, 256 MB, 22 kB/s."),
        (
            Role::Worker,
            "Worker's side of control",
            "What one worker sees of all gateways. The laboratory's small fleets (runs `worker-...`) are not carried on to the size: what they show levels off.",
        ),
        (
            Role::Control,
            "The 7 control machines",
            "They hold the log of changes of configuration; each gateway follows three of them. Nothing is \
             granted for one but their number.",
        ),
        (Role::List, "List of workers", "What whoever tells the list sends."),
        (Role::Store, "Store", "Nothing was granted or bounded."),
    ];
    let mut text = String::new();
    for (role, title, what) in titles {
        let _ = writeln!(text, "## {title}\n\n{what}\n");
        text += "| | what | at the size | may be | | fails at | mechanism | figure is | runs |\n";
        text += "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
        for row in rows.iter().filter(|r| r.role == role) {
            let verdict = match (&row.source, row.may) {
                (Source::NotRun(_), _) => "not run",
                (_, None) => "",
                _ if row.misses() && row.unsure() => "**MISSES**, by other forms it would hold",
                _ if row.misses() => "**MISSES**",
                _ if row.unsure() => "holds, by other forms it **MISSES**",
                _ => "holds",
            };
            let runs = row
                .runs
                .iter()
                .map(|run| format!("[{run}](capacity/{run}.json)"))
                .collect::<Vec<_>>()
                .join(", ");
            let _ = writeln!(
                text,
                "| {} | {} | {} {} | {} | {verdict} | {} | {} | {} | {runs} |",
                row.kind.word(),
                row.what,
                number(row.value),
                row.unit,
                row.may.map_or("not stated".into(), number),
                if row.may.is_some() && verdict != "not run" {
                    part(row.fails_at, row.below)
                } else {
                    String::new()
                },
                row.mechanism,
                figure_is(row),
            );
        }
        text.push('\n');
    }
    text.pop();
    text
}

fn cold_start(a: &Assumed, rows: &[Row]) -> String {
    let own = |what: &str| rows.iter().find(|r| r.what.starts_with("cold start") && r.what.ends_with(what));
    let (Some(p50), Some(p99)) = (own("p50"), own("p99")) else { return String::new() };
    format!(
        "## The cold start\n\nAsked: {} s for 99 in 100. Less {} s for the load and 150 ms to the \
         farthest region and back, the gateway's own part may be \
         {} ms. It is {} ms (p50) and {} ms (p99), from the arrival of a call whose function stands \
         nowhere that the gateway knows of to its \
         first shot, which begins the load. What makes it up: a worker of which nothing was heard for 1 \
         s is probed first, and with so many \
         workers to a gateway most are such; the call waits for that answer, at most for \
         0.03 of its due time, and is looked at again \
         5 ms later at the latest. Workers 1, 30, 80 and 150 ms away, a quarter each: the ring knows no \
         regions.\n",
        a.asked.cold_start_s,
        a.get("load_s"),
        p99.may.map_or(String::new(), number),
        number(p50.value),
        number(p99.value),
    )
}

fn fails(rows: &[Row], lacking: &[Lack]) -> String {
    let mut text = String::from(
        "## What fails, by the size at which it does\n\nParts of the size asked for, all axes of a \
         figure scaled together: where the form passes the \
         bound. The first is what comes next.\n\n| | fails at | what | why |\n| --- | --- | --- | --- |\n",
    );
    for (n, lack) in failing(rows, lacking).iter().enumerate() {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} |",
            n + 1,
            part(Some(lack.fails_at), lack.below),
            lack.what,
            lack.why
        );
    }
    text += "\nWhat holds, and up to which part of the size:\n\n| up to | what | figure is |\n| --- | \
     --- | --- |\n";
    let mut holds: Vec<&Row> =
        rows.iter().filter(|r| r.may.is_some() && r.value.is_finite() && !r.misses()).collect();
    holds.sort_by(|a, b| a.fails_at.unwrap_or(f64::INFINITY).total_cmp(&b.fails_at.unwrap_or(f64::INFINITY)));
    for row in holds {
        let _ = writeln!(text, "| {} | {} | {} |", part(row.fails_at, row.below), row.what, figure_is(row));
    }
    let not_run: Vec<&Row> = rows.iter().filter(|r| matches!(r.source, Source::NotRun(_))).collect();
    if !not_run.is_empty() {
        text += "\nNot known, as it was not run:\n\n";
        not_run.iter().for_each(|row| _ = writeln!(text, "- {} ({})", row.what, figure_is(row)));
    }
    text
}

fn measured(slopes: &Slopes) -> String {
    let mut text = String::from(
        "## The slopes\n\nEach by its run: sizes with the median (of two the larger) and, in brackets, least and most of \
         the repeats; the form with its constant, its \
         slope and the residual as a part of the figure.\n\n| run | figure | axis: figures | form; \
         residual | what was the same | how, date, cores | command |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (run, fit) in slopes.iter() {
        let _ = writeln!(text, "{}", line(run, fit));
    }
    text
}

fn line(run: &Run, fit: &Fit) -> String {
    let size = |s: &run::Size| {
        let and = s.and.map_or(String::new(), |and| format!(" and {}", number(and)));
        let spread = if s.repeats > 1 {
            format!(
                " ({} to \
             {})",
                number(s.low),
                number(s.high)
            )
        } else {
            String::new()
        };
        format!("{}{and}: {}{spread}", number(s.at), number(s.value))
    };
    let sizes = run.sizes.iter().map(size).collect::<Vec<_>>().join("; ");
    let axis = run.second_axis.as_ref().map_or(run.axis.clone(), |second| {
        format!(
            "{} n and {second} \
         m",
            run.axis
        )
    });
    let fixed = run
        .fixed
        .iter()
        .map(|(key, value)| format!("{key} {}", number(*value)))
        .collect::<Vec<_>>()
        .join(", ");
    format!(
        "| [{}](capacity/{}.json) | {}, {} | {axis}: {sizes} | {fit} | {fixed} | {}; {}; {} cores | `{}` |",
        run.name, run.name, run.figure, run.unit, run.method, run.date, run.cores, run.command
    )
}
