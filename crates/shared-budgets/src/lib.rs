//! Budgets shared by all gateways of a fleet, in leases whose sum never exceeds them, and the concurrency of functions over
//! all gateways. A state machine without sockets and clocks.
//!
//! Each gateway has a quota of every budget, and is entitled to the fraction of it that `milletpath-membership` proves. It
//! leases what it does not need to those that request it, and requests what it lacks ([`SharedBudgets`]). Whatever messages
//! are lost, late or repeated, and whichever gateways are silent, all of them together never use more than the budget.

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
