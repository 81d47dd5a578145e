//! What the decisions ask for: the calls that a router makes on its host. Times are seconds; workers,
//! functions and requests are small indices that the host hands out.

/// The effects of a router on its surroundings. None of these calls returns a result; results come back as
/// events of the [`Router`](crate::router::Router).
pub trait Effects {
    /// Sends one more attempt of a request; it is abandoned at `until`, a time of the router's clock.
    fn send_attempt(&mut self, request: usize, worker: usize, until: f64);
    /// Cancels an attempt that is in flight, by its index among those of the request.
    fn cancel_attempt(&mut self, request: usize, attempt: usize);
    /// Final answer: rejected, and nothing has run. `retry_after` is the Retry-After in seconds.
    fn reject(&mut self, request: usize, retry_after: Option<f64>);
    /// Final answer: failed, with no promise about effects.
    fn fail(&mut self, request: usize);
    /// Requests that at least `instances` instances of the function be loaded on the worker; 0 only asks how
    /// many there are.
    fn request_load(&mut self, worker: usize, function: usize, instances: u8);
    /// Requests that the idle instances of the function on the worker be unloaded.
    fn unload(&mut self, worker: usize, function: usize);
    /// Sends a health check, which a load report answers.
    fn check_health(&mut self, worker: usize);
    /// Asks for a call of [`woken`](crate::router::Router::timer_fired) after so many seconds.
    fn wake_after(&mut self, after: f64);
    /// Asks the registry to send changes of the endpoint list from now on.
    fn watch_endpoints(&mut self);
    /// The router will not name this request again; its index may be given to another.
    fn release_request(&mut self, request: usize);
    /// The router knows nothing of this function any more; its index may be given to another.
    fn release_function(&mut self, function: usize);
    /// Something was not done for want of a budget that all routers share.
    fn budget_exhausted(&mut self, _budget: Budget) {}
}

/// A budget that all routers share, of which each has a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Requests a second of a client group within its share, by the group's index.
    Quota(usize),
    /// Requests a second of a client group that may be sent at all, by the group's index.
    RateLimit(usize),
    /// Load requests that are free within their window.
    LoadRequests,
    /// Retries that are free within their window.
    Retries,
    /// Attempts in flight at a worker, by the worker's index.
    InFlight(usize),
}
