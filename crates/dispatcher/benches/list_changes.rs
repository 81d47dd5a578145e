//! CPU time of the dispatcher for one change of one worker, by the size of the fleet: a worker drains, or it is ready
//! again. With 1,000 functions known, and without queued requests or with 200 of them that no worker can take.
//!
//! `cargo bench -p milletpath-dispatcher --bench list_changes` prints microseconds per change, the ratio to the smallest
//! fleet, and what 640 changes a second take of a core.

mod worker_entry;

use milletpath_dispatcher::dispatcher::{Action, Dispatcher, IncomingRequest, RequestId};
use milletpath_protocol::registry::EndpointStatus;
use std::time::Instant;
use worker_entry::entry;

const FLEETS: [usize; 4] = [120, 1200, 3200, 9100];
const KNOWN_FUNCTIONS: usize = 1000;
const QUEUED_REQUESTS: usize = 200;
const CHANGES_PER_SECOND: f64 = 640.0;
const CHANGES: usize = 160;
/// Long enough for no request to end during the measurement.
const TIMEOUT: f64 = 3600.0;

/// The requests that are queued while the list changes.
#[derive(Clone, Copy)]
enum Queued {
    Nothing,
    ForOneFunction,
    EachForItsOwnFunction,
}

impl Queued {
    /// Numbers of the requests' functions.
    fn functions(self) -> Vec<usize> {
        match self {
            Self::Nothing => Vec::new(),
            Self::ForOneFunction => vec![0; QUEUED_REQUESTS],
            Self::EachForItsOwnFunction => (0..QUEUED_REQUESTS).collect(),
        }
    }

    fn description(self) -> &'static str {
        match self {
            Self::Nothing => "nothing queued",
            Self::ForOneFunction => "200 queued for one function",
            Self::EachForItsOwnFunction => "200 queued, each for its own function",
        }
    }
}

fn submit(dispatcher: &mut Dispatcher<()>, function: usize) -> RequestId {
    let incoming = IncomingRequest {
        function: &format!("pack-{function}"),
        profile: 0,
        client: 0,
        timeout: TIMEOUT,
        is_retry: false,
        resources: None,
    };
    let request = dispatcher.submit(1.0, incoming, ()).expect("the dispatcher has room");
    while dispatcher.next_action().is_some() {}
    request
}

/// Creates a dispatcher that knows the functions and has these requests in its queue.
fn dispatcher(workers: usize, queued: Queued) -> Dispatcher<()> {
    let text = format!(
        "seed = 7\nprofile \"p\" {{\n  due = {TIMEOUT}\n  cut_off = {TIMEOUT}\n  effect = \"pure\"\n}}\nworkers {{ registry = \
         \"127.0.0.1:1\" }}\n"
    );
    let mut config = milletpath_config::read(&text).expect("a valid configuration");
    // The list is never confirmed here, so it must not become stale.
    config.policy.list_valid_for = f64::INFINITY;
    // No worker may have an attempt, so every request is queued.
    config.policy.max_in_flight = 0.0;
    let mut dispatcher = Dispatcher::new(&config, 0.0);
    let list: Vec<_> = (0..workers).map(|number| entry(number, EndpointStatus::Ready)).collect();
    dispatcher.update_endpoints(0.0, true, &list);
    for function in 0..KNOWN_FUNCTIONS {
        let request = submit(&mut dispatcher, function);
        dispatcher.client_gone(1.0, request);
        while dispatcher.next_action().is_some() {}
    }
    for function in queued.functions() {
        submit(&mut dispatcher, function);
    }
    dispatcher
}

/// Mean microseconds of one change.
fn micros_per_change(workers: usize, queued: Queued) -> f64 {
    let mut dispatcher = dispatcher(workers, queued);
    let mut elapsed = 0.0;
    for change in 0..CHANGES {
        let now = 2.0 + change as f64 / CHANGES_PER_SECOND;
        let state = if change % 2 == 0 { EndpointStatus::Draining } else { EndpointStatus::Ready };
        let changed = [entry(change / 2 * 7 % workers, state)];
        let began = Instant::now();
        dispatcher.update_endpoints(now, false, &changed);
        elapsed += began.elapsed().as_secs_f64();
        while let Some(action) = dispatcher.next_action() {
            assert!(!matches!(action, Action::SendAttempt { .. }), "requests stay queued");
        }
    }
    elapsed * 1e6 / CHANGES as f64
}

fn main() {
    for queued in [Queued::Nothing, Queued::ForOneFunction, Queued::EachForItsOwnFunction] {
        let mut smallest = None;
        for workers in FLEETS {
            let micros = micros_per_change(workers, queued);
            let smallest = *smallest.get_or_insert(micros);
            println!(
                "{workers} workers, {}: {micros:.2} us a change, {:.1} times the smallest fleet's, {:.2} % of a core",
                queued.description(),
                micros / smallest,
                micros * CHANGES_PER_SECOND / 1e4
            );
        }
    }
}
