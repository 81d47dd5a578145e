//! What a deployment states when a router starts.

/// How harmful it is to run an activation twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It may run again.
    Pure,
    /// Workers of one group drop repeats for `memory` seconds.
    Receipted { group: Group, memory: f64 },
    /// It must never run twice.
    Effectful,
}

/// The workers among which the repeat of a receipted activation is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A kind of activation.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Seconds within which an answer is wanted.
    pub due: f64,
    pub effect: Effect,
}

/// What an installation states when a router starts.
#[derive(Clone, Debug)]
pub struct Charter {
    pub seed: u64,
    /// Routers that share the workers, this one included.
    pub routers: usize,
    pub profiles: Vec<Profile>,
    /// Activations a second, over all routers, within the share of each client group.
    pub quotas: Vec<f64>,
    /// Activations a second, over all routers, that each client group may have sent at all; boundless where it is not
    /// stated.
    pub ceilings: Vec<f64>,
    /// Further shots of activations: window, free ones, and for each activation taken; boundless where not stated.
    pub retries: Option<(f64, f64, f64)>,
    /// Shots out at a worker, over all routers.
    pub hand: f64,
    /// The importance of an activation beyond its client group's share.
    pub over_share: f64,
    /// Shots an activation may have.
    pub shots: usize,
    pub cancels: bool,
    /// Orders to hold and unload are possible.
    pub orders: bool,
    /// A worker without the function answers a miss rather than load it unasked.
    pub misses: bool,
    /// Changes of the worker list come only when asked for.
    pub asks: bool,
    /// Workers may be probed, and tell their load when they are.
    pub probes: bool,
    /// The longest advice to stay away that clients heed; none where they are told nothing.
    pub come_back: Option<f64>,
    /// Seconds an idle instance remains at least.
    pub keep: f64,
    /// The ration of orders to load: window, free orders, orders for each activation taken.
    pub ration: Option<(f64, f64, f64)>,
    /// Seconds after which an order to hold counts as unanswered.
    pub order_wait: f64,
    /// A worker starts at this part of its capacity or above ...
    pub cold_share: f64,
    /// ... and is warm after this many seconds.
    pub warm_up: f64,
    /// Sent more than this multiple of its present capacity ...
    pub tip_multiple: f64,
    /// ... for this long, it falls over.
    pub tip_window: f64,
    /// Memory of each kind of worker, in MB; empty where it is not stated.
    pub memory: Vec<f64>,
    /// The least time between two turns of the router.
    pub tick: f64,
}
