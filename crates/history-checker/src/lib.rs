//! Checks a recorded history against the rules and computes the service it shows.
//!
//! A history is a sequence of [`HistoryRecord`]s, recorded at the sockets of the emulated clients, workers and registry and
//! on the links between gateways. It contains nothing that a gateway reports about itself. Times are seconds of a single
//! clock, and records are in chronological order.
//!
//! - [`check`] finds violations of the five rules, which apply to all gateways together; each rule has a file in `rules/`.
//! - [`bounds`] compares the fleet's use of shared budgets with its limits; each bound has a file in `bounds/`.
//! - [`membership_observations`] measures how soon gateways detect each other's start and end.
//! - [`count_service`] computes the service: the importance of requests answered in time.

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
