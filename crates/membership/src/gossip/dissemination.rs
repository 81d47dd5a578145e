//! Selection of the gossip updates that are piggybacked on a datagram.

use crate::datagram::GossipUpdate;
use crate::state::Membership;
use crate::state::member::MemberState;

/// Maximum size of the updates in one datagram, which leaves room for assertions.
const MAX_UPDATE_BYTES: usize = 500;

/// Size of an encoded update without the name.
pub(super) const UPDATE_OVERHEAD_BYTES: usize = 40;

impl Membership {
    /// How many times an update is transmitted: `4 log10(n)`, enough to reach nearly all of n gateways (SWIM, section
    /// 4.1). The remaining ones are reached by table synchronization.
    pub(crate) fn retransmit_limit(&self) -> u32 {
        (4.0 * (self.members.len() as f64 + 2.0).log10()).ceil() as u32
    }

    /// Selects the updates for one receiver: first the update about the receiver if it is not considered alive, so
    /// that it can refute it, then those transmitted least often.
    pub(crate) fn updates_for(&mut self, receiver: u64) -> Vec<GossipUpdate> {
        let own_state = self.members.get(&receiver).filter(|member| member.state != MemberState::Alive);
        let mut updates: Vec<_> =
            own_state.map(|member| member.gossip_update(receiver)).into_iter().collect();
        let mut candidates: Vec<_> = self
            .members
            .iter()
            .filter(|(id, member)| member.transmissions_left > 0 && **id != receiver)
            .map(|(id, member)| (member.transmissions_left, *id))
            .collect();
        candidates.sort_by(|a, b| b.cmp(a));
        let mut bytes_left = MAX_UPDATE_BYTES;
        for (_, subject) in candidates {
            let Some(member) = self.members.get_mut(&subject) else { continue };
            let Some(rest) = bytes_left.checked_sub(UPDATE_OVERHEAD_BYTES + member.name.len()) else { break };
            bytes_left = rest;
            member.transmissions_left -= 1;
            updates.push(member.gossip_update(subject));
        }
        updates
    }
}
