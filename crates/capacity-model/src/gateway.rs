//! What a gateway spends at the size asked for, beside its calls: state, memory, processor time, messages, and how late
//! it learns and decides.

use crate::assumed::Assumed;
use crate::model::{Ask, Kind, Place, Role, Slopes, between};
use crate::popularity::Popularity;
use std::rc::Rc;

/// As in `gateway::roll`: workers that may be known at a time.
const WORKERS_KNOWN: f64 = 65_536.0;

/// Mean seconds of a call at its worker.
const WORK: f64 = 0.06;

/// Functions that a gateway knows at a time: those called within the time that an instance is kept, and
/// until the round that forgets them comes by, two looks for each call.
pub fn functions_known(functions: f64, zipf: f64, calls: f64, keep: f64) -> f64 {
    const LOOKS: f64 = 2.0;
    let popularity = Popularity::new(functions, zipf);
    let mut known = popularity.called(calls * keep);
    for _ in 0..8 {
        // Half a round on average.
        let late = known / (LOOKS * calls) / 2.0;
        known = popularity.called(calls * (keep + late));
    }
    known
}

/// Milliseconds of CPU a second, as a part of a core in hundredths.
const MS: f64 = 0.1;

/// Looks a second at what is proven: the measured fleet asks so often, a gateway's link after each letter
/// and each 50 ms.
const LOOKS_MEASURED: f64 = 10.0;
const LOOKS_IDLE: f64 = 20.0;

/// Bytes of a letter that goes round in a large fleet: what fits beside the words of thirty others.
const LETTER: f64 = 700.0;

/// Round trip to the farthest region in which workers stand, in milliseconds.
const FARTHEST_MS: f64 = 150.0;

/// As in `shared_budgets::usage_counts`: buckets of functions, gateways up to which reports go out each so many seconds; and lanes
/// below which a function is not reported.
const COUNTS_BUCKETS: f64 = 16.0;
const COUNTS_MANY: f64 = 48.0;
const COUNTS_PERIOD: f64 = 0.8;
const REPORTED: f64 = 0.02;

/// As in `shared_budgets::message` and `shared_budgets::outbox`: bytes around a note and of one entry, entries at most, and kilobytes a
/// second of all notes of a gateway.
const NOTE_AROUND: f64 = 150.0;
const NOTE_ENTRY: f64 = 20.0;
const NOTE_ENTRIES: f64 = 48.0;
const NOTES_KB: f64 = 10.0;

/// A gateway's rows.
pub fn gateway(a: &Assumed, slopes: &Slopes) -> Vec<Ask> {
    use Kind::{Cpu, Memory, Messages, State, Time};
    const ROLE: Role = Role::Gateway;
    let (gateways, workers, calls) = (a.asked.gateways, a.workers(), a.calls_at_gateway());
    let asked = &a.asked;
    let percent = "% of a core";
    let mut asks = Vec::new();

    let (functions, zipf, keep) = (asked.functions, a.get("zipf"), a.get("keep_s"));
    let known = functions_known(functions, zipf, calls, keep);
    asks.push(Ask::by_calculation(
        ROLE,
        State,
        "functions known at a time",
        "forgotten once idle (`Router::sweep`)",
        "functions",
        move |_| known,
    ));
    asks.push(Ask::by_calculation(
        ROLE,
        State,
        "gateways known",
        "full view (`peers::member`)",
        "members",
        move |size| gateways * size,
    ));
    asks.push(
        Ask::by_calculation(
            ROLE,
            State,
            "workers known",
            "`gateway::roll`, all workers of all regions",
            "workers",
            move |size| workers * size,
        )
        .may(WORKERS_KNOWN),
    );

    let view = Ask::of(ROLE, Memory, "view of all gateways", ("peers-memory", gateways), 1.0, "MB");
    let list =
        Ask::of(ROLE, Memory, "list, ring and figures of the fleet", ("list-memory", workers), 1.0, "MB");
    let functions_held = Ask {
        places: vec![Place { run: "memory-known", at: known, and: workers }],
        ..Ask::of(ROLE, Memory, "functions known, each with its walk", ("memory-known", known), 1.0, "MB")
    };
    let memory = Ask::sum(
        "memory for control, in all",
        "the three \
     above",
        &[&view, &list, &functions_held],
    );
    asks.extend([view, list, functions_held]);
    asks.push(memory.may(asked.memory_mb));
    asks.push(
        Ask::of(ROLE, Memory, "desk as measured, popularity 1.6", ("memory-workers", workers), 1.0, "MB")
            .may(asked.memory_mb),
    );
    asks.push(
        Ask::of(
            ROLE,
            Memory,
            "desk as measured, popularity 1.1",
            ("memory-workers-flat", workers),
            1.0,
            "MB",
        )
        .may(asked.memory_mb),
    );

    let peers = Ask::of(ROLE, Cpu, "letters and proof, settled", ("peers-cpu", gateways), MS, percent);
    let opened = Ask {
        places: vec![
            Place { run: "peers-letters", at: gateways, and: 0.0 },
            Place { run: "letter-open", at: LETTER, and: 0.0 },
        ],
        // Letters are of one size in any fleet.
        figure: {
            let open = slopes.get("letter-open").map_or(0.0, |(_, fit)| fit.at(LETTER, 0.0));
            Rc::new(move |_, figures| figures[0] * open / 1e3 * MS)
        },
        ..Ask::of(ROLE, Cpu, "letters that come are opened", ("letter-open", LETTER), 1.0, percent)
    };
    let looks = Ask {
        places: vec![
            Place { run: "peers-proof", at: gateways, and: 0.0 },
            Place { run: "peers-letters", at: gateways, and: 0.0 },
        ],
        figure: Rc::new(|_, figures| figures[0] * (figures[1] + LOOKS_IDLE - LOOKS_MEASURED).max(0.0) * MS),
        ..Ask::of(
            ROLE,
            Cpu,
            "proof looked at after each letter and each 50 ms, beyond what was measured",
            ("peers-proof", gateways),
            1.0,
            percent,
        )
    };
    let counts = Ask::of(ROLE, Cpu, "reports of usage", ("counts-cpu", gateways), MS, percent);
    let budgets = Ask::of(
        ROLE,
        Cpu,
        "budgets of shots at workers (only where `in_flight` is stated)",
        ("budgets-cpu", workers),
        MS,
        percent,
    );
    let changes = a.list_changes();
    let lists = Ask {
        figure: Rc::new(move |size, figures| figures[0] * changes * size * MS),
        ..Ask::of(ROLE, Cpu, "changes of the list, an ordinary day", ("list-join", workers), 1.0, percent)
    };
    let followed = Ask::of(
        ROLE,
        Cpu,
        "changes of configuration followed, one a second",
        ("changes-cpu", gateways),
        MS,
        percent,
    );
    let cpu = Ask::sum(
        "CPU for control, in all",
        "those above without budgets of workers, which few state",
        &[&peers, &opened, &looks, &counts, &lists, &followed],
    );
    let grant = asked.cpu_percent;
    asks.extend([peers, opened, looks, counts, budgets].map(|ask| ask.may(grant)));
    asks.extend([lists, followed].map(|ask| ask.may(grant)));
    asks.push(cpu.may(grant));

    let decisions = a.get("decisions_percent");
    asks.push(
        Ask::of(
            ROLE,
            Cpu,
            "decisions on its calls, popularity 1.6",
            ("call-workers", workers),
            calls * MS / 1e3,
            percent,
        )
        .may(decisions),
    );
    asks.push(
        Ask::of(
            ROLE,
            Cpu,
            "decisions on its calls, popularity 1.1",
            ("call-workers-flat", workers),
            calls * MS / 1e3,
            percent,
        )
        .may(decisions),
    );
    let storm = a.get("storm_percent");
    asks.push(
        Ask::of(
            ROLE,
            Cpu,
            "letters and proof, first 10 s after all began",
            ("peers-cpu-starting", gateways),
            MS,
            percent,
        )
        .may(storm),
    );
    let zone = a.list_changes_of_a_zone();
    asks.push(
        Ask {
            figure: Rc::new(move |size, figures| figures[0] * zone * size * MS),
            ..Ask::of(
                ROLE,
                Cpu,
                "changes of the list while a zone's workers come back within a minute",
                ("list-join", workers),
                1.0,
                percent,
            )
        }
        .may(storm),
    );

    // Sent and heard.
    let kb = "kB/s";
    let words =
        Ask::of(ROLE, Messages, "letters, settled, sent and heard", ("peers-bytes", gateways), 2.0, kb);
    let reports =
        Ask::of(ROLE, Messages, "reports of usage, sent and heard", ("counts-bytes", gateways), 2.0, kb);
    let entries = Ask {
        figure: Rc::new(move |size, figures| figures[0] * changes * size / 1e3),
        ..Ask::of(ROLE, Messages, "changes of the list, an ordinary day", ("list-entry", workers), 1.0, kb)
    };
    let followed = Ask::of(
        ROLE,
        Messages,
        "changes of configuration followed, one a second, sent and heard",
        ("changes-bytes", gateways),
        1.0,
        kb,
    );
    let parts = [&words, &reports, &entries, &followed];
    let bytes = Ask::sum("messages for control, in all", "the four above", &parts);
    asks.extend([words, reports, entries, followed]);
    asks.push(bytes.may(asked.kb_a_second));
    asks.push(
        Ask::of(
            ROLE,
            Messages,
            "letters, first 10 s after all began, sent and heard",
            ("peers-bytes-starting", gateways),
            2.0,
            kb,
        )
        .may(asked.kb_a_second),
    );
    asks.push(
        Ask {
            figure: Rc::new(move |size, figures| figures[0] * zone * size / 1e3),
            ..Ask::of(
                ROLE,
                Messages,
                "changes of the list while a zone's workers come back",
                ("list-entry", workers),
                1.0,
                kb,
            )
        }
        .may(asked.kb_a_second),
    );

    asks.push(
        Ask::of(
            ROLE,
            Time,
            "until a change is in force at the last gateway",
            ("changes-known", gateways),
            1.0,
            "s",
        )
        .may(asked.change_in_force_s),
    );

    let stall = a.get("stall_ms");
    asks.push(
        Ask::of(
            ROLE,
            Time,
            "one worker joins: nothing else is decided for",
            ("list-join", workers),
            1.0,
            "ms",
        )
        .may(stall),
    );
    asks.push(
        Ask::of(
            ROLE,
            Time,
            "one worker joins, its budgets: nothing else is decided for (only where `in_flight` is stated)",
            ("budgets-join", workers),
            1.0,
            "ms",
        )
        .may(stall),
    );
    asks.push(
        Ask::of(
            ROLE,
            Time,
            "a whole list is read on a core that carries calls",
            ("list-read", workers),
            1.0,
            "ms",
        )
        .may(stall),
    );
    // The link can't keep up where a look takes longer than the time between two.
    let letters = slopes.get("peers-letters").map_or(0.0, |(_, fit)| fit.at(gateways, 0.0));
    let at_worst = ("proof-starting", gateways);
    asks.push(
        Ask::of(
            ROLE,
            Time,
            "a look at what is proven, no two words alike: as at a start, at worst",
            at_worst,
            1.0,
            "ms",
        )
        .may(1e3 / (letters + LOOKS_IDLE)),
    );
    asks.push(
        Ask::of(
            ROLE,
            Time,
            "age of a word, p99, where the lease is the proof",
            ("peers-age", gateways),
            1.0,
            "s",
        )
        .may(a.get("lease_s")),
    );
    asks.push(
        Ask::of(ROLE, Time, "reports of usage come every", ("counts-period", gateways), 1.0, "s")
            .may(a.get("usage_age_s")),
    );
    asks.push(small(a));
    asks.push(heard(a, slopes));
    asks.push(answers(a));
    let rest = (asked.cold_start_s - a.get("load_s")) * 1e3 - FARTHEST_MS;
    asks.push(
        Ask::of(
            ROLE,
            Time,
            "cold start, the gateway's own part, p99",
            ("cold-start-p99", workers),
            1.0,
            "ms",
        )
        .may(rest),
    );
    asks.push(Ask::of(
        ROLE,
        Time,
        "cold start, the gateway's own part, p50",
        ("cold-start-p50", workers),
        1.0,
        "ms",
    ));
    asks
}

/// The lanes that a function must keep busy in the whole fleet to be reported at all, against those at
/// which it needs more than one worker.
fn small(a: &Assumed) -> Ask {
    let gateways = a.asked.gateways;
    Ask::by_calculation(
        Role::Gateway,
        Kind::State,
        "lanes busy in the whole fleet below which a function is not reported",
        "0.02 lanes at a gateway (`shares::counts`)",
        "lanes",
        move |size| REPORTED * gateways * size,
    )
    .may(a.get("lanes"))
}

/// Functions that keep more than one instance busy in the whole fleet, at a part of its size.
fn needing_a_word(a: &Assumed) -> impl Fn(f64) -> f64 + Clone + 'static {
    let (functions, zipf, lanes, calls) =
        (a.asked.functions, a.get("zipf"), a.get("lanes"), a.asked.calls_a_second);
    move |size| Popularity::new(functions * size, zipf).over(lanes / (calls * size * WORK)) as f64
}

/// Of those, how many a gateway hears of.
fn heard(a: &Assumed, slopes: &Slopes) -> Ask {
    let run = slopes.get("counts-functions").map(|(run, _)| run.clone());
    let needed = needing_a_word(a)(1.0);
    let carried = run.as_ref().map_or(f64::NAN, |run| between(run, needed));
    Ask {
        figure: Rc::new(move |_, _| carried),
        ..Ask::of(
            Role::Gateway,
            Kind::State,
            &format!("functions heard of, of {needed} that keep more than one instance busy"),
            ("counts-functions", needed),
            1.0,
            "functions",
        )
    }
}

/// What a gateway that adds up one bucket answers to all reports of it, against the bound on its notes.
fn answers(a: &Assumed) -> Ask {
    let (gateways, needed) = (a.asked.gateways, needing_a_word(a));
    let figure = move |size: f64| {
        let reports = (gateways * size).min(COUNTS_MANY) / COUNTS_PERIOD;
        let entries = (needed(size) / COUNTS_BUCKETS).min(NOTE_ENTRIES);
        reports * (NOTE_AROUND + NOTE_ENTRY * entries) / 1e3
    };
    let mechanism = "reports of usage to one gateway a bucket, within the bound on its notes (`shares::counts`, \
                     `Shares::send`); see counts-functions for what comes of it";
    let what = "answers of a gateway that adds up one bucket";
    Ask::by_calculation(Role::Gateway, Kind::Messages, what, mechanism, "kB/s", figure).may(NOTES_KB)
}
