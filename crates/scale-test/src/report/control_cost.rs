//! What control costs gateways and control machines.

use super::figures::{Column, MemberFigures, NamedDistribution, measured_columns};

/// What control cost each gateway while nothing happened. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlCost {
    /// Seconds over which it was measured.
    pub seconds: f64,
    /// Whether the fleet had converged at the end of it.
    pub converged: bool,
    /// Fraction of all cores that was in use, by all processes of the machine.
    pub utilization: Option<f64>,
    /// Hollow gateways whose control thread was not read in time.
    pub unread_gateways: usize,
    /// Processor time as a fraction of one core.
    pub cpu: MemberFigures,
    /// The part of the processor time that the dispatcher took for the endpoint list and its timers.
    pub dispatcher_cpu: MemberFigures,
    /// Resident memory in MB.
    pub memory_mb: MemberFigures,
    /// Bytes received a second.
    pub bytes_in: MemberFigures,
    /// Bytes sent a second.
    pub bytes_out: MemberFigures,
    /// Datagrams received a second.
    pub datagrams_in: MemberFigures,
    /// Datagrams sent a second.
    pub datagrams_out: MemberFigures,
    /// The part of it that following configuration changes took.
    pub follower: FollowerCost,
    /// What the control machines used meanwhile.
    pub control_machines: ControlMachineCost,
}

/// What following configuration changes costs each gateway. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FollowerCost {
    /// Processor time as a fraction of one core.
    pub cpu: MemberFigures,
    /// Bytes received a second.
    pub bytes_in: MemberFigures,
    /// Bytes sent a second.
    pub bytes_out: MemberFigures,
    /// Bytes of the state file.
    pub state_bytes: MemberFigures,
}

/// What the control machines used. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlMachineCost {
    /// Processor time as a fraction of one core.
    pub cpu: MemberFigures,
    /// Resident memory in MB.
    pub memory_mb: MemberFigures,
    /// Bytes received a second.
    pub bytes_in: MemberFigures,
    /// Bytes sent a second.
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

    /// The figures of gateways that were measured.
    pub(super) fn distributions(&self) -> Vec<NamedDistribution> {
        measured_columns(&Self::COLUMNS, self)
    }

    /// The parts of the cost that are listed apart, without those of which nothing was measured.
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

/// A part of the cost of control that is listed apart.
pub(super) struct CostBreakdown {
    /// Its name in JSON.
    pub key: &'static str,
    /// Its title in the table.
    pub title: &'static str,
    /// Its figures.
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
