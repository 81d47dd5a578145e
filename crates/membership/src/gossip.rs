//! Words about members: rumours that go along with every letter, and the exchange of all that is known, now and then,
//! with the dead and the seeds too, so that a healed cut closes.

use crate::datagram::{GossipUpdate, Identity, kind};
use crate::member::{Member, MemberState};
use crate::membership::Membership;
use crate::view::MembershipEvent;

/// Bytes of rumours in one letter, which fit a datagram with sayings, and in one page of a table; and what a rumour
/// takes beside a name.
const MAX_UPDATE_BYTES: usize = 500;
const MAX_PAGE_BYTES: usize = 1100;
const UPDATE_OVERHEAD_BYTES: usize = 40;

/// Gateways that ask a suspect of whom they heard; on average, however many there are.
const EXPECTED_DIRECT_PROBES: f64 = 4.0;

/// The largest number of gateways that is believed of another's charter.
const MAX_BELIEVED_GATEWAYS: u32 = 100_000;

/// Pages of a table at a time.
const MAX_PAGES: usize = 5;

impl Membership {
    /// How often a rumour is passed on: enough for it to reach all but a few by chance, and those by exchange.
    pub(crate) fn retransmit_limit(&self) -> u32 {
        (4.0 * (self.members.len() as f64 + 2.0).log10()).ceil() as u32
    }

    /// Members known at most: twice those that there may be, and some.
    fn member_capacity(&self) -> usize {
        2 * self.max_gateways() + 16
    }

    /// Somebody's word of itself. False where there is no room for it.
    pub(crate) fn record_sender(&mut self, identity: &Identity, sequence: u64) -> bool {
        let (now, transmissions) = (self.now, self.retransmit_limit());
        if !self.members.contains_key(&identity.instance_id) {
            if !self.ensure_capacity() {
                return false;
            }
            self.add_member(
                identity.instance_id,
                Member::new(
                    identity.name.clone(),
                    identity.address,
                    identity.incarnation,
                    MemberState::Alive,
                    now,
                ),
            );
        }
        let Some(m) = self.members.get_mut(&identity.instance_id) else { return false };
        m.replay_window.accept(sequence);
        m.last_received_at = now;
        if m.is_superseded_by(identity.incarnation, MemberState::Alive) {
            let returned = !m.state.is_present();
            (m.state, m.state_since, m.suspicion_ends_at) = (MemberState::Alive, now, f64::INFINITY);
            self.needs_review = true;
            (m.incarnation, m.address, m.transmissions_left) =
                (identity.incarnation, identity.address, transmissions);
            if returned {
                self.record_event(MembershipEvent::Returned { name: identity.name.clone() });
            }
        }
        let Some(m) = self.members.get_mut(&identity.instance_id) else { return false };
        let stated = identity.max_gateways.min(MAX_BELIEVED_GATEWAYS);
        let changed = std::mem::replace(&mut m.max_gateways, stated) != stated;
        self.needs_review |= changed;
        if changed && stated != self.identity.max_gateways {
            self.record_event(MembershipEvent::MaxGatewaysMismatch {
                name: identity.name.clone(),
                max_gateways: stated,
            });
        }
        true
    }

    /// Room for one more member, at the cost of the longest dead.
    fn ensure_capacity(&mut self) -> bool {
        if self.members.len() < self.member_capacity() {
            return true;
        }
        let dead = self.members.iter().filter(|(_, m)| !m.state.is_present() && m.listed_since.is_infinite());
        let oldest = dead
            .min_by(|(_, a), (_, b)| a.state_since.total_cmp(&b.state_since))
            .map(|(instance_id, _)| *instance_id);
        match oldest {
            Some(instance_id) => self.members.remove(&instance_id).is_some(),
            None => {
                self.counters.no_capacity += 1;
                false
            }
        }
    }

    /// A process that was not known before.
    fn add_member(&mut self, instance_id: u64, mut new: Member) {
        new.transmissions_left = self.retransmit_limit();
        let (name, address) = (new.name.clone(), new.address);
        // Most often it has taken the place of a former one, which is asked at once.
        let former: Vec<u64> = (self.members.iter())
            .filter(|(_, m)| m.name == name && m.state == MemberState::Alive)
            .map(|(instance_id, _)| *instance_id)
            .collect();
        for instance_id in former {
            self.suspect(instance_id, f64::NEG_INFINITY);
            self.probe_round.push(instance_id);
        }
        self.members.insert(instance_id, new);
        self.needs_review = true;
        // Into the round under way, at a place of chance.
        let position = self.rng.rand_range(0..self.probe_round.len() as u64 + 1) as usize;
        self.probe_round.insert(position, instance_id);
        self.record_event(MembershipEvent::Joined { name, address });
    }

    /// What is said of somebody; `table` where it is part of all that another knows.
    pub(crate) fn apply_update(&mut self, r: &GossipUpdate, from_table: bool) {
        let Some(state) = MemberState::from_wire(r.state) else { return };
        if r.instance_id == self.identity.instance_id {
            // Whatever it is, it is not so.
            if state != MemberState::Alive && r.incarnation >= self.identity.incarnation && !self.departing {
                self.identity.incarnation = r.incarnation.saturating_add(1);
                self.counters.refutations += 1;
            }
            return;
        }
        let (now, transmissions, lease) = (self.now, self.retransmit_limit(), self.config.lease);
        if !self.members.contains_key(&r.instance_id) {
            // Of the dead that nobody here knew there is nothing to say.
            let (Some(name), Some(address)) = (&r.name, r.address) else { return };
            if !state.is_present() || !self.ensure_capacity() {
                return;
            }
            self.add_member(
                r.instance_id,
                Member::new(name.clone(), address, r.incarnation, MemberState::Alive, now),
            );
        }
        let suspicion_ends_at = now + self.suspicion_timeout();
        let Some(m) = self.members.get_mut(&r.instance_id) else { return };
        // Whom this gateway hears of all the while is given the time to object: two halves of a fleet that meet again
        // each hold the other for dead.
        let heard_lately =
            m.state == MemberState::Alive && now - m.last_assertion_at().max(m.last_received_at) < lease;
        let state = if state == MemberState::Dead && (from_table || heard_lately) && m.state.is_present() {
            MemberState::Suspect
        } else {
            state
        };
        if !m.is_superseded_by(r.incarnation, state) {
            return;
        }
        let before = m.state;
        (m.incarnation, m.state, m.state_since, m.transmissions_left) =
            (r.incarnation, state, now, transmissions);
        self.needs_review = true;
        m.suspicion_ends_at = if state == MemberState::Suspect { suspicion_ends_at } else { f64::INFINITY };
        if let Some(address) = r.address.filter(|_| state == MemberState::Alive) {
            m.address = address;
        }
        let (name, address) = (m.name.clone(), m.address);
        // Some of those who hear of it ask the suspect themselves, and so it hears of it too: with nobody near it would
        // be buried for want of a chance to object.
        if state == MemberState::Suspect
            && self.rng.rand_float() * (self.members.len() as f64) < EXPECTED_DIRECT_PROBES
        {
            self.send_request(r.instance_id, address, kind::PING, 0);
        }
        match state {
            MemberState::Suspect if before != MemberState::Suspect => {
                self.record_event(MembershipEvent::Suspected { name })
            }
            MemberState::Dead => self.record_event(MembershipEvent::Died { name }),
            MemberState::Left => self.record_event(MembershipEvent::Left { name }),
            MemberState::Alive if !before.is_present() => {
                self.record_event(MembershipEvent::Returned { name })
            }
            _ => {}
        }
    }

    /// What to tell a member along the way: first what is wrongly said of it, then what was told least.
    pub(crate) fn updates_for(&mut self, instance_id: u64) -> Vec<GossipUpdate> {
        let wrong = self.members.get(&instance_id).filter(|m| m.state != MemberState::Alive);
        let mut updates: Vec<_> = wrong.map(|m| m.gossip_update(instance_id)).into_iter().collect();
        let mut candidates: Vec<_> = self
            .members
            .iter()
            .filter(|(id, m)| m.transmissions_left > 0 && **id != instance_id)
            .map(|(id, m)| (m.transmissions_left, *id))
            .collect();
        candidates.sort_by(|a, b| b.cmp(a));
        let mut bytes_left = MAX_UPDATE_BYTES;
        for (_, subject) in candidates {
            let Some(m) = self.members.get_mut(&subject) else { continue };
            let Some(rest) = bytes_left.checked_sub(UPDATE_OVERHEAD_BYTES + m.name.len()) else { break };
            bytes_left = rest;
            m.transmissions_left -= 1;
            updates.push(m.gossip_update(subject));
        }
        updates
    }

    /// A member that was just heard and counts as gone is told so: it may object.
    pub(crate) fn correct_sender(&mut self, instance_id: u64) {
        let (now, period) = (self.now, self.config.period);
        let Some(m) = self.members.get_mut(&instance_id).filter(|m| m.state != MemberState::Alive) else {
            return;
        };
        if now - m.last_corrected_at < period {
            return;
        }
        m.last_corrected_at = now;
        let (address, update) = (m.address, m.gossip_update(instance_id));
        let mut announcement = self.new_datagram(instance_id, kind::ANNOUNCE, 0);
        announcement.updates.push(update);
        self.enqueue(address, announcement);
    }

    /// It said itself that it goes.
    pub(crate) fn record_departure(&mut self, instance_id: u64) {
        let (now, transmissions) = (self.now, self.retransmit_limit());
        let Some(m) = self.members.get_mut(&instance_id).filter(|m| m.state != MemberState::Left) else {
            return;
        };
        (m.state, m.state_since, m.suspicion_ends_at, m.transmissions_left) =
            (MemberState::Left, now, f64::INFINITY, transmissions);
        self.needs_review = true;
        let name = m.name.clone();
        self.record_event(MembershipEvent::Left { name });
    }

    /// A sum over all that are believed to be there, whatever their order.
    fn presence_digest(&self) -> u64 {
        let present =
            self.members.iter().filter(|(_, m)| m.state.is_present()).map(|(instance_id, _)| *instance_id);
        std::iter::once(self.identity.instance_id).chain(present).fold(0, |sum: u64, instance_id| {
            sum.wrapping_add(xxhash_rust::xxh3::xxh3_64(&instance_id.to_le_bytes()))
        })
    }

    /// Now and then compares all that is known: with the dead and the seeds, so that a healed cut closes; with anybody.
    pub(crate) fn synchronize(&mut self) {
        /// Periods between two; while nobody is known, so many a period.
        const PERIODS: f64 = 2.5;
        const ALONE: f64 = 4.0;
        if self.now < self.next_sync_at {
            return;
        }
        let alone = !self.members.values().any(|m| m.state.is_present());
        let wait = self.config.period * if alone { 1.0 / ALONE } else { PERIODS };
        // Out of step with the others.
        self.next_sync_at = self.now + wait * (0.75 + 0.5 * self.rng.rand_float());
        // The dead whose name nobody has taken, and the seeds where nobody is.
        let accepted = |membership: &Self, name: &str| {
            membership.members.values().any(|m| m.state.is_present() && m.name == name)
        };
        let mut lost: Vec<_> = (self.members.iter())
            .filter(|(_, m)| m.state == MemberState::Dead && !accepted(self, &m.name))
            .map(|(instance_id, m)| (*instance_id, m.address))
            .collect();
        let unknown =
            |address: &&std::net::SocketAddr| !self.members.values().any(|m| m.address == **address);
        lost.extend(self.seeds.iter().filter(unknown).map(|address| (0, *address)));
        let mut receivers: Vec<_> = self.sample_members(1, |_, m| m.state.is_present());
        if !lost.is_empty() {
            receivers.push(lost[self.rng.rand_range(0..lost.len() as u64) as usize]);
        }
        for (instance_id, address) in receivers {
            let mut datagram = self.new_datagram(instance_id, kind::DIGEST, 0);
            datagram.digest = self.presence_digest();
            datagram.updates = self.updates_for(instance_id);
            self.enqueue(address, datagram);
        }
    }

    /// Another tells what it knows in one sum; what differs is told in full, and asked for once.
    pub(crate) fn handle_digest(&mut self, instance_id: u64, request_id: u64, digest: u64) {
        let Some(address) = self.address_of(instance_id) else { return };
        if digest == self.presence_digest() {
            return;
        }
        if request_id == 0 {
            let mut datagram = self.new_datagram(instance_id, kind::DIGEST, 1);
            datagram.digest = self.presence_digest();
            self.enqueue(address, datagram);
        }
        // From a place of chance on, so that a table that is too long for one time goes over in several.
        let all: Vec<u64> = self.members.keys().copied().filter(|other| *other != instance_id).collect();
        let from = self.rng.rand_range(0..all.len() as u64 + 1) as usize;
        let turned = all[from..].iter().chain(&all[..from]);
        let (mut pages, mut bytes_left) = (vec![Vec::new()], MAX_PAGE_BYTES);
        for other in turned {
            let update = self.members[other].gossip_update(*other);
            let bytes = UPDATE_OVERHEAD_BYTES + update.name.as_ref().map_or(0, String::len);
            if bytes > bytes_left {
                if pages.len() == MAX_PAGES {
                    break;
                }
                pages.push(Vec::new());
                bytes_left = MAX_PAGE_BYTES;
            }
            bytes_left -= bytes;
            pages.last_mut().into_iter().for_each(|p| p.push(update.clone()));
        }
        for page in pages {
            let mut datagram = self.new_datagram(instance_id, kind::MEMBER_TABLE, 0);
            datagram.updates = page;
            self.enqueue(address, datagram);
        }
    }
}
