//! Plans of scale runs, in HCL: how many gateways in which regions, the limits that their control has to keep, and
//! what happens to them in which order. Each key, its unit and its bounds are in `docs/operators/scale-test.md`.
//!
//! [`read`] turns the text into a [`Plan`], and reports every error in it.

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
