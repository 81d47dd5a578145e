//! What each role spends at the size asked for: which slope it follows, at which place, and what it may be.
//! A gateway's rows stand in `gateway.rs`, mechanisms that are not there in `lacks.rs`.

use crate::assumed::Assumed;
use crate::gateway::gateway;
use crate::model::{Ask, Kind, Role, Row, Slopes, work_out};
use std::rc::Rc;

/// As in `protocol::registry`: bytes of one list.
const LONGEST_LIST_KB: f64 = 8_388.608;

/// Seconds for which an unused connection to a worker is kept, as usual in a charter.
const IDLE: f64 = 30.0;

/// All rows, in the order of the page.
pub fn rows(a: &Assumed, slopes: &Slopes) -> Vec<Row> {
    let mut asks = gateway(a, slopes);
    asks.extend(worker(a));
    asks.extend(control(a));
    asks.extend(list(a));
    asks.extend(store(a));
    asks.iter().map(|ask| work_out(ask, slopes)).collect()
}

fn worker(a: &Assumed) -> Vec<Ask> {
    use Kind::{Messages, State};
    const ROLE: Role = Role::Worker;
    let (workers, gateways) = (a.workers(), a.asked.gateways);
    let each = a.asked.calls_a_second / workers;
    // Gateways that sent something within the time that a connection is kept.
    let calls = a.asked.calls_a_second / gateways;
    let open = move |size: f64| gateways * size * -(-calls / (workers * size) * IDLE).exp_m1();
    vec![
        Ask::by_calculation(
            ROLE,
            State,
            "connections, calls spread evenly",
            "kept for 30 s (`gateway::pool`)",
            "connections",
            open,
        )
        .may(a.get("connections_at_worker")),
        // Homes of functions that all call: of these every gateway has one.
        Ask::by_calculation(
            ROLE,
            State,
            "connections at a worker that all gateways use",
            "one for each gateway at the least (`gateway::pool`)",
            "connections",
            move |size| gateways * size,
        )
        .may(a.get("connections_at_worker")),
        Ask::of(ROLE, Messages, "probes", ("probes-workers", workers), each, "a second"),
        Ask::of(ROLE, Messages, "orders to load", ("orders-workers", workers), each, "a second"),
    ]
}

/// The log that control machines hold.
const MACHINE: &str = "a replica of the log and its followers (`crates/config-log`)";

fn control(a: &Assumed) -> Vec<Ask> {
    const ROLE: Role = Role::Control;
    let asked = a.asked.clone();
    let bytes = a.get("change_bytes");
    let pushes = move |size: f64| 3.0 * asked.gateways * size / asked.control_machines;
    let followers = a.asked.gateways;
    let machines = a.asked.control_machines;
    vec![
        Ask::by_calculation(
            ROLE,
            Kind::State,
            "gateways that follow one, three machines to a gateway",
            MACHINE,
            "gateways",
            pushes,
        ),
        Ask::by_calculation(
            ROLE,
            Kind::Messages,
            "a change pushed to all of them",
            MACHINE,
            "kB",
            move |size| 3.0 * followers * size / machines * bytes / 1e3,
        ),
        Ask::of(
            ROLE,
            Kind::Messages,
            "sent and heard, a change a second",
            ("control-bytes", followers),
            1.0,
            "kB/s",
        ),
        Ask::of(
            ROLE,
            Kind::Cpu,
            "all of it, a change a second",
            ("control-cpu", followers),
            0.1,
            "% of a core",
        ),
        Ask::of(
            ROLE,
            Kind::Memory,
            "of its process, few functions changed",
            ("control-memory", followers),
            1.0,
            "MB",
        ),
    ]
}

fn list(a: &Assumed) -> Vec<Ask> {
    use Kind::{Cpu, Messages};
    const ROLE: Role = Role::List;
    let (workers, gateways) = (a.workers(), a.asked.gateways);
    let (day, zone) = (a.list_changes(), a.list_changes_of_a_zone());
    let sent = |what: &str, changes: f64| Ask {
        figure: Rc::new(move |size, figures| figures[0] * changes * size * gateways * size / 1e3),
        ..Ask::of(ROLE, Messages, what, ("list-entry", workers), 1.0, "kB/s")
    };
    vec![
        Ask::of(
            ROLE,
            Kind::State,
            "the whole \
         list",
            ("list-whole", workers),
            1.0,
            "kB",
        )
        .may(LONGEST_LIST_KB),
        sent("changes to all gateways, an ordinary day", day),
        sent("changes to all gateways while a zone's workers come back", zone),
        Ask {
            figure: Rc::new(move |size, figures| figures[0] * gateways * size / 1e3),
            ..Ask::of(
                ROLE,
                Messages,
                "the whole list to all gateways, when they all ask anew",
                ("list-whole", workers),
                1.0,
                "MB",
            )
        },
        Ask::of(
            ROLE,
            Cpu,
            "the whole list is read, once at each \
         gateway",
            ("list-read", workers),
            1.0,
            "ms",
        ),
    ]
}

fn store(a: &Assumed) -> Vec<Ask> {
    vec![Ask::of(
        Role::Store,
        Kind::Messages,
        "fetches, as the laboratory's small fleets have them",
        ("store-loads-fleet", a.asked.calls_a_second),
        1.0,
        "a second",
    )]
}
