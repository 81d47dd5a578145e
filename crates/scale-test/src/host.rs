//! A host: a process that holds many hollow gateways. It does what it is ordered on its standard input, keeps
//! the time of their desks and passes on what they say of each other. `milletpath scale` starts some of them.

use crate::book::Says;
use crate::charter;
use crate::plan::{self, Core, Plan};
use crate::wire::{Change, Event, Following, Low, Order, Places, Reading, Told};
use milletpath_config::{GatewayConfig, WorkerSource};
use milletpath_gateway::hollow_gateway::{AppliedCallback, HollowGateway, MembershipCallback, clock};
use milletpath_membership::MembershipEvent;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Seconds between two looks at the desks, as the keeper of `serve` has it.
const PULSE: f64 = 0.05;

/// Events that wait to be passed on; more than two rounds of all gateways of a full run saying something of
/// all.
const EVENTS: usize = 4_000_000;

/// Shared by the thread that takes orders, the one that keeps time, and the gateways' own.
#[derive(Default)]
struct Place {
    gateways: Mutex<BTreeMap<usize, HollowGateway>>,
    events: Arc<Mutex<Vec<Event>>>,
    changes: Arc<Mutex<Vec<Change>>>,
    /// What is told, line by line. Who holds it passes on events before anything that comes after them.
    out: Mutex<()>,
    stop: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn say(told: &Told) -> io::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, told)?;
    out.write_all(b"\n")?;
    out.flush()
}

/// Runs until the input ends; an error says why it could not.
pub fn run(input: impl BufRead) -> io::Result<()> {
    let place = Arc::new(Place::default());
    let keeper = place.clone();
    let keeper = std::thread::Builder::new().name("keeper".into()).spawn(move || keep(&keeper))?;
    let done = take_orders(&place, input);
    place.stop.store(true, Ordering::Release);
    let mut gateways = lock(&place.gateways);
    gateways.values().for_each(|g| g.stop(true));
    gateways.clear();
    drop(gateways);
    let _ = keeper.join();
    done
}

/// Keeps the desks' time, and passes on what gateways say.
fn keep(place: &Place) {
    while !place.stop.load(Ordering::Acquire) {
        std::thread::sleep(Duration::from_secs_f64(PULSE));
        lock(&place.gateways).values().for_each(HollowGateway::tick);
        let out = lock(&place.out);
        // Nobody listens any more: the input ends as well.
        let _ = pass_on(place);
        drop(out);
    }
}

/// Passes on the events so far; the lock on what is told is held by the caller.
fn pass_on(place: &Place) -> io::Result<()> {
    let events = std::mem::take(&mut *lock(&place.events));
    if !events.is_empty() {
        say(&Told::Events(events))?;
    }
    let changes = std::mem::take(&mut *lock(&place.changes));
    if changes.is_empty() { Ok(()) } else { say(&Told::Changed(changes)) }
}

/// What the hollow workers are at present: of each its generation, none where it is gone.
struct Workers(Vec<Option<u32>>);

impl Workers {
    fn entries(&self, plan: &Plan) -> Vec<EndpointEntry> {
        let there = self.0.iter().enumerate().filter_map(|(n, generation)| Some((n, (*generation)?)));
        there.map(|(n, generation)| charter::worker(plan, n, generation, EndpointStatus::Ready)).collect()
    }
}

struct Setting {
    plan: Plan,
    places: Places,
    workers: Workers,
}

fn take_orders(place: &Place, input: impl BufRead) -> io::Result<()> {
    let mut setting: Option<Setting> = None;
    for line in input.lines() {
        let order = serde_json::from_str(&line?).map_err(io::Error::other)?;
        let setting = match (order, &mut setting) {
            (Order::Plan { text, gateways, seed, places }, setting) => {
                let mistakes = |m: Vec<_>| io::Error::other(format!("the plan can't be read here: {m:?}"));
                let mut plan = plan::read(&text, Some(gateways)).map_err(mistakes)?;
                plan.seed = seed;
                let hollow = if plan.has(Core::List) { plan.workers.hollow } else { 1 };
                *setting = Some(Setting { plan, places, workers: Workers(vec![Some(0); hollow]) });
                continue;
            }
            (order, Some(setting)) => (order, setting),
            (_, None) => return Err(io::Error::other("an order came before the plan")),
        };
        carry_out(place, setting.1, setting.0)?;
    }
    Ok(())
}

fn carry_out(place: &Place, setting: &mut Setting, order: Order) -> io::Result<()> {
    match order {
        Order::Plan { .. } => Ok(()),
        Order::Begin { gateway } => {
            // Nothing that it says is passed on before it is told that it began.
            let out = lock(&place.out);
            let at = clock();
            let told = match begin(place, setting, gateway) {
                Ok(hollow) => {
                    let (link, feed) = (hollow.link, hollow.feed);
                    lock(&place.gateways).insert(gateway, hollow);
                    Told::Began { gateway, link, feed, at }
                }
                Err(e) => Told::Failed { gateway, why: e.to_string() },
            };
            let said = say(&told);
            drop(out);
            said
        }
        Order::End { gateways, killed } => {
            let mut ended: Vec<(usize, HollowGateway)> = Vec::new();
            {
                let mut there = lock(&place.gateways);
                ended.extend(gateways.iter().filter_map(|g| Some((*g, there.remove(g)?))));
            }
            // All of them at once; then each is waited for.
            let at = clock();
            ended.iter().for_each(|(_, hollow)| hollow.stop(killed));
            for (gateway, hollow) in ended {
                drop(hollow);
                let out = lock(&place.out);
                pass_on(place)?;
                say(&Told::Ended { gateway, at })?;
                drop(out);
            }
            Ok(())
        }
        Order::List { workers, generation, there } => {
            let plan = &setting.plan;
            let state = if there { EndpointStatus::Ready } else { EndpointStatus::Gone };
            let known: Vec<usize> = workers.into_iter().filter(|w| *w < setting.workers.0.len()).collect();
            for worker in &known {
                setting.workers.0[*worker] = there.then_some(generation);
            }
            let entries: Vec<EndpointEntry> =
                known.iter().map(|w| charter::worker(plan, *w, generation, state)).collect();
            let took = |hollow: &HollowGateway| hollow.update_endpoints(false, &entries);
            let slowest = lock(&place.gateways).values().map(took).fold(0.0, f64::max);
            let out = lock(&place.out);
            let said = say(&Told::Listed { workers: entries.len(), slowest });
            drop(out);
            said
        }
        Order::Read { number } => {
            let gateways = lock(&place.gateways);
            let readings = gateways.iter().map(|(gateway, hollow)| reading(*gateway, hollow)).collect();
            let broke: Vec<usize> =
                gateways.iter().filter(|(_, h)| !h.is_running()).map(|(g, _)| *g).collect();
            drop(gateways);
            let out = lock(&place.out);
            for gateway in broke {
                say(&Told::Failed { gateway, why: "its control thread ended by itself".into() })?;
            }
            let said = say(&Told::Readings { number, readings });
            drop(out);
            said
        }
    }
}

fn begin(place: &Place, setting: &Setting, gateway: usize) -> io::Result<HollowGateway> {
    let Setting { plan, places, workers } = setting;
    let house = house(plan, gateway, places)?;
    let (events, me) = (place.events.clone(), gateway as u32);
    let on_event: MembershipCallback = Box::new(move |event| {
        let (name, says) = match &event {
            MembershipEvent::Joined { name, .. } | MembershipEvent::Returned { name } => (name, Says::Here),
            MembershipEvent::Suspected { name } => (name, Says::Doubted),
            MembershipEvent::Died { name } | MembershipEvent::Left { name } => (name, Says::Gone),
            _ => return,
        };
        let mut events = lock(&events);
        if let Some(about) = charter::number(name).filter(|_| events.len() < EVENTS) {
            events.push((me, about as u32, says, clock()));
        }
    });
    let (changes, me) = (place.changes.clone(), gateway as u32);
    let on_applied: AppliedCallback = Box::new(move |number| {
        let mut changes = lock(&changes);
        if changes.len() < EVENTS {
            changes.push((me, number, clock()));
        }
    });
    HollowGateway::start(house, &workers.entries(plan), on_event, on_applied).map_err(io::Error::other)
}

/// What a hollow gateway goes by: the charter of a real one, read by the same reader, with its workers handed
/// in.
fn house(plan: &Plan, gateway: usize, places: &Places) -> io::Result<GatewayConfig> {
    let none = SocketAddr::from(([127, 0, 0, 1], 9));
    let text = charter::text(plan, gateway, places, &[none]);
    let mistakes = |m: Vec<_>| io::Error::other(format!("a charter can't be read: {m:?}"));
    let mut house = milletpath_config::read(&text).map_err(mistakes)?;
    house.source = WorkerSource::List(Vec::new());
    Ok(house)
}

fn reading(gateway: usize, hollow: &HollowGateway) -> Reading {
    let reading = hollow.reading();
    let low = |low: milletpath_gateway::hollow_gateway::SecondMinimum| Low {
        second: low.second,
        part: low.fraction,
        budgets: low.budgets.into_iter().map(|(name, level)| (name, (level.quota, level.allowed))).collect(),
    };
    let lows = reading.minimums.into_iter().map(low).collect();
    let (at, control, desk, likely) =
        (reading.at, reading.control_cpu, reading.dispatcher, reading.likely_gateways);
    let changes = reading.changes.map(|c| {
        let (at, cpu, number, digest) = (c.at, c.cpu_seconds, c.number, c.digest);
        Following { at, cpu, number, digest }
    });
    Reading { gateway, at, control, desk, likely, lows, changes }
}
