//! What a whole fleet of gateways shares: budgets, in allotments whose sum never exceeds them. A core without sockets and
//! clocks.
//!
//! Each gateway owns a part, by the count that `milletpath-membership` proves. It lends what it does not need to who asks
//! ([`account`]), and asks where it lacks something ([`Shares`]). Nothing that is lost, late, repeated or silent lets all
//! together use more than there is.

pub mod ledger;

mod demand;
mod message;
mod shared_budgets;
mod step_function;
mod usage_counts;

pub use ledger::{BudgetKind, Entitlement};
pub use shared_budgets::{BudgetView, Counters, InjectedFaults, QuotaAdjustment, SharedBudgets, UsageMeter};
