//! Faults in single cores of the gateways.

use super::fleet::ScenarioRun;
use super::sleep;
use crate::scenario_file::{FaultKind, ScheduledFault};
use milletpath_history_checker::HistoryEvent;
use rand::Rng;

impl ScenarioRun {
    /// Repeatedly pauses one core of each gateway, chosen anew each time.
    pub(super) async fn pause_cores(&self, fault: &ScheduledFault) {
        let pause = fault.magnitude;
        let end = self.context.now() + fault.duration;
        while self.context.now() < end {
            self.inject_into_cores(fault, &format!("stall {pause}"));
            sleep(pause).await;
            self.record_resumed();
            sleep(pause).await;
        }
    }

    /// Makes one core of each gateway panic, or the dispatcher of that core.
    pub(super) async fn panic_in_cores(&self, fault: &ScheduledFault) {
        self.inject_into_cores(fault, if fault.kind == FaultKind::CorePanic { "panic" } else { "break" });
        sleep(fault.duration).await;
        self.record_resumed();
    }

    /// Injects a fault into one core of each gateway; `command` is a line of the gateways' fault input without the
    /// core's number.
    fn inject_into_cores(&self, fault: &ScheduledFault, command: &str) {
        let all_cores = || std::thread::available_parallelism().map_or(1, |cores| cores.get());
        let cores = self.scenario.cores.unwrap_or_else(all_cores);
        for (number, gateway) in self.gateways.iter().enumerate() {
            let core = self.rng.borrow_mut().random_range(0..cores);
            // The gateway is recorded as paused, because it is unknown which requests that one core has read. How its
            // other cores perform shows in the service counts.
            self.context.record(HistoryEvent::GatewayPaused { gateway: number });
            if let Err(error) = gateway.inject(core, command) {
                tracing::error!(gateway = number, fault = fault.name, %error, "a fault can't be injected");
            }
        }
    }

    fn record_resumed(&self) {
        (0..self.gateways.len())
            .for_each(|gateway| self.context.record(HistoryEvent::GatewayResumed { gateway }));
    }
}
