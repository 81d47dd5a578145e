//! What gateways share in simulated time: the cores as they are around the desks, and notes that take their way or are lost.
//! Who is there is known to all; that a part of them may not be known is played by `milletpath-membership` and in processes.

use crate::simulation::{Event, NETWORK_DELAY, Simulation};
use milletpath_config::GatewayConfig;
use milletpath_gateway::budget_sharing::BudgetSharing;
use milletpath_membership::QuotaFraction;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) struct Links {
    sharing: Vec<BudgetSharing>,
    /// When each is to be looked after next.
    armed: Vec<f64>,
    /// Part of the notes that is lost.
    pub lost: f64,
    sent: f64,
    chance: ChaCha8Rng,
}

/// A process's number of chance: the gateway's own, as none begins anew here.
fn life(gateway: usize) -> u64 {
    gateway as u64 + 1
}

impl Links {
    pub fn new(houses: &[GatewayConfig], seed: u64) -> Self {
        /// Seconds for which words count as proof: the usual.
        const LEASE: f64 = 3.0;
        let sharing =
            houses.iter().enumerate().map(|(n, house)| BudgetSharing::new(house, life(n), LEASE, 0.0));
        let chance = ChaCha8Rng::seed_from_u64(seed ^ 0x11_4b5);
        Self { sharing: sharing.collect(), armed: vec![0.0; houses.len()], lost: 0.0, sent: 0.0, chance }
    }

    pub fn bytes(&self) -> f64 {
        self.sent
    }
}

impl Simulation<'_> {
    pub(crate) fn share(&mut self, gateway: usize) {
        let others = (0..self.dispatchers.len()).filter(|other| *other != gateway).map(life).collect();
        let parts = QuotaFraction {
            likely_gateways: self.dispatchers.len() as f64,
            fraction: 1.0,
            floor: 1.0,
            valid_until: f64::INFINITY,
        };
        let Some(mut links) = self.links.take() else { return };
        if links.armed[gateway] <= self.now {
            links.armed[gateway] = f64::INFINITY;
            self.at_dispatcher(gateway, |dispatcher, now| {
                links.sharing[gateway].tick(dispatcher, now, &parts, others);
            });
            self.post(gateway, &mut links);
        }
        self.links = Some(links);
    }

    pub(crate) fn noted(&mut self, gateway: usize, life: u64, note: &[u8]) {
        let Some(mut links) = self.links.take() else { return };
        self.at_dispatcher(gateway, |dispatcher, now| {
            links.sharing[gateway].receive(dispatcher, now, life, note);
        });
        self.post(gateway, &mut links);
        self.links = Some(links);
    }

    /// Sends what there is to send, and sets the clock: as often as the link's thread looks.
    fn post(&mut self, gateway: usize, links: &mut Links) {
        /// Bytes of a letter around its note; seconds between two looks at most.
        const AROUND: f64 = 120.0;
        const LOOK: f64 = 0.05;
        while let Some(message) = links.sharing[gateway].next_message() {
            links.sent += AROUND + message.bytes.len() as f64;
            if !links.chance.random_bool(links.lost) {
                self.put(
                    self.now + NETWORK_DELAY,
                    Event::Note(message.recipient as usize - 1, life(gateway), message.bytes),
                );
            }
        }
        let next = links.sharing[gateway].next_deadline().clamp(self.now + 0.001, self.now + LOOK);
        if next < links.armed[gateway] {
            links.armed[gateway] = next;
            self.put(next, Event::ShareBudgets(gateway));
        }
    }
}
