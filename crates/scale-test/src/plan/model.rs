//! The data model of a plan. All times are in seconds.

use super::action::Action;
use super::region::Zone;

/// A plan of a scale test.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Name of the plan, repeated in the report.
    pub name: String,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Number of gateways, hollow and real.
    pub gateways: usize,
    /// Number of gateways that are `milletpath serve` processes; they have the lowest numbers.
    pub real_gateways: usize,
    /// Number of host processes that share the hollow gateways.
    pub host_processes: usize,
    /// Parameters of the membership protocol.
    pub membership: MembershipParameters,
    /// Budgets shared by all gateways.
    pub budgets: BudgetParameters,
    /// Number of control machines; 0 if the gateways don't follow configuration changes.
    pub control_machines: usize,
    /// Zones of all regions, in the order of the plan.
    pub zones: Vec<Zone>,
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Latency and loss of the links.
    pub links: LinkParameters,
    /// Numbers of hollow and real workers.
    pub workers: WorkerCounts,
    /// Total rate of calls to the real gateways, in calls per second.
    pub calls_per_second: f64,
    /// Number of functions that are called in turn.
    pub functions: usize,
    /// Components that the gateways run.
    pub components: Vec<Component>,
    /// Limits on the control-plane cost of one gateway.
    pub limits: ResourceLimits,
    /// Plays in order of execution.
    pub plays: Vec<Play>,
    /// Time limit of the run; plays that do not end within it are reported as not played.
    pub time_limit: f64,
    /// Limit on the total resident memory of the run's processes, in GB.
    pub memory_limit_gb: f64,
}

/// Parameters of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipParameters {
    /// Health check period.
    pub period: f64,
    /// How long a quorum proof is valid.
    pub lease: f64,
    /// Fraction of its share that a gateway keeps without a valid quorum proof.
    pub floor: f64,
}

/// Budgets shared by all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetParameters {
    /// Quota of the only client group in calls per second, over all gateways.
    pub quota: f64,
    /// Window of the load rate limit.
    pub load_window: f64,
    /// Load requests allowed to each gateway within a window.
    pub load_requests: f64,
}

/// Latency and loss of the links.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkParameters {
    /// One-way latency within a region.
    pub within_region: f64,
    /// One-way latency between regions, indexed by both regions.
    pub between_regions: Vec<Vec<f64>>,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
}

/// Numbers of workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerCounts {
    /// Entries in the endpoint list of the hollow gateways; nothing listens at their addresses.
    pub hollow: usize,
    /// Emulated workers of the real gateways.
    pub real: usize,
}

/// A component of the gateways' control plane that a run can include.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// Membership protocol.
    Membership,
    /// Budgets shared by all gateways.
    Budgets,
    /// Endpoint list of workers.
    EndpointList,
    /// Replicated log of configuration changes.
    ConfigChanges,
}

impl Component {
    /// All components, in the order of the documentation.
    pub const ALL: [Self; 4] = [Self::Membership, Self::Budgets, Self::EndpointList, Self::ConfigChanges];

    /// Keyword in plans and reports.
    #[must_use]
    pub fn keyword(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Budgets => "budgets",
            Self::EndpointList => "list",
            Self::ConfigChanges => "changes",
        }
    }

    /// Returns the component with this keyword.
    pub(super) fn from_keyword(keyword: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|component| component.keyword() == keyword)
    }
}

/// Limits on the control-plane cost of one gateway; `None` disables a check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceLimits {
    /// Processor time as a fraction of one core.
    pub cpu_cores: Option<f64>,
    /// Resident memory in MB.
    pub memory_mb: Option<f64>,
    /// Bytes per second, in each direction.
    pub bytes_per_second: Option<f64>,
    /// Time from the proposal of a configuration change until the last gateway has applied it.
    pub change_seconds: Option<f64>,
}

/// One step of a run: an action on the fleet, with what to wait for and to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Play {
    /// Label in reports.
    pub label: String,
    /// Action to perform.
    pub action: Action,
    /// How long to wait for the fleet to converge; `None` to not wait.
    pub settle_timeout: Option<f64>,
    /// Number of configuration changes to propose during the play.
    pub changes: usize,
    /// Time over which the changes are proposed.
    pub proposal_period: f64,
}
