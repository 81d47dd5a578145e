//! Bounded exhaustive search over a fleet of three gateways. From many states reached by random runs, it explores to a
//! given depth every order of message deliveries, duplicates and losses, unit use, kills and restarts of processes, and
//! the passage of time with one gateway or none acting.

mod fleet;

use fleet::SimulatedFleet;
use milletpath_shared_budgets::{BudgetKind, InjectedFaults};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use test_case::test_case;

const SIZE: usize = 3;

/// Maximum number of messages in transit; further ones are lost.
const MAX_IN_TRANSIT: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A message in transit is delivered; with `duplicate` it also remains in transit.
    Deliver { message: usize, duplicate: bool },
    /// A message in transit is lost.
    Lose { message: usize },
    /// The process of a gateway is killed.
    Kill(usize),
    /// A process is started for a gateway that has none.
    Start(usize),
    /// Time advances until this gateway is due, and it ticks; others may be overdue.
    Tick(usize),
    /// Time advances without any gateway acting.
    Pause,
    /// Time advances to just after the next end of leases granted by this gateway, and it ticks.
    LeaseEnd(usize),
    /// This gateway uses as many units as it may.
    Use(usize),
    /// The clients of this gateway start or stop requesting units.
    ToggleDemand(usize),
}

/// All events that are possible in the current state.
fn events(fleet: &SimulatedFleet) -> Vec<Event> {
    let messages = (0..fleet.messages.len()).flat_map(|message| {
        let deliver = |duplicate| Event::Deliver { message, duplicate };
        [deliver(false), deliver(true), Event::Lose { message }]
    });
    let processes = (0..SIZE).flat_map(|n| match &fleet.gateways[n] {
        Some(_) => {
            vec![Event::Kill(n), Event::Tick(n), Event::Use(n), Event::ToggleDemand(n), Event::LeaseEnd(n)]
        }
        None => vec![Event::Start(n)],
    });
    messages.chain(processes).chain([Event::Pause]).collect()
}

fn apply(fleet: &mut SimulatedFleet, event: Event) {
    match event {
        Event::Deliver { message, duplicate } => {
            let sent = fleet.messages[message].clone();
            if !duplicate {
                fleet.messages.remove(message);
            }
            fleet.deliver(sent);
        }
        Event::Lose { message } => {
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
        Event::ToggleDemand(n) => {
            if let Some(gateway) = fleet.gateways[n].as_mut() {
                gateway.demand = if gateway.demand > 0.0 { 0.0 } else { 50.0 };
            }
        }
    }
    fleet.messages.truncate(MAX_IN_TRANSIT);
}

/// A hash of the state, used to avoid searching a state twice.
fn fingerprint(fleet: &SimulatedFleet) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{:?}{:?}", fleet.gateways, fleet.messages).hash(&mut hasher);
    fleet.now.to_bits().hash(&mut hasher);
    hasher.finish()
}

/// Returns an error if the gateways together use more than the budget.
fn check_budget(fleet: &SimulatedFleet) -> Result<(), String> {
    let excess = fleet.excess();
    if excess > 1e-6 { Err(format!("at {:.3} s exceeded by {excess}", fleet.now)) } else { Ok(()) }
}

/// Searches all sequences of up to `depth` events from a state. Returns the number of states visited, or the first
/// violation and the events that led to it.
fn search(fleet: &SimulatedFleet, depth: usize, visited: &mut HashSet<u64>) -> Result<usize, String> {
    let mut states = 0;
    for event in events(fleet) {
        let mut next = fleet.clone();
        apply(&mut next, event);
        if !visited.insert(fingerprint(&next)) {
            continue;
        }
        states += 1;
        check_budget(&next).map_err(|violation| format!("{event:?}: {violation}"))?;
        if depth > 1 {
            states +=
                search(&next, depth - 1, visited).map_err(|violation| format!("{event:?}, {violation}"))?;
        }
    }
    Ok(states)
}

/// Runs the fleet for the given number of seconds. `is_link_up[sender][recipient]` tells whether messages on that
/// link are delivered. Units are used as soon as possible.
fn advance(
    fleet: &mut SimulatedFleet,
    is_link_up: &[[bool; SIZE]; SIZE],
    seconds: f64,
) -> Result<(), String> {
    let until = fleet.now + seconds;
    loop {
        for n in 0..SIZE {
            if fleet.gateways[n].as_ref().is_some_and(|gateway| gateway.demand > 0.0) {
                while fleet.try_use_one(n) {}
            }
        }
        check_budget(fleet)?;
        if !fleet.messages.is_empty() {
            let sent = fleet.messages.remove(0);
            if fleet.gateway_of(sent.sender).is_some_and(|from| is_link_up[from][sent.recipient]) {
                fleet.deliver(sent);
            }
            continue;
        }
        let earliest = (0..SIZE)
            .min_by(|a, b| fleet.next_tick(*a).total_cmp(&fleet.next_tick(*b)))
            .expect("the fleet has gateways");
        if fleet.next_tick(earliest) > until {
            fleet.now = until;
            return Ok(());
        }
        fleet.now = fleet.now.max(fleet.next_tick(earliest));
        fleet.tick(earliest);
    }
}

/// Runs the fleet for a random time with random kills, restarts, demand and link failures.
fn run_random(fleet: &mut SimulatedFleet, rng: &mut ChaCha8Rng) -> Result<(), String> {
    for _ in 0..6 {
        let n = rng.random_range(0..SIZE);
        match fleet.gateways[n] {
            Some(_) if rng.random_bool(0.25) => fleet.kill(n),
            None if rng.random_bool(0.7) => fleet.start(n),
            _ => apply(fleet, Event::ToggleDemand(n)),
        }
        let mut is_link_up = [[true; SIZE]; SIZE];
        if rng.random_bool(0.4) {
            is_link_up.iter_mut().flatten().for_each(|is_link_up| *is_link_up = rng.random_bool(0.6));
        }
        advance(fleet, &is_link_up, rng.random_range(0.1..3.0))?;
    }
    Ok(())
}

/// Searches from states reached by random runs with these seeds. Returns the number of states visited, or the first
/// violation.
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
            run_random(&mut fleet, &mut rng).map_err(|violation| format!("seed {seed}: {violation}"))?;
            for _ in 0..10 {
                let events = events(&fleet);
                apply(&mut fleet, events[rng.random_range(0..events.len())]);
                check_budget(&fleet).map_err(|violation| format!("seed {seed}: {violation}"))?;
            }
            let in_context = |violation| format!("seed {seed} at {:.3} s: {violation}", fleet.now);
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
    starts_with_full_quota: false,
    releases_units_in_use: false,
};

#[test_case(RATE; "a rate")]
#[test_case(WINDOW; "units within a window")]
#[test_case(IN_FLIGHT; "units in flight")]
fn no_order_of_events_exceeds_the_budget(kind: BudgetKind) {
    let states = explore(0..24, 2, kind, NO_FAULTS).unwrap_or_else(|violation| panic!("{violation}"));
    assert!(states > 5_000, "{states}");
}

#[test_case(RATE; "a rate")]
#[test_case(WINDOW; "units within a window")]
#[test_case(IN_FLIGHT; "units in flight")]
#[ignore = "takes minutes; run by hand, with the depth in the variable DEPTH"]
fn no_order_of_events_exceeds_the_budget_at_greater_depth(kind: BudgetKind) {
    let depth = std::env::var("DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(3);
    println!(
        "{} states",
        explore(0..24, depth, kind, NO_FAULTS).unwrap_or_else(|violation| panic!("{violation}"))
    );
}

/// Verifies that the search detects each omitted step of the protocol.
#[test_case(RATE, InjectedFaults { grants_not_subtracted: true, ..NO_FAULTS }; "a granted rate that is not subtracted")]
#[test_case(WINDOW, InjectedFaults { grants_not_subtracted: true, ..NO_FAULTS }; "granted units that are not subtracted")]
#[test_case(WINDOW, InjectedFaults { grant_ends_with_lease: true, ..NO_FAULTS }; "units of a window that return while in use")]
#[test_case(IN_FLIGHT, InjectedFaults { grant_ends_with_lease: true, ..NO_FAULTS }; "units in flight that return while in use")]
#[test_case(WINDOW, InjectedFaults { releases_units_in_use: true, ..NO_FAULTS }; "units released while in use")]
#[test_case(RATE, InjectedFaults { starts_with_full_quota: true, ..NO_FAULTS }; "a process that starts with its whole rate")]
#[test_case(IN_FLIGHT, InjectedFaults { starts_with_full_quota: true, ..NO_FAULTS }; "a process that starts with all its units")]
fn each_injected_fault_is_detected(kind: BudgetKind, faults: InjectedFaults) {
    let found = explore(0..200, 2, kind, faults);
    assert!(found.as_ref().is_err_and(|violation| violation.contains("exceeded by")), "{found:?}");
}

/// Guards against a lender reusing a leased rate while the borrower still uses it. A gateway with a fast clock leases
/// to one with a slow clock, after which no more messages arrive and the borrower is paused. The sum is checked every
/// millisecond, for different times of the borrower's last tick.
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
        assert!(
            fleet.allowed(0) > 11.0 && fleet.allowed(2) < 0.5,
            "{} {}",
            fleet.allowed(0),
            fleet.allowed(2)
        );
        let end = fleet.gateways[2]
            .as_ref()
            .and_then(|gateway| gateway.next_grant_end())
            .expect("it has granted a lease");
        for _ in 0..3000 {
            fleet.now += 0.001;
            // The borrower is paused shortly before the end of the lease and keeps its last adjustment.
            let is_paused = fleet.now > end - 0.28;
            (0..SIZE).filter(|n| *n != 0 || !is_paused).for_each(|n| fleet.tick(n));
            fleet.messages.clear();
            max_excess = max_excess.max(fleet.excess());
        }
        assert_eq!(fleet.allowed(2), 4.0);
    }
    assert_eq!(max_excess > 1e-6, expect_excess, "{max_excess}");
}
