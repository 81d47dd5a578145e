//! The events that a router is notified of, and the order of the stages. A host (see [`Host`]) calls the router as things
//! happen: `listed` and `list_complete` for the worker list, `arrived`, `answered` and `close` for requests, `held` for
//! orders to load, `probed` for probes and `woken` for time. The router acts through the `Host` passed in.
//!
//! A request passes the stages admission, placement and dispatch; each passes it on, keeps it or ends it. The result of an
//! attempt runs the other way: it is booked on the worker and on the function, and ends the request or sends it round again.

use crate::admission;
use crate::config::{Charter, Effect, Group};
use crate::effects::{Budget, Host};
use crate::events::{Answer, Arrival, Listing, Outcome, Report};
use crate::outlier_detection::Evidence;
use crate::placement::Stage;
use crate::request_state::Activation;
use crate::router_state::RouterState;
use std::collections::BTreeMap;

pub struct Router {
    state: RouterState,
    /// Requests that are not let go of yet, in order of arrival, and those that are kept here.
    live: Vec<usize>,
    kept: Vec<usize>,
    /// The next look at the time that was asked for.
    wake: f64,
    /// When the worker list is asked for again.
    ask_again: f64,
}

impl Router {
    pub fn new(charter: Charter, now: f64, host: &mut dyn Host) -> Self {
        if charter.asks {
            host.follow();
        }
        Self {
            state: RouterState::new(charter, now),
            live: Vec::new(),
            kept: Vec::new(),
            wake: f64::INFINITY,
            ask_again: f64::INFINITY,
        }
    }

    /// Routers that know of each other say how many there likely are, and this one's part of what bounds harm: of what it has
    /// by the charter so much until then, and so much afterwards. Where nobody says so the charter's count holds.
    pub fn share(&mut self, likely: f64, part: [f64; 2], until: f64) {
        self.state.routers = likely.max(1.0);
        self.state.budgets.share(part, until);
    }

    /// Allots more or less of a budget than this router's part by the count, until then and from then on.
    pub fn allot(&mut self, what: Budget, more: [f64; 2], until: f64) {
        self.state.budgets.allot(what, more, until);
    }

    /// Other routers said what functions keep busy there, in lanes by name; all else is next to nothing.
    pub fn elsewhere(&mut self, now: f64, busy: &BTreeMap<u64, f64>) {
        self.state.told = now;
        self.state.functions.elsewhere(busy);
    }

    /// What functions keep busy here: lanes by name.
    pub fn busy(&self, now: f64) -> impl Iterator<Item = (u64, f64)> {
        self.state.functions.iter().map(move |f| (f.name, f.busy_here(now)))
    }

    /// What of a budget's units is in use here.
    pub fn in_use(&mut self, now: f64, what: Budget) -> f64 {
        match what {
            Budget::Retries => self.state.retry.retries.as_mut().map_or(0.0, |r| r.used(now)),
            Budget::Hand(w) => self.state.fleet.get(w).map_or(0.0, |w| w.out as f64),
            Budget::Orders | Budget::Quota(_) | Budget::Ceiling(_) => 0.0,
        }
    }

    /// One line of the list. A line that repeats a known worker changes it.
    pub fn listed(&mut self, line: Listing) {
        let memory = self.state.memory.get(line.kind).copied().unwrap_or(f64::INFINITY);
        if self.state.fleet.listed(&line, memory) {
            self.state.functions.iter_mut().for_each(|f| f.worker_restarted(line.worker));
        }
    }

    /// A complete list begins: who is not on it is gone.
    pub fn list_renewed(&mut self) {
        self.state.fleet.renewed();
    }

    /// The lines of one list have all been given.
    pub fn list_complete(&mut self, now: f64, host: &mut dyn Host) {
        let fleet = &self.state.fleet;
        let ready = (0..fleet.len()).filter(|&w| fleet[w].is_ready());
        self.state.ring.build(ready, |w| fleet[w].name);
        self.release(now, host);
    }

    /// The registry did not answer, or dropped the subscription.
    pub fn list_failed(&mut self, now: f64, host: &mut dyn Host) {
        if self.state.asks {
            self.ask_again = now + 0.5 + self.state.random.luck();
            self.wake_by(now, self.ask_again, host);
        }
    }

    /// A request arrived, under an index that the host gave it.
    pub fn arrived(&mut self, now: f64, id: usize, a: Arrival, host: &mut dyn Host) {
        let state = &mut self.state;
        state.loads.arrived(now);
        state.retry.retries.iter_mut().for_each(|r| r.take(now));
        state.functions.arrived(now, &a);
        let over_share = !a.repeat && state.admission.over_share(now, a.client, &state.budgets);
        let activation = Activation {
            function: a.function,
            profile: a.profile.min(state.profiles.len().saturating_sub(1)),
            client: a.client,
            taken: now,
            until: now + a.patience,
            open: true,
            over_share,
            passed: f64::NEG_INFINITY,
            away: None,
            shots: Vec::new(),
        };
        state.activations.insert(id, activation);
        self.live.push(id);
        state.functions.sweep(now, host);
        let margin = state.margin;
        if a.patience <= margin {
            return self.give_up(id, host);
        }
        self.wake_by(now, now + (a.patience - margin).min(margin), host);
        self.run(now, id, false, host);
    }

    /// Takes a request through the stages from the first; tells whether it was not kept.
    fn run(&mut self, now: f64, id: usize, stuck: bool, host: &mut dyn Host) -> bool {
        match self.admit(now, id, stuck, host) {
            Stage::Pass(worker) => self.state.shoot(now, id, worker, host),
            Stage::End => self.give_up(id, host),
            Stage::Keep => self.kept.push(id),
        }
        self.state.budgets.take_lacked().for_each(|what| host.lacks(what));
        self.kept.last() != Some(&id)
    }

    /// First stage: a request for which no worker has room waits while an answer can still be in time.
    fn admit(&mut self, now: f64, id: usize, stuck: bool, host: &mut dyn Host) -> Stage {
        let state = &mut self.state;
        if !state.may_go_on(now, id) || !state.may_pass(now, id) || !state.may_repeat(now, id) {
            return Stage::End;
        }
        match if stuck { Stage::Keep } else { state.place(now, id, host) } {
            Stage::Keep => {}
            other => return other,
        }
        let Some(a) = state.activations.get(id) else { return Stage::End };
        let due = state.profiles[a.profile].due;
        let loaded = state.functions.get(a.function).is_some_and(|f| f.stands.iter().any(|s| s.stands(now)));
        if admission::waited_out(now, a, due, loaded, state.latency) { Stage::End } else { Stage::Keep }
    }

    /// Whether a shot that was decided before may begin, by what holds now.
    pub fn may_begin(&self, now: f64, id: usize, w: usize) -> bool {
        self.state.may_begin(now, id, w)
    }

    /// What came back of a shot: it is booked, and its request has ended or runs again.
    pub fn answered(&mut self, now: f64, id: usize, answer: Answer, host: &mut dyn Host) {
        let Some((key, shot)) = self.state.shot_ended(id, &answer) else { return };
        self.state.book_on_worker(now, key, &shot, &answer);
        self.state.book_load(now, &answer);
        self.state.book_on_function(now, key, &shot, &answer);
        if answer.settled {
            self.close(id, None, host);
        }
        self.finish(id, host);
        if self.state.activations.get(id).is_some_and(|a| a.open && !a.shot_out()) {
            self.run(now, id, false, host);
        }
        self.release(now, host);
    }

    /// The client has left, has its answer or gets it streamed: calls off what else is out.
    pub fn close(&mut self, id: usize, streams: Option<usize>, host: &mut dyn Host) {
        let Some(a) = self.state.activations.get_mut(id) else { return };
        if std::mem::replace(&mut a.open, false) && self.state.cancels {
            for shot in (0..a.shots.len()).filter(|&n| a.shots[n].out && Some(n) != streams) {
                host.cancel(id, shot);
            }
        }
        self.finish(id, host);
    }

    /// Lets go of a request that has its answer once nothing of it is out.
    fn finish(&mut self, id: usize, host: &mut dyn Host) {
        if self.state.activations.get(id).is_some_and(|a| !a.open && !a.shot_out()) {
            let gone = self.state.activations.take(id);
            let function = gone.and_then(|a| self.state.functions.get_mut(a.function));
            function.into_iter().for_each(|f| f.open -= 1);
            self.live.retain(|&other| other != id);
            self.kept.retain(|&other| other != id);
            host.forget(id);
        }
    }

    /// The final answer of a request that cannot be handled: a rejection where that is harmless.
    fn give_up(&mut self, id: usize, host: &mut dyn Host) {
        let Some(a) = self.state.activations.get(id).filter(|a| a.open) else { return };
        let profile = self.state.profiles[a.profile];
        let harmless = matches!(profile.effect, Effect::Pure | Effect::Receipted { group: Group::All, .. });
        if harmless || a.shots.iter().all(|s| s.never_ran) {
            host.bounce(id, self.state.admission.retry_after(a, profile.due));
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
            let Some(a) = self.state.activations.get(id) else { continue };
            let key = (a.function, a.over_share);
            if a.open && !a.shot_out() && !self.run(now, id, stuck.contains(&key), host) {
                stuck.push(key);
            }
        }
    }

    /// An order to hold was answered.
    pub fn held(&mut self, now: f64, w: usize, key: usize, is: Outcome, copies: u8, host: &mut dyn Host) {
        let state = &mut self.state;
        if let Some(f) = state.functions.get_mut(key) {
            let stand = f.stand(w);
            stand.coming = 0.0;
            state.loads.answered();
            if copies > 0 {
                stand.copies = copies.into();
                stand.until = now + state.keep;
            }
        }
        match is {
            Outcome::Unreached => state.fleet[w].judge(now, Evidence::UNREACHED),
            Outcome::Failed | Outcome::Handled => {
                state.loads.load_ended(now, is == Outcome::Handled, &mut state.random);
            }
            _ => {}
        }
        self.release(now, host);
    }

    /// A probe was answered, or was not.
    pub fn probed(&mut self, now: f64, w: usize, is: Outcome, report: Option<Report>, host: &mut dyn Host) {
        let worker = &mut self.state.fleet[w];
        worker.probe_ended();
        worker.reported(now, report, self.state.routers);
        if is == Outcome::Unreached {
            worker.judge(now, Evidence::UNREACHED);
        }
        self.release(now, host);
    }

    /// Asks to be woken at a time, unless that happens anyway.
    fn wake_by(&mut self, now: f64, at: f64, host: &mut dyn Host) {
        if at < self.wake {
            self.wake = at;
            host.wake((at - now).max(0.0));
        }
    }

    /// The time that was asked for has come.
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
            let a = self.state.activations.get(id);
            if a.is_some_and(|a| a.open && now >= a.until - self.state.margin) {
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
