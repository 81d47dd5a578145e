//! A host that records the calls of a router, and a router on it. Not every test file uses all of it.
#![allow(dead_code)]

use milletpath_policy::host::*;
use milletpath_policy::policy::Router;

#[derive(Clone, Debug, PartialEq)]
pub enum HostCall {
    Send { id: usize, worker: usize },
    Cancel { id: usize, attempt: usize },
    Reject { id: usize },
    Fail { id: usize },
    RequestLoad { worker: usize, function: usize, copies: u8 },
    WatchEndpoints,
    Probe { worker: usize },
}

#[derive(Default)]
pub struct RecordingHost {
    pub now: f64,
    pub calls: Vec<(f64, HostCall)>,
    pub wakes: Vec<f64>,
    pub forgotten: Vec<usize>,
    pub forgotten_functions: Vec<usize>,
    pub exhausted: Vec<Budget>,
    pub retry_after: Vec<Option<f64>>,
}

impl Host for RecordingHost {
    fn send(&mut self, id: usize, worker: usize, _until: f64) {
        self.calls.push((self.now, HostCall::Send { id, worker }));
    }
    fn cancel(&mut self, id: usize, attempt: usize) {
        self.calls.push((self.now, HostCall::Cancel { id, attempt }));
    }
    fn lacks(&mut self, what: Budget) {
        self.exhausted.push(what);
    }
    fn bounce(&mut self, id: usize, retry_after: Option<f64>) {
        self.retry_after.push(retry_after);
        self.calls.push((self.now, HostCall::Reject { id }));
    }
    fn terminate(&mut self, id: usize) {
        self.calls.push((self.now, HostCall::Fail { id }));
    }
    fn hold(&mut self, worker: usize, function: usize, copies: u8) {
        self.calls.push((self.now, HostCall::RequestLoad { worker, function, copies }));
    }
    fn unload(&mut self, _worker: usize, _function: usize) {}
    fn probe(&mut self, worker: usize) {
        self.calls.push((self.now, HostCall::Probe { worker }));
    }
    fn wake(&mut self, after: f64) {
        self.wakes.push(self.now + after);
    }
    fn follow(&mut self) {
        self.calls.push((self.now, HostCall::WatchEndpoints));
    }
    fn forget(&mut self, id: usize) {
        self.forgotten.push(id);
    }
    fn forget_function(&mut self, function: usize) {
        self.forgotten_functions.push(function);
    }
}

/// A router on a recording host.
pub struct TestRouter {
    pub host: RecordingHost,
    pub router: Router,
    next: usize,
}

pub fn idempotent() -> Profile {
    Profile { due: 1.0, effect: Effect::Pure }
}

/// A plain configuration: one router, one profile, load requests possible, no budgets.
pub fn config(profile: Profile) -> Charter {
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

impl TestRouter {
    /// A router with so many warm workers.
    pub fn new(config: Charter, workers: usize) -> Self {
        let mut host = RecordingHost::default();
        let router = Router::new(config, 0.0, &mut host);
        let mut router = Self { host, router, next: 0 };
        router.list((0..workers).map(|w| endpoint(w, State::Ready, None)).collect());
        router
    }

    pub fn list(&mut self, lines: Vec<Listing>) {
        lines.into_iter().for_each(|l| self.router.listed(l));
        self.router.list_complete(self.host.now, &mut self.host);
    }

    /// Advances the clock and wakes the router when it asked for it.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.host.now + seconds;
        while let Some(&at) = self.host.wakes.iter().min_by(|a, b| a.total_cmp(b)).filter(|&&t| t <= end) {
            self.host.wakes.retain(|&t| t != at);
            self.host.now = at.max(self.host.now);
            self.router.woken(self.host.now, &mut self.host);
        }
        self.host.now = end;
    }

    /// A request of the function arrives; returns its index.
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

    pub fn answer(&mut self, id: usize, attempt: usize, outcome: Outcome, latency: f64) {
        let settled = outcome == Outcome::Handled;
        let answer =
            Answer { shot: attempt, outcome, settled, latency, found: None, company: 0.0, report: None };
        self.router.answered(self.host.now, id, answer, &mut self.host);
    }

    /// The workers of a request's attempts, in order.
    pub fn attempts(&self, id: usize) -> Vec<usize> {
        let sends = self.host.calls.iter().filter_map(|(_, d)| match d {
            HostCall::Send { id: other, worker } if *other == id => Some(*worker),
            _ => None,
        });
        sends.collect()
    }

    /// A request arrives and is answered after so many seconds; returns the worker.
    pub fn serve(&mut self, function: usize, latency: f64) -> usize {
        let id = self.arrive(function, 4.0);
        self.advance(latency);
        let attempt = self.attempts(id).len().checked_sub(1).expect("an attempt was sent");
        self.answer(id, attempt, Outcome::Handled, latency);
        self.attempts(id)[attempt]
    }

    pub fn load_requests(&self) -> Vec<(f64, usize)> {
        let load_requests = self.host.calls.iter().filter_map(|(t, d)| match d {
            HostCall::RequestLoad { worker, copies: 1.., .. } => Some((*t, *worker)),
            _ => None,
        });
        load_requests.collect()
    }

    pub fn has_called(&self, what: &HostCall) -> bool {
        self.host.calls.iter().any(|(_, d)| d == what)
    }
}

pub fn endpoint(worker: usize, state: State, started: Option<f64>) -> Listing {
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
