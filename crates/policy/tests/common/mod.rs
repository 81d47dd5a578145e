//! One tiny fake host: it notes what a router does, and keeps the rules' books on it.

use milletpath_policy::host::*;
use milletpath_policy::policy::Router;

#[derive(Clone, Debug, PartialEq)]
pub enum Did {
    Send { id: usize, worker: usize },
    Cancel { id: usize, shot: usize },
    Bounce { id: usize },
    Terminate { id: usize },
    Hold { worker: usize, function: usize, copies: u8 },
    Follow,
    Probe { worker: usize },
}

#[derive(Default)]
pub struct Fake {
    pub now: f64,
    pub did: Vec<(f64, Did)>,
    pub wakes: Vec<f64>,
    pub forgotten: Vec<usize>,
    pub forgotten_functions: Vec<usize>,
    pub lacked: Vec<Budget>,
    pub away: Vec<Option<f64>>,
}

impl Host for Fake {
    fn send(&mut self, id: usize, worker: usize, _until: f64) {
        self.did.push((self.now, Did::Send { id, worker }));
    }
    fn cancel(&mut self, id: usize, shot: usize) {
        self.did.push((self.now, Did::Cancel { id, shot }));
    }
    fn lacks(&mut self, what: Budget) {
        self.lacked.push(what);
    }
    fn bounce(&mut self, id: usize, come_back: Option<f64>) {
        self.away.push(come_back);
        self.did.push((self.now, Did::Bounce { id }));
    }
    fn terminate(&mut self, id: usize) {
        self.did.push((self.now, Did::Terminate { id }));
    }
    fn hold(&mut self, worker: usize, function: usize, copies: u8) {
        self.did.push((self.now, Did::Hold { worker, function, copies }));
    }
    fn unload(&mut self, _worker: usize, _function: usize) {}
    fn probe(&mut self, worker: usize) {
        self.did.push((self.now, Did::Probe { worker }));
    }
    fn wake(&mut self, after: f64) {
        self.wakes.push(self.now + after);
    }
    fn follow(&mut self) {
        self.did.push((self.now, Did::Follow));
    }
    fn forget(&mut self, id: usize) {
        self.forgotten.push(id);
    }
    fn forget_function(&mut self, function: usize) {
        self.forgotten_functions.push(function);
    }
}

/// A router on its fake host, with the workers it was told of.
pub struct Town {
    pub host: Fake,
    pub router: Router,
    next: usize,
}

pub fn pure() -> Profile {
    Profile { due: 1.0, effect: Effect::Pure }
}

/// A plain charter: one router, one profile, orders and second copies allowed, nothing rationed.
pub fn charter(profile: Profile) -> Charter {
    Charter {
        seed: 7,
        routers: 1,
        profiles: vec![profile],
        quotas: vec![],
        ceilings: vec![],
        retries: None,
        hand: f64::INFINITY,
        over_share: 1.0,
        shots: 4,
        cancels: true,
        orders: true,
        misses: false,
        asks: false,
        probes: false,
        come_back: None,
        keep: 10.0,
        ration: None,
        order_wait: 10.0,
        cold_share: 0.2,
        warm_up: 15.0,
        tip_multiple: 2.5,
        tip_window: 2.0,
        memory: vec![],
        tick: 0.004,
    }
}

impl Town {
    /// A router that knows so many warm workers.
    pub fn new(charter: Charter, workers: usize) -> Self {
        let mut host = Fake::default();
        let router = Router::new(charter, 0.0, &mut host);
        let mut town = Self { host, router, next: 0 };
        town.list((0..workers).map(|w| line(w, State::Ready, None)).collect());
        town
    }

    pub fn list(&mut self, lines: Vec<Listing>) {
        lines.into_iter().for_each(|l| self.router.listed(l));
        self.router.list_complete(self.host.now, &mut self.host);
    }

    /// Lets time pass, in steps in which the router's wakes come.
    pub fn pass(&mut self, seconds: f64) {
        let end = self.host.now + seconds;
        while let Some(&at) = self.host.wakes.iter().min_by(|a, b| a.total_cmp(b)).filter(|&&t| t <= end) {
            self.host.wakes.retain(|&t| t != at);
            self.host.now = at.max(self.host.now);
            self.router.woken(self.host.now, &mut self.host);
        }
        self.host.now = end;
    }

    /// An activation of the function arrives; its number is returned.
    pub fn arrive(&mut self, function: usize, patience: f64) -> usize {
        let id = self.next;
        self.next += 1;
        let arrival = Arrival {
            function,
            name: 1000 + function as u64,
            profile: 0,
            client: 0,
            patience,
            repeat: false,
            lanes: 2.0,
            memory: 100.0,
            load: None,
        };
        self.router.arrived(self.host.now, id, arrival, &mut self.host);
        id
    }

    pub fn answer(&mut self, id: usize, shot: usize, outcome: Outcome, latency: f64) {
        let settled = outcome == Outcome::Handled;
        let answer = Answer { shot, outcome, settled, latency, found: None, company: 0.0, report: None };
        self.router.answered(self.host.now, id, answer, &mut self.host);
    }

    /// The workers that an activation's shots went to, in order.
    pub fn shots(&self, id: usize) -> Vec<usize> {
        let sends = self.host.did.iter().filter_map(|(_, d)| match d {
            Did::Send { id: other, worker } if *other == id => Some(*worker),
            _ => None,
        });
        sends.collect()
    }

    /// An activation comes, and is handled after so many seconds.
    pub fn serve(&mut self, function: usize, latency: f64) -> usize {
        let id = self.arrive(function, 4.0);
        self.pass(latency);
        let shot = self.shots(id).len().checked_sub(1).expect("a shot was sent");
        self.answer(id, shot, Outcome::Handled, latency);
        self.shots(id)[shot]
    }

    pub fn holds(&self) -> Vec<(f64, usize)> {
        let holds = self.host.did.iter().filter_map(|(t, d)| match d {
            Did::Hold { worker, copies: 1.., .. } => Some((*t, *worker)),
            _ => None,
        });
        holds.collect()
    }

    pub fn did(&self, what: &Did) -> bool {
        self.host.did.iter().any(|(_, d)| d == what)
    }
}

pub fn line(worker: usize, state: State, started: Option<f64>) -> Listing {
    Listing {
        worker,
        name: 77 + worker as u64 * 13,
        started,
        size: 1.0,
        kind: 0,
        zone: worker % 2,
        cell: worker / 2,
        state,
    }
}
