//! What a plan holds. All times are in seconds.

use super::action::Action;
use super::region::Zone;

/// A plan of a scale run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The plan's name, which the report repeats.
    pub name: String,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Number of gateways, hollow and real.
    pub gateways: usize,
    /// How many of the gateways are processes of `milletpath serve`; they have the lowest numbers.
    pub real_gateways: usize,
    /// Number of host processes that share the hollow gateways.
    pub host_processes: usize,
    /// Parameters of the membership protocol.
    pub membership: MembershipParameters,
    /// Budgets that all gateways share.
    pub budgets: BudgetParameters,
    /// Number of control machines; none where no configuration changes are followed.
    pub control_machines: usize,
    /// Zones of all regions, in the order of the plan.
    pub zones: Vec<Zone>,
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Latency and loss of the links.
    pub links: LinkParameters,
    /// Hollow and real workers.
    pub workers: WorkerCounts,
    /// Calls a second that all real gateways receive together.
    pub calls_per_second: f64,
    /// Number of functions that are called in turn.
    pub functions: usize,
    /// The components that gateways run.
    pub components: Vec<Component>,
    /// What the control of one gateway may use.
    pub limits: ResourceLimits,
    /// The plays, in their order.
    pub plays: Vec<Play>,
    /// Seconds that the run may take; plays that do not end within them are reported as not played.
    pub time_limit: f64,
    /// Resident memory that all processes of the run may have together, in GB.
    pub memory_limit_gb: f64,
}

/// Parameters of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipParameters {
    /// Seconds between two health checks of a gateway.
    pub period: f64,
    /// Seconds for which a quorum proof is valid.
    pub lease: f64,
    /// Fraction of its share that a gateway keeps without a valid quorum proof.
    pub floor: f64,
}

/// Budgets that all gateways share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetParameters {
    /// Quota of the one client group in calls a second, over all gateways.
    pub quota: f64,
    /// Window of the load rate limit in seconds.
    pub load_window: f64,
    /// Load requests of each gateway within a window.
    pub load_requests: f64,
}

/// Latency and loss of the links between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkParameters {
    /// Seconds one way within a region.
    pub within_region: f64,
    /// Seconds one way between regions, by the indices of both.
    pub between_regions: Vec<Vec<f64>>,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
}

/// How many workers there are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkerCounts {
    /// Entries of the endpoint list that hollow gateways follow; nothing listens at their addresses.
    pub hollow: usize,
    /// Emulated workers of the real gateways.
    pub real: usize,
}

/// A part of a gateway's control that a run can include.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// The membership protocol.
    Membership,
    /// Budgets that all gateways share.
    Budgets,
    /// The endpoint list of workers.
    EndpointList,
    /// The replicated log of configuration changes.
    ConfigChanges,
}

impl Component {
    /// All components, in the order of the documentation.
    pub const ALL: [Self; 4] = [Self::Membership, Self::Budgets, Self::EndpointList, Self::ConfigChanges];

    /// The word for it in plans and reports.
    #[must_use]
    pub fn keyword(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Budgets => "budgets",
            Self::EndpointList => "list",
            Self::ConfigChanges => "changes",
        }
    }

    /// The component of that word.
    pub(super) fn from_keyword(keyword: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|component| component.keyword() == keyword)
    }
}

/// What the control of one gateway may use; nothing is checked where there is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceLimits {
    /// Processor time as a fraction of one core.
    pub cpu_cores: Option<f64>,
    /// Resident memory in MB.
    pub memory_mb: Option<f64>,
    /// Bytes a second, in each direction.
    pub bytes_per_second: Option<f64>,
    /// Seconds from the proposal of a configuration change until it is applied at the last gateway.
    pub change_seconds: Option<f64>,
}

/// One step of a run: something that happens to the fleet, and what is waited for and measured after it.
#[derive(Clone, Debug, PartialEq)]
pub struct Play {
    /// The label by which reports name it.
    pub label: String,
    /// What happens.
    pub action: Action,
    /// Seconds that the fleet has until it converges; none where that is not waited for.
    pub settle_timeout: Option<f64>,
    /// Number of configuration changes that are proposed meanwhile.
    pub changes: usize,
    /// Seconds over which the changes are proposed.
    pub proposal_period: f64,
}
