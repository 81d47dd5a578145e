//! What the decisions ask for: the calls that a router makes on its host. Times are seconds; workers, functions and
//! activations are small indices that the host hands out.

/// What a router asks of its surroundings. Nothing here answers at once; results come back as router calls.
pub trait Host {
    /// Starts one more shot of the activation; it is abandoned at `until`.
    fn send(&mut self, activation: usize, worker: usize, until: f64);
    /// Stops waiting for a shot that was sent before.
    fn cancel(&mut self, activation: usize, shot: usize);
    /// Final answer: not taken, trying again does no harm. `come_back` advises how long to stay away.
    fn bounce(&mut self, activation: usize, come_back: Option<f64>);
    /// Final answer: failed, with no promise about effects.
    fn terminate(&mut self, activation: usize);
    /// Orders that at least `copies` instances of the function be held on the worker; 0 only asks.
    fn hold(&mut self, worker: usize, function: usize, copies: u8);
    /// Unloads the idle instances of the function on the worker.
    fn unload(&mut self, worker: usize, function: usize);
    /// Asks a worker how it is.
    fn probe(&mut self, worker: usize);
    /// Asks for a [`woken`](crate::router::Router::woken) call after so many seconds.
    fn wake(&mut self, after: f64);
    /// Asks the registry to pass on changes of the worker list from now on.
    fn follow(&mut self);
    /// The router will not name this activation again; its index may be given to another.
    fn forget(&mut self, activation: usize);
    /// The router knows nothing of this function any more; its index may be given to another.
    fn forget_function(&mut self, function: usize);
    /// Something was not done for want of a budget that all routers share.
    fn lacks(&mut self, _what: Budget) {}
}

/// What all routers together may use of something, and this one a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Activations a second of a client group within its share.
    Quota(usize),
    /// Activations a second of a client group that may be sent at all.
    Ceiling(usize),
    /// Free orders to load within the ration's window.
    Orders,
    /// Free further shots within their window.
    Retries,
    /// Shots out at a worker.
    Hand(usize),
}
