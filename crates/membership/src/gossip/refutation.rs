//! Refutation of false updates: this process refutes updates about itself with a higher incarnation, and notifies
//! other members of updates about them that they may need to refute.

use crate::datagram::kind;
use crate::state::Membership;
use crate::state::member::MemberState;

impl Membership {
    /// Refutes an update that reports this process as suspect, dead or left, by increasing its incarnation (SWIM,
    /// section 4.2).
    pub(crate) fn refute(&mut self, state: MemberState, incarnation: u32) {
        let false_update = state != MemberState::Alive && incarnation >= self.identity.incarnation;
        if false_update && !self.departing {
            self.identity.incarnation = incarnation.saturating_add(1);
            self.counters.refutations += 1;
        }
    }

    /// Notifies a member that sent a datagram but is recorded as suspect, dead or left, so that it can refute that. At
    /// most one notification is sent per period.
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
