//! Requirements that the fleet does not meet at the target size: because a mechanism is missing, by design, according
//! to a scale test, or because a projected value exceeds its limit.

use crate::assumptions::Assumptions;
use crate::number::number;
use crate::projection::Projection;
use crate::scale::{Distribution, ScaleRun};

/// Prefix of the violation that a scale test reports if membership never converged.
const NEVER_CONVERGED_PREFIX: &str = "never settled";

/// A requirement that is not met at the target size.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortfall {
    /// The requirement.
    pub description: String,
    /// Why the requirement is not met.
    pub reason: String,
    /// The fraction of the target size from which on the requirement is not met.
    pub breaking_point: f64,
    /// See [`Projection::breaks_below_measured`].
    pub breaks_below_measured: bool,
}

impl Shortfall {
    /// A shortfall whose breaking point was observed or calculated rather than projected.
    fn observed(description: impl Into<String>, reason: String, breaking_point: f64) -> Self {
        Self { description: description.into(), reason, breaking_point, breaks_below_measured: false }
    }

    /// The shortfall of a projection that exceeds its limit.
    fn projected(projection: &Projection) -> Self {
        let reason = format!(
            "{}: {} {}, limit {}; {}",
            projection.mechanism,
            number(projection.value),
            projection.unit,
            projection.limit.map_or(String::new(), number),
            projection.provenance(),
        );
        Self {
            description: projection.description.clone(),
            reason,
            breaking_point: projection.breaking_point.unwrap_or(1.0),
            breaks_below_measured: projection.breaks_below_measured,
        }
    }
}

/// Combines the projections that exceed their limit with other shortfalls, sorted by breaking point.
pub fn rank(projections: &[Projection], others: &[Shortfall]) -> Vec<Shortfall> {
    let exceeded = projections.iter().filter(|projection| projection.exceeds_limit());
    let mut ranked: Vec<Shortfall> =
        others.iter().cloned().chain(exceeded.map(Shortfall::projected)).collect();
    ranked.sort_by(|a, b| a.breaking_point.total_cmp(&b.breaking_point));
    ranked
}

/// Shortfalls that do not follow from a projection: configuration changes that do not reach all gateways in time,
/// failures in scale tests, and the loss of quorum when regions are partitioned.
pub fn shortfalls(assumptions: &Assumptions, scale_runs: &[ScaleRun]) -> Vec<Shortfall> {
    let found = [
        config_propagation(assumptions, scale_runs),
        control_cpu(assumptions, scale_runs),
        membership_convergence(assumptions, scale_runs),
        quorum_across_regions(assumptions),
    ];
    found.into_iter().flatten().collect()
}

/// Propagation of configuration changes is missing, too slow in a scale test, or untested at the target size.
fn config_propagation(assumptions: &Assumptions, scale_runs: &[ScaleRun]) -> Option<Shortfall> {
    let target = &assumptions.target;
    let (gateways, bound) = (target.gateways, target.config_propagation_seconds);
    let propagation_by_size = |run: &ScaleRun| Some((run.gateways as f64, *run.change_propagation()?));
    let observed: Vec<(f64, Distribution)> = scale_runs.iter().filter_map(propagation_by_size).collect();
    let largest = observed.iter().map(|(size, _)| *size).fold(0.0, f64::max);
    let late = observed.iter().filter(|(_, propagation)| !propagation.reached_all_in(bound));
    let (reason, breaking_point) = match late.min_by(|a, b| a.0.total_cmp(&b.0)) {
        _ if observed.is_empty() => {
            ("there is no mechanism: `serve` reads its configuration at start only".into(), 1.0 / gateways)
        }
        Some((size, propagation)) => (late_propagation(*size, propagation), size / gateways),
        None if largest < gateways => {
            (format!("not shown among more than {largest} gateways in a scale test"), largest / gateways)
        }
        None => return None,
    };
    let description = format!("a configuration change is in force at every gateway within {bound} s");
    Some(Shortfall::observed(description, reason, breaking_point.min(1.0)))
}

fn late_propagation(gateways: f64, propagation: &Distribution) -> String {
    let worst = propagation.worst.or(propagation.p99);
    let worst = worst.map_or("no time was measured".into(), |seconds| format!("{seconds} s"));
    let never = propagation.never.unwrap_or(0);
    format!(
        "among {gateways} gateways in a scale test, worst case: {worst}; gateways that never learned of it: {never}"
    )
}

/// The smallest fleet in a scale test, which uses real threads and sockets, whose median gateway spent more CPU on
/// control than the target allows.
fn control_cpu(assumptions: &Assumptions, scale_runs: &[ScaleRun]) -> Option<Shortfall> {
    let target = &assumptions.target;
    let median_percent = |run: &ScaleRun| run.control.get("cpu")?.p50.map(|cpu| 100.0 * cpu);
    let exceeds = |run: &&ScaleRun| median_percent(run).is_some_and(|cpu| cpu > target.cpu_percent);
    let smallest = scale_runs.iter().filter(exceeds).min_by_key(|run| run.gateways)?;
    let saturated = if smallest.is_saturated() { ", on a saturated machine" } else { "" };
    let reason = format!(
        "{} % (p50) among {} gateways, limit {} ([{file}](capacity/{file})){saturated}; the smallest fleet that \
         misses",
        number(median_percent(smallest)?),
        smallest.gateways,
        target.cpu_percent,
        file = smallest.file,
    );
    let description = "CPU for control in the scale test, median of the gateways";
    Some(Shortfall::observed(description, reason, smallest.gateways as f64 / target.gateways))
}

/// The smallest fleet whose membership did not converge in some step of a scale test.
fn membership_convergence(assumptions: &Assumptions, scale_runs: &[ScaleRun]) -> Option<Shortfall> {
    let violation = |run: &ScaleRun| {
        let descriptions = run.broken.iter().filter_map(|broken| broken.as_str());
        descriptions.map(str::to_owned).find(|description| description.starts_with(NEVER_CONVERGED_PREFIX))
    };
    let failed = scale_runs.iter().filter_map(|run| Some((run, violation(run)?)));
    let (smallest, violation) = failed.min_by_key(|(run, _)| run.gateways)?;
    let reason = format!(
        "{violation} ([{file}](capacity/{file})); the smallest fleet that misses",
        file = smallest.file
    );
    let breaking_point = smallest.gateways as f64 / assumptions.target.gateways;
    Some(Shortfall::observed("membership converges, in the scale test", reason, breaking_point))
}

/// If regions of equal size are partitioned from each other, none of them has a quorum, from two regions on.
fn quorum_across_regions(assumptions: &Assumptions) -> Option<Shortfall> {
    let target = &assumptions.target;
    let lacks_quorum = |regions: &usize| target.gateways / *regions as f64 <= target.gateways / 2.0;
    let regions = (1..=target.regions as usize).find(lacks_quorum)?;
    let reason = format!(
        "calculated from `membership::quorum`: a quorum needs assertions of more than half of all gateways, so \
         of {regions} equal regions that are partitioned none has one, nor of {}; each gateway uses its floor \
         meanwhile",
        target.regions
    );
    let description = "partitioned regions keep a quorum for shared budgets";
    Some(Shortfall::observed(description, reason, regions as f64 / target.regions))
}
