//! Decodes event records and the entries of worker lists. Offsets are relative to the start of the record.

use crate::error::WireError;
use crate::record::Record;
use milletpath_platform_settings as platform_settings;
use milletpath_policy::{
    AttemptCompletion, EndpointState, EndpointUpdate, InstanceState, LoadReport, Outcome,
};

/// Size in bytes of an entry of a worker list.
pub const ENTRY_BYTES: usize = 21;

/// Event codes.
pub mod code {
    pub const START: u8 = 10;
    pub const LIST_UPDATED: u8 = 20;
    pub const REQUEST_ARRIVED: u8 = 30;
    pub const STREAM_STARTED: u8 = 40;
    pub const ATTEMPT_ENDED: u8 = 50;
    pub const CLIENT_GONE: u8 = 60;
    pub const TIMER_FIRED: u8 = 70;
    pub const HEALTH_CHECK_ENDED: u8 = 80;
    pub const PEER_MESSAGE: u8 = 90;
    pub const STOP: u8 = 100;
    pub const LOAD_REQUEST_ENDED: u8 = 110;
    pub const WORKER_LIST: u8 = 120;
}

/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;

/// Size in bytes of a value in a load report.
const REPORT_VALUE_BYTES: usize = 4;

/// The code of an event.
pub fn code_of(record: Record<'_>) -> u8 {
    record.u8(0)
}

/// The instance that an event belongs to. Worker lists belong to the whole process and have no such field.
pub fn instance_of(record: Record<'_>) -> u16 {
    record.u16(1)
}

/// Whether a code denotes an event of a running instance, other than a list update.
pub fn is_instance_event(code: u8) -> bool {
    matches!(
        code,
        code::REQUEST_ARRIVED
            | code::STREAM_STARTED
            | code::ATTEMPT_ENDED
            | code::CLIENT_GONE
            | code::TIMER_FIRED
            | code::HEALTH_CHECK_ENDED
            | code::PEER_MESSAGE
            | code::STOP
            | code::LOAD_REQUEST_ENDED
    )
}

/// An instance starts.
pub struct Start {
    /// Seed of its random numbers.
    pub seed: u64,
    /// Offset of its settings in the tail.
    pub settings_offset: u32,
    /// Length of its settings in bytes.
    pub settings_length: usize,
}

impl Start {
    /// Decodes the event.
    pub fn decode(record: Record<'_>) -> Self {
        Self {
            seed: record.u64(3),
            settings_offset: record.u32(11),
            settings_length: record.u32(15) as usize,
        }
    }
}

/// A numbered worker list, to which list updates refer.
pub struct WorkerList {
    /// Number of the list. A new list replaces an earlier one with the same number.
    pub number: u32,
    /// Offset of its entries in the tail.
    pub offset: u32,
    /// Total length of its entries in bytes.
    pub length: usize,
}

impl WorkerList {
    /// Decodes the event.
    pub fn decode(record: Record<'_>) -> Result<Self, WireError> {
        let entries = record.u32(9) as usize;
        let length = entries.checked_mul(ENTRY_BYTES).ok_or(WireError::ListTooLong)?;
        Ok(Self { number: record.u32(1), offset: record.u32(5), length })
    }
}

/// What a list update contains, relative to the worker list of the instance.
#[derive(Clone, Copy)]
pub enum ListMode {
    /// Only the changed entries.
    Delta,
    /// The complete list, either current or cached.
    Full,
    /// A subscription or a poll failed; the previous list remains valid.
    Failed,
}

/// An instance's worker list changes.
pub struct ListUpdated {
    /// Code of the mode; see [`ListUpdated::mode`].
    mode: u8,
    /// Number of the worker list with the entries; meaningless for [`ListMode::Failed`].
    pub list: u32,
}

impl ListUpdated {
    /// Decodes the event except for its mode.
    pub fn decode(record: Record<'_>) -> Self {
        Self { mode: record.u8(3), list: record.u32(12) }
    }

    /// Whether the update reports a failed subscription or poll and has no entries.
    pub fn is_failure(&self) -> bool {
        matches!(self.mode(), Ok(ListMode::Failed))
    }

    /// Decodes the mode. It is validated only for a running instance.
    pub fn mode(&self) -> Result<ListMode, WireError> {
        match self.mode {
            0 => Ok(ListMode::Delta),
            1 | 2 => Ok(ListMode::Full),
            3 => Ok(ListMode::Failed),
            other => Err(WireError::UnknownListMode(other)),
        }
    }
}

/// A request arrives.
pub struct RequestArrived {
    /// ID of the request.
    pub request: u64,
    /// ID of the function.
    pub function: u64,
    /// Index of its class.
    pub profile: usize,
    /// Index of the tenant.
    pub client: usize,
    /// Seconds until the client gives up.
    pub timeout: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Requests that one instance of the function executes concurrently.
    pub concurrency: f64,
    /// Memory of one instance of the function, in MB.
    pub memory: f64,
    /// Usual load time of the function in seconds, if reported.
    pub load_time: Option<f64>,
}

impl RequestArrived {
    const RETRY_FLAG: u8 = 2;
    const MILLISECONDS: f64 = 1e3;

    fn decode(record: Record<'_>) -> Self {
        let load_time = record.f32(30) / Self::MILLISECONDS;
        Self {
            request: record.u64(3),
            function: record.u64(34),
            profile: record.u16(19).into(),
            client: record.u32(21) as usize,
            timeout: record.seconds(15),
            is_retry: record.u8(29) & Self::RETRY_FLAG != 0,
            concurrency: record.f32(25),
            memory: record.f32(11),
            load_time: (load_time > 0.0).then_some(load_time),
        }
    }
}

/// An event of a running instance.
pub enum Event {
    /// A request arrives.
    RequestArrived(RequestArrived),
    /// An attempt's response has started to stream to the client, so the router closes the request.
    StreamStarted {
        /// ID of the request.
        request: u64,
        /// Index of the attempt.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded {
        /// ID of the request.
        request: u64,
        /// How the attempt ended.
        completion: AttemptCompletion,
    },
    /// The client of a request has disconnected.
    ClientGone {
        /// ID of the request.
        request: u64,
    },
    /// A timer fired.
    TimerFired,
    /// A health check ended.
    HealthCheckEnded {
        /// ID of the worker.
        worker: u32,
        /// Outcome of the health check.
        outcome: Outcome,
        /// The load report in the response, if any.
        report: Option<LoadReport>,
    },
    /// Another instance sent a message. The adapter's routers send none, so it is ignored.
    PeerMessage,
    /// A load request ended.
    LoadRequestEnded {
        /// ID of the worker.
        worker: u32,
        /// ID of the function.
        function: u64,
        /// Outcome of the load request.
        outcome: Outcome,
        /// Number of instances now loaded.
        instances: u8,
    },
}

impl Event {
    /// Decodes an event other than [`Start`], [`ListUpdated`], [`WorkerList`] and a stop. `report_values` contains the names
    /// of the values in a load report.
    #[inline]
    pub fn decode(record: Record<'_>, report_values: &[String]) -> Result<Self, WireError> {
        Ok(match code_of(record) {
            code::REQUEST_ARRIVED => Self::RequestArrived(RequestArrived::decode(record)),
            code::STREAM_STARTED => {
                Self::StreamStarted { request: record.u64(3), attempt: record.u16(19).into() }
            }
            code::ATTEMPT_ENDED => Self::AttemptEnded {
                request: record.u64(3),
                completion: attempt_completion(record, report_values)?,
            },
            code::CLIENT_GONE => Self::ClientGone { request: record.u64(3) },
            code::TIMER_FIRED => Self::TimerFired,
            code::HEALTH_CHECK_ENDED => Self::HealthCheckEnded {
                worker: record.u32(5),
                outcome: outcome(record.u16(3))?,
                report: load_report(record, 13, report_values)?,
            },
            code::PEER_MESSAGE => Self::PeerMessage,
            code::LOAD_REQUEST_ENDED => Self::LoadRequestEnded {
                worker: record.u32(5),
                function: record.u64(14),
                outcome: outcome(record.u16(3))?,
                instances: record.u8(13),
            },
            other => return Err(WireError::UnknownEvent(other)),
        })
    }
}

#[inline]
fn attempt_completion(record: Record<'_>, report_values: &[String]) -> Result<AttemptCompletion, WireError> {
    /// Width of the instance state in the low bits of the wire's `Note` field. The higher bits hold the number of requests of
    /// the same function that the worker had in flight.
    const STATE_BITS: u32 = 3;
    let note = record.u8(16);
    Ok(AttemptCompletion {
        attempt: record.u16(23).into(),
        outcome: outcome(record.u16(21))?,
        is_final: record.u8(15) != 0,
        latency: record.seconds(17),
        instance_state: match note & ((1 << STATE_BITS) - 1) {
            1 => Some(InstanceState::Loaded),
            2 => Some(InstanceState::LoadStarted),
            3 => Some(InstanceState::LoadAwaited),
            4 => Some(InstanceState::LoadFailed),
            _ => None,
        },
        in_flight_of_function: f64::from(note >> STATE_BITS),
        report: load_report(record, 25, report_values)?,
    })
}

fn outcome(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        200 => Outcome::Succeeded,
        502 => Outcome::Failed,
        429 => Outcome::Rejected,
        408 => Outcome::TimedOut,
        521 => Outcome::Unreachable,
        520 => Outcome::ConnectionLost,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent,
        204 => Outcome::NotLoaded,
        other => return Err(WireError::UnknownOutcome(other)),
    })
}

/// Decodes the load report at an offset; `None` if it has no values.
fn load_report(
    record: Record<'_>,
    offset: usize,
    report_values: &[String],
) -> Result<Option<LoadReport>, WireError> {
    let count = usize::from(record.u8(offset));
    if count > MAX_REPORT_VALUES {
        return Err(WireError::ReportTooLong(count));
    }
    let mut report = LoadReport::default();
    for (index, name) in report_values.iter().take(count).enumerate() {
        let value = record.f32(offset + 1 + REPORT_VALUE_BYTES * index);
        platform_settings::set_report_value(&mut report, name, value);
    }
    Ok((count > 0).then_some(report))
}

/// An entry of a worker list.
pub struct Entry {
    /// ID of the worker.
    pub worker: u32,
    /// When its process started, in microseconds of the wire's clock; `None` means that it has long been running.
    pub started: Option<u64>,
    cell: usize,
    size: f64,
    kind: usize,
    state: EndpointState,
    zone: usize,
}

impl Entry {
    /// Decodes an entry.
    pub fn decode(record: Record<'_>) -> Result<Self, WireError> {
        Ok(Self {
            worker: record.u32(0),
            started: Some(record.u64(4)).filter(|started| *started > 0),
            cell: record.u16(12).into(),
            size: record.f32(14),
            kind: record.u8(18).into(),
            state: match record.u8(19) {
                0 => EndpointState::Gone,
                1 => EndpointState::Ready,
                2 => EndpointState::Draining,
                other => return Err(WireError::UnknownWorkerState(other)),
            },
            zone: record.u8(20).into(),
        })
    }

    /// Converts the entry to the policy's type, with the worker's index and its start in seconds of the router's clock.
    pub fn to_update(&self, worker: usize, started_at: Option<f64>) -> EndpointUpdate {
        EndpointUpdate {
            worker,
            name: self.worker.into(),
            started_at,
            cell: self.cell,
            size: self.size,
            kind: self.kind,
            state: self.state,
            zone: self.zone,
        }
    }
}
