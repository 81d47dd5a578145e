//! Dissemination: gossip updates piggybacked on other datagrams, the member table that they maintain, and the periodic
//! synchronization of complete member tables.

mod dissemination;
mod member_table;
mod received_updates;
mod refutation;
mod synchronization;

pub(crate) use received_updates::UpdateSource;
