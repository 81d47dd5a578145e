//! Stand-ins on loopback for what a gateway meets: workers, the shared store, the registry, clients. Models are
//! free of I/O ([`engine`], [`store`], [`traffic`]); shells put them on sockets and note what passes there for the
//! witness. Faults come by script ([`scenario`]).

pub mod clients;
pub mod context;
pub mod corrupting_stream;
pub mod gateway_process;
pub mod registry;
pub mod relay;
pub mod scenario;
pub mod scenario_file;
pub mod small_fleet;
pub mod store;
pub mod traffic;
pub mod worker;
pub mod worker_model;
