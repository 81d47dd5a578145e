//! Client requests: submission, lookup, and cancellation when the client disconnects.

use super::Dispatcher;
use super::action::RequestId;
use super::messages::{FunctionResources, IncomingRequest};
use super::request_table::Request;
use milletpath_policy::{Arrival, Budget};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

impl<T> Dispatcher<T> {
    /// Accepts a request and stores the caller's `context` with it. Returns `None` if the configured number of open
    /// requests is reached; the caller must then reject the request itself.
    pub fn submit(&mut self, now: f64, incoming: IncomingRequest<'_>, context: T) -> Option<RequestId> {
        let state = &mut self.state;
        if state.requests.open() >= state.limits.max_open_requests {
            return None;
        }
        state.now = now;
        state.counters.accepted += 1;
        if let Some(load_rate_limit) = &mut state.load_rate_limit {
            load_rate_limit.request_arrived(now);
        }
        state.count_demand(Budget::RateLimit(incoming.client), 1, 0);
        state.count_demand(Budget::Quota(incoming.client), u64::from(!incoming.is_retry), 0);
        let timeout = incoming.timeout.min(self.profiles[incoming.profile].deadline);
        let function = state.functions.intern(incoming.function);
        let serial = state.next_serial();
        let request = state.requests.insert(serial, Request::new(function, now + timeout, context));
        let arrival = self.arrival(incoming, function, timeout);
        self.router.request_arrived(now, request.index, arrival, &mut self.state);
        self.report_cancelled_attempts();
        Some(request)
    }

    /// Converts a request to the router's representation.
    fn arrival(&self, incoming: IncomingRequest<'_>, function: usize, timeout: f64) -> Arrival {
        let resources = incoming.resources.unwrap_or_else(|| {
            let config = self.functions.resolve(incoming.function);
            FunctionResources {
                lanes: config.concurrency,
                memory: config.memory,
                load_time: config.load_time,
            }
        });
        Arrival {
            function,
            name: xxh3_64(incoming.function.as_bytes()),
            profile: incoming.profile,
            client: incoming.client,
            timeout,
            is_retry: incoming.is_retry,
            concurrency: resources.lanes,
            memory: resources.memory,
            load_time: resources.load_time,
        }
    }

    /// Number of requests whose clients wait for a response.
    pub fn open_requests(&self) -> usize {
        self.state.requests.open()
    }

    /// Ids of the open requests whose context meets a condition.
    pub fn requests(&self, condition: impl Fn(&T) -> bool) -> Vec<RequestId> {
        let open = self.state.requests.iter_open();
        open.filter(|(_, request)| condition(&request.context)).map(|(id, _)| id).collect()
    }

    /// The caller's context of a request, available until the request has ended and all actions are taken.
    pub fn context(&mut self, request: RequestId) -> Option<&mut T> {
        self.state.requests.get_mut(request).map(|record| &mut record.context)
    }

    /// Name of a request's function.
    pub fn function(&mut self, request: RequestId) -> Option<Arc<str>> {
        let function = self.state.requests.get_mut(request)?.function;
        Some(self.state.functions.name(function))
    }

    /// Reports that the client disconnected: the request's attempts are cancelled and no response is due any more.
    /// Returns whether the request may have been executed in part.
    pub fn client_gone(&mut self, now: f64, request: RequestId) -> bool {
        self.state.now = now;
        let Some(record) = self.state.requests.get_mut(request) else { return false };
        let may_have_run = record.may_have_run;
        if self.state.requests.close(request).is_some() {
            self.state.counters.client_gone += 1;
            self.router.close_request(request.index, None, &mut self.state);
            self.report_cancelled_attempts();
        }
        may_have_run
    }
}
