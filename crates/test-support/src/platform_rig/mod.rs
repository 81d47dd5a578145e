//! A small platform on loopback: the router, `milletpath platform`, as a process, and workers, discovery servers and
//! clients that speak the platform's protocol with it. A thread that serves a connection ends with it.

mod client;
mod configuration;
mod discovery;
mod live_discovery;
mod router;
mod scripted_worker;
mod worker;

pub use client::{
    Client, DONE, Departure, REJECTED, call_line, cancel_line, function_call_line, health_check_line,
};
pub use configuration::{MAX_SOCKETS, RouterConfiguration};
pub use discovery::{Discovery, DiscoveryStreams, complete_list_event, endpoint_event, partial_list_event};
pub use live_discovery::{LiveDiscovery, Outage, Pace};
pub use router::{Router, earliest_sigkill};
pub use scripted_worker::{ScriptedWorker, WorkerConnection};
pub use worker::{
    ReceivedFrames, TimedFrame, Worker, WorkerBehaviour, WorkerCondition, answers, answers_after,
    never_answers,
};
