//! Every decision of a router. A host (see `host.rs`, the interface) calls the router as things happen:
//! `listed`, `list_complete` for the worker list, `arrived`, `answered`, `close` for activations, `held`
//! for orders, `probed` for probes and `woken` for time. The router acts through the `Host` passed in.
//!
//! An activation passes the stages `admit`, `place` and `shoot`; each passes it on, keeps it or ends
//! it. What comes back runs the other way: `shoot` books it on the worker, `place` on the function, `admit`
//! ends it or sends it round again. `may_shoot` and `order` are the only doors for shots and orders to load.

use crate::fading::Fading;
use crate::host::*;
use crate::ration::Ration;
use oorandom::Rand64;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Figures about workers, in parallel arrays under the host's index.
#[derive(Default)]
struct Fleet {
    name: Vec<u64>,
    state: Vec<State>,
    started: Vec<f64>,
    size: Vec<f64>,
    /// In MB; boundless where it is not told.
    memory: Vec<f64>,
    zone: Vec<usize>,
    cell: Vec<usize>,
    out: Vec<usize>,
    /// When it last answered anything.
    heard: Vec<f64>,
    /// When it last turned away a shot that had to load, and one that met an instance.
    full: Vec<[f64; 2]>,
    /// Reported load that is not our own; none until it reports.
    foreign: Vec<Option<f64>>,
    /// How busy its cores were by that; wholly where it does not say.
    cores: Vec<f64>,
    /// Whether that counts activations at work as well as those that wait.
    held: Vec<bool>,
    /// When that came, and when a probe went out that is not answered yet.
    told: Vec<f64>,
    asked: Vec<f64>,
    /// Distrust, 0 to 1.
    doubt: Vec<Fading>,
    /// Own shots out that met an instance.
    busy: Vec<f64>,
    /// Where it is cold: when the present turn began, and the shots that it may still have in it.
    turn: Vec<(f64, f64)>,
}

/// What a router believes of one function on one worker.
#[derive(Default)]
struct Stand {
    worker: usize,
    /// Instances that stand there, until when unless used again.
    copies: f64,
    until: f64,
    /// Until when a load that an order or a shot began may still be under way.
    coming: f64,
    /// Own shots there.
    out: f64,
    /// When it was last found to lack the function.
    missed: f64,
}

/// Resizes each of the arrays, filling what is new.
macro_rules! resize {
    ($f:ident to $n:expr, $($array:ident: $fill:expr),* $(,)?) => { $($f.$array.resize($n, $fill);)* };
}

impl Fleet {
    fn grow(&mut self, n: usize) {
        let (never, none) = (f64::NEG_INFINITY, Fading::default());
        resize!(self to n, name: 0, state: State::Gone, started: never, size: 1.0, memory: f64::INFINITY,
            zone: 0, cell: 0, out: 0, heard: never, full: [never; 2], foreign: None, cores: 1.0,
            held: false, told: never, asked: never, doubt: none, busy: 0.0, turn: (never, 0.0));
    }
}

#[derive(Default)]
struct Function {
    name: u64,
    lanes: f64,
    memory: f64,
    /// Arrivals over a short and a long while.
    arrivals: [Fading; 2],
    since: f64,
    /// Mean time that its shots are out, by so much over the mean of all.
    slow: f64,
    /// Time that answers of instances took, and what the function keeps busy at other routers, in lanes.
    busy: Fading,
    elsewhere: f64,
    /// Workers in the set, and since when the set could be smaller.
    set: usize,
    roomy_since: f64,
    /// Whether a worker ever handled it: until then its failures may be its own.
    sound: bool,
    /// Activations that are not let go of yet.
    open: usize,
    /// Workers in the order in which the walk from the home meets them, for the ring of that edition.
    walk: Vec<usize>,
    edition: u64,
    stands: Vec<Stand>,
}

#[derive(Clone)]
struct Shot {
    worker: usize,
    /// Its zone and cell then: those who know the receipt, whatever the list says of its name later.
    parts: [usize; 2],
    sent: f64,
    out: bool,
    /// Known never to have run.
    never_ran: bool,
    /// Sent to an instance believed to stand there.
    warm: bool,
}

impl Function {
    fn stand(&mut self, worker: usize) -> &mut Stand {
        let at = self.stands.iter().position(|s| s.worker == worker).unwrap_or_else(|| {
            self.stands.push(Stand { worker, missed: f64::NEG_INFINITY, ..Stand::default() });
            self.stands.len() - 1
        });
        &mut self.stands[at]
    }

    /// Instances believed to stand on a worker, whether one is on its way there, and own shots there.
    fn standing(&self, now: f64, worker: usize) -> (f64, bool, f64) {
        let stand = self.stands.iter().find(|s| s.worker == worker);
        stand.map_or((0.0, false, 0.0), |s| {
            (if s.until > now { s.copies } else { 0.0 }, s.coming > now, s.out)
        })
    }
}

struct Activation {
    function: usize,
    profile: usize,
    client: usize,
    taken: f64,
    until: f64,
    /// The final answer is owed.
    open: bool,
    over_share: bool,
    /// When its client group's ceiling let it through, and how long to stay away where it does not.
    passed: f64,
    away: Option<f64>,
    shots: Vec<Shot>,
}

/// What a stage does with an activation: on to a worker, kept here, or ended.
enum Stage {
    Pass(usize),
    Keep,
    End,
}

#[derive(Default)]
pub struct Router {
    chance: Option<Rand64>,
    /// Routers that share the workers, and what this one has of what all share, until when; by `share`.
    routers: f64,
    most: f64,
    part: ([f64; 2], f64),
    profiles: Vec<Profile>,
    quotas: Vec<f64>,
    shots: usize,
    cancels: bool,
    orders: bool,
    misses: bool,
    asks: bool,
    probes: bool,
    /// Beyond a client group's share an activation matters less.
    sheds: bool,
    come_back: Option<f64>,
    keep: f64,
    /// Memory of each kind of worker, in MB.
    memory: Vec<f64>,
    ration: Option<Ration>,
    retries: Option<Ration>,
    /// Shots that may be out at a worker, of this router's part.
    hand: f64,
    order_wait: f64,
    cold_share: f64,
    warm_up: f64,
    tip_multiple: f64,
    tip_window: f64,
    margin: f64,
    fleet: Fleet,
    ring: Vec<(u64, usize)>,
    edition: u64,
    functions: Vec<Option<Function>>,
    /// Where the round that looks for functions to forget has come to.
    swept: usize,
    activations: Vec<Option<Activation>>,
    live: Vec<usize>,
    kept: Vec<usize>,
    /// What each client group may still send within its share, as of when; and the same under its ceiling.
    clients: Vec<(f64, f64)>,
    ceilings: Vec<f64>,
    under: Vec<(f64, f64)>,
    /// What it was allotted beside its parts by the count, until when and from then on; and what it lacked.
    allotted: BTreeMap<Budget, ([f64; 2], f64)>,
    lacked: Vec<Budget>,
    /// When this router was last told what the functions keep busy at others.
    told: f64,
    /// Orders not answered yet.
    loading: f64,
    ready: f64,
    latency: f64,
    /// Mean latency of answers that waited for a load.
    load: f64,
    /// Answers of warm workers, and their size over that time; when counted, what that makes, and the most.
    flow: Fading,
    room: Fading,
    pace: (f64, f64, Fading),
    /// How long this router begins no load after the last that failed, and until when.
    rest: (f64, f64),
    /// The next look at the time that was asked for.
    wake: f64,
    ask_again: f64,
}

/// Half life of the counts behind rates: what turns hot shows within a second or two.
const RATE_HALF: f64 = 3.0;

/// Half lives of the counts behind usage: the long one is for what one of many routers sees too seldom.
const DEMAND_HALVES: [f64; 2] = [RATE_HALF, 15.0];

/// Distrust halves in this time, so that a trial shot every few seconds finds out whether a trouble lasts.
const DOUBT_HALF: f64 = 4.0;

/// Part of the due time that may pass at a worker on average; the rest is for luck and waiting here. The
/// second part shrinks with the number of routers, as more of a worker's queue is what others send unseen.
const TIME: [f64; 2] = [0.36, 0.24];

/// While answers are quick the rate is what clients ask, not what it can do: so much more.
const GROWTH: f64 = 2.0;

/// Shots beyond that, at the least; else one for each unit of a worker's size that is done in that time.
const FLOOR: f64 = 1.0;

/// Seconds for which a worker's report says what it holds: about as long as a queue takes to change.
const FRESH: f64 = 1.0;

/// Part of the due time that probes before a shot may take.
const ASK: f64 = 0.03;

/// A worker's highest rate gives way this slowly, so that no lull or slow spell shuts the door for good.
const PEAK_HALF: f64 = 30.0;

/// Turns of a cold worker's window, each with its part of the budget; a shot begins at most one turn after its decision.
const TURNS: f64 = 4.0;

/// Seconds for which what a ceiling let through may go out: what stood still for longer asks anew.
const LAPSE: f64 = 0.5;

impl Router {
    pub fn new(charter: Charter, now: f64, host: &mut dyn Host) -> Self {
        /// For an activation of no stated profile: the wariest.
        const NONE: Profile = Profile { due: 1.0, effect: Effect::Effectful };
        /// What is at a window's edge, but for a clock's rounding, counts as done but not as taken.
        const HAIR: f64 = 1e-5;
        if charter.asks {
            host.follow();
        }
        Self {
            chance: Some(Rand64::new(u128::from(charter.seed))),
            routers: charter.routers.max(1) as f64,
            most: charter.routers.max(1) as f64,
            part: ([1.0; 2], f64::INFINITY),
            clients: vec![(0.0, now - 1.0); charter.quotas.len()],
            under: vec![(0.0, now); charter.ceilings.len()],
            ceilings: charter.ceilings.iter().map(|c| c / charter.routers.max(1) as f64).collect(),
            // A router's part of what its client groups may use.
            quotas: charter.quotas.iter().map(|q| q / charter.routers.max(1) as f64).collect(),
            profiles: if charter.profiles.is_empty() { vec![NONE] } else { charter.profiles },
            shots: charter.shots.max(1),
            cancels: charter.cancels,
            orders: charter.orders,
            misses: charter.misses,
            asks: charter.asks,
            // What is sent by this router alone needs no probes to be seen.
            probes: charter.probes && charter.routers > 1,
            sheds: charter.over_share < 1.0,
            come_back: charter.come_back,
            keep: charter.keep,
            memory: charter.memory,
            ration: charter.ration.map(|r| Ration::new(r, HAIR)),
            retries: charter.retries.map(|r| Ration::new(r, HAIR)),
            hand: charter.hand / charter.routers.max(1) as f64,
            told: f64::NEG_INFINITY,
            order_wait: charter.order_wait,
            cold_share: charter.cold_share.clamp(0.0, 1.0),
            warm_up: charter.warm_up,
            tip_multiple: charter.tip_multiple,
            tip_window: charter.tip_window,
            // An activation ends so long before its client gives up: no turn of the clock is missed.
            margin: 2.0 * charter.tick.max(0.001),
            latency: 0.3,
            load: 1.0,
            wake: f64::INFINITY,
            ask_again: f64::INFINITY,
            ..Self::default()
        }
    }

    /// Routers that know of each other say how many there likely are, and this one's part of what bounds
    /// harm: of what it has by the charter so much until then, and so much afterwards. Where nobody says
    /// so the charter's count holds.
    pub fn share(&mut self, likely: f64, part: [f64; 2], until: f64) {
        self.routers = likely.max(1.0);
        self.part = (part, until);
    }

    fn part(&self, now: f64) -> f64 {
        let (part, until) = self.part;
        part[usize::from(now >= until)]
    }

    /// Allots more or less of a budget than this router's part by the count, until then and from then on.
    pub fn allot(&mut self, what: Budget, more: [f64; 2], until: f64) {
        self.allotted.insert(what, (more, until));
    }

    /// What this router may use of a budget now, of which it has so much by the charter.
    fn allowed(&self, now: f64, what: Budget, own: f64) -> f64 {
        let more = self.allotted.get(&what).map_or(0.0, |(more, until)| more[usize::from(now >= *until)]);
        (own * self.part(now) + more).max(0.0)
    }

    /// Other routers said what functions keep busy there, in lanes by name; all else is next to nothing.
    pub fn elsewhere(&mut self, now: f64, busy: &BTreeMap<u64, f64>) {
        self.told = now;
        for f in self.functions.iter_mut().flatten() {
            f.elsewhere = busy.get(&f.name).copied().unwrap_or(0.0);
        }
    }

    /// What functions keep busy here: lanes by name.
    pub fn busy(&self, now: f64) -> impl Iterator<Item = (u64, f64)> {
        let busy = move |f: &Function| (f.name, f.busy.rate(now, RATE_HALF, now - f.since));
        self.functions.iter().flatten().map(busy)
    }

    /// How far what others said still holds: it fades into this router's own guess.
    fn faith(&self, now: f64) -> f64 {
        /// Seconds for which a word is as good as new, and in which it then loses half.
        const NEW: f64 = 2.0;
        const HALF: f64 = 2.0;
        (-(now - self.told - NEW).max(0.0) / HALF).exp2()
    }

    fn luck(&mut self) -> f64 {
        self.chance.as_mut().map_or(0.5, Rand64::rand_float)
    }

    /// One line of the list. A line that repeats a known worker changes it.
    pub fn listed(&mut self, line: Listing) {
        let f = &mut self.fleet;
        let w = line.worker;
        if w >= f.name.len() {
            f.grow(w + 1);
        }
        let started = line.started.unwrap_or(f64::NEG_INFINITY);
        // The index of one that is forgotten: nothing of that one holds for this.
        let other = f.name[w] != line.name;
        if other || started > f.started[w] {
            // A new process: empty, cold, and not to be blamed for the old one.
            f.started[w] = started;
            (f.doubt[w], f.foreign[w]) = (Fading::default(), None);
            f.turn[w] = (f64::NEG_INFINITY, 0.0);
            let stands = self.functions.iter_mut().flatten().flat_map(|f| &mut f.stands);
            stands.filter(|s| s.worker == w).for_each(|s| (s.copies, s.coming) = (0.0, 0.0));
        }
        let f = &mut self.fleet;
        f.name[w] = line.name;
        f.state[w] = line.state;
        f.size[w] = if line.size.is_finite() && line.size > 0.0 { line.size } else { 1.0 };
        f.memory[w] = self.memory.get(line.kind).copied().unwrap_or(f64::INFINITY);
        f.zone[w] = line.zone;
        f.cell[w] = line.cell;
    }

    /// A complete list begins: who is not on it is gone.
    pub fn list_renewed(&mut self) {
        self.fleet.state.fill(State::Gone);
    }

    /// The lines of one list have all been given.
    pub fn list_complete(&mut self, now: f64, host: &mut dyn Host) {
        /// Points of a worker on the ring: shares are even, and a lost worker's functions go to several.
        const POINTS: u64 = 32;
        let f = &self.fleet;
        let ready = (0..f.name.len()).filter(|&w| f.state[w] == State::Ready);
        let point = |w: usize, p| (xxh3_64_with_seed(&f.name[w].to_le_bytes(), p), w);
        self.ring = ready.flat_map(|w| (0..POINTS).map(move |p| point(w, p))).collect();
        self.ring.sort_unstable_by_key(|&(at, w)| (at, f.name[w]));
        self.ready = self.ring.len() as f64 / POINTS as f64;
        self.edition += 1;
        self.release(now, host);
    }

    /// The registry did not answer, or dropped the subscription.
    pub fn list_failed(&mut self, now: f64, host: &mut dyn Host) {
        if self.asks {
            self.ask_again = now + 0.5 + self.luck();
            self.wake_by(now, self.ask_again, host);
        }
    }

    pub fn arrived(&mut self, now: f64, id: usize, a: Arrival, host: &mut dyn Host) {
        self.activations.resize_with(self.activations.len().max(id + 1), || None);
        self.functions.resize_with(self.functions.len().max(a.function + 1), || None);
        self.ration.iter_mut().chain(&mut self.retries).for_each(|r| r.take(now));
        let function = self.functions[a.function].get_or_insert_with(|| Function {
            name: a.name,
            memory: a.memory.max(0.0),
            since: now,
            slow: 1.0,
            set: 1,
            roomy_since: now,
            ..Function::default()
        });
        function.open += 1;
        function.lanes = if a.lanes >= 1.0 { a.lanes } else { 1.0 };
        let mut over_share = false;
        // A client's repeat is no new demand: counted, it would stretch sets onto cold workers.
        if !a.repeat {
            for (count, half) in function.arrivals.iter_mut().zip(DEMAND_HALVES) {
                count.add(now, half, 1.0);
            }
            // A client group may use a second of its share at once.
            let own = self.quotas.get(a.client).copied().unwrap_or(0.0);
            let quota = self.allowed(now, Budget::Quota(a.client), own);
            if let Some((left, at)) = self.clients.get_mut(a.client) {
                *left = (*left + (now - *at) * quota).min(quota.max(1.0));
                *at = now;
                over_share = self.sheds && *left < 1.0;
                if *left >= 1.0 {
                    *left -= 1.0;
                }
            }
        }
        self.activations[id] = Some(Activation {
            function: a.function,
            profile: a.profile.min(self.profiles.len().saturating_sub(1)),
            client: a.client,
            taken: now,
            until: now + a.patience,
            open: true,
            over_share,
            passed: f64::NEG_INFINITY,
            away: None,
            shots: Vec::new(),
        });
        self.live.push(id);
        self.sweep(now, host);
        if a.patience <= self.margin {
            return self.give_up(id, host);
        }
        self.wake_by(now, now + (a.patience - self.margin).min(self.margin), host);
        self.run(now, id, false, host);
    }

    /// Forgets functions that are not asked for any more: all that was believed of them has run out, and
    /// demand has faded to that of nothing. Each arrival looks at a few, so that one-off functions can't pile
    /// up.
    fn sweep(&mut self, now: f64, host: &mut dyn Host) {
        /// Above 1, so that the round comes about faster than arrivals can add to it.
        const LOOKS: usize = 2;
        /// Half an arrival in the long count: one-offs go within 15 s, a busy function after minutes.
        const FADED: f64 = 0.5;
        for _ in 0..LOOKS.min(self.functions.len()) {
            self.swept = (self.swept + 1) % self.functions.len();
            let Some(f) = &self.functions[self.swept] else { continue };
            let over = |s: &Stand| s.out == 0.0 && now > s.until && now > s.coming;
            let faded = f.arrivals[1].now(now, DEMAND_HALVES[1]) < FADED;
            if f.open == 0 && faded && f.stands.iter().all(over) {
                self.functions[self.swept] = None;
                host.forget_function(self.swept);
            }
        }
    }

    /// Takes an activation through the chain from its first stage; tells whether it was not kept.
    fn run(&mut self, now: f64, id: usize, stuck: bool, host: &mut dyn Host) -> bool {
        match self.admit(now, id, stuck, host) {
            Stage::Pass(worker) => self.shoot(now, id, worker, host),
            Stage::End => self.give_up(id, host),
            Stage::Keep => self.kept.push(id),
        }
        self.lacked.drain(..).for_each(|what| host.lacks(what));
        self.kept.last() != Some(&id)
    }

    /// Whether what a worker was sent takes too much of the due time at the rate for its size: our own shots,
    /// and what its report tells; by chance near the bound, as others read it too.
    fn swamped(&mut self, now: f64, w: usize, slow: f64, due: f64, left: f64, warm: bool) -> bool {
        /// Part of its client's time that may pass there on average: less would turn all of an impatient
        /// client group, which comes again at once, away from workers that answer in time.
        const LEFT: f64 = 0.7;
        /// With less of its cores in use a worker has no queue to speak of.
        const BUSY: f64 = 0.9;
        let part = TIME[0] + TIME[1] / self.routers.sqrt();
        let (time, f) = ((part * due).min(LEFT * left), &self.fleet);
        let rate = self.pace.2.now(now, PEAK_HALF) * self.routers * f.size[w];
        let work = if f.held[w] { self.latency.min(time) } else { 0.0 };
        let quick = time / (self.latency * slow).max(1e-3);
        let (growth, floor) = (quick.clamp(1.0, GROWTH), (f.size[w] * quick.min(1.0)).max(FLOOR));
        let own = warm && f.busy[w] + 1.0 > (rate * time / self.routers + FLOOR) * growth;
        let told = self.told(now, w).filter(|_| f.cores[w] > BUSY);
        let (out, bound) = (f.out[w] as f64, (rate * (time + work) + floor) * growth);
        own || self.routers > 1.0 && told.is_some_and(|foreign| out + foreign > bound * (0.5 + self.luck()))
    }

    /// First stage: an activation for which no worker has room waits while an answer can still be in time.
    fn admit(&mut self, now: f64, id: usize, stuck: bool, host: &mut dyn Host) -> Stage {
        /// Part of the due time that may pass before the first shot.
        const WAIT: f64 = 0.15;
        /// The same of its client's own time, which may be shorter: what is left must do for a try elsewhere.
        const OWN: f64 = 0.4;
        if !self.may_go_on(now, id) || !self.may_pass(now, id) || !self.may_repeat(now, id) {
            return Stage::End;
        }
        match if stuck { Stage::Keep } else { self.place(now, id, host) } {
            Stage::Keep => {}
            other => return other,
        }
        let Some(a) = &self.activations[id] else { return Stage::End };
        let due = self.profiles[a.profile].due;
        let mut stands = self.functions[a.function].iter().flat_map(|f| &f.stands);
        let loaded = stands.any(|s| s.copies > 0.0 && s.until > now);
        // Bounced while a retry can still be in time; what waits for a load would wait elsewhere as well.
        let wait = if loaded { WAIT * due } else { due - self.latency };
        let wait = wait.min(OWN * (a.until - a.taken));
        if now - a.taken > wait { Stage::End } else { Stage::Keep }
    }

    /// Whether its client group's ceiling lets an activation through; if not, it learns when to come.
    fn may_pass(&mut self, now: f64, id: usize) -> bool {
        /// Seconds of its ceiling that a group may use at once.
        const AT_ONCE: f64 = 0.5;
        let Some(a) = self.activations[id].as_mut() else { return false };
        let (client, passed) = (a.client, a.passed);
        let Some(&own) = self.ceilings.get(client).filter(|c| c.is_finite()) else { return true };
        if now - passed < LAPSE {
            return true;
        }
        let rate = self.allowed(now, Budget::Ceiling(client), own);
        let (left, at) = &mut self.under[client];
        *left = (*left + (now - *at) * rate).min((rate * AT_ONCE).max(1.0));
        *at = now;
        let (left, luck) = (*left, self.luck());
        let may = left >= 1.0;
        // Told when there is room again, not all in step.
        let away = (1.0 - left) / rate.max(1e-3) * (1.0 + luck);
        self.activations[id].iter_mut().for_each(|a| a.away = (!may).then_some(away));
        self.lacked.extend((!may).then_some(Budget::Ceiling(client)));
        may
    }

    /// Whether an activation may have a further shot as far as the budget of those goes.
    fn may_repeat(&mut self, now: f64, id: usize) -> bool {
        let first = self.activations[id].as_ref().is_none_or(|a| a.shots.is_empty());
        let own = self.retries.as_ref().map_or(0.0, |r| r.free);
        let free = self.allowed(now, Budget::Retries, own);
        let may = first || self.retries.as_mut().is_none_or(|r| r.may(now, free));
        self.lacked.extend((!may).then_some(Budget::Retries));
        may
    }

    /// Whether so many shots of ours may be out at a worker, as far as the bound on all that are goes.
    fn may_hold(&self, now: f64, w: usize, out: usize) -> bool {
        self.hand.is_infinite() || out as f64 <= self.allowed(now, Budget::Hand(w), self.hand)
    }

    /// Whether a shot that was decided before may begin, by what it is allotted now, by receipts, and at a cold worker by
    /// how long ago that was: what was decided over a longer time would all count in one window.
    pub fn may_begin(&self, now: f64, id: usize, w: usize) -> bool {
        let a = self.activations.get(id).and_then(Option::as_ref);
        let under = |a: &Activation| self.ceilings.get(a.client).is_some_and(|c| c.is_finite());
        let lapsed = a.is_some_and(|a| under(a) && now - a.passed >= LAPSE);
        let forgotten = a.is_some_and(|a| self.forgotten(now, a));
        let old = |s: &Shot| s.out && s.worker == w && now - s.sent > self.tip_window / TURNS;
        let late = a.is_some_and(|a| a.shots.iter().any(old)) && self.cold(now, w);
        !lapsed && !forgotten && !late && self.may_hold(now, w, self.fleet.out[w])
    }

    /// What of a budget's units is in use here.
    pub fn in_use(&mut self, now: f64, what: Budget) -> f64 {
        match what {
            Budget::Retries => self.retries.as_mut().map_or(0.0, |r| r.used(now)),
            Budget::Hand(w) => self.fleet.out.get(w).map_or(0.0, |out| *out as f64),
            Budget::Orders | Budget::Quota(_) | Budget::Ceiling(_) => 0.0,
        }
    }

    /// Second stage: the least loaded of the function's set. A member without an instance is ordered one and
    /// joins once it stands; where all members are above the common load the walk goes on past the set.
    fn place(&mut self, now: f64, id: usize, host: &mut dyn Host) -> Stage {
        /// Above the common load: homes of several busy functions would drown beside idle workers.
        const SPREAD: f64 = 1.25;
        const SLACK: f64 = 3.0;
        /// Loads in the time of a client that may leave before one is over.
        const LONG: f64 = 2.0;
        /// Deviations of chance, squared, that an instance's lanes have room for beside the mean.
        const LUCK: f64 = 1.0;
        /// Part of the due time that may pass waiting for a lane before one more instance is called for.
        const LANE_WAIT: f64 = 0.05;
        /// Rest of a worker that turned a shot away, apart for loads and for instances that stand.
        const REST: f64 = 0.3;
        let Some(a) = &self.activations[id] else { return Stage::End };
        let (key, profile, over_share, waited) = (a.function, a.profile, a.over_share, now - a.taken);
        let left = a.until - now;
        self.walk(key);
        let usage = self.usage(now, key);
        let Some(function) = self.functions[key].take() else { return Stage::End };
        let due = self.profiles[profile].due * if over_share { 0.5 } else { 1.0 };
        let n = function.walk.len().max(1) as f64;
        // What a worker not heard from lately is taken to hold of others'.
        let heard: Vec<f64> = function.walk.iter().filter_map(|&w| self.told(now, w)).collect();
        let average = heard.iter().sum::<f64>() / heard.len().max(1) as f64;
        self.pace(now);
        let mean = |figure: &dyn Fn(usize) -> f64| function.walk.iter().map(|&w| figure(w)).sum::<f64>() / n;
        let mean_size = mean(&|w| self.fleet.size[w]);
        let fair = (average + mean(&|w| self.fleet.out[w] as f64)) * SPREAD + SLACK;
        let stands = |s: &Stand| s.copies > 0.0 && s.until > now || s.coming > now;
        let live = |s: &&Stand| stands(s) && self.fleet.state[s.worker] == State::Ready;
        let live = function.stands.iter().filter(live).count();
        // Lanes are left free for the chance in what others send: a moment's crowd would begin one more load.
        // Sets that are sized by what all see need none of that.
        let faith = self.faith(now);
        let unseen = LUCK * (1.0 - 1.0 / self.routers) * (1.0 - faith);
        let lanes = function.lanes + unseen / 2.0 - (unseen * (function.lanes + unseen / 4.0)).sqrt();
        let (mut room, mut members, mut needed, mut somewhere, mut on_way) = (0.0, 0, 0, 0, None);
        let mut pressed = false;
        let mut lacking = None;
        // The least loaded member, the least loaded one with an instance, and the same past the set.
        let mut best: [Option<(f64, usize)>; 4] = [None; 4];
        for &w in &function.walk {
            let member = room < usage || members < function.set;
            // The walk ends where nothing further on could be picked.
            let [any, warm, past, _] = best;
            let fits = any.is_some_and(|(load, _)| load <= fair) || past.is_some();
            if !member && fits && (warm.is_some() && past.is_none() || somewhere == live) {
                break;
            }
            if !self.may_shoot(now, id, w) {
                continue;
            }
            // Traffic follows trust: a doubted worker is passed over the more often the more it is doubted.
            let trust = 1.0 - self.doubt(now, w);
            if trust < 1.0 && self.luck() > trust.powi(3) {
                continue;
            }
            let size = self.fleet.size[w] / mean_size;
            let (copies, coming, out) = function.standing(now, w);
            let holds = self.fleet.out[w] as f64 + self.told(now, w).unwrap_or(average);
            let load = (holds + 1.0) / size + 1e-6 * self.luck();
            needed += usize::from(room < usage);
            members += usize::from(member);
            room += lanes * size;
            let warm = copies > 0.0;
            somewhere += usize::from(warm || coming);
            // Beyond the lanes that stand there a worker loads one more, at cost of others' memory.
            // Of those of an instance on its way others want theirs as well.
            let own = if warm || faith < 0.5 { function.lanes * copies.max(1.0) } else { 1.0 };
            if out >= own && (!warm || waited < LANE_WAIT * due) {
                continue;
            }
            // What is over its bound takes nothing: the walk goes on past the set, or it waits here.
            let rests = now - self.fleet.full[w][usize::from(warm)] < REST;
            let missed = function.stands.iter().any(|s| s.worker == w && now - s.missed < self.load);
            let rests = rests || missed && !coming && now < self.rest.1;
            if rests || self.swamped(now, w, function.slow, due, left, warm || over_share) {
                pressed |= member;
                continue;
            }
            // Where workers load nothing unasked, one that missed is sent nothing until an order stands.
            if self.misses && !warm && (coming || missed) {
                lacking = lacking.or(Some(w));
                continue;
            }
            if coming && !warm {
                on_way = on_way.or(Some((load, w)));
            }
            // Past the set only what is not itself above the common load.
            if !member && load > fair {
                continue;
            }
            let from = if member { 0 } else { 2 };
            for best in &mut best[from..=from + usize::from(warm)] {
                // In the set the least loaded, past it the first on the walk.
                if best.is_none_or(|(least, _)| member && load < least) {
                    *best = Some((load, w));
                }
            }
        }
        self.functions[key] = Some(function);
        let [any, warm, past, warm_past] = best;
        if let Some(w) = lacking.filter(|_| warm.or(warm_past).is_none()) {
            self.order(now, w, key, 1, false, host);
            return Stage::Keep;
        }
        let above = any.map_or(pressed, |(load, _)| load > fair);
        let cold = if above { past.or(any) } else { any };
        let warm_past = warm_past.filter(|_| above);
        let warm = if above { warm_past.or(warm) } else { warm };
        // On its path it loads only in the set and where no instance stands or comes: what a full home turns
        // away would load at one worker after the other.
        let pick = match warm.or(warm_past) {
            // An instance past the set, as after it shrank, is gone to while the home is given one.
            None if somewhere > 0 && self.orders => on_way.or(best[3]),
            None => any,
            found if self.orders => found,
            found => any.or(found),
        };
        if let Some((_, w)) = cold.filter(|&cold| pick != Some(cold) && warm_past.is_none()) {
            self.order(now, w, key, 1, true, host);
        }
        let function = self.functions[key].as_mut().expect("known above");
        // The paper's least interval between reductions.
        if needed >= function.set || now - function.roomy_since >= 30.0 {
            function.set = needed.max(1);
            function.roomy_since = now;
        }
        let Some((_, worker)) = pick else { return Stage::Keep };
        // What others send is seen in reports alone: an old one is asked for anew before an unseen queue is
        // joined, but an answer that stays out is not waited for.
        if self.probes && now - self.fleet.told[worker] > FRESH && waited < ASK * due {
            if self.fleet.asked[worker] == f64::NEG_INFINITY {
                self.fleet.asked[worker] = now;
                host.probe(worker);
            }
            return Stage::Keep;
        }
        // Where only an order adds an instance, all lanes taken would make the rest wait in line.
        let Some(function) = &self.functions[key] else { return Stage::End };
        let (copies, _, out) = function.standing(now, worker);
        let needed = ((out + 1.0) / function.lanes).ceil().min(16.0);
        if copies > 0.0 && needed > copies {
            self.order(now, worker, key, needed as u8, true, host);
        } else if copies == 0.0 && left < LONG * self.load {
            // A load that nobody waits for any more is left out: with clients of little time none would end.
            self.order(now, worker, key, 1, false, host);
        }
        Stage::Pass(worker)
    }

    /// The one place where orders to load are given; `ahead` of need as loads under way and memory allow.
    fn order(&mut self, now: f64, w: usize, key: usize, copies: u8, ahead: bool, host: &mut dyn Host) {
        /// Loads asked for ahead that may be under way for each worker of this router's part.
        const AHEAD: f64 = 0.25;
        /// Part of a worker's memory that they may fill: past it one pushes out another that is loaded again.
        const FILLED: f64 = 0.6;
        let Some(f) = &self.functions[key] else { return };
        let (standing, coming, _) = f.standing(now, w);
        let wanted = f64::from(copies);
        let able = self.orders && self.fleet.state[w] == State::Ready && now >= self.rest.1;
        if !able || coming || standing >= wanted {
            return;
        }
        let filled: f64 = self.functions.iter().flatten().map(|f| f.memory * f.standing(now, w).0).sum();
        let full = filled + f.memory * wanted > FILLED * self.fleet.memory[w];
        if ahead && (full || self.loading > self.ready * AHEAD / self.most * self.part(now)) {
            return;
        }
        let own = self.ration.as_ref().map_or(0.0, |r| r.free);
        let free = self.allowed(now, Budget::Orders, own);
        if self.ration.as_mut().is_some_and(|r| !r.may(now, free)) {
            return self.lacked.push(Budget::Orders);
        }
        self.ration.iter_mut().for_each(|r| r.done(now));
        if let Some(f) = self.functions[key].as_mut() {
            f.stand(w).coming = now + self.order_wait;
        }
        self.loading += 1.0;
        host.hold(w, key, copies);
    }

    /// Rate over all routers times mean latency: the instances' lanes that the function keeps busy.
    fn usage(&self, now: f64, key: usize) -> f64 {
        let Some(f) = &self.functions[key] else { return 0.0 };
        /// Deviations that are a count's own chance: of those of many routers some are always past the first.
        const CHANCE: f64 = 1.25;
        // Of a count only what is beyond that: one arrival at one of many routers would read as hundreds a
        // second and stretch the set over all workers.
        let rate = |(count, half): (&Fading, f64)| {
            let n = count.now(now, half).max(CHANCE * CHANCE);
            count.rate(now, half, now - f.since) * (1.0 - CHANCE / n.sqrt())
        };
        let rate = f.arrivals.iter().zip(DEMAND_HALVES).map(rate).fold(0.0, f64::max);
        let (guess, faith) = (rate * self.routers * self.latency * f.slow, self.faith(now));
        if faith == 0.0 {
            return guess;
        }
        // Nothing is taken off the own part for chance, which is small beside the whole.
        let own = |(count, half): (&Fading, f64)| count.rate(now, half, now - f.since);
        let own = f.arrivals.iter().zip(DEMAND_HALVES).map(own).fold(0.0, f64::max);
        guess + faith * (own * self.latency * f.slow + f.elsewhere - guess)
    }

    /// Brings a function's walk up to the present ring.
    fn walk(&mut self, key: usize) {
        let Some(f) = self.functions[key].as_mut() else { return };
        if f.edition == self.edition {
            return;
        }
        f.edition = self.edition;
        f.walk.clear();
        let home = xxh3_64_with_seed(&f.name.to_le_bytes(), 0);
        let from = self.ring.partition_point(|&(at, _)| at < home);
        let mut met = vec![false; self.fleet.name.len()];
        for &(_, w) in self.ring[from..].iter().chain(&self.ring[..from]) {
            if !std::mem::replace(&mut met[w], true) {
                f.walk.push(w);
            }
        }
    }

    /// What reports say that a worker holds of others', where that is not long ago.
    fn told(&self, now: f64, w: usize) -> Option<f64> {
        self.fleet.foreign[w].filter(|_| now - self.fleet.told[w] < 4.0 * FRESH)
    }

    /// Distrust of a worker now; a single failure in a healthy stream means nothing.
    fn doubt(&self, now: f64, w: usize) -> f64 {
        let doubt = self.fleet.doubt[w].now(now, DOUBT_HALF);
        if doubt < 0.25 { 0.0 } else { doubt }
    }

    /// Moves the distrust of a worker towards the fault that one answer, or its absence, showed.
    fn judge(&mut self, now: f64, w: usize, fault: f64, weight: f64) {
        let doubt = self.fleet.doubt[w].now(now, DOUBT_HALF);
        self.fleet.doubt[w] = Fading { sum: doubt + weight * (fault - doubt), at: now };
    }

    /// Whether a function was ever handled.
    fn sound(&self, key: usize) -> bool {
        self.functions[key].as_ref().is_none_or(|f| f.sound)
    }

    /// Whether rules and sense allow yet another shot, on some worker.
    fn may_go_on(&self, now: f64, id: usize) -> bool {
        /// Workers that may have run a function that none ever handled, before it is taken for unsound.
        const STRANGE: usize = 2;
        let Some(a) = &self.activations[id] else { return false };
        let mut ran = a.shots.iter().filter(|s| !s.never_ran);
        let repeatable = match self.profiles[a.profile].effect {
            Effect::Pure => true,
            Effect::Effectful => ran.next().is_none(),
            Effect::Receipted { .. } => !self.forgotten(now, a),
        };
        let strange = a.shots.iter().filter(|s| !s.out && !s.never_ran).count() >= STRANGE;
        let repeatable = repeatable && (self.sound(a.function) || !strange);
        // No second copies: they crowd the rest more than they save.
        let alone = !a.shots.iter().any(|s| s.out);
        a.open && a.shots.len() < self.shots && now < a.until && repeatable && alone
    }

    /// Whether the receipt of a shot that may have run is no longer known.
    fn forgotten(&self, now: f64, a: &Activation) -> bool {
        let Effect::Receipted { memory, .. } = self.profiles[a.profile].effect else { return false };
        a.shots.iter().any(|s| !s.out && !s.never_ran && now - s.sent >= memory)
    }

    /// The rules that every shot keeps: number, time, repeats, list state, and the budget of a cold worker.
    fn may_shoot(&mut self, now: f64, id: usize, w: usize) -> bool {
        let (Some(a), f) = (&self.activations[id], &self.fleet) else { return false };
        let known = |s: &Shot| match self.profiles[a.profile].effect {
            Effect::Receipted { group: Group::Zone, .. } => s.never_ran || s.parts[0] == f.zone[w],
            Effect::Receipted { group: Group::Cell, .. } => s.never_ran || s.parts[1] == f.cell[w],
            _ => true,
        };
        // A worker that may have failed this activation is not asked again.
        let fresh = |s: &Shot| s.worker != w || s.never_ran;
        let allowed = self.may_go_on(now, id) && f.state[w] == State::Ready;
        let allowed = allowed && a.shots.iter().all(|s| known(s) && fresh(s)) && self.cold_room(now, w);
        let held = allowed && !self.may_hold(now, w, self.fleet.out[w] + 1);
        self.lacked.extend(held.then_some(Budget::Hand(w)));
        allowed && !held
    }

    /// What warm workers handle a second for their size: at least that is known to be within their capacity.
    fn pace(&mut self, now: f64) -> f64 {
        /// Seconds that a router has at the least been looking: its first answers make no rate.
        const YOUNG: f64 = 0.5;
        let (at, pace, mut peak) = self.pace;
        // Short against what changes it: it is asked for at every turn.
        if now - at < 0.1 {
            return pace;
        }
        let f = &self.fleet;
        let warm = |&w: &usize| f.state[w] == State::Ready && now - f.started[w] >= self.warm_up;
        let size: f64 = (0..f.name.len()).filter(warm).map(|w| f.size[w]).sum();
        // Over the size of those that gave them: where half are replaced the rest do no more than before.
        let since = if at == 0.0 { YOUNG } else { now - at };
        self.room.add(now, RATE_HALF, size * since);
        let pace = if self.room.sum > 0.0 { self.flow.now(now, RATE_HALF) / self.room.sum } else { 0.0 };
        if pace > peak.now(now, PEAK_HALF) {
            peak = Fading { sum: pace, at: now };
        }
        self.pace = (now, pace, peak);
        pace
    }

    /// Whether a worker may still be in the time in which it falls over when it is sent too much.
    fn cold(&self, now: f64, w: usize) -> bool {
        now - self.fleet.started[w] < self.warm_up + self.tip_window
    }

    /// Whether a worker that started lately can take one more shot of ours without being pushed over. In each
    /// turn of the stated window it sends its part of what the worker can take; of a part of one shot, chance
    /// decides. So many routers come to the same as one, and none saves up for a crowd.
    fn cold_room(&mut self, now: f64, w: usize) -> bool {
        /// Part of the stated limit that is used: work differs from its mean and counts lag.
        const CAUTION: f64 = 0.6;
        if !self.cold(now, w) {
            return true;
        }
        let age = now - self.fleet.started[w];
        let (turn, left) = self.fleet.turn[w];
        if now - turn < self.tip_window / TURNS {
            return left >= 1.0;
        }
        let full = self.pace(now) * self.fleet.size[w];
        let grown = if self.warm_up > 0.0 { (age / self.warm_up).clamp(0.0, 1.0) } else { 1.0 };
        let capacity = full * (self.cold_share + (1.0 - self.cold_share) * grown);
        let part = CAUTION * self.tip_multiple * capacity * self.tip_window / TURNS;
        let left = (part + self.luck()).floor();
        self.fleet.turn[w] = (now, left);
        left >= 1.0
    }

    /// Last stage: the one place where shots are sent.
    fn shoot(&mut self, now: f64, id: usize, w: usize, host: &mut dyn Host) {
        /// So many times its usual time a load may take before another is begun elsewhere.
        const SLOW: f64 = 4.0;
        if !self.may_shoot(now, id, w) {
            return;
        }
        let Some(a) = self.activations[id].as_mut() else { return };
        let Some(f) = self.functions[a.function].as_mut() else { return };
        let warm = f.standing(now, w).0 > 0.0;
        let stand = f.stand(w);
        stand.out += 1.0;
        if !warm {
            stand.coming = stand.coming.max(now + SLOW * self.load);
        }
        if let Some(retries) = self.retries.as_mut().filter(|_| !a.shots.is_empty()) {
            retries.done(now);
        }
        if let Some((left, _)) = self.under.get_mut(a.client).filter(|_| now - a.passed >= LAPSE) {
            *left -= 1.0;
            a.passed = now;
        }
        let parts = [self.fleet.zone[w], self.fleet.cell[w]];
        a.shots.push(Shot { worker: w, parts, sent: now, out: true, never_ran: false, warm });
        self.fleet.out[w] += 1;
        self.fleet.busy[w] += f64::from(u8::from(warm));
        self.fleet.turn[w].1 -= 1.0;
        host.send(id, w, a.until);
    }

    /// A load ended. Failed ones, begun again at once by every router, push the store over: each rests, for
    /// longer from failure to failure, out of step.
    fn load_ended(&mut self, now: f64, well: bool) {
        const SHORTEST: f64 = 0.1;
        const LONGEST: f64 = 2.0;
        if well {
            self.rest.0 /= 2.0;
        } else if now >= self.rest.1 {
            let rest = (2.0 * self.rest.0).clamp(SHORTEST, LONGEST);
            self.rest = (rest, now + rest * (0.5 + self.luck()));
        }
    }

    /// What came back of a shot: up the chain.
    pub fn answered(&mut self, now: f64, id: usize, answer: Answer, host: &mut dyn Host) {
        let Some(a) = self.activations.get_mut(id).and_then(Option::as_mut) else { return };
        let Some(shot) = a.shots.get_mut(answer.shot) else { return };
        if !shot.out {
            return;
        }
        shot.out = false;
        shot.never_ran = answer.outcome.never_ran();
        let (w, warm, key, sent) = (shot.worker, shot.warm, a.function, shot.sent);
        /// Weight of one answer in a mean: a dozen answers, about a second of a busy worker.
        const WEIGHT: f64 = 0.1;
        /// The same of one function, of which it sees few.
        const SLOWER: f64 = 0.2;
        /// Silence of this many mean latencies is more than chance explains.
        const PATIENCE: f64 = 4.0;
        // Back through `shoot`: the worker's figures.
        self.fleet.busy[w] -= f64::from(u8::from(warm));
        self.fleet.out[w] = self.fleet.out[w].saturating_sub(1);
        self.reported(now, w, answer.report);
        match answer.outcome {
            Outcome::Handled => {
                self.judge(now, w, 0.0, 0.2);
                self.fleet.heard[w] = now;
                let warm = now - self.fleet.started[w] >= self.warm_up;
                self.flow.add(now, RATE_HALF, f64::from(u8::from(warm)));
            }
            // Names that no worker knows fail everywhere: judged by them, all workers would be shunned.
            Outcome::Failed if self.sound(key) => self.judge(now, w, 1.0, 0.3),
            // Overdue while it waited for a load tells of the store; among answers, of a long activation; and
            // after a short time, of a client that left early.
            Outcome::Overdue | Outcome::Withdrawn
                if warm && self.fleet.heard[w] < sent && answer.latency > PATIENCE * self.latency =>
            {
                self.judge(now, w, 1.0, 0.5);
            }
            Outcome::Cut => self.judge(now, w, 1.0, 0.1),
            Outcome::Unreached => self.judge(now, w, 1.0, 0.7),
            Outcome::Full => {
                self.fleet.heard[w] = now;
                self.fleet.full[w][usize::from(warm)] = now;
            }
            Outcome::Failed | Outcome::Overdue | Outcome::Missed | Outcome::Withdrawn | Outcome::Unsent => {}
        }
        if answer.outcome == Outcome::Missed && !self.misses || answer.found == Some(Found::LoadFailed) {
            self.load_ended(now, false);
        } else if answer.found == Some(Found::BeganLoad) && answer.outcome == Outcome::Handled {
            self.load_ended(now, true);
        }
        // Back through `place`: the function's figures.
        if let Some(f) = self.functions[key].as_mut() {
            // Also what is never answered, as in a jam at its lanes; up to thrice the mean, for slow stores.
            if matches!(answer.outcome, Outcome::Handled | Outcome::Withdrawn | Outcome::Overdue) {
                f.slow += SLOWER * ((answer.latency / self.latency.max(1e-3)).min(3.0) - f.slow);
            }
            f.sound |= answer.outcome == Outcome::Handled;
            let stand = f.stand(w);
            stand.out -= 1.0;
            let outlasted = !warm && answer.latency > self.load;
            if answer.outcome == Outcome::Missed {
                (stand.copies, stand.coming, stand.missed) = (0.0, 0.0, now);
            } else if matches!(answer.outcome, Outcome::Withdrawn | Outcome::Overdue) && outlasted {
                // The load goes on when nobody waits for it: begun again elsewhere it would never end.
                stand.copies = stand.copies.max(1.0);
                stand.until = now + self.keep;
            } else if answer.outcome.never_ran() || answer.outcome == Outcome::Failed && !warm {
                stand.coming = 0.0;
            } else if answer.outcome == Outcome::Handled {
                stand.copies = if stand.until > now { stand.copies } else { 0.0 }.max(1.0);
                (stand.until, stand.coming) = (now + self.keep, 0.0);
                if warm && answer.found == Some(Found::BeganLoad) {
                    // Released anew: what stood elsewhere is void as well.
                    f.stands.iter_mut().filter(|s| s.worker != w).for_each(|s| s.copies = 0.0);
                }
                let cold = matches!(answer.found, Some(Found::BeganLoad | Found::AwaitedLoad))
                    || answer.found.is_none() && !warm;
                if !warm {
                    self.load += WEIGHT * (answer.latency - self.load);
                }
                if !cold {
                    f.busy.add(now, RATE_HALF, answer.latency);
                    self.latency += 0.02 * (answer.latency - self.latency);
                }
            }
        }
        // Back through `admit`: ended, or another shot.
        if answer.settled {
            self.close(id, None, host);
        }
        self.finish(id, host);
        if self.activations[id].as_ref().is_some_and(|a| a.open && !a.shots.iter().any(|s| s.out)) {
            self.run(now, id, false, host);
        }
        self.release(now, host);
    }

    /// The client has left, has its answer or gets it streamed: calls off what else is out.
    pub fn close(&mut self, id: usize, streams: Option<usize>, host: &mut dyn Host) {
        let Some(a) = self.activations.get_mut(id).and_then(Option::as_mut) else { return };
        if std::mem::replace(&mut a.open, false) && self.cancels {
            for shot in (0..a.shots.len()).filter(|&n| a.shots[n].out && Some(n) != streams) {
                host.cancel(id, shot);
            }
        }
        self.finish(id, host);
    }

    /// Lets go of an activation that has its answer once nothing of it is out.
    fn finish(&mut self, id: usize, host: &mut dyn Host) {
        if self.activations[id].as_ref().is_some_and(|a| !a.open && !a.shots.iter().any(|s| s.out)) {
            let gone = self.activations[id].take();
            let function = gone.and_then(|a| self.functions[a.function].as_mut());
            function.into_iter().for_each(|f| f.open -= 1);
            self.live.retain(|&other| other != id);
            self.kept.retain(|&other| other != id);
            host.forget(id);
        }
    }

    /// The final answer of an activation that cannot be handled: a bounce where that is harmless.
    fn give_up(&mut self, id: usize, host: &mut dyn Host) {
        /// Part of the due time after which to come back: not into the same crowd, and in time.
        const AWAY: f64 = 0.08;
        let Some(a) = self.activations[id].as_ref().filter(|a| a.open) else { return };
        let Profile { due, effect } = self.profiles[a.profile];
        let harmless = matches!(effect, Effect::Pure | Effect::Receipted { group: Group::All, .. });
        if harmless || a.shots.iter().all(|s| s.never_ran) {
            host.bounce(id, self.come_back.map(|most| most.min(a.away.unwrap_or(AWAY * due))));
        } else {
            host.terminate(id);
        }
        self.close(id, None, host);
    }

    /// Tries what is kept again.
    fn release(&mut self, now: f64, host: &mut dyn Host) {
        // One that stays kept speaks for those behind it that want the same function.
        let mut stuck = Vec::new();
        for id in std::mem::take(&mut self.kept) {
            let Some(a) = &self.activations[id] else { continue };
            let key = (a.function, a.over_share);
            if a.open && !a.shots.iter().any(|s| s.out) && !self.run(now, id, stuck.contains(&key), host) {
                stuck.push(key);
            }
        }
    }

    /// An order to hold was answered.
    pub fn held(&mut self, now: f64, w: usize, key: usize, is: Outcome, copies: u8, host: &mut dyn Host) {
        if let Some(f) = self.functions.get_mut(key).and_then(Option::as_mut) {
            let stand = f.stand(w);
            stand.coming = 0.0;
            self.loading -= 1.0;
            if copies > 0 {
                stand.copies = copies.into();
                stand.until = now + self.keep;
            }
        }
        match is {
            Outcome::Unreached => self.judge(now, w, 1.0, 0.7),
            Outcome::Failed | Outcome::Handled => self.load_ended(now, is == Outcome::Handled),
            _ => {}
        }
        self.release(now, host);
    }

    /// A probe was answered, or was not.
    pub fn probed(&mut self, now: f64, w: usize, is: Outcome, report: Option<Report>, host: &mut dyn Host) {
        self.fleet.asked[w] = f64::NEG_INFINITY;
        self.reported(now, w, report);
        if is == Outcome::Unreached {
            self.judge(now, w, 1.0, 0.7);
        }
        self.release(now, host);
    }

    /// A worker's report came in, with an answer or a probe.
    fn reported(&mut self, now: f64, w: usize, report: Option<Report>) {
        let Some(report) = report else { return };
        let own = self.fleet.out[w] as f64;
        let foreign = match (report.held, report.waiting) {
            (Some(held), _) => (held - own).max(0.0),
            (None, Some(waiting)) => waiting * (self.routers - 1.0) / self.routers,
            _ => return,
        };
        self.fleet.foreign[w] = Some(foreign);
        self.fleet.told[w] = now;
        self.fleet.cores[w] = report.busy.unwrap_or(1.0);
        self.fleet.held[w] = report.held.is_some();
    }

    /// Asks to be woken at a time, unless that happens anyway.
    fn wake_by(&mut self, now: f64, at: f64, host: &mut dyn Host) {
        if at < self.wake {
            self.wake = at;
            host.wake((at - now).max(0.0));
        }
    }

    pub fn woken(&mut self, now: f64, host: &mut dyn Host) {
        /// Seconds between two looks at what is open: short against due times, long against its work.
        const PULSE: f64 = 0.005;
        if now < self.wake - 1e-6 {
            return;
        }
        self.wake = f64::INFINITY;
        if now >= self.ask_again {
            self.ask_again = f64::INFINITY;
            host.follow();
        }
        for id in self.live.clone() {
            if self.activations[id].as_ref().is_some_and(|a| a.open && now >= a.until - self.margin) {
                self.give_up(id, host);
            }
        }
        self.release(now, host);
        if !self.live.is_empty() {
            self.wake_by(now, now + PULSE, host);
        } else if self.ask_again.is_finite() {
            self.wake_by(now, self.ask_again, host);
        }
    }
}
