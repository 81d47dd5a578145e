//! Three gateways, and every order in which notes come, come twice or never, units are used, processes are killed and begin
//! anew, time runs out here or there or passes for all, to a stated depth, from many places along ways of chance.

mod fleet;

use fleet::SimulatedFleet;
use milletpath_shared_budgets::{BudgetKind, InjectedFaults};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use test_case::test_case;

const SIZE: usize = 3;

/// Notes under way; those that would be more are lost.
const MAX_IN_TRANSIT: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A note under way comes, and may come again.
    Deliver(usize, bool),
    Lose(usize),
    Kill(usize),
    Start(usize),
    /// Time goes on until something is due at this one; the others may be late for theirs.
    Tick(usize),
    /// Everybody stands still for a while.
    Pause,
    /// Time goes on until just after a loan of this one has ended for it, and it looks.
    LeaseEnd(usize),
    /// This one uses all that it may.
    Use(usize),
    /// This one's clients come, or go.
    Demand(usize),
}

fn events(fleet: &SimulatedFleet) -> Vec<Event> {
    let messages = (0..fleet.messages.len())
        .flat_map(|m| [Event::Deliver(m, false), Event::Deliver(m, true), Event::Lose(m)]);
    let processes = (0..SIZE).flat_map(|n| match &fleet.gateways[n] {
        Some(_) => vec![Event::Kill(n), Event::Tick(n), Event::Use(n), Event::Demand(n), Event::LeaseEnd(n)],
        None => vec![Event::Start(n)],
    });
    messages.chain(processes).chain([Event::Pause]).collect()
}

fn apply(fleet: &mut SimulatedFleet, event: Event) {
    match event {
        Event::Deliver(message, duplicate) => {
            let sent = fleet.messages[message].clone();
            if !duplicate {
                fleet.messages.remove(message);
            }
            fleet.deliver(sent);
        }
        Event::Lose(message) => {
            fleet.messages.remove(message);
        }
        Event::Kill(n) => fleet.kill(n),
        Event::Start(n) => fleet.start(n),
        Event::Tick(n) => {
            fleet.now = fleet.now.max(fleet.next_tick(n));
            fleet.tick(n);
        }
        Event::Pause => fleet.now += 0.45,
        Event::LeaseEnd(n) => {
            let end = fleet.gateways[n].as_ref().and_then(|gateway| gateway.next_grant_end());
            fleet.now = fleet.now.max(end.map_or(fleet.now, |at| at + 1e-6));
            fleet.tick(n);
        }
        Event::Use(n) => while fleet.try_use_one(n) {},
        Event::Demand(n) => {
            if let Some(gateway) = fleet.gateways[n].as_mut() {
                gateway.demand = if gateway.demand > 0.0 { 0.0 } else { 50.0 };
            }
        }
    }
    fleet.messages.truncate(MAX_IN_TRANSIT);
}

fn fingerprint(fleet: &SimulatedFleet) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{:?}{:?}", fleet.gateways, fleet.messages).hash(&mut hasher);
    fleet.now.to_bits().hash(&mut hasher);
    hasher.finish()
}

fn check(fleet: &SimulatedFleet) -> Result<(), String> {
    let excess = fleet.excess();
    if excess > 1e-6 { Err(format!("at {:.3} s {excess} too much", fleet.now)) } else { Ok(()) }
}

fn search(fleet: &SimulatedFleet, depth: usize, visited: &mut HashSet<u64>) -> Result<usize, String> {
    let mut states = 0;
    for event in events(fleet) {
        let mut next = fleet.clone();
        apply(&mut next, event);
        if !visited.insert(fingerprint(&next)) {
            continue;
        }
        states += 1;
        check(&next).map_err(|fault| format!("{event:?}: {fault}"))?;
        if depth > 1 {
            states += search(&next, depth - 1, visited).map_err(|fault| format!("{event:?}, {fault}"))?;
        }
    }
    Ok(states)
}

/// All goes on for a while, with links that are up or down; units are used as soon as they may be.
fn advance(fleet: &mut SimulatedFleet, up: &[[bool; SIZE]; SIZE], seconds: f64) -> Result<(), String> {
    let until = fleet.now + seconds;
    loop {
        for n in 0..SIZE {
            if fleet.gateways[n].as_ref().is_some_and(|gateway| gateway.demand > 0.0) {
                while fleet.try_use_one(n) {}
            }
        }
        check(fleet)?;
        if !fleet.messages.is_empty() {
            let sent = fleet.messages.remove(0);
            if fleet.gateway_of(sent.0).is_some_and(|from| up[from][sent.1]) {
                fleet.deliver(sent);
            }
            continue;
        }
        let earliest =
            (0..SIZE).min_by(|a, b| fleet.next_tick(*a).total_cmp(&fleet.next_tick(*b))).expect("three");
        if fleet.next_tick(earliest) > until {
            fleet.now = until;
            return Ok(());
        }
        fleet.now = fleet.now.max(fleet.next_tick(earliest));
        fleet.tick(earliest);
    }
}

fn run_random(fleet: &mut SimulatedFleet, rng: &mut ChaCha8Rng) -> Result<(), String> {
    for _ in 0..6 {
        let n = rng.random_range(0..SIZE);
        match fleet.gateways[n] {
            Some(_) if rng.random_bool(0.25) => fleet.kill(n),
            None if rng.random_bool(0.7) => fleet.start(n),
            _ => apply(fleet, Event::Demand(n)),
        }
        let mut up = [[true; SIZE]; SIZE];
        if rng.random_bool(0.4) {
            up.iter_mut().flatten().for_each(|up| *up = rng.random_bool(0.6));
        }
        advance(fleet, &up, rng.random_range(0.1..3.0))?;
    }
    Ok(())
}

/// States over all seeds; the first fault that is met.
fn explore(
    seeds: std::ops::Range<u64>,
    depth: usize,
    kind: BudgetKind,
    faults: InjectedFaults,
) -> Result<usize, String> {
    let mut states = 0;
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(SIZE, kind, 4.0, faults);
        for _ in 0..4 {
            run_random(&mut fleet, &mut rng).map_err(|fault| format!("seed {seed}: {fault}"))?;
            for _ in 0..10 {
                let events = events(&fleet);
                apply(&mut fleet, events[rng.random_range(0..events.len())]);
                check(&fleet).map_err(|fault| format!("seed {seed}: {fault}"))?;
            }
            let in_context = |fault| format!("seed {seed} at {:.3} s: {fault}", fleet.now);
            states += search(&fleet, depth, &mut HashSet::new()).map_err(in_context)?;
        }
    }
    Ok(states)
}

const RATE: BudgetKind = BudgetKind::Rate;
const WINDOW: BudgetKind = BudgetKind::Window(4.0);
const IN_FLIGHT: BudgetKind = BudgetKind::InFlight(1.0);
const NO_FAULTS: InjectedFaults = InjectedFaults {
    grants_not_subtracted: false,
    grant_ends_with_lease: false,
    starts_with_whole_quota: false,
    releases_units_in_use: false,
};

#[test_case(RATE; "a rate")]
#[test_case(WINDOW; "units within a window")]
#[test_case(IN_FLIGHT; "units in flight")]
fn no_order_of_events_exceeds_the_budget(kind: BudgetKind) {
    let states = explore(0..24, 2, kind, NO_FAULTS).unwrap_or_else(|fault| panic!("{fault}"));
    assert!(states > 5_000, "{states}");
}

#[test_case(RATE; "a rate")]
#[test_case(WINDOW; "units within a window")]
#[test_case(IN_FLIGHT; "units in flight")]
#[ignore = "takes minutes; the depth is asked for by hand"]
fn no_order_of_events_exceeds_the_budget_at_greater_depth(kind: BudgetKind) {
    let depth = std::env::var("DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(3);
    println!("{} states", explore(0..24, depth, kind, NO_FAULTS).unwrap_or_else(|fault| panic!("{fault}")));
}

/// The same search finds what is left out.
#[test_case(RATE, InjectedFaults { grants_not_subtracted: true, ..NO_FAULTS }; "a granted rate that is not subtracted")]
#[test_case(WINDOW, InjectedFaults { grants_not_subtracted: true, ..NO_FAULTS }; "granted units that are not subtracted")]
#[test_case(WINDOW, InjectedFaults { grant_ends_with_lease: true, ..NO_FAULTS }; "units of a window that return while in use")]
#[test_case(IN_FLIGHT, InjectedFaults { grant_ends_with_lease: true, ..NO_FAULTS }; "units in flight that return while in use")]
#[test_case(WINDOW, InjectedFaults { releases_units_in_use: true, ..NO_FAULTS }; "units released while in use")]
#[test_case(RATE, InjectedFaults { starts_with_whole_quota: true, ..NO_FAULTS }; "a process that starts with its whole rate")]
#[test_case(IN_FLIGHT, InjectedFaults { starts_with_whole_quota: true, ..NO_FAULTS }; "a process that starts with all its units")]
fn each_injected_fault_is_detected(kind: BudgetKind, faults: InjectedFaults) {
    let found = explore(0..200, 2, kind, faults);
    assert!(found.as_ref().is_err_and(|fault| fault.contains("too much")), "{found:?}");
}

/// A loan of the fast clock's to the slow one's, and then silence: looked at each millisecond, the rate comes home only
/// once the borrower's decisions use it no more, whenever the borrower last looked.
#[test_case(NO_FAULTS, false; "without a fault")]
#[test_case(InjectedFaults { grant_ends_with_lease: true, ..NO_FAULTS }, true; "a lease that ends for both at the same time")]
fn a_lease_ends_for_its_borrower_before_its_lender(faults: InjectedFaults, expect_excess: bool) {
    let mut max_excess = f64::NEG_INFINITY;
    for phase in 0..30 {
        let mut fleet = SimulatedFleet::new(SIZE, RATE, 4.0, faults);
        fleet.now = 3.0;
        fleet.gateways[0].iter_mut().for_each(|gateway| gateway.demand = 50.0);
        for _ in 0..100 + 50 * phase {
            fleet.now += 0.01;
            (0..SIZE).for_each(|n| fleet.tick(n));
            while !fleet.messages.is_empty() {
                let sent = fleet.messages.remove(0);
                fleet.deliver(sent);
            }
        }
        assert!(fleet.level(0) > 11.0 && fleet.level(2) < 0.5, "{} {}", fleet.level(0), fleet.level(2));
        let end = fleet.gateways[2].as_ref().and_then(|n| n.next_grant_end()).expect("it has lent");
        for _ in 0..3000 {
            fleet.now += 0.001;
            // The borrower stands still shortly before, with the last that its decisions were told.
            let is_stopped = fleet.now > end - 0.28;
            (0..SIZE).filter(|n| *n != 0 || !is_stopped).for_each(|n| fleet.tick(n));
            fleet.messages.clear();
            max_excess = max_excess.max(fleet.excess());
        }
        assert_eq!(fleet.level(2), 4.0);
    }
    assert_eq!(max_excess > 1e-6, expect_excess, "{max_excess}");
}
