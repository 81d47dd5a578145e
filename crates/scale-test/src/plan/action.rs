//! Actions on the fleet that a play can perform.

use super::region::RegionPair;

/// The action of a play. All times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts all gateways in a random order that depends on the seed.
    Start {
        /// Time over which the starts are spread evenly.
        duration: f64,
    },
    /// Leaves the fleet alone while the control-plane cost is measured.
    SteadyState {
        /// Duration of the measurement.
        duration: f64,
    },
    /// Gracefully shuts down gateways and restarts them under the same names.
    RollingRestart {
        /// Number of gateways to restart.
        gateways: usize,
        /// Time over which the restarts are spread evenly.
        duration: f64,
    },
    /// Kills gateways of one zone at once, and restarts them when all others have detected the failure.
    RackFailure {
        /// Number of gateways to kill.
        gateways: usize,
        /// Maximum time until they are restarted.
        downtime: f64,
    },
    /// Kills all gateways and control machines of a zone at once, and restarts them when all others have detected the
    /// failure.
    ZoneFailure {
        /// Index of the zone.
        zone: usize,
        /// Maximum time until they are restarted.
        downtime: f64,
    },
    /// Drops all datagrams between two regions.
    Partition {
        /// The two regions.
        regions: RegionPair,
        /// Time until the partition heals.
        duration: f64,
    },
    /// Removes the workers of a zone from the endpoint list in one revision and adds them again in several.
    EndpointUpdates {
        /// Index of the zone.
        zone: usize,
        /// Number of revisions in which the workers are added.
        revisions: usize,
        /// Time over which these revisions are spread evenly.
        duration: f64,
    },
    /// Proposes the configuration changes of the play and does nothing else.
    ConfigChanges,
    /// Kills the leader of the control machines when half of the play's changes are proposed.
    LeaderFailure {
        /// Time until it is restarted with its log.
        downtime: f64,
    },
}

impl Action {
    /// Kind of this action.
    #[must_use]
    pub fn kind(&self) -> ActionKind {
        match self {
            Self::Start { .. } => ActionKind::Start,
            Self::SteadyState { .. } => ActionKind::SteadyState,
            Self::RollingRestart { .. } => ActionKind::RollingRestart,
            Self::RackFailure { .. } => ActionKind::RackFailure,
            Self::ZoneFailure { .. } => ActionKind::ZoneFailure,
            Self::Partition { .. } => ActionKind::Partition,
            Self::EndpointUpdates { .. } => ActionKind::EndpointUpdates,
            Self::ConfigChanges => ActionKind::ConfigChanges,
            Self::LeaderFailure { .. } => ActionKind::LeaderFailure,
        }
    }

    /// Default time over which changes are proposed during this action.
    pub(super) fn default_proposal_period(&self) -> f64 {
        match self {
            Self::SteadyState { duration }
            | Self::Start { duration }
            | Self::RollingRestart { duration, .. }
            | Self::EndpointUpdates { duration, .. } => *duration,
            Self::RackFailure { .. }
            | Self::ZoneFailure { .. }
            | Self::Partition { .. }
            | Self::ConfigChanges
            | Self::LeaderFailure { .. } => 1.0,
        }
    }
}

/// The kind of an action, without its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActionKind {
    /// See [`Action::Start`].
    Start,
    /// See [`Action::SteadyState`].
    SteadyState,
    /// See [`Action::RollingRestart`].
    RollingRestart,
    /// See [`Action::RackFailure`].
    RackFailure,
    /// See [`Action::ZoneFailure`].
    ZoneFailure,
    /// See [`Action::Partition`].
    Partition,
    /// See [`Action::EndpointUpdates`].
    EndpointUpdates,
    /// See [`Action::ConfigChanges`].
    ConfigChanges,
    /// See [`Action::LeaderFailure`].
    LeaderFailure,
}

impl ActionKind {
    /// All kinds. A report lists those that the plan does not include.
    pub const ALL: [Self; 9] = [
        Self::Start,
        Self::SteadyState,
        Self::RollingRestart,
        Self::RackFailure,
        Self::ZoneFailure,
        Self::Partition,
        Self::EndpointUpdates,
        Self::ConfigChanges,
        Self::LeaderFailure,
    ];

    /// Keyword in plans and reports.
    #[must_use]
    pub fn keyword(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::SteadyState => "settled",
            Self::RollingRestart => "restarts",
            Self::RackFailure => "rack",
            Self::ZoneFailure => "zone",
            Self::Partition => "cut",
            Self::EndpointUpdates => "list",
            Self::ConfigChanges => "changes",
            Self::LeaderFailure => "control",
        }
    }
}
