//! Routing decisions for functions that workers load on demand: the min-worker-set policy (MWS) of "Faster and Cheaper
//! Serverless Computing on Harvested Resources" (SOSP 2021), sections 5.2 and 6.2, with admission, retries, slow start
//! and outlier detection. `docs/design.md` gives the reasons.
//!
//! [`Router`] makes every decision. [`PolicyConfig`] configures it, events arrive as method calls, and actions are
//! requested through [`Effects`]. The package does no I/O and reads no clock: the same events with the same seed give
//! the same decisions.
//!
//! | modules | concern |
//! | --- | --- |
//! | `router`, `router_state` | events, the order of the stages, and the state of a router |
//! | `admission`, `placement`, `candidate_search`, `dispatch`, `attempt_result` | the stages of a request, and the results of its attempts |
//! | `hash_ring`, `worker_set`, `overload` | which workers serve a function, and how much load each takes |
//! | `slow_start`, `throughput`, `outlier_detection`, `health_check` | capacity and health of workers |
//! | `list_staleness`, `acceptance` | which workers get new work while the endpoint list is stale |
//! | `retry`, `load_requests`, `fleet_budgets`, `rate_limiter` | limits on retries and load requests, shared budgets |
//! | `worker_size` | what the sizes in the list mean, and the capacity that they let the router assume |
//! | `worker_state`, `function_state`, `request_state`, `request_queue`, `decay`, `random` | data |

mod acceptance;
mod admission;
mod attempt_result;
mod candidate_search;
mod config;
mod decay;
mod dispatch;
mod effects;
mod events;
mod fleet_budgets;
mod function_state;
mod hash_ring;
mod health_check;
mod list_staleness;
mod load_requests;
mod outlier_detection;
mod overload;
mod placement;
mod random;
mod rate_limiter;
mod request_queue;
mod request_state;
mod response_memory;
mod retry;
mod router;
mod router_state;
mod slow_start;
mod throughput;
mod worker_set;
mod worker_size;
mod worker_state;

pub use admission::ReadDelayLimits;
pub use config::{
    DEFAULT_FUNCTION_MEMORY, Idempotency, KeyScope, PolicyConfig, Profile, RequestBudget, function_memory,
};
pub use decay::DecayingSum;
pub use dispatch::SendRefusal;
pub use effects::{Budget, Effects};
pub use events::{
    Arrival, AttemptCompletion, EndpointState, EndpointUpdate, InstanceState, LoadReport, Outcome,
};
pub use rate_limiter::RateLimiter;
pub use response_memory::{BufferMemory, may_await_response};
pub use router::Router;
pub use worker_size::SizeMeaning;
