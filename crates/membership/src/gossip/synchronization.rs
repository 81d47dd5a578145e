//! Anti-entropy: a gateway periodically compares its complete member table with that of a random member, and also
//! contacts a dead member or a seed, so that the sides of a healed partition find each other again.

use crate::datagram::{GossipUpdate, kind};
use crate::gossip::dissemination::UPDATE_OVERHEAD_BYTES;
use crate::state::member::MemberState;
use crate::state::{Contact, Membership};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum size of the updates in one page of a member table.
const MAX_PAGE_BYTES: usize = 1100;

/// Maximum number of member table pages sent in response to one digest.
const MAX_PAGES: usize = 5;

/// Average interval between synchronizations, in periods.
const SYNC_PERIODS: f64 = 2.5;

/// Average number of synchronizations per period while no other gateway is known to be present.
const SYNCS_PER_PERIOD_WITHOUT_PEERS: f64 = 4.0;

impl Membership {
    /// Order-independent digest of all processes believed present, including this one: the sum of their hashes.
    fn presence_digest(&self) -> u64 {
        let present = self.members.iter().filter(|(_, member)| member.state.is_present());
        std::iter::once(self.identity.instance_id)
            .chain(present.map(|(id, _)| *id))
            .fold(0, |sum: u64, id| sum.wrapping_add(xxh3_64(&id.to_le_bytes())))
    }

    /// Starts a synchronization if one is due.
    pub(crate) fn synchronize(&mut self) {
        if self.now < self.next_sync_at {
            return;
        }
        let without_peers = !self.members.values().any(|member| member.state.is_present());
        let wait = self.config.period
            * if without_peers { 1.0 / SYNCS_PER_PERIOD_WITHOUT_PEERS } else { SYNC_PERIODS };
        // Jitter prevents gateways from synchronizing in lockstep.
        self.next_sync_at = self.now + wait * (0.75 + 0.5 * self.rng.rand_float());
        let candidates = self.reconnect_candidates();
        let mut receivers = self.sample_members(1, |_, member| member.state.is_present());
        if !candidates.is_empty() {
            receivers.push(candidates[self.rng.rand_range(0..candidates.len() as u64) as usize]);
        }
        for receiver in receivers {
            let mut datagram = self.new_datagram(receiver.instance_id, kind::DIGEST, 0);
            datagram.digest = self.presence_digest();
            datagram.updates = self.updates_for(receiver.instance_id);
            self.enqueue(receiver.address, datagram);
        }
    }

    /// Contacts through which a healed partition can be detected: dead members whose name no present member has, and
    /// seeds at whose address no member is known.
    fn reconnect_candidates(&self) -> Vec<Contact> {
        let replaced =
            |name: &str| self.members.values().any(|member| member.state.is_present() && member.name == name);
        let dead = (self.members.iter())
            .filter(|(_, member)| member.state == MemberState::Dead && !replaced(&member.name))
            .map(|(id, member)| Contact { instance_id: *id, address: member.address });
        let unknown = |address: &&SocketAddr| !self.members.values().any(|m| m.address == **address);
        let seeds = self.seeds.iter().filter(unknown);
        dead.chain(seeds.map(|address| Contact { instance_id: 0, address: *address })).collect()
    }

    /// Handles the digest of another gateway. If it differs, sends the local table, and also the local digest unless
    /// the received one is itself a response.
    pub(crate) fn handle_digest(&mut self, sender: u64, request_id: u64, digest: u64) {
        let Some(address) = self.address_of(sender) else { return };
        if digest == self.presence_digest() {
            return;
        }
        if request_id == 0 {
            let mut datagram = self.new_datagram(sender, kind::DIGEST, 1);
            datagram.digest = self.presence_digest();
            self.enqueue(address, datagram);
        }
        for page in self.table_pages(sender) {
            let mut datagram = self.new_datagram(sender, kind::MEMBER_TABLE, 0);
            datagram.updates = page;
            self.enqueue(address, datagram);
        }
    }

    /// Splits the member table, without the receiver itself, into at most [`MAX_PAGES`] pages. It starts at a random
    /// member, so that a larger table is transferred completely over several synchronizations.
    fn table_pages(&mut self, receiver: u64) -> Vec<Vec<GossipUpdate>> {
        let ids: Vec<u64> = self.members.keys().copied().filter(|id| *id != receiver).collect();
        let start = self.rng.rand_range(0..ids.len() as u64 + 1) as usize;
        let rotated = ids[start..].iter().chain(&ids[..start]);
        let mut pages = vec![Vec::new()];
        let mut bytes_left = MAX_PAGE_BYTES;
        for id in rotated {
            let update = self.members[id].gossip_update(*id);
            let bytes = UPDATE_OVERHEAD_BYTES + update.name.as_ref().map_or(0, String::len);
            if bytes > bytes_left {
                if pages.len() == MAX_PAGES {
                    break;
                }
                pages.push(Vec::new());
                bytes_left = MAX_PAGE_BYTES;
            }
            bytes_left -= bytes;
            pages.last_mut().into_iter().for_each(|page| page.push(update.clone()));
        }
        pages
    }
}
