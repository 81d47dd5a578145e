//! The size that the fleet is built towards, worked out from slopes that were measured: runs in, forms of
//! growth fitted to them, and out a page that tells for each role what it comes to, what it may be, and
//! what fails first.
//!
//! Read down [`page::tables`]: assumptions ([`assumed`]), runs ([`run`]) with their forms ([`fit`]), rows
//! of each role ([`model`], [`roles`], [`gateway`]), and what whole fleets showed ([`scale`], [`derived`]).

pub mod assumed;
pub mod derived;
pub mod fit;
pub mod gateway;
pub mod lacks;
pub mod model;
pub mod page;
pub mod popularity;
pub mod roles;
pub mod run;
pub mod scale;
mod scale_tables;
