//! Checks a recorded history against the rules and counts service in it.
//!
//! A history is a sequence of [`HistoryRecord`]s, taken where emulated clients, workers, the registry and the links between
//! gateways read and wrote. Nothing in it is a gateway's own statement about itself. Times are in seconds of one clock, and
//! records are in the order of time.
//!
//! - [`check`] finds violations of the five rules, which bind all gateways together; each rule is a file of `rules/`.
//! - [`bounds`] compares the fleet's use of shared budgets with what it may use; each is a file of `bounds/`.
//! - [`membership_observations`] measures how soon gateways learn of each other's start and end.
//! - [`count_service`] counts service: the importance of requests answered in time.

mod bounds;
mod event;
mod membership;
mod rule_parameters;
mod rules;
mod service;
mod sliding_window;
mod slow_start;
mod violation;
mod window_limit;

pub use bounds::{BoundReport, BoundViolation, SharedBudgetBounds, bounds};
pub use event::{AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency};
pub use membership::{DetectionTimes, MembershipObservations, membership_observations};
pub use rule_parameters::RuleParameters;
pub use rules::check;
pub use service::{Service, ServiceCounts, ServiceWeights, count_service, latencies};
pub use slow_start::{SlowStartWindow, slow_start_limit, slow_start_windows};
pub use violation::Violation;
pub use window_limit::WindowLimit;
