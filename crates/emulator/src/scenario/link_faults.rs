//! Faults on the links between gateways.

use super::fleet::ScenarioRun;
use super::sleep;
use crate::relay::{Link, LinkFault, Relay};
use crate::scenario_file::{FaultKind, ScheduledFault};

impl ScenarioRun {
    /// Injects a link fault for its duration; does nothing without membership.
    pub(super) async fn inject_link_fault(&self, fault: &ScheduledFault) {
        let Some(relay) = &self.relay else { return };
        let Some(link_fault) = self.link_fault(relay, fault) else { return };
        tracing::info!(fault = fault.name, ?link_fault, "link fault injected");
        let id = relay.inject(link_fault);
        sleep(fault.duration).await;
        relay.clear(id);
    }

    fn link_fault(&self, relay: &Relay, fault: &ScheduledFault) -> Option<LinkFault> {
        let gateways = || self.pick(self.gateways.len(), fault.fraction);
        let links = || -> Vec<Link> {
            let all = relay.links();
            self.pick(all.len(), fault.fraction).into_iter().map(|number| all[number]).collect()
        };
        let fraction = fault.magnitude.min(1.0);
        Some(match fault.kind {
            FaultKind::LinkPartition => LinkFault::Partition(gateways()),
            FaultKind::LinkInboundLoss => LinkFault::InboundLoss(gateways()),
            FaultKind::LinkLoss => LinkFault::Loss { links: links(), fraction },
            FaultKind::LinkDelay => LinkFault::Delay { links: links(), mean_seconds: fault.magnitude },
            FaultKind::LinkDuplication => LinkFault::Duplication { links: links(), fraction },
            FaultKind::LinkCorruption => LinkFault::Corruption { links: links(), fraction },
            _ => return None,
        })
    }
}
