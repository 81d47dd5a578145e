//! Support code that the tests and benches of several packages share. It is not part of the program.
//!
//! [`worker_frames`], [`simulated_network`] and [`wait`] start no processes. The feature `process-rigs` adds test rigs
//! that run the program as processes on loopback: `platform_rig` for `milletpath platform`, `serve_rig` for
//! `milletpath serve` in front of one worker, `fleet_rig` for gateways with membership, and `control_rig` for control
//! machines and the gateways that follow them.

#[cfg(feature = "process-rigs")]
pub mod control_rig;
#[cfg(feature = "process-rigs")]
pub mod fleet_rig;
#[cfg(feature = "process-rigs")]
pub mod json_fields;
#[cfg(feature = "process-rigs")]
pub mod platform_rig;
#[cfg(feature = "process-rigs")]
pub mod process;
#[cfg(feature = "process-rigs")]
pub mod program;
#[cfg(feature = "process-rigs")]
pub mod serve_rig;
#[cfg(feature = "process-rigs")]
pub mod shared_processor;
pub mod simulated_network;
#[cfg(feature = "process-rigs")]
pub mod soak_seeds;
pub mod wait;
pub mod worker_frames;
