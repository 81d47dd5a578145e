//! Load requests, which make a worker load instances of a function before requests for it arrive. The router decides
//! on them; this module applies the rate limit when they are sent, and passes their results to the router.

use super::Dispatcher;
use super::action::RequestId;
use super::state::LoadRequest;
use milletpath_policy::{Outcome, SendRefusal};

impl<T> Dispatcher<T> {
    /// Whether a load request may be sent now, according to the current endpoint list and the rate limit. Otherwise,
    /// it ends here as not sent.
    pub fn begin_load_request(&mut self, now: f64, load_request: RequestId) -> bool {
        self.state.now = now;
        let Some(&LoadRequest { worker, process, .. }) = self.state.load_requests.get(load_request) else {
            return false;
        };
        let replaced = self.state.is_replaced(worker, process).then_some(SendRefusal::Replaced);
        let refusal = replaced.or(self.router.may_request_load(now, worker).err());
        if let Some(reason) = refusal {
            tracing::debug!(worker, ?reason, "load request not sent");
        }
        let limit = self.state.load_rate_limit.as_mut();
        let allowed = refusal.is_none() && limit.is_none_or(|limit| limit.try_send(now));
        if !allowed {
            self.state.counters.suppressed += 1;
            self.load_request_ended(now, load_request, Outcome::NotSent, 0);
        }
        allowed
    }

    /// Reports that a load request was answered or failed. `instances` is the number of instances that the worker has
    /// loaded.
    pub fn load_request_ended(&mut self, now: f64, load_request: RequestId, outcome: Outcome, instances: u8) {
        self.state.now = now;
        let Some(record) = self.state.load_requests.remove(load_request) else { return };
        let LoadRequest { worker, process, function, deadline_timer } = record;
        self.state.timers.cancel(deadline_timer);
        // What an earlier process has loaded, or could not load, says nothing about the present one.
        let is_replaced = self.state.is_replaced(worker, process);
        let (outcome, instances) = if is_replaced { (Outcome::NotSent, 0) } else { (outcome, instances) };
        self.router.load_request_ended(now, worker, function, outcome, instances, &mut self.state);
        self.report_cancelled_attempts();
    }
}
