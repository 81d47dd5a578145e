//! The capacity model: extrapolates the cost of each role to the target size of the fleet and finds the limits that are
//! exceeded first as the fleet grows.
//!
//! It reads measured runs, fits a growth curve to each, and generates the tables of `docs/CAPACITY.md`. The entry
//! point is [`page::tables`]. The inputs are [`assumptions`], measurements ([`run`], fitted by [`fit`]) and scale
//! test results ([`scale`]). [`roles`] lists each [`quantity`], [`projection`] evaluates it at the target size, and
//! [`shortfalls`] ranks those that exceed their limit.

pub mod assumptions;
mod breaking_point;
pub mod derived_runs;
pub mod error;
pub mod fit;
pub mod fitted_runs;
mod least_squares;
pub mod number;
pub mod page;
pub mod popularity;
pub mod projection;
pub mod quantity;
pub mod roles;
pub mod run;
pub mod scale;
pub mod shortfalls;
