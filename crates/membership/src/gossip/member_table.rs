//! The member table: insertion, eviction, and what the sender of a datagram reports about itself.

use crate::datagram::Identity;
use crate::state::Membership;
use crate::state::event::MembershipEvent;
use crate::state::member::{Member, MemberState};

/// Table capacity in addition to twice the largest number of gateways.
const SPARE_CAPACITY: usize = 16;

/// Limit to which the `max_gateways` reported by another gateway is clamped.
const MAX_REPORTED_GATEWAYS: u32 = 100_000;

impl Membership {
    /// Records the sender of a datagram. Returns `false` if the sender is new and the table is full.
    #[must_use]
    pub(crate) fn record_sender(&mut self, sender: &Identity, sequence: u64) -> bool {
        let (now, transmissions) = (self.now, self.retransmit_limit());
        if !self.members.contains_key(&sender.instance_id) {
            if !self.ensure_capacity() {
                return false;
            }
            let new = Member::new(sender.name.clone(), sender.address, sender.incarnation, now);
            self.add_member(sender.instance_id, new);
        }
        let Some(member) = self.members.get_mut(&sender.instance_id) else { return false };
        member.replay_window.accept(sequence);
        member.last_received_at = now;
        if member.is_superseded_by(sender.incarnation, MemberState::Alive) {
            let returned = !member.state.is_present();
            member.enter(MemberState::Alive, now, transmissions);
            (member.incarnation, member.address) = (sender.incarnation, sender.address);
            self.endorsements_outdated = true;
            if returned {
                self.record_event(MembershipEvent::Returned { name: sender.name.clone() });
            }
        }
        self.record_max_gateways(sender);
        true
    }

    fn record_max_gateways(&mut self, sender: &Identity) {
        let Some(member) = self.members.get_mut(&sender.instance_id) else { return };
        let reported = sender.max_gateways.min(MAX_REPORTED_GATEWAYS);
        if std::mem::replace(&mut member.max_gateways, reported) == reported {
            return;
        }
        self.endorsements_outdated = true;
        if reported != self.identity.max_gateways {
            let name = sender.name.clone();
            self.record_event(MembershipEvent::MaxGatewaysMismatch { name, max_gateways: reported });
        }
    }

    /// Maximum number of members in the table.
    fn member_capacity(&self) -> usize {
        2 * self.max_gateways() + SPARE_CAPACITY
    }

    /// Makes room for one more member if the table is full, by evicting the unlisted member that has been gone for the
    /// longest time. Returns whether there is room.
    pub(super) fn ensure_capacity(&mut self) -> bool {
        if self.members.len() < self.member_capacity() {
            return true;
        }
        let evictable = self
            .members
            .iter()
            .filter(|(_, member)| !member.state.is_present() && member.listed_since.is_infinite());
        let oldest = evictable.min_by(|(_, a), (_, b)| a.state_since.total_cmp(&b.state_since));
        let Some(oldest) = oldest.map(|(id, _)| *id) else {
            self.counters.no_capacity += 1;
            return false;
        };
        self.members.remove(&oldest).is_some()
    }

    /// Adds a newly discovered process.
    pub(super) fn add_member(&mut self, instance_id: u64, mut new: Member) {
        new.transmissions_left = self.retransmit_limit();
        let (name, address) = (new.name.clone(), new.address);
        // It usually replaces an earlier process of the same name, which is therefore suspected and probed next.
        let predecessors: Vec<u64> = (self.members.iter())
            .filter(|(_, member)| member.name == name && member.state == MemberState::Alive)
            .map(|(id, _)| *id)
            .collect();
        for predecessor in predecessors {
            self.suspect(predecessor, f64::NEG_INFINITY);
            self.probe_round.push(predecessor);
        }
        self.members.insert(instance_id, new);
        self.endorsements_outdated = true;
        // Inserted at a random position of the current round, so that not all gateways probe it at the same time.
        let position = self.rng.rand_range(0..self.probe_round.len() as u64 + 1) as usize;
        self.probe_round.insert(position, instance_id);
        self.record_event(MembershipEvent::Joined { name, address });
    }

    /// Marks a member that announced its departure as left.
    pub(crate) fn record_departure(&mut self, instance_id: u64) {
        let (now, transmissions) = (self.now, self.retransmit_limit());
        let Some(member) = self.members.get_mut(&instance_id) else { return };
        if member.state == MemberState::Left {
            return;
        }
        member.enter(MemberState::Left, now, transmissions);
        let name = member.name.clone();
        self.endorsements_outdated = true;
        self.record_event(MembershipEvent::Left { name });
    }
}
