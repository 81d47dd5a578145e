//! Min-worker-set routing decisions for functions that workers load on demand.
//!
//! [`policy::Router`] makes every decision; [`host`] is the interface it is reached through.

#![warn(clippy::too_many_lines)]

mod admission;
mod attempt_result;
mod config;
mod decay;
mod dispatch;
mod effects;
mod events;
mod fleet_budgets;
mod function_state;
mod hash_ring;
mod health_check;
mod load_requests;
mod outlier_detection;
mod overload;
mod placement;
mod random;
mod rate_limiter;
mod request_state;
mod retry;
mod router;
mod router_state;
mod slow_start;
mod throughput;
mod worker_set;
mod worker_state;

/// The interface of the decisions.
pub mod host {
    pub use crate::config::*;
    pub use crate::effects::*;
    pub use crate::events::*;
}

/// The decisions.
pub mod policy {
    pub use crate::router::Router;
}

/// Figures that decay.
pub mod fading {
    pub use crate::decay::Fading;
}

/// Rate limits within a window.
pub mod ration {
    pub use crate::rate_limiter::Ration;
}
