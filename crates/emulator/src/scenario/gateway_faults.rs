//! Faults on gateway processes: pauses, crashes and late starts.

use super::fleet::ScenarioRun;
use super::gateway::LaunchError;
use super::sleep;
use crate::scenario_file::ScheduledFault;
use milletpath_history_checker::HistoryEvent;
use nix::sys::signal::Signal;
use std::rc::Rc;
use tokio::task::spawn_local;

/// The time for which gateways run between two pauses, as a multiple of the pause.
const RUN_TO_PAUSE_RATIO: f64 = 2.0;

impl ScenarioRun {
    /// Repeatedly pauses some gateways.
    pub(super) async fn pause_gateways(&self, fault: &ScheduledFault) {
        let affected = self.pick(self.gateways.len(), fault.fraction);
        let end = self.context.now() + fault.duration;
        while self.context.now() < end {
            for &gateway in &affected {
                self.signal(gateway, Signal::SIGSTOP);
                self.context.record(HistoryEvent::GatewayPaused { gateway });
            }
            sleep(fault.magnitude).await;
            for &gateway in &affected {
                self.signal(gateway, Signal::SIGCONT);
                self.context.record(HistoryEvent::GatewayResumed { gateway });
            }
            sleep(RUN_TO_PAUSE_RATIO * fault.magnitude).await;
        }
    }

    fn signal(&self, gateway: usize, signal: Signal) {
        if let Err(error) = self.gateways[gateway].signal(signal) {
            tracing::error!(gateway, %signal, %error, "a gateway can't be signalled");
        }
    }

    /// Kills some gateways, and restarts them when the fault ends.
    pub(super) async fn crash_gateways(self: &Rc<Self>, fault: &ScheduledFault) {
        let affected = self.pick(self.gateways.len(), fault.fraction);
        for &gateway in &affected {
            self.context.record(HistoryEvent::GatewayKilled { gateway });
            self.gateways[gateway].kill();
        }
        // The clients' load balancer keeps sending to these gateways until it notices the crash.
        let notification_delay = self.scenario.rules.notification_delay.min(fault.duration);
        sleep(notification_delay).await;
        affected.iter().for_each(|gateway| self.load_balancer.set_alive(*gateway, false));
        sleep(fault.duration - notification_delay).await;
        self.start_gateways(affected).await;
    }

    /// Starts the gateways that join late in this fault.
    pub(super) async fn start_late_joiners(self: &Rc<Self>, fault: &ScheduledFault) {
        self.start_gateways(self.late_joiners.in_fault(&fault.name)).await;
    }

    /// Starts several gateways concurrently.
    async fn start_gateways(self: &Rc<Self>, gateways: Vec<usize>) {
        let start = |gateway| {
            let run = self.clone();
            spawn_local(async move {
                if let Err(error) = run.start_gateway(gateway).await {
                    tracing::error!(gateway, %error, "a gateway can't be started");
                }
            })
        };
        let starting: Vec<_> = gateways.into_iter().map(start).collect();
        for started in starting {
            let _ = started.await;
        }
    }

    async fn start_gateway(&self, number: usize) -> Result<(), LaunchError> {
        let gateway = &self.gateways[number];
        let process = self.launcher.launch(&gateway.config).await?;
        if let (Some(relay), Some(address)) = (&self.relay, process.membership_address) {
            relay.set_address(number, address);
        }
        gateway.set_process(process);
        self.context.record(HistoryEvent::GatewayRestarted { gateway: number });
        self.load_balancer.set_alive(number, true);
        Ok(())
    }
}
