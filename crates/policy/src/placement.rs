//! Placement: the least loaded worker of the function's set. A member without an instance is ordered one and joins once it
//! is there; where all members are above the common load the ring order goes on past the set.

use crate::effects::Host;
use crate::function_state::Function;
use crate::load_requests::Order;
use crate::overload::TimeBounds;
use crate::router_state::RouterState;

/// What a stage does with a request: on to a worker, kept here, or ended.
pub(crate) enum Stage {
    Pass(usize),
    Keep,
    End,
}

/// What a request brings to the choice of its worker. Times are in seconds.
#[derive(Clone, Copy)]
struct Query {
    id: usize,
    key: usize,
    over_share: bool,
    /// Since it arrived, until its client gives up, and until its answer is due.
    waited: f64,
    left: f64,
    due: f64,
    /// Lanes that its function keeps busy.
    usage: f64,
    /// How far what other routers said still holds.
    faith: f64,
}

/// What is the same for all workers that are compared.
#[derive(Clone, Copy)]
struct CommonLoad {
    /// What a worker not heard from lately is taken to hold of others'.
    average: f64,
    mean_size: f64,
    /// A worker above it is passed over for one past the set.
    fair: f64,
    /// Lanes of an instance that are counted on.
    lanes: f64,
    /// Ready workers with an instance, or one on its way.
    live: usize,
}

/// What workers are compared by.
struct Comparison<'a> {
    query: Query,
    function: &'a Function,
    common: CommonLoad,
}

#[derive(Clone, Copy)]
struct Candidate {
    load: f64,
    worker: usize,
}

/// What was found in the ring order so far.
#[derive(Default)]
struct Search {
    /// Lanes of the members so far, how many they are, and how many of them the usage needs.
    room: f64,
    members: usize,
    needed: usize,
    /// Workers met with an instance, or one on its way.
    somewhere: usize,
    /// A member was over its bound.
    pressed: bool,
    /// The first that lacks the function and loads nothing unasked.
    lacking: Option<usize>,
    /// The first with an instance on its way.
    on_way: Option<Candidate>,
    /// The least loaded member, and the least loaded one with an instance.
    any: Option<Candidate>,
    warm: Option<Candidate>,
    /// The first past the set, and the first of those with an instance.
    past: Option<Candidate>,
    warm_past: Option<Candidate>,
}

impl Search {
    fn is_member(&self, query: &Query, function: &Function) -> bool {
        self.room < query.usage || self.members < function.set
    }

    /// Whether nothing further on could be picked.
    fn is_over(&self, common: &CommonLoad, member: bool) -> bool {
        let fits = self.any.is_some_and(|any| any.load <= common.fair) || self.past.is_some();
        !member && fits && (self.warm.is_some() && self.past.is_none() || self.somewhere == common.live)
    }

    /// In the set the least loaded, past it the first.
    fn offer(&mut self, candidate: Candidate, member: bool, warm: bool) {
        let (any, loaded) =
            if member { (&mut self.any, &mut self.warm) } else { (&mut self.past, &mut self.warm_past) };
        let better = |best: &Option<Candidate>| best.is_none_or(|b| member && candidate.load < b.load);
        if better(any) {
            *any = Some(candidate);
        }
        if warm && better(loaded) {
            *loaded = Some(candidate);
        }
    }
}

/// Where a request goes, and where one more instance is called for.
struct Choice {
    pick: Option<Candidate>,
    load_at: Option<Candidate>,
}

impl RouterState {
    /// Chooses the worker of a request.
    pub(crate) fn place(&mut self, now: f64, id: usize, host: &mut dyn Host) -> Stage {
        let Some(query) = self.query(now, id) else { return Stage::End };
        let Some(function) = self.functions.take(query.key) else { return Stage::End };
        let common = self.common_load(now, &query, &function);
        let search = self.search(now, &Comparison { query, function: &function, common });
        self.functions.put_back(query.key, function);
        if let Some(worker) = search.lacking.filter(|_| search.warm.or(search.warm_past).is_none()) {
            self.order(now, Order { worker, function: query.key, copies: 1, ahead: false }, host);
            return Stage::Keep;
        }
        let choice = self.choose(&common, &search);
        if let Some(Candidate { worker, .. }) = choice.load_at {
            self.order(now, Order { worker, function: query.key, copies: 1, ahead: true }, host);
        }
        if let Some(function) = self.functions.get_mut(query.key) {
            function.resize_set(now, search.needed);
        }
        let Some(Candidate { worker, .. }) = choice.pick else { return Stage::Keep };
        if self.asks_first(now, &query, worker, host) {
            return Stage::Keep;
        }
        self.order_for(now, &query, worker, host);
        Stage::Pass(worker)
    }

    fn query(&mut self, now: f64, id: usize) -> Option<Query> {
        let a = self.activations.get(id)?;
        let (key, profile, over_share) = (a.function, a.profile, a.over_share);
        let (waited, left) = (now - a.taken, a.until - now);
        self.walk(key);
        let faith = self.faith(now);
        let usage = self.functions.get(key).map_or(0.0, |f| f.usage(now, self.routers, self.latency, faith));
        let due = self.profiles[profile].due * if over_share { 0.5 } else { 1.0 };
        Some(Query { id, key, over_share, waited, left, due, usage, faith })
    }

    /// Brings a function's workers up to the present ring.
    fn walk(&mut self, key: usize) {
        let Some(f) = self.functions.get_mut(key) else { return };
        if f.edition != self.ring.edition() {
            f.edition = self.ring.edition();
            self.ring.walk(f.name, self.fleet.len(), &mut f.walk);
        }
    }

    fn common_load(&mut self, now: f64, query: &Query, function: &Function) -> CommonLoad {
        /// Above the common load: homes of several busy functions would drown beside idle workers.
        const SPREAD: f64 = 1.25;
        const SLACK: f64 = 3.0;
        /// Deviations of chance, squared, that an instance's lanes have room for beside the mean.
        const LUCK: f64 = 1.0;
        self.slow_start.pace(now, &self.fleet, &mut self.throughput);
        let n = function.walk.len().max(1) as f64;
        // One pass: with thousands of workers this is most of what a request costs.
        let (mut heard, mut foreign, mut sizes, mut out) = (0, 0.0, 0.0, 0.0);
        for worker in function.walk.iter().map(|&w| &self.fleet[w]) {
            if let Some(told) = worker.told(now) {
                heard += 1;
                foreign += told;
            }
            sizes += worker.size;
            out += worker.out as f64;
        }
        let average = foreign / heard.max(1) as f64;
        let (mean_size, mean_out) = (sizes / n, out / n);
        let fair = (average + mean_out) * SPREAD + SLACK;
        let live = function.stands.iter().filter(|s| s.stands(now) || s.coming > now);
        let live = live.filter(|s| self.fleet[s.worker].is_ready()).count();
        // Lanes are left free for the chance in what others send: a moment's crowd would begin one more load. Sets that are
        // sized by what all see need none of that.
        let unseen = LUCK * (1.0 - 1.0 / self.routers) * (1.0 - query.faith);
        let lanes = function.lanes + unseen / 2.0 - (unseen * (function.lanes + unseen / 4.0)).sqrt();
        CommonLoad { average, mean_size, fair, lanes, live }
    }

    /// Compares the workers in ring order, up to where nothing further on could be picked.
    fn search(&mut self, now: f64, comparison: &Comparison) -> Search {
        let Comparison { query, function, common } = comparison;
        let mut search = Search::default();
        for &w in &function.walk {
            let member = search.is_member(query, function);
            if search.is_over(common, member) {
                break;
            }
            self.consider(now, comparison, &mut search, w, member);
        }
        search
    }

    /// Compares one worker with those before it.
    fn consider(&mut self, now: f64, comparison: &Comparison, search: &mut Search, w: usize, member: bool) {
        /// Part of the due time that may pass waiting for a lane before one more instance is called for.
        const LANE_WAIT: f64 = 0.05;
        /// Seconds of rest of a worker that turned a shot away, apart for loads and for instances.
        const REST: f64 = 0.3;
        let Comparison { query, function, common } = comparison;
        if !self.may_shoot(now, query.id, w) || self.shuns(now, w) {
            return;
        }
        let worker = &self.fleet[w];
        let size = worker.size / common.mean_size;
        let standing = function.standing(now, w);
        let holds = worker.out as f64 + worker.told(now).unwrap_or(common.average);
        let load = (holds + 1.0) / size + 1e-6 * self.random.luck();
        search.needed += usize::from(search.room < query.usage);
        search.members += usize::from(member);
        search.room += common.lanes * size;
        let warm = standing.copies > 0.0;
        search.somewhere += usize::from(warm || standing.coming);
        // Beyond the lanes there a worker loads one more, at cost of others' memory. Of those of an instance on its way
        // others want theirs as well.
        let known = warm || query.faith < 0.5;
        let own = if known { function.lanes * standing.copies.max(1.0) } else { 1.0 };
        if standing.out >= own && (!warm || query.waited < LANE_WAIT * query.due) {
            return;
        }
        // What is over its bound takes nothing: the ring order goes on past the set, or the request waits here.
        let rests = now - self.fleet[w].full.last(warm) < REST;
        let missed = function.stands.iter().any(|s| s.worker == w && now - s.missed < self.load);
        let rests = rests || missed && !standing.coming && self.loads.rests(now);
        let times = TimeBounds { due: query.due, left: query.left, slow: function.slow };
        if rests || self.swamped(now, w, times, warm || query.over_share) {
            search.pressed |= member;
            return;
        }
        // Where workers load nothing unasked, one that missed is sent nothing until an instance is there.
        if self.misses && !warm && (standing.coming || missed) {
            search.lacking = search.lacking.or(Some(w));
            return;
        }
        let candidate = Candidate { load, worker: w };
        if standing.coming && !warm {
            search.on_way = search.on_way.or(Some(candidate));
        }
        // Past the set only what is not itself above the common load.
        if member || load <= common.fair {
            search.offer(candidate, member, warm);
        }
    }

    /// Whether a worker is passed over: the more often the more it is doubted.
    fn shuns(&mut self, now: f64, w: usize) -> bool {
        let trust = 1.0 - self.fleet[w].doubt(now);
        trust < 1.0 && self.random.luck() > trust.powi(3)
    }

    /// Chooses among what was found.
    fn choose(&self, common: &CommonLoad, search: &Search) -> Choice {
        let &Search { any, past, pressed, somewhere, on_way, .. } = search;
        let above = any.map_or(pressed, |any| any.load > common.fair);
        let cold = if above { past.or(any) } else { any };
        let warm_past = search.warm_past.filter(|_| above);
        let warm = if above { warm_past.or(search.warm) } else { search.warm };
        // On its path it loads only in the set and where no instance is or comes: what a full home turns away would load
        // at one worker after the other.
        let orders = self.loads.possible();
        let pick = match warm.or(warm_past) {
            // An instance past the set, as after it shrank, is gone to while the home is given one.
            None if somewhere > 0 && orders => on_way.or(search.warm_past),
            None => any,
            found if orders => found,
            found => any.or(found),
        };
        let same = |cold: &Candidate| pick.is_some_and(|pick| pick.worker == cold.worker);
        Choice { pick, load_at: cold.filter(|cold| !same(cold) && warm_past.is_none()) }
    }

    /// Whether a probe is waited for: what others send is seen in reports alone, and an old one is asked for anew before an
    /// unseen queue is joined; but an answer that stays out is not waited for.
    fn asks_first(&mut self, now: f64, query: &Query, worker: usize, host: &mut dyn Host) -> bool {
        /// Part of the due time that probes before a shot may take.
        const ASK: f64 = 0.03;
        let asks = self.probes && self.fleet[worker].report_is_old(now) && query.waited < ASK * query.due;
        if asks {
            self.fleet[worker].ask(now, worker, host);
        }
        asks
    }

    /// Orders the instances that the request's worker lacks.
    fn order_for(&mut self, now: f64, query: &Query, worker: usize, host: &mut dyn Host) {
        /// Loads in the time of a client that may leave before one is over.
        const LONG: f64 = 2.0;
        /// Instances that one order may ask for.
        const MOST: f64 = 16.0;
        let Some(function) = self.functions.get(query.key) else { return };
        let standing = function.standing(now, worker);
        // Where only an order adds an instance, all lanes taken would make the rest wait in line.
        let needed = ((standing.out + 1.0) / function.lanes).ceil().min(MOST);
        if standing.copies > 0.0 && needed > standing.copies {
            let order = Order { worker, function: query.key, copies: needed as u8, ahead: true };
            self.order(now, order, host);
        } else if standing.copies == 0.0 && query.left < LONG * self.load {
            // A load that nobody waits for any more is left out: with clients of little time none would end.
            self.order(now, Order { worker, function: query.key, copies: 1, ahead: false }, host);
        }
    }
}
