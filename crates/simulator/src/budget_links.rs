//! Shared budgets in simulated time: the gateways' own code around the dispatchers, and messages that arrive after the
//! network's delay. All gateways know all others; membership that is not complete, and messages that are lost, are tested
//! by `milletpath-membership`, by `milletpath-shared-budgets` and with processes.

use crate::context::Context;
use crate::event::{Event, GatewayInput};
use crate::gateways::Gateways;
use crate::workers::Workers;
use milletpath_config::GatewayConfig;
use milletpath_gateway::budget_sharing::BudgetSharing;
use milletpath_membership::QuotaFraction;

/// One gateway's end.
struct BudgetLink {
    sharing: BudgetSharing,
    /// When its timer is due; infinite where none is set.
    timer: f64,
}

pub(crate) struct BudgetLinks {
    links: Vec<BudgetLink>,
    bytes_sent: f64,
}

/// The number by which others know a gateway's process; none restarts in simulated time.
fn instance_id(gateway: usize) -> u64 {
    gateway as u64 + 1
}

fn gateway_of(instance_id: u64) -> usize {
    instance_id as usize - 1
}

impl BudgetLinks {
    /// Opens the links and schedules their first ticks.
    pub fn new(context: &mut Context, configs: &[GatewayConfig]) -> Self {
        /// Seconds of a lease, as the configuration has it by default.
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

    /// Bytes of all datagrams.
    pub fn bytes_sent(&self) -> f64 {
        self.bytes_sent
    }

    /// The timer of a gateway's shared budgets is due, unless it was set to another time since.
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

    /// A message of another gateway's process arrives.
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

    /// Sends the messages that there are, and sets the timer as the thread of a gateway's link does.
    fn send_messages(&mut self, context: &mut Context, gateway: usize) {
        /// Bytes of a datagram around its message.
        const DATAGRAM_OVERHEAD: f64 = 120.0;
        /// Seconds between two ticks, at least and at most.
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
