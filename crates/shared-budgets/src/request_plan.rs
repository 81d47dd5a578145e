//! Plans how much of a budget to request from each gateway.

use crate::lease::{GatewayLevel, sort_by_level};
use crate::ledger::Ledger;
use crate::process_id::ProcessId;

/// Leases are returned once the level held exceeds the desired level by this factor.
const RELEASE_FACTOR: f64 = 1.2;

/// Total requested from gateways whose spare level is unknown, as a multiple of the missing level.
const PROBE_FACTOR: f64 = 2.0;

/// The levels to request so that `desired` is held in total: the levels already held from current lenders, and the rest
/// from gateways that may have budget to spare.
pub(crate) fn plan_requests(
    ledger: &Ledger,
    peers: &[ProcessId],
    now: f64,
    desired: f64,
) -> Vec<GatewayLevel> {
    let mut plan = ledger.lenders(now);
    let total_held: f64 = plan.iter().map(|request| request.level).sum();
    if total_held > RELEASE_FACTOR * desired {
        return_surplus(&mut plan, total_held - desired);
    }
    let mut missing = desired - total_held;
    if missing > 0.0 {
        missing = request_known_spare(&mut plan, ledger, peers, now, missing);
    }
    if missing > 0.0 {
        probe_peers(&mut plan, ledger, peers, now, missing);
    }
    plan
}

/// Lowers the levels by a total of `surplus`, the smallest first, to reduce the number of lenders.
fn return_surplus(plan: &mut [GatewayLevel], mut surplus: f64) {
    for request in plan.iter_mut().rev() {
        let returned = request.level.min(surplus);
        request.level -= returned;
        surplus -= returned;
    }
}

/// Requests the missing level from gateways with a known spare level, the largest first. Returns what is still missing.
fn request_known_spare(
    plan: &mut Vec<GatewayLevel>,
    ledger: &Ledger,
    peers: &[ProcessId],
    now: f64,
    mut missing: f64,
) -> f64 {
    let spare_of = |peer: &ProcessId| {
        let level = ledger.reported_spare(now, *peer)?;
        Some(GatewayLevel { gateway: *peer, level })
    };
    let mut spare: Vec<GatewayLevel> = peers.iter().filter_map(spare_of).collect();
    spare.retain(|peer| peer.level > 0.0);
    sort_by_level(&mut spare);
    for peer in spare {
        let level = peer.level.min(missing);
        increase_request(plan, peer.gateway, level);
        missing -= level;
        if missing <= 0.0 {
            break;
        }
    }
    missing
}

/// Requests part of the missing level from each gateway whose spare level is unknown.
fn probe_peers(plan: &mut Vec<GatewayLevel>, ledger: &Ledger, peers: &[ProcessId], now: f64, missing: f64) {
    let unknown: Vec<ProcessId> =
        peers.iter().copied().filter(|peer| ledger.reported_spare(now, *peer).is_none()).collect();
    let level_per_peer = (PROBE_FACTOR * missing / unknown.len().max(1) as f64).min(missing);
    for peer in unknown {
        increase_request(plan, peer, level_per_peer);
    }
}

/// Increases the level to request from a gateway.
fn increase_request(plan: &mut Vec<GatewayLevel>, gateway: ProcessId, by: f64) {
    match plan.iter_mut().find(|request| request.gateway == gateway) {
        Some(request) => request.level += by,
        None => plan.push(GatewayLevel { gateway, level: by }),
    }
}
