//! The faults that a scenario schedules, and their keywords in scenario files.

/// A fault with its schedule.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Its label in the scenario file.
    pub name: String,
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it begins, in seconds after the start of the scenario.
    pub at: f64,
    /// Its duration in seconds.
    pub duration: f64,
    /// The fraction of the workers, functions, clients, gateways or links that it affects.
    pub fraction: f64,
    /// The severity; its unit depends on the kind.
    pub magnitude: f64,
}

impl ScheduledFault {
    /// Whether it is active at this time, in seconds after the start of the scenario.
    #[must_use]
    pub fn is_active(&self, at: f64) -> bool {
        (self.at..self.at + self.duration).contains(&at)
    }
}

/// The kinds of faults. `magnitude` refers to [`ScheduledFault::magnitude`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Worker processes end immediately; new ones replace them, which warm up and listen on other addresses.
    WorkerCrash,
    /// Workers are drained, stopped and replaced one after the other.
    RollingReplacement,
    /// Workers are listed as draining, and as ready afterwards.
    Drain,
    /// Workers immediately fail a fraction (magnitude) of their requests.
    RequestFailures,
    /// Workers accept requests and respond to none.
    Unresponsiveness,
    /// A fraction (magnitude) of the responses is lost after the work is done.
    LostResponses,
    /// Workers are slower by a factor (magnitude).
    Slowness,
    /// Workers reject requests of one client group, although they have free capacity.
    FalseRejections,
    /// New versions of functions are released: the existing instances take no more requests.
    FunctionRelease,
    /// The request rate is higher by a factor (magnitude).
    TrafficBurst,
    /// A fraction of the requests is for functions that are requested only once.
    OneTimeFunctions,
    /// A fraction of the requests is for a few new functions (magnitude).
    HotFunctions,
    /// A fraction of the requests takes more work by a factor (magnitude).
    HeavyRequests,
    /// A fraction of the clients waits only for a fraction (magnitude) of the latency objective.
    ImpatientClients,
    /// Fetches from the store take longer by a factor (magnitude).
    StoreSlowness,
    /// The store rejects all fetches.
    StoreRejections,
    /// The store has an outage.
    StoreOutage,
    /// A fraction (magnitude) of the responses is truncated to half its length.
    TruncatedResponses,
    /// A fraction (magnitude) of the responses is replaced by garbage.
    GarbageResponses,
    /// A fraction (magnitude) of the responses ends with a reset of the connection.
    ConnectionResets,
    /// Gateway processes are repeatedly paused for some seconds (magnitude).
    GatewayPause,
    /// Gateway processes are killed and restarted.
    GatewayCrash,
    /// A core of each gateway is repeatedly paused for some seconds (magnitude).
    CorePause,
    /// A core of each gateway panics.
    CorePanic,
    /// The dispatcher of a core of each gateway panics.
    DispatcherPanic,
    /// Updates of the endpoint list are delayed by some seconds (magnitude).
    RegistryDelay,
    /// Updates of the endpoint list are withheld until the fault ends.
    RegistryStall,
    /// Every other revision of the endpoint list is lost.
    RegistryLoss,
    /// Every update of the endpoint list is sent twice.
    RegistryDuplication,
    /// The endpoint list appears empty.
    RegistryEmptied,
    /// A fraction (magnitude) of the datagrams between gateways is lost, on a fraction of the links.
    LinkLoss,
    /// Some gateways are partitioned from the others, in both directions.
    LinkPartition,
    /// Some gateways receive no datagrams, but still send them.
    LinkInboundLoss,
    /// Datagrams are delayed by some seconds (magnitude) on average, and may be reordered.
    LinkDelay,
    /// A fraction (magnitude) of the datagrams is sent again later.
    LinkDuplication,
    /// A fraction (magnitude) of the datagrams is replaced: truncated, changed, random, forged, too long, or replayed.
    LinkCorruption,
    /// Some gateways start only when this fault begins.
    LateGatewayStart,
}

/// A keyword in scenario files, with the kind of fault that it names and its defaults.
pub(super) struct FaultKeyword {
    /// The keyword.
    pub(super) keyword: &'static str,
    /// The kind of fault that it names.
    pub(super) kind: FaultKind,
    /// The default of [`ScheduledFault::fraction`].
    pub(super) fraction: f64,
    /// The default of [`ScheduledFault::magnitude`].
    pub(super) magnitude: f64,
}

const fn keyword(keyword: &'static str, kind: FaultKind, fraction: f64, magnitude: f64) -> FaultKeyword {
    FaultKeyword { keyword, kind, fraction, magnitude }
}

/// All keywords, in the order in which error messages list them.
pub(super) const FAULT_KEYWORDS: [FaultKeyword; 37] = [
    keyword("death", FaultKind::WorkerCrash, 0.2, 1.0),
    keyword("rolling", FaultKind::RollingReplacement, 0.5, 1.0),
    keyword("drain", FaultKind::Drain, 0.2, 1.0),
    keyword("failures", FaultKind::RequestFailures, 0.2, 0.6),
    keyword("silence", FaultKind::Unresponsiveness, 0.15, 1.0),
    keyword("lost-answers", FaultKind::LostResponses, 0.2, 0.5),
    keyword("slowness", FaultKind::Slowness, 0.2, 5.0),
    keyword("wrong-full", FaultKind::FalseRejections, 0.3, 0.9),
    keyword("release", FaultKind::FunctionRelease, 0.8, 1.0),
    keyword("burst", FaultKind::TrafficBurst, 1.0, 2.0),
    keyword("one-offs", FaultKind::OneTimeFunctions, 0.1, 1.0),
    keyword("hot", FaultKind::HotFunctions, 0.2, 3.0),
    keyword("heavy", FaultKind::HeavyRequests, 0.01, 12.0),
    keyword("impatience", FaultKind::ImpatientClients, 0.6, 0.4),
    keyword("store-slow", FaultKind::StoreSlowness, 1.0, 4.0),
    keyword("store-refuses", FaultKind::StoreRejections, 1.0, 1.0),
    keyword("store-stops", FaultKind::StoreOutage, 1.0, 1.0),
    keyword("half-answers", FaultKind::TruncatedResponses, 0.2, 0.3),
    keyword("garbage", FaultKind::GarbageResponses, 0.2, 0.3),
    keyword("resets", FaultKind::ConnectionResets, 0.2, 0.3),
    keyword("gateway-stall", FaultKind::GatewayPause, 0.5, 0.5),
    keyword("gateway-kill", FaultKind::GatewayCrash, 0.5, 1.0),
    keyword("core-stall", FaultKind::CorePause, 1.0, 0.5),
    keyword("core-panic", FaultKind::CorePanic, 1.0, 1.0),
    keyword("desk-break", FaultKind::DispatcherPanic, 1.0, 1.0),
    keyword("list-late", FaultKind::RegistryDelay, 1.0, 3.0),
    keyword("list-stalled", FaultKind::RegistryStall, 1.0, 1.0),
    keyword("list-lost", FaultKind::RegistryLoss, 1.0, 1.0),
    keyword("list-repeated", FaultKind::RegistryDuplication, 1.0, 1.0),
    keyword("list-emptied", FaultKind::RegistryEmptied, 1.0, 1.0),
    keyword("link-lost", FaultKind::LinkLoss, 1.0, 0.2),
    keyword("link-cut", FaultKind::LinkPartition, 0.4, 1.0),
    keyword("link-deaf", FaultKind::LinkInboundLoss, 0.1, 1.0),
    keyword("link-late", FaultKind::LinkDelay, 1.0, 0.5),
    keyword("link-repeat", FaultKind::LinkDuplication, 1.0, 0.3),
    keyword("link-garbage", FaultKind::LinkCorruption, 1.0, 0.3),
    keyword("gateway-join", FaultKind::LateGatewayStart, 0.3, 1.0),
];

/// The keyword with which a label begins: `death` is one, and `death-at-night` is another fault of the same kind.
pub(super) fn keyword_of(label: &str) -> Option<&'static FaultKeyword> {
    let names = |fault: &&FaultKeyword| {
        let rest = label.strip_prefix(fault.keyword);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with("-at-"))
    };
    FAULT_KEYWORDS.iter().find(names)
}
