//! The calls that a router makes on its host. Times are in seconds; workers, functions and requests are small indices
//! that the host assigns.

/// The actions that a router requests from its host. No call returns a result; results are reported as events of the
/// [`Router`](crate::router::Router).
pub trait Effects {
    /// Sends another attempt of a request; it is abandoned at `until`, a time of the router's clock.
    fn send_attempt(&mut self, request: usize, worker: usize, until: f64);
    /// Cancels an attempt in flight, given by its index within the request.
    fn cancel_attempt(&mut self, request: usize, attempt: usize);
    /// Sends the final response: the request is rejected, and repeating it is harmless. `retry_after` is the
    /// Retry-After in seconds.
    fn reject(&mut self, request: usize, retry_after: Option<f64>);
    /// Sends the final response: the request failed and may have had an effect.
    fn fail(&mut self, request: usize);
    /// Asks a worker to load the function until it has at least `instances` instances; 0 only queries how many it
    /// has.
    fn request_load(&mut self, worker: usize, function: usize, instances: u8);
    /// Asks a worker to unload its idle instances of the function.
    fn unload(&mut self, worker: usize, function: usize);
    /// Sends a health check; a load report may come with the answer.
    fn check_health(&mut self, worker: usize);
    /// Schedules a call of [`timer_fired`](crate::router::Router::timer_fired) after `after` seconds.
    fn wake_after(&mut self, after: f64);
    /// Asks the registry to send changes of the endpoint list from now on.
    fn watch_endpoints(&mut self);
    /// The router no longer refers to this request; the host may reuse its index.
    fn release_request(&mut self, request: usize);
    /// The router no longer keeps state of this function; the host may reuse its index.
    fn release_function(&mut self, function: usize);
    /// An action was not taken because a budget shared by all routers is exhausted.
    fn budget_exhausted(&mut self, _budget: Budget) {}
}

/// A budget shared by all routers, of which each router has a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Requests per second within a client group's quota, by the group's index.
    Quota(usize),
    /// Requests per second within a client group's rate limit, by the group's index.
    RateLimit(usize),
    /// Load requests that are free within their window.
    LoadRequests,
    /// Retries that are free within their window.
    Retries,
    /// Attempts in flight at a worker, by the worker's index.
    InFlight(usize),
}
