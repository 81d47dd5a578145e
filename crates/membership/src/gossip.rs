//! Dissemination: gossip updates that travel with other datagrams, the member table that they maintain, and the
//! periodic synchronization of whole tables.

mod dissemination;
mod member_table;
mod refutation;
mod synchronization;

pub(crate) use member_table::UpdateSource;
