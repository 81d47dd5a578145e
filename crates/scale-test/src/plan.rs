//! Plans of scale tests in HCL: the number of gateways in each region, limits on the control-plane cost, and the plays
//! to execute. The keys, their units and bounds are documented in `docs/operators/scale-test.md`.
//!
//! [`read`] parses the text into a [`Plan`] and reports all errors in it.

mod action;
mod checks;
mod model;
mod reader;
mod region;
mod topology;

pub use action::{Action, ActionKind};
pub use model::{
    BudgetParameters, Component, LinkParameters, MembershipParameters, Plan, Play, ResourceLimits,
    WorkerCounts,
};
pub use reader::read;
pub use region::{RegionPair, Zone};
