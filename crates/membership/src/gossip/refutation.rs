//! Refutation of false updates: this process refutes its own death with a higher incarnation, and informs others of false
//! updates that they may want to refute.

use crate::datagram::kind;
use crate::state::Membership;
use crate::state::member::MemberState;

impl Membership {
    /// Refutes an update that calls this process suspect, dead or gone, by a higher incarnation (SWIM, section 4.2).
    pub(crate) fn refute(&mut self, state: MemberState, incarnation: u32) {
        let false_update = state != MemberState::Alive && incarnation >= self.identity.incarnation;
        if false_update && !self.departing {
            self.identity.incarnation = incarnation.saturating_add(1);
            self.counters.refutations += 1;
        }
    }

    /// Informs a member that just sent a datagram, but counts as suspect or gone, at most once in a period, so that it can
    /// refute that.
    pub(crate) fn notify_sender_of_its_state(&mut self, instance_id: u64) {
        let (now, period) = (self.now, self.config.period);
        let Some(member) = self.members.get_mut(&instance_id) else { return };
        if member.state == MemberState::Alive || now - member.last_notified_at < period {
            return;
        }
        member.last_notified_at = now;
        let (address, update) = (member.address, member.gossip_update(instance_id));
        let mut announcement = self.new_datagram(instance_id, kind::ANNOUNCE, 0);
        announcement.updates.push(update);
        self.enqueue(address, announcement);
    }
}
