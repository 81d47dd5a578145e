//! The host process: runs many hollow gateways, executes the commands that it reads, and reports what the gateways
//! observe. `milletpath scale-test` starts several hosts.

mod error;
mod gateway_factory;
mod status_output;

pub use error::HostError;

use crate::host_protocol::{ConfigLogReading, GatewayReading, HostCommand, Minimum, StatusMessage};
use gateway_factory::GatewayFactory;
use milletpath_gateway::hollow_gateway::{HollowGateway, clock};
use status_output::StatusOutput;
use std::collections::BTreeMap;
use std::io::{self, BufRead};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which the dispatchers of the gateways are ticked, the same as that of the supervisor in `serve`.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by the command loop and the timer thread.
#[derive(Default)]
struct HostState {
    gateways: Mutex<BTreeMap<usize, HollowGateway>>,
    output: StatusOutput,
    stopping: AtomicBool,
}

/// Locks a mutex, ignoring poisoning.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Executes commands until the input ends, then stops all gateways. Status messages are written to standard output.
///
/// # Errors
///
/// A command can't be read, the plan is not valid, or a status message can't be written.
pub fn run(input: impl BufRead) -> Result<(), HostError> {
    let state = Arc::new(HostState::default());
    let timer_state = state.clone();
    let run_timer = move || tick_until_stopped(&timer_state);
    let timer = std::thread::Builder::new().name("timer".into()).spawn(run_timer)?;
    let result = run_commands(&state, input);
    state.stopping.store(true, Ordering::Release);
    let gateways = std::mem::take(&mut *lock(&state.gateways));
    gateways.values().for_each(|gateway| gateway.stop(true));
    drop(gateways);
    // A panic of the thread was already printed to standard error.
    let _ = timer.join();
    result
}

/// Periodically ticks the dispatchers and writes the buffered observations.
fn tick_until_stopped(state: &HostState) {
    while !state.stopping.load(Ordering::Acquire) {
        std::thread::sleep(TICK_INTERVAL);
        lock(&state.gateways).values().for_each(HollowGateway::tick);
        // An error means that the run has ended; the input ends as well then.
        let _ = state.output.lock().write_observations();
    }
}

fn run_commands(state: &HostState, input: impl BufRead) -> Result<(), HostError> {
    let mut factory: Option<GatewayFactory> = None;
    for line in input.lines() {
        let command = serde_json::from_str(&line?).map_err(HostError::MalformedCommand)?;
        match (command, &mut factory) {
            (HostCommand::Plan { text, gateways, seed, addresses }, factory) => {
                *factory = Some(GatewayFactory::new(&text, gateways, seed, addresses)?);
            }
            (command, Some(factory)) => run_command(state, factory, command)?,
            (_, None) => return Err(HostError::NoPlan),
        }
    }
    Ok(())
}

fn run_command(state: &HostState, factory: &mut GatewayFactory, command: HostCommand) -> io::Result<()> {
    match command {
        HostCommand::Plan { .. } => Ok(()),
        HostCommand::StartGateway { gateway } => start_gateway(state, factory, gateway),
        HostCommand::StopGateways { gateways, killed } => stop_gateways(state, &gateways, killed),
        HostCommand::UpdateEndpoints { workers, generation, present } => {
            update_endpoints(state, factory, &workers, generation, present)
        }
        HostCommand::ReadGateways { request_id } => report_readings(state, request_id),
    }
}

fn start_gateway(state: &HostState, factory: &GatewayFactory, gateway: usize) -> io::Result<()> {
    // Holding the lock keeps observations of this gateway behind the message that it started.
    let mut writer = state.output.lock();
    let at = clock();
    let report = match factory.start(gateway, &state.output) {
        Ok(hollow) => {
            let (membership_address, config_log_address) =
                (hollow.membership_address, hollow.config_log_address);
            lock(&state.gateways).insert(gateway, hollow);
            StatusMessage::GatewayStarted { gateway, membership_address, config_log_address, at }
        }
        Err(e) => StatusMessage::GatewayFailed { gateway, reason: e.to_string() },
    };
    writer.write(&report)
}

fn stop_gateways(state: &HostState, gateways: &[usize], killed: bool) -> io::Result<()> {
    let mut stopping: Vec<(usize, HollowGateway)> = Vec::new();
    {
        let mut running = lock(&state.gateways);
        stopping.extend(gateways.iter().filter_map(|gateway| Some((*gateway, running.remove(gateway)?))));
    }
    // All gateways begin to stop before the first one is waited for.
    let at = clock();
    stopping.iter().for_each(|(_, hollow)| hollow.stop(killed));
    for (gateway, hollow) in stopping {
        drop(hollow);
        let mut writer = state.output.lock();
        writer.write_observations()?;
        writer.write(&StatusMessage::GatewayStopped { gateway, at })?;
    }
    Ok(())
}

fn update_endpoints(
    state: &HostState,
    factory: &mut GatewayFactory,
    workers: &[usize],
    generation: u32,
    present: bool,
) -> io::Result<()> {
    let changed = factory.update_workers(workers, generation, present);
    let update = |gateway: &HollowGateway| gateway.update_endpoints(false, &changed);
    let max_cpu_seconds = lock(&state.gateways).values().map(update).fold(0.0, f64::max);
    state.output.lock().write(&StatusMessage::EndpointsUpdated { workers: changed.len(), max_cpu_seconds })
}

fn report_readings(state: &HostState, request_id: u64) -> io::Result<()> {
    let gateways = lock(&state.gateways);
    let readings = gateways.iter().map(|(gateway, hollow)| read_gateway(*gateway, hollow)).collect();
    let ended = gateways.iter().filter(|(_, hollow)| !hollow.is_running());
    let ended: Vec<usize> = ended.map(|(gateway, _)| *gateway).collect();
    drop(gateways);
    let mut writer = state.output.lock();
    for gateway in ended {
        let reason = "its control thread ended by itself".into();
        writer.write(&StatusMessage::GatewayFailed { gateway, reason })?;
    }
    writer.write(&StatusMessage::Readings { request_id, readings })
}

fn read_gateway(gateway: usize, hollow: &HollowGateway) -> GatewayReading {
    let reading = hollow.reading();
    let config_log = reading.follower.map(|follower| ConfigLogReading {
        at: follower.at,
        cpu_seconds: follower.cpu_seconds,
        number: follower.number,
        digest: follower.digest,
    });
    GatewayReading {
        gateway,
        at: reading.at,
        membership_cpu: reading.membership_cpu,
        dispatcher_cpu: reading.dispatcher_cpu,
        likely_gateways: reading.likely_gateways,
        minimums: reading.minimums.into_iter().map(Minimum::from).collect(),
        config_log,
    }
}
