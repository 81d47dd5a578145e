//! Faults in the registry.

use super::fleet::ScenarioRun;
use super::sleep;
use crate::registry::RegistryFault;
use crate::scenario_file::{FaultKind, ScheduledFault};

impl ScenarioRun {
    /// Injects a registry fault for its duration: updates are delayed, withheld, lost, duplicated or emptied.
    pub(super) async fn inject_registry_fault(&self, fault: &ScheduledFault) {
        if fault.kind == FaultKind::RegistryEmptied {
            self.registry.set_emptied(true);
            sleep(fault.duration).await;
            self.registry.set_emptied(false);
            return;
        }
        self.registry.set_fault(registry_fault(fault));
        sleep(fault.duration).await;
        self.registry.set_fault(RegistryFault::default());
    }
}

fn registry_fault(fault: &ScheduledFault) -> RegistryFault {
    let none = RegistryFault::default();
    match fault.kind {
        FaultKind::RegistryDelay => RegistryFault { delay: fault.magnitude, ..none },
        FaultKind::RegistryStall => RegistryFault { stalled: true, ..none },
        FaultKind::RegistryLoss => RegistryFault { loses_revisions: true, ..none },
        FaultKind::RegistryDuplication => RegistryFault { duplicates: true, ..none },
        _ => none,
    }
}
