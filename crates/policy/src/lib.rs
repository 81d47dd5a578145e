//! Min-worker-set routing decisions for functions that workers load on demand.
//!
//! [`policy::Router`] makes every decision; [`host`] is the interface it is reached through.

pub mod fading;
pub mod host;
pub mod policy;
pub mod ration;
