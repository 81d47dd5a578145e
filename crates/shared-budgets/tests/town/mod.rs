//! Gateways that share one budget, as their decisions see it: a level that they are told, meters that they show, and notes
//! under way between them. Clocks run apart. Whoever plays decides what comes, what is lost and who is killed.

#![allow(dead_code)]

use milletpath_shared_budgets::{Faults, Form, Meter, More, Right, Shares};

/// The lease that loans are derived from.
pub const LEASE: f64 = 3.0;

/// One note under way: from which life, to which gateway, what.
pub type Sent = (u64, usize, Vec<u8>);

#[derive(Clone, Debug)]
pub struct Node {
    pub shares: Shares,
    pub life: u64,
    pub slot: usize,
    /// What the decisions were told last.
    told: More,
    /// What this gateway would use a second, and what came of it.
    pub demand: f64,
    wanted: f64,
    lacked: u64,
    metered: f64,
    /// When units were used, on its own clock.
    pub used: Vec<f64>,
    began: f64,
    rate: f64,
}

#[derive(Clone, Debug)]
pub struct Town {
    pub now: f64,
    pub nodes: Vec<Option<Node>>,
    pub notes: Vec<Sent>,
    pub form: Form,
    /// Each gateway's part by the count.
    pub part: f64,
    pub faults: Faults,
    lives: u64,
    /// Units used by processes that are gone, and when processes began that took the place of others, in true time.
    pub past: Vec<f64>,
    pub begun: Vec<f64>,
    /// Bytes of notes sent so far.
    pub bytes: u64,
}

const NOTHING: More = More { more: 0.0, after: 0.0, until: f64::INFINITY };

impl Node {
    /// When the next of its loans ends for it, in true time.
    pub fn ends(&self) -> Option<f64> {
        self.shares.ends().map(|at| at / self.rate)
    }
}

impl Town {
    pub fn new(size: usize, form: Form, part: f64, faults: Faults) -> Self {
        let nodes = (0..size).map(|_| None).collect();
        let (notes, past, begun) = (Vec::new(), Vec::new(), Vec::new());
        let mut town = Self { now: 0.0, nodes, notes, form, part, faults, lives: 0, past, begun, bytes: 0 };
        (0..size).for_each(|n| town.begin(n));
        town.begun.clear();
        town
    }

    /// What all together may use.
    pub fn whole(&self) -> f64 {
        self.part * self.nodes.len() as f64
    }

    pub fn clock(&self, n: usize) -> f64 {
        self.nodes[n].as_ref().map_or(self.now, |node| self.now * node.rate)
    }

    pub fn begin(&mut self, n: usize) {
        self.lives += 1;
        let life = self.lives * 100 + n as u64;
        // The first is slow, the last is fast, by what the fleet allows for.
        let rate = 0.99 + 0.02 * n as f64 / (self.nodes.len() - 1).max(1) as f64;
        let clock = self.now * rate;
        let mut shares = Shares::new(life, LEASE, life, clock);
        shares.plant(self.faults);
        let slot = shares.open(clock, "budget", self.form, self.part);
        let node = Node {
            shares,
            life,
            slot,
            told: NOTHING,
            demand: 0.0,
            wanted: 0.0,
            lacked: 0,
            metered: clock,
            used: Vec::new(),
            began: clock,
            rate,
        };
        self.nodes[n] = Some(node);
        self.begun.push(self.now);
        self.know();
        self.tell(n);
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(node) = self.nodes[n].take() {
            self.past.extend(node.used.iter().map(|at| at / node.rate));
        }
    }

    /// All know who is there, as by their links.
    fn know(&mut self) {
        let lives: Vec<u64> = self.nodes.iter().flatten().map(|n| n.life).collect();
        for n in 0..self.nodes.len() {
            let clock = self.clock(n);
            if let Some(node) = self.nodes[n].as_mut() {
                let others = lives.iter().copied().filter(|l| *l != node.life).collect();
                node.shares.right(clock, Right { part: 1.0, floor: 1.0, until: f64::INFINITY }, others);
            }
        }
    }

    pub fn at(&self, life: u64) -> Option<usize> {
        self.nodes.iter().position(|n| n.as_ref().is_some_and(|n| n.life == life))
    }

    /// What a gateway's decisions may use at this moment, by what they were told.
    pub fn level(&self, n: usize) -> f64 {
        let clock = self.clock(n);
        let Some(node) = &self.nodes[n] else { return 0.0 };
        let more = if clock < node.told.until { node.told.more } else { node.told.after };
        (self.part + more).max(0.0)
    }

    /// Units of a gateway in use now.
    fn in_use(&self, n: usize) -> f64 {
        let (clock, hold) = (self.clock(n), self.form.hold());
        let used = self.nodes[n].iter().flat_map(|node| &node.used);
        used.filter(|at| clock - **at <= hold).count() as f64
    }

    fn meter(&mut self, n: usize) -> Meter {
        let (clock, used) = (self.clock(n), self.in_use(n));
        let Some(node) = self.nodes[n].as_mut() else { return Meter::default() };
        node.wanted += node.demand * (clock - node.metered);
        node.metered = clock;
        Meter { wanted: node.wanted as u64, lacked: node.lacked, used }
    }

    /// The decisions are told before any note goes out.
    fn tell(&mut self, n: usize) {
        let clock = self.clock(n);
        let Some(node) = self.nodes[n].as_mut() else { return };
        for (_, more) in node.shares.changes(clock) {
            node.told = more;
        }
        let life = node.life;
        let out: Vec<_> = std::iter::from_fn(|| node.shares.out()).collect();
        for (to, bytes) in out {
            self.bytes += bytes.len() as u64 + 120;
            if let Some(to) = self.at(to) {
                self.notes.push((life, to, bytes));
            }
        }
    }

    pub fn turn(&mut self, n: usize) {
        let (clock, meter) = (self.clock(n), self.meter(n));
        if let Some(node) = self.nodes[n].as_mut() {
            node.shares.meter(clock, node.slot, meter);
            node.shares.turn(clock);
        }
        self.tell(n);
    }

    /// A note comes to whoever is there now.
    pub fn come(&mut self, (from, to, bytes): Sent) {
        let (clock, meter) = (self.clock(to), self.meter(to));
        if let Some(node) = self.nodes[to].as_mut() {
            node.shares.meter(clock, node.slot, meter);
            node.shares.heard(clock, from, &bytes, &mut |_| Some(meter));
        }
        self.tell(to);
    }

    /// A gateway uses one unit if it may; whether it did.
    pub fn use_one(&mut self, n: usize) -> bool {
        let may = self.in_use(n) + 1.0 <= self.level(n) + 1e-9;
        let clock = self.clock(n);
        if let Some(node) = self.nodes[n].as_mut() {
            node.wanted += 1.0;
            if may {
                node.used.push(clock);
            } else {
                node.lacked += 1;
            }
        }
        may
    }

    /// By how much all use more than there is; what is allowed for processes that began with empty accounts is in it.
    pub fn over(&self) -> f64 {
        match self.form {
            Form::Rate => (0..self.nodes.len()).map(|n| self.level(n)).sum::<f64>() - self.whole(),
            Form::Window(hold) => {
                // A window as the fastest clock has it.
                let since = self.now - hold / 1.01;
                let live = self.nodes.iter().flatten().flat_map(|n| n.used.iter().map(|at| at / n.rate));
                let used = live.chain(self.past.iter().copied()).filter(|at| *at > since).count() as f64;
                let begun = self.begun.iter().filter(|at| **at > since - LEASE).count() as f64;
                used - self.whole() - self.part * begun
            }
            // What was sent ends by itself, and ends with its process.
            Form::Hand(_) => (0..self.nodes.len()).map(|n| self.in_use(n)).sum::<f64>() - self.whole(),
        }
    }

    pub fn next(&self, n: usize) -> f64 {
        // A hair later: a turn that rounding makes too early does nothing.
        self.nodes[n].as_ref().map_or(f64::INFINITY, |node| node.shares.next() / node.rate + 1e-6)
    }
}

/// What befalls one note: the delays after which it comes, none where it is lost.
pub type Rule<'r> = &'r mut dyn FnMut(f64, usize, usize) -> Vec<f64>;

impl Town {
    /// Plays on for so many seconds; units are used as soon as they may be. Fails where all use more than there is.
    pub fn play(&mut self, seconds: f64, rule: Rule<'_>) {
        let until = self.now + seconds;
        let mut under_way: Vec<(f64, Sent)> = Vec::new();
        loop {
            for sent in std::mem::take(&mut self.notes) {
                if let Some(from) = self.at(sent.0) {
                    let delays = rule(self.now, from, sent.1);
                    under_way.extend(delays.into_iter().map(|d| (self.now + d, sent.clone())));
                }
            }
            let over = self.over();
            assert!(over < 1e-6, "{over} too much at {:.3} s", self.now);
            let comes = (0..under_way.len()).min_by(|a, b| under_way[*a].0.total_cmp(&under_way[*b].0));
            let turns = (0..self.nodes.len()).min_by(|a, b| self.next(*a).total_cmp(&self.next(*b)));
            let (coming, turning) = (
                comes.map_or(f64::INFINITY, |c| under_way[c].0),
                turns.map_or(f64::INFINITY, |n| self.next(n)),
            );
            if coming.min(turning) > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(coming.min(turning));
            match (comes, turns) {
                (Some(note), _) if coming <= turning => {
                    let (_, sent) = under_way.swap_remove(note);
                    self.come(sent);
                }
                (_, Some(n)) => self.turn(n),
                _ => return,
            }
            if self.form != Form::Rate {
                for n in 0..self.nodes.len() {
                    while self.nodes[n].as_ref().is_some_and(|node| node.demand > 0.0) && self.use_one(n) {}
                }
            }
        }
    }

    pub fn demand(&mut self, n: usize, demand: f64) {
        self.nodes[n].iter_mut().for_each(|node| node.demand = demand);
    }
}
