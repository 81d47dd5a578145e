//! The capacity model: projects the cost of each role to the size that the fleet is built towards, and finds what fails
//! first on the way there.
//!
//! Measured runs go in, forms of growth are fitted to them, and the tables of `docs/CAPACITY.md` come out. Start at
//! [`page::tables`]. The inputs are [`assumptions`], [`run`] with [`fit`], and [`scale`]; [`roles`] lists the
//! [`quantity`] rows, [`projection`] evaluates them, [`shortfalls`] ranks what misses its limit.

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
