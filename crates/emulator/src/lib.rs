//! Stand-ins on loopback for what a gateway meets: workers, the shared store, the registry, clients. Models are
//! free of I/O ([`engine`], [`store`], [`traffic`]); shells put them on sockets and note what passes there for the
//! witness. Faults come by script ([`day`]).

pub mod clients;
pub mod day;
pub mod engine;
pub mod hall;
pub mod registry;
pub mod relay;
pub mod running;
pub mod script;
pub mod small;
pub mod spoilt;
pub mod store;
pub mod traffic;
pub mod worker;
