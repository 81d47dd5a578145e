//! What came back of an attempt is booked on its worker, on its function's instances, and in the means.

use crate::decay::RATE_HALF;
use crate::events::{Answer, Found, Outcome};
use crate::function_state::Function;
use crate::outlier_detection::Evidence;
use crate::request_state::Shot;
use crate::router_state::RouterState;

impl RouterState {
    /// Notes that a shot ended; none where it is not known, or had ended before.
    pub(crate) fn shot_ended(&mut self, id: usize, answer: &Answer) -> Option<(usize, Shot)> {
        let a = self.activations.get_mut(id)?;
        let shot = a.shots.get_mut(answer.shot).filter(|shot| shot.out)?;
        shot.out = false;
        shot.never_ran = answer.outcome.never_ran();
        Some((a.function, *shot))
    }

    /// The figures of the shot's worker.
    pub(crate) fn book_on_worker(&mut self, now: f64, key: usize, shot: &Shot, answer: &Answer) {
        let sound = self.functions.sound(key);
        let worker = &mut self.fleet[shot.worker];
        worker.busy -= f64::from(u8::from(shot.warm));
        worker.out = worker.out.saturating_sub(1);
        worker.reported(now, answer.report, self.routers);
        if let Some(evidence) = Evidence::of(answer, shot, worker.heard, sound, self.latency) {
            worker.judge(now, evidence);
        }
        match answer.outcome {
            Outcome::Handled => {
                worker.heard = now;
                let warm = self.slow_start.is_warm(now, worker);
                self.throughput.handled(now, warm);
            }
            Outcome::Full => {
                worker.heard = now;
                worker.full.now(now, shot.warm);
            }
            _ => {}
        }
    }

    /// Whether a load that the shot began went well.
    pub(crate) fn book_load(&mut self, now: f64, answer: &Answer) {
        if answer.outcome == Outcome::Missed && !self.misses || answer.found == Some(Found::LoadFailed) {
            self.loads.load_ended(now, false, &mut self.random);
        } else if answer.found == Some(Found::BeganLoad) && answer.outcome == Outcome::Handled {
            self.loads.load_ended(now, true, &mut self.random);
        }
    }

    /// The figures of the shot's function.
    pub(crate) fn book_on_function(&mut self, now: f64, key: usize, shot: &Shot, answer: &Answer) {
        /// Weight of one answer in the mean of one function, of which it sees few.
        const SLOWER: f64 = 0.2;
        /// Times the mean of all that one answer counts for at most, for slow stores.
        const MOST: f64 = 3.0;
        let Some(f) = self.functions.get_mut(key) else { return };
        // Also what is never answered, as in a jam at its lanes.
        if matches!(answer.outcome, Outcome::Handled | Outcome::Withdrawn | Outcome::Overdue) {
            f.slow += SLOWER * ((answer.latency / self.latency.max(1e-3)).min(MOST) - f.slow);
        }
        f.sound |= answer.outcome == Outcome::Handled;
        f.stand(shot.worker).out -= 1.0;
        f.shot_ended(now, shot, answer, self.load, self.keep);
        if answer.outcome == Outcome::Handled {
            self.book_latency(now, key, shot, answer);
        }
    }

    /// The mean times of answers.
    fn book_latency(&mut self, now: f64, key: usize, shot: &Shot, answer: &Answer) {
        /// Weight of one answer in the mean of loads: a dozen answers, about a second of a busy worker.
        const LOAD_WEIGHT: f64 = 0.1;
        /// The same in the mean of answers of instances.
        const WEIGHT: f64 = 0.02;
        let cold = matches!(answer.found, Some(Found::BeganLoad | Found::AwaitedLoad))
            || answer.found.is_none() && !shot.warm;
        if !shot.warm {
            self.load += LOAD_WEIGHT * (answer.latency - self.load);
        }
        if !cold {
            if let Some(f) = self.functions.get_mut(key) {
                f.busy.add(now, RATE_HALF, answer.latency);
            }
            self.latency += WEIGHT * (answer.latency - self.latency);
        }
    }
}

impl Function {
    /// What a shot's end says of the instances on its worker, where a load takes so long and an idle instance remains so
    /// long, in seconds.
    fn shot_ended(&mut self, now: f64, shot: &Shot, answer: &Answer, load: f64, keep: f64) {
        let stand = self.stand(shot.worker);
        let outlasted = !shot.warm && answer.latency > load;
        match answer.outcome {
            Outcome::Missed => (stand.copies, stand.coming, stand.missed) = (0.0, 0.0, now),
            Outcome::Withdrawn | Outcome::Overdue if outlasted => {
                // The load goes on when nobody waits for it: begun again elsewhere it would never end.
                stand.copies = stand.copies.max(1.0);
                stand.until = now + keep;
            }
            outcome if outcome.never_ran() => stand.coming = 0.0,
            Outcome::Failed if !shot.warm => stand.coming = 0.0,
            Outcome::Handled => {
                let copies = if stand.until > now { stand.copies } else { 0.0 };
                stand.copies = copies.max(1.0);
                (stand.until, stand.coming) = (now + keep, 0.0);
                if shot.warm && answer.found == Some(Found::BeganLoad) {
                    // Released anew: what is elsewhere is void as well.
                    let others = self.stands.iter_mut().filter(|s| s.worker != shot.worker);
                    others.for_each(|s| s.copies = 0.0);
                }
            }
            _ => {}
        }
    }
}
