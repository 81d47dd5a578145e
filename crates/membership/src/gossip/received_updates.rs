//! Application of received gossip updates to the member table.

use crate::datagram::{GossipUpdate, kind};
use crate::state::Membership;
use crate::state::event::MembershipEvent;
use crate::state::member::{Member, MemberState};

/// Expected number of gateways that probe a suspect as soon as they learn of the suspicion, whatever the cluster size.
const EXPECTED_DIRECT_PROBES: f64 = 4.0;

/// How a gossip update was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// Piggybacked on another datagram.
    Gossip,
    /// As part of another gateway's member table.
    MemberTable,
}

impl Membership {
    /// Applies a gossip update about this or another process.
    pub(crate) fn apply_update(&mut self, update: &GossipUpdate, source: UpdateSource) {
        let Some(state) = MemberState::from_wire(update.state) else { return };
        if update.instance_id == self.identity.instance_id {
            self.refute(state, update.incarnation);
            return;
        }
        let transmissions = self.retransmit_limit();
        if !self.members.contains_key(&update.instance_id) && !self.add_reported_member(update, state) {
            return;
        }
        let suspicion_ends_at = self.now + self.suspicion_timeout();
        let (now, lease) = (self.now, self.config.lease);
        let Some(member) = self.members.get_mut(&update.instance_id) else { return };
        // A death reported by a member table, or of a member that was heard from recently, counts as a suspicion
        // first, so that the member can refute it: when a partition heals, each side has declared the other dead.
        let last_contact_at = member.last_assertion_at().max(member.last_received_at);
        let had_recent_contact = member.state == MemberState::Alive && now - last_contact_at < lease;
        let refutable = source == UpdateSource::MemberTable || had_recent_contact;
        let state = match state {
            MemberState::Dead if refutable && member.state.is_present() => MemberState::Suspect,
            state => state,
        };
        if !member.is_superseded_by(update.incarnation, state) {
            return;
        }
        let former = member.state;
        member.incarnation = update.incarnation;
        match state {
            MemberState::Suspect => member.enter_suspicion(now, suspicion_ends_at, transmissions),
            state => member.enter(state, now, transmissions),
        }
        if let Some(address) = update.address.filter(|_| state == MemberState::Alive) {
            member.address = address;
        }
        self.endorsements_outdated = true;
        self.handle_state_change(update.instance_id, former, state);
    }

    /// Adds an unknown member reported by a gossip update. Returns `false` if it is not added, because it is gone or
    /// the table is full.
    fn add_reported_member(&mut self, update: &GossipUpdate, state: MemberState) -> bool {
        let (Some(name), Some(address)) = (&update.name, update.address) else { return false };
        if !state.is_present() || !self.ensure_capacity() {
            return false;
        }
        let new = Member::new(name.clone(), address, update.incarnation, self.now);
        self.add_member(update.instance_id, new);
        true
    }

    fn handle_state_change(&mut self, instance_id: u64, former: MemberState, state: MemberState) {
        let Some(member) = self.members.get(&instance_id) else { return };
        let (name, address) = (member.name.clone(), member.address);
        // Some of the gateways that learn of a suspicion ping the suspect, and the ping informs it of the suspicion.
        // Without this, a suspect that nobody happens to contact could not refute the suspicion and would be declared
        // dead.
        if state == MemberState::Suspect
            && self.rng.rand_float() * (self.members.len() as f64) < EXPECTED_DIRECT_PROBES
        {
            self.send_request(instance_id, address, kind::PING, 0);
        }
        match state {
            MemberState::Suspect if former != MemberState::Suspect => {
                self.record_event(MembershipEvent::Suspected { name });
            }
            MemberState::Dead => self.record_event(MembershipEvent::Died { name }),
            MemberState::Left => self.record_event(MembershipEvent::Left { name }),
            MemberState::Alive if !former.is_present() => {
                self.record_event(MembershipEvent::Returned { name });
            }
            _ => {}
        }
    }
}
