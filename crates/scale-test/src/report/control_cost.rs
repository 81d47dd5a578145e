//! Control-plane cost of gateways and control machines.

use super::figures::{Column, MemberFigures, NamedDistribution, measured_columns};

/// Control-plane cost of each gateway in steady state. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlCost {
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Whether the fleet had converged at the end of the measurement.
    pub converged: bool,
    /// Utilization of all cores by all processes of the machine, from 0 to 1.
    pub utilization: Option<f64>,
    /// Number of hollow gateways whose two readings were not timely or not of one process.
    pub unread_gateways: usize,
    /// Processor time as a fraction of one core.
    pub cpu: MemberFigures,
    /// The part of `cpu` that the dispatcher spent on the endpoint list and its timers.
    pub dispatcher_cpu: MemberFigures,
    /// Resident memory in MB.
    pub memory_mb: MemberFigures,
    /// Bytes received per second.
    pub bytes_in: MemberFigures,
    /// Bytes sent per second.
    pub bytes_out: MemberFigures,
    /// Datagrams received per second.
    pub datagrams_in: MemberFigures,
    /// Datagrams sent per second.
    pub datagrams_out: MemberFigures,
    /// The part of the cost caused by following configuration changes.
    pub follower: FollowerCost,
    /// Cost of the control machines during the measurement.
    pub control_machines: ControlMachineCost,
}

/// Cost of following configuration changes for each gateway. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowerCost {
    /// Processor time as a fraction of one core.
    pub cpu: MemberFigures,
    /// Bytes received per second.
    pub bytes_in: MemberFigures,
    /// Bytes sent per second.
    pub bytes_out: MemberFigures,
    /// Size of the state file in bytes.
    pub state_bytes: MemberFigures,
}

/// Resource usage of the control machines. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlMachineCost {
    /// Processor time as a fraction of one core.
    pub cpu: MemberFigures,
    /// Resident memory in MB.
    pub memory_mb: MemberFigures,
    /// Bytes received per second.
    pub bytes_in: MemberFigures,
    /// Bytes sent per second.
    pub bytes_out: MemberFigures,
}

impl ControlCost {
    const COLUMNS: [Column<Self>; 7] = [
        Column { key: "cpu", label: "cpu, of a core", figures: |cost| &cost.cpu },
        Column { key: "cpu_desk", label: "  of it in the desk", figures: |cost| &cost.dispatcher_cpu },
        Column { key: "memory_mb", label: "memory, MB", figures: |cost| &cost.memory_mb },
        Column { key: "bytes_in", label: "bytes in a second", figures: |cost| &cost.bytes_in },
        Column { key: "bytes_out", label: "bytes out a second", figures: |cost| &cost.bytes_out },
        Column { key: "letters_in", label: "letters in a second", figures: |cost| &cost.datagrams_in },
        Column { key: "letters_out", label: "letters out a second", figures: |cost| &cost.datagrams_out },
    ];

    /// Distributions of the metrics that were measured.
    pub(super) fn distributions(&self) -> Vec<NamedDistribution> {
        measured_columns(&Self::COLUMNS, self)
    }

    /// The parts of the cost that are listed separately, without those that were not measured.
    pub(super) fn breakdowns(&self) -> Vec<CostBreakdown> {
        let all = [
            CostBreakdown {
                key: "control_changes",
                title: "of it following changes",
                distributions: measured_columns(&FollowerCost::COLUMNS, &self.follower),
            },
            CostBreakdown {
                key: "control_machines",
                title: "of one control machine",
                distributions: measured_columns(&ControlMachineCost::COLUMNS, &self.control_machines),
            },
        ];
        all.into_iter().filter(|breakdown| !breakdown.distributions.is_empty()).collect()
    }
}

/// A part of the control-plane cost that is listed separately.
pub(super) struct CostBreakdown {
    /// Name in JSON.
    pub key: &'static str,
    /// Title in the table.
    pub title: &'static str,
    /// Distributions of its metrics.
    pub distributions: Vec<NamedDistribution>,
}

impl FollowerCost {
    const COLUMNS: [Column<Self>; 4] = [
        Column { key: "bytes_in", label: "bytes_in", figures: |cost| &cost.bytes_in },
        Column { key: "bytes_out", label: "bytes_out", figures: |cost| &cost.bytes_out },
        Column { key: "cpu", label: "cpu", figures: |cost| &cost.cpu },
        Column { key: "state_bytes", label: "state_bytes", figures: |cost| &cost.state_bytes },
    ];
}

impl ControlMachineCost {
    const COLUMNS: [Column<Self>; 4] = [
        Column { key: "bytes_in", label: "bytes_in", figures: |cost| &cost.bytes_in },
        Column { key: "bytes_out", label: "bytes_out", figures: |cost| &cost.bytes_out },
        Column { key: "cpu", label: "cpu", figures: |cost| &cost.cpu },
        Column { key: "memory_mb", label: "memory_mb", figures: |cost| &cost.memory_mb },
    ];
}
