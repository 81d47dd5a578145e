//! Shared budgets in simulated time: the gateways' own budget-sharing code on top of the dispatchers, with messages that
//! arrive after the network delay. Every gateway knows all others. Incomplete membership and lost messages are tested by
//! `milletpath-membership`, by `milletpath-shared-budgets` and with real processes.

use crate::context::Context;
use crate::event::{Event, GatewayInput};
use crate::gateways::Gateways;
use crate::workers::Workers;
use milletpath_config::GatewayConfig;
use milletpath_gateway::budget_sharing::BudgetSharing;
use milletpath_membership::QuotaFraction;

/// One gateway's endpoint of the shared-budget links.
struct BudgetLink {
    sharing: BudgetSharing,
    /// Time at which its timer is due; infinity if none is set.
    timer: f64,
}

pub(crate) struct BudgetLinks {
    links: Vec<BudgetLink>,
    bytes_sent: f64,
}

/// The ID by which other gateways know a gateway's process. It is fixed, because gateways do not restart in simulated time.
fn instance_id(gateway: usize) -> u64 {
    gateway as u64 + 1
}

fn gateway_of(instance_id: u64) -> usize {
    instance_id as usize - 1
}

impl BudgetLinks {
    /// Opens the links and schedules their first ticks.
    pub fn new(context: &mut Context, configs: &[GatewayConfig]) -> Self {
        /// Duration of a lease in seconds: the default of the configuration.
        const LEASE: f64 = 3.0;
        for gateway in 0..configs.len() {
            context.schedule(0.0, Event::Gateway { gateway, input: GatewayInput::BudgetTimer });
        }
        let link = |(gateway, config)| {
            let sharing = BudgetSharing::new(config, instance_id(gateway), LEASE, 0.0);
            BudgetLink { sharing, timer: 0.0 }
        };
        Self { links: configs.iter().enumerate().map(link).collect(), bytes_sent: 0.0 }
    }

    /// Total bytes of all datagrams.
    pub fn bytes_sent(&self) -> f64 {
        self.bytes_sent
    }

    /// Handles the shared-budget timer of a gateway, unless the timer has been rescheduled in the meantime.
    pub fn timer_due(
        &mut self,
        context: &mut Context,
        gateways: &mut Gateways,
        workers: &mut Workers,
        gateway: usize,
    ) {
        let count = self.links.len();
        let BudgetLink { sharing, timer } = &mut self.links[gateway];
        if *timer > context.now {
            return;
        }
        let others = (0..count).filter(|other| *other != gateway).map(instance_id).collect();
        let fraction = QuotaFraction {
            likely_gateways: count as f64,
            fraction: 1.0,
            floor_fraction: 1.0,
            valid_until: f64::INFINITY,
        };
        *timer = f64::INFINITY;
        gateways.input(context, workers, gateway, |dispatcher, now| {
            sharing.tick(dispatcher, now, &fraction, others);
        });
        self.send_messages(context, gateway);
    }

    /// Handles a message from another gateway's process.
    pub fn message_arrives(
        &mut self,
        context: &mut Context,
        gateways: &mut Gateways,
        workers: &mut Workers,
        gateway: usize,
        sender: u64,
        bytes: &[u8],
    ) {
        let sharing = &mut self.links[gateway].sharing;
        gateways.input(context, workers, gateway, |dispatcher, now| {
            sharing.receive(dispatcher, now, sender, bytes);
        });
        self.send_messages(context, gateway);
    }

    /// Sends all pending messages and sets the timer, as the link thread of a real gateway does.
    fn send_messages(&mut self, context: &mut Context, gateway: usize) {
        /// Bytes that a datagram adds to its message.
        const DATAGRAM_OVERHEAD: f64 = 120.0;
        /// Minimum and maximum seconds between two ticks.
        const SHORTEST_INTERVAL: f64 = 0.001;
        const LONGEST_INTERVAL: f64 = 0.05;
        let BudgetLink { sharing, timer } = &mut self.links[gateway];
        while let Some(message) = sharing.next_message() {
            self.bytes_sent += DATAGRAM_OVERHEAD + message.bytes.len() as f64;
            let input = GatewayInput::BudgetMessage { sender: instance_id(gateway), bytes: message.bytes };
            context.send(Event::Gateway { gateway: gateway_of(message.recipient), input });
        }
        let now = context.now;
        let next = sharing.next_deadline().clamp(now + SHORTEST_INTERVAL, now + LONGEST_INTERVAL);
        if next < *timer {
            *timer = next;
            context.schedule(next, Event::Gateway { gateway, input: GatewayInput::BudgetTimer });
        }
    }
}
