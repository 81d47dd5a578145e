//! Budgets shared by all gateways of a fleet, and the concurrency of functions across the fleet. The package is a state
//! machine without sockets or clocks.
//!
//! Each gateway has a quota of every budget and is entitled to the fraction of that quota that
//! `milletpath-membership` proves. [`SharedBudgets`] leases unneeded budget to gateways that request it, and requests
//! leases from other gateways when the local quota is insufficient. The gateways together never use more than the
//! budget, even if messages are lost, delayed or duplicated, or gateways stop responding.

mod adjustment;
mod budget;
mod budget_kind;
mod clock;
mod demand;
mod entitlement;
mod error;
mod fault_injection;
mod lease;
mod ledger;
mod message;
mod outbox;
mod process_id;
mod request_plan;
mod shared_budgets;
mod step_function;
mod usage_counts;
mod view;

pub use adjustment::QuotaAdjustment;
pub use budget_kind::BudgetKind;
pub use demand::UsageMeter;
pub use entitlement::Entitlement;
pub use error::CloseError;
pub use fault_injection::InjectedFaults;
pub use process_id::ProcessId;
pub use shared_budgets::{OutgoingMessage, SharedBudgets, SlotAdjustment};
pub use usage_counts::FunctionConcurrency;
pub use view::{BudgetView, Counters};
