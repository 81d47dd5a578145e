//! Stories at the desk, in simulated time: no sockets, no clocks. The last one plays thousands of random histories.

#[path = "dispatcher/figures.rs"]
mod figures;
#[path = "dispatcher/orders.rs"]
mod orders;

use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::host::Outcome;
use milletpath_protocol::registry::{Entry, Standing};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use test_case::test_case;

const EFFECTS: [&str; 3] =
    ["effect = \"pure\"", "effect = \"receipted\"\nmemory = 1", "effect = \"effectful\""];

fn house(effect: &str, more: &str) -> GatewayConfig {
    let text = format!(
        "seed = 5\nprofile \"p\" {{\ndue = 1\ncut_off = 3\n{effect}\n}}\nfunctions {{ lanes = 2 }}\nlimits {{ shots = 3 }}\n\
         workers {{\nregistry = \"127.0.0.1:1\"\nconnect = 0.25\norder_wait = 2\n{more}\n}}\n"
    );
    milletpath_config::read(&text).unwrap_or_else(|m| panic!("{m:#?}"))
}

fn entry(number: u16, state: Standing, started: Option<f64>) -> Entry {
    let (kind, zone, cell) = (String::new(), "z".into(), String::new());
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9000 + number));
    Entry { name: format!("w{number}"), address, started, size: 1.0, kind, zone, cell, state }
}

fn ready(workers: u16) -> Vec<Entry> {
    (0..workers).map(|n| entry(n, Standing::Ready, None)).collect()
}

fn desk(effect: &str, more: &str, workers: u16) -> Dispatcher<u32> {
    let mut desk = Dispatcher::new(&house(effect, more), 1000.0);
    desk.list(0.0, true, &ready(workers));
    acts(&mut desk);
    desk
}

fn acts(desk: &mut Dispatcher<u32>) -> Vec<Action> {
    std::iter::from_fn(|| desk.act()).collect()
}

fn arrive(desk: &mut Dispatcher<u32>, now: f64, patience: f64) -> RequestId {
    let come =
        IncomingRequest { function: "f", profile: 0, client: 9, patience, repeat: false, instance: None };
    desk.arrive(now, come, 0).expect("there is room")
}

fn shots(acts: &[Action]) -> Vec<(RequestId, usize, usize)> {
    let shot = |act: &Action| match act {
        Action::Shoot { tag, shot, worker } => Some((*tag, *shot, *worker)),
        _ => None,
    };
    acts.iter().filter_map(shot).collect()
}

/// Lets the desk's timers fire up to a time; what it did, and when.
fn pass(desk: &mut Dispatcher<u32>, until: f64) -> Vec<(f64, Action)> {
    let mut did = Vec::new();
    while let Some(at) = desk.next().filter(|at| *at <= until) {
        desk.turn(at + 0.0005);
        did.extend(acts(desk).into_iter().map(|act| (at, act)));
    }
    did
}

const PROBELESS: &str = "probes = false\norders = false";

/// Word of a drain comes while a shot waits for its connection: it is kept back, proven unsent, and goes elsewhere.
#[test_case(Standing::Draining; "draining")]
#[test_case(Standing::Gone; "gone")]
fn a_drain_told_while_a_shot_is_about_to_be_written(state: Standing) {
    let mut desk = desk(EFFECTS[2], PROBELESS, 2);
    let tag = arrive(&mut desk, 1.0, 2.0);
    let (_, shot, worker) = shots(&acts(&mut desk))[0];
    desk.list(1.01, false, &[entry(worker as u16, state, None)]);
    assert!(!desk.begin(1.02, tag, shot));
    let next = shots(&acts(&mut desk));
    assert_eq!((next.len(), next[0].2), (1, 1 - worker));
    assert!(desk.begin(1.03, tag, next[0].1));
    assert_eq!(desk.tally().kept_back, 1);
}

/// A worker's socket takes no byte of a shot that was let go: it waits as if its connection did, is proven unsent where
/// that lasts, and is asked about anew where it goes after all. It counted as one that may have run.
#[test_case(Standing::Ready, true; "it goes after all")]
#[test_case(Standing::Draining, false; "word of a drain comes first")]
fn a_shot_of_which_no_byte_was_taken(state: Standing, goes: bool) {
    let mut desk = desk(EFFECTS[2], PROBELESS, 2);
    let tag = arrive(&mut desk, 1.0, 2.0);
    let (_, shot, worker) = shots(&acts(&mut desk))[0];
    assert!(desk.begin(1.01, tag, shot));
    desk.put_back(1.02, tag, shot);
    desk.list(1.03, false, &[entry(worker as u16, state, None)]);
    assert_eq!(desk.begin(1.04, tag, shot), goes);
    if goes {
        desk.put_back(1.05, tag, shot);
        let did: Vec<_> = pass(&mut desk, 1.31).into_iter().map(|(_, act)| act).collect();
        assert!(did.contains(&Action::Drop { tag, shot }));
        assert_eq!(shots(&did)[0].2, 1 - worker);
    } else {
        assert_eq!(shots(&acts(&mut desk))[0].2, 1 - worker);
    }
}

/// The receipt of a first shot is known for a second from when it went; a repeat decided within that, whose connection
/// is made after it, is not begun. It was asked about at its decision alone.
#[test_case(1.9, true; "within")]
#[test_case(2.1, false; "after")]
fn a_repeat_is_begun_while_its_receipt_is_known(made: f64, begun: bool) {
    let mut desk = desk(EFFECTS[1], PROBELESS, 2);
    let tag = arrive(&mut desk, 1.0, 2.9);
    let (_, shot, _) = shots(&acts(&mut desk))[0];
    assert!(desk.begin(1.0, tag, shot));
    desk.end(1.5, tag, shot, AttemptResult::plain(Outcome::Cut));
    let (_, repeat, _) = shots(&acts(&mut desk))[0];
    assert_eq!(desk.begin(made, tag, repeat), begun);
    // What may have run in a group that is not all is not bounced.
    assert_eq!(
        acts(&mut desk).iter().any(|act| matches!(act, Action::Terminate { .. } | Action::Bounce { .. })),
        !begun
    );
}

/// A worker that has a shot out comes back under its name in another zone. Its receipt stays known where it was: a repeat
/// to the zone of the new one was taken for one among those who know it.
#[test]
fn a_receipt_stays_with_the_zone_of_its_shot() {
    let zoned = EFFECTS[1].replace("memory = 1", "memory = 2\ngroup = \"zone\"");
    let mut desk = Dispatcher::new(&house(&zoned, PROBELESS), 1000.0);
    let at = |number: u16, zone: &str, started| Entry {
        zone: zone.into(),
        ..entry(number, Standing::Ready, started)
    };
    desk.list(0.0, true, &[at(0, "a", None), at(1, "b", None)]);
    acts(&mut desk);
    let tag = arrive(&mut desk, 10.0, 2.0);
    let (_, shot, worker) = shots(&acts(&mut desk))[0];
    let other = ["b", "a"][worker];
    assert!(desk.begin(10.0, tag, shot));
    desk.list(10.1, false, &[at(worker as u16, other, None)]);
    desk.end(10.2, tag, shot, AttemptResult::plain(Outcome::Cut));
    assert_eq!(shots(&acts(&mut desk)), []);
}

/// A worker is replaced by another, with a name never seen, all day long: the tables stay as small as the fleet, and
/// nothing that was believed of the one before holds for who has its index.
#[test]
fn a_list_that_turns_over_all_day() {
    let mut desk = desk(EFFECTS[0], PROBELESS, 1);
    for n in 1..300_u16 {
        let now = f64::from(n) * 5.0;
        desk.list(now, false, &[entry(n - 1, Standing::Gone, None), entry(n, Standing::Ready, None)]);
        let tag = arrive(&mut desk, now, 2.0);
        let sent = shots(&acts(&mut desk));
        let &[(_, shot, worker)] = &sent[..] else { panic!("one shot at {now}: {sent:?}") };
        assert!(worker < 8, "index {worker} at {now}");
        assert_eq!(desk.address(worker).0, entry(n, Standing::Ready, None).address);
        assert!(
            desk.begin(now, tag, shot)
                && desk.end(now + 0.1, tag, shot, AttemptResult::plain(Outcome::Handled))
        );
        acts(&mut desk);
    }
}

/// A connection that is not made in time proves that nothing ran, whatever the profile.
#[test]
fn no_connection_in_time_goes_elsewhere() {
    let mut desk = desk(EFFECTS[2], PROBELESS, 2);
    let tag = arrive(&mut desk, 1.0, 2.0);
    let (_, shot, worker) = shots(&acts(&mut desk))[0];
    let did: Vec<_> = pass(&mut desk, 1.3).into_iter().map(|(_, act)| act).collect();
    assert!(did.contains(&Action::Drop { tag, shot }));
    assert_eq!(shots(&did)[0].2, 1 - worker);
    // What the first connection brings after all is nobody's.
    assert!(!desk.begin(1.4, tag, shot));
}

/// The clock jumps, as after a standstill: what is overdue is answered at once, and an answer that was waiting in
/// the socket comes too late.
#[test]
fn a_standstill_past_the_cut_off() {
    let mut desk = desk(EFFECTS[0], PROBELESS, 1);
    let tag = arrive(&mut desk, 1.0, 1.0);
    acts(&mut desk);
    assert!(desk.begin(1.0, tag, 0));
    assert!(!desk.end(5.0, tag, 0, AttemptResult::plain(Outcome::Handled)));
    let bounced = acts(&mut desk).iter().any(|a| matches!(a, Action::Bounce { .. }));
    assert!(bounced && desk.open() == 0);
}

/// The same name at another address is another process: connections to the old one are not its own.
#[test]
fn a_worker_back_under_its_name_at_another_address() {
    let mut desk = desk(EFFECTS[0], PROBELESS, 1);
    let before = desk.address(0);
    let moved =
        Entry { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9999)), ..entry(0, Standing::Ready, None) };
    desk.list(2.0, false, &[moved]);
    let after = desk.address(0);
    assert!(after.0.port() == 9999 && after.1 > before.1);
    // The same line again changes nothing.
    let same =
        Entry { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9999)), ..entry(0, Standing::Ready, None) };
    desk.list(3.0, false, &[same]);
    assert_eq!(desk.address(0), after);
}

/// A list that shows nobody: no shot goes out, and what comes is bounced while a retry can still be in time.
#[test]
fn a_list_that_empties() {
    let mut desk = desk(EFFECTS[0], PROBELESS, 3);
    desk.list(1.0, true, &[]);
    let tag = arrive(&mut desk, 1.5, 3.0);
    let did = pass(&mut desk, 4.6);
    let ended =
        did.iter().find(|(_, a)| matches!(a, Action::Bounce { tag: t, .. } if *t == tag)).expect("an answer");
    assert!(ended.0 < 1.5 + 1.0 && did.iter().all(|(_, a)| !matches!(a, Action::Shoot { .. })));
    desk.list(5.0, true, &ready(3));
    arrive(&mut desk, 5.0, 3.0);
    assert_eq!(shots(&acts(&mut desk)).len(), 1);
}

/// An order that is never answered counts as overdue after its wait, and its late answer is nobody's.
#[test]
fn an_order_without_an_answer() {
    let mut desk = desk(EFFECTS[0], "probes = false\nmisses = true", 1);
    let tag = arrive(&mut desk, 1.0, 1.0);
    acts(&mut desk);
    desk.begin(1.0, tag, 0);
    desk.end(1.01, tag, 0, AttemptResult::plain(Outcome::Missed));
    let order = acts(&mut desk).into_iter().find_map(|a| match a {
        Action::Hold { order, .. } => Some(order),
        _ => None,
    });
    let order = order.expect("an order");
    pass(&mut desk, 3.2);
    assert!(!desk.begin_order(3.3, order));
    desk.order_ended(3.3, order, Outcome::Handled, 1);
}

/// A million one-off functions leave as many as were wanted within their time, not a million.
#[test]
fn one_off_functions_are_forgotten() {
    let mut desk = desk(EFFECTS[0], &format!("{PROBELESS}\nkeep = 5"), 8);
    let (mut most, each) = (0, 0.005);
    for n in 0..60_000 {
        let now = 1.0 + f64::from(n) * each;
        desk.turn(now);
        acts(&mut desk);
        let function = format!("once-{n}");
        let come = IncomingRequest {
            function: &function,
            profile: 0,
            client: 9,
            patience: 1.0,
            repeat: false,
            instance: None,
        };
        let tag = desk.arrive(now, come, 0).unwrap();
        for (tag, shot, _) in shots(&acts(&mut desk)) {
            desk.begin(now, tag, shot);
            desk.end(now + 0.001, tag, shot, AttemptResult::plain(Outcome::Handled));
        }
        acts(&mut desk);
        assert!(desk.what(tag).is_none());
        most = most.max(desk.functions());
    }
    // 200 a second, known for the 15 s in which demand fades, and a round of the sweep more.
    assert!(most < 15_000, "{most}");
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(f64),
    Begin(usize),
    PutBack(usize),
    AttemptResult(usize, Outcome),
    Leave(usize),
    List(u16, Standing),
    Pass(f64),
    Jump(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    use Outcome::*;
    let outcome =
        proptest::sample::select(vec![Handled, Handled, Handled, Failed, Full, Unreached, Cut, Missed]);
    let state =
        proptest::sample::select(vec![Standing::Ready, Standing::Ready, Standing::Draining, Standing::Gone]);
    let step = prop_oneof![
        4 => (0.0..3.5f64).prop_map(Step::Arrive),
        4 => (0..64usize).prop_map(Step::Begin),
        4 => (0..64usize, outcome).prop_map(|(n, o)| Step::AttemptResult(n, o)),
        1 => (0..64usize).prop_map(Step::Leave),
        1 => (0..9usize).prop_map(Step::PutBack),
        1 => (0..4u16, state).prop_map(|(w, s)| Step::List(w, s)),
        4 => (0.0..0.2f64).prop_map(Step::Pass),
        1 => (0.0..4.0f64).prop_map(Step::Jump),
    ];
    proptest::collection::vec(step, 1..150)
}

/// What a shell would know, and the rules checked on it.
#[derive(Default)]
struct DispatcherState {
    open: BTreeMap<u64, (RequestId, f64)>,
    ended: BTreeSet<u64>,
    /// Shots out: whether begun.
    out: BTreeMap<(u64, usize), (RequestId, usize, bool)>,
    may_have_run: BTreeSet<u64>,
    state: BTreeMap<usize, Standing>,
}

impl DispatcherState {
    fn end(&mut self, tag: RequestId, bounced: bool, effectful: bool) {
        assert!(self.open.remove(&tag.serial).is_some(), "a second answer for {tag:?}");
        self.ended.insert(tag.serial);
        assert!(
            !(bounced && effectful && self.may_have_run.contains(&tag.serial)),
            "a bounce of what may have run"
        );
    }

    fn take(&mut self, desk: &mut Dispatcher<u32>, effectful: bool) {
        while let Some(act) = desk.act() {
            match act {
                Action::Shoot { tag, shot, worker } => {
                    assert!(self.open.contains_key(&tag.serial), "a shot for what is over");
                    // An index may have passed to another worker; its address tells which.
                    let number = usize::from(desk.address(worker).0.port() - 9000);
                    assert_ne!(self.state.get(&number), Some(&Standing::Gone));
                    assert!(!(effectful && self.may_have_run.contains(&tag.serial)), "a second shot");
                    self.out.insert((tag.serial, shot), (tag, shot, false));
                }
                Action::Drop { tag, shot } => {
                    self.out.remove(&(tag.serial, shot));
                }
                Action::Bounce { tag, .. } => self.end(tag, true, effectful),
                Action::Terminate { tag, .. } => self.end(tag, false, effectful),
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Whatever happens, in whatever order: one final answer for each call in the client's time, nothing after it,
    /// no effect twice, nothing to a worker that drains; and at the end the desk is empty.
    #[test]
    fn whatever_happens_the_rules_hold(steps in steps(), effect in 0..3usize) {
        let effectful = effect == 2;
        let mut desk = desk(EFFECTS[effect], PROBELESS, 4);
        let (mut books, mut now) = (DispatcherState::default(), 1.0);
        let nth = |books: &DispatcherState, n: usize| books.out.values().nth(n % books.out.len().max(1)).copied();
        for step in steps {
            match step {
                Step::Arrive(patience) => {
                    let tag = arrive(&mut desk, now, patience);
                    books.open.insert(tag.serial, (tag, now + patience));
                }
                Step::Begin(n) => if let Some((tag, shot, false)) = nth(&books, n) {
                    if desk.begin(now, tag, shot) {
                        books.may_have_run.insert(tag.serial);
                        books.out.insert((tag.serial, shot), (tag, shot, true));
                    } else {
                        books.out.remove(&(tag.serial, shot));
                    }
                }
                Step::PutBack(n) => if let Some((tag, shot, true)) = nth(&books, n) {
                    desk.put_back(now, tag, shot);
                    books.may_have_run.remove(&tag.serial);
                    books.out.insert((tag.serial, shot), (tag, shot, false));
                }
                Step::AttemptResult(n, outcome) => if let Some((tag, shot, begun)) = nth(&books, n) {
                    // Before it was written only one end is possible.
                    let outcome = if begun { outcome } else { Outcome::Unreached };
                    if outcome.never_ran() {
                        books.may_have_run.remove(&tag.serial);
                    }
                    books.out.remove(&(tag.serial, shot));
                    if desk.end(now, tag, shot, AttemptResult::plain(outcome)) {
                        prop_assert!(now < books.open[&tag.serial].1);
                        books.end(tag, false, effectful);
                    }
                }
                Step::Leave(n) => if let Some((tag, _)) = books.open.values().nth(n).copied() {
                    desk.left(now, tag);
                    books.open.remove(&tag.serial);
                    books.ended.insert(tag.serial);
                }
                Step::List(worker, state) => {
                    books.state.insert(worker.into(), state);
                    desk.list(now, false, &[entry(worker, state, None)]);
                }
                Step::Pass(seconds) => {
                    let end = now + seconds;
                    while let Some(at) = desk.next().filter(|at| *at <= end) {
                        now = at.max(now) + 0.0001;
                        desk.turn(now);
                        books.take(&mut desk, effectful);
                        // In the client's time, while the clock runs.
                        for (tag, until) in books.open.values() {
                            prop_assert!(now <= *until + 0.002, "{tag:?} is overdue at {now}");
                        }
                    }
                    now = now.max(end);
                }
                Step::Jump(seconds) => {
                    now += seconds;
                    desk.turn(now);
                }
            }
            books.take(&mut desk, effectful);
        }
        // What still runs ends or times out; then nothing is left.
        for _ in 0..2000 {
            let Some(at) = desk.next() else { break };
            now = at.max(now) + 0.0001;
            desk.turn(now);
            books.take(&mut desk, effectful);
            if now > 40.0 && desk.open() == 0 { break; }
        }
        prop_assert!(books.open.is_empty(), "{:?} never ended", books.open);
        prop_assert_eq!(desk.open(), 0);
    }
}
