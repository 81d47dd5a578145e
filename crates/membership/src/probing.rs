//! Probes: in each period one member is asked, in rounds of a chance order; after part of the period again, and through
//! others. Whom nobody hears is suspected, and dead when it doesn't object in time.

use crate::datagram::{Assertion, Datagram, kind};
use crate::member::{MemberState, TimedAssertion};
use crate::membership::Membership;
use crate::view::MembershipEvent;
use std::net::SocketAddr;

/// A question that went out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    request_id: u64,
    instance_id: u64,
    sent: f64,
}

/// Questions remembered: those of half a minute, so that late answers count for what they are worth.
const MAX_PENDING_REQUESTS: usize = 512;

/// The probe of this period.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    instance_id: u64,
    started_at: f64,
    tries: u32,
    pub retry_at: f64,
    answered: bool,
}

/// A question asked for another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTask {
    request_id: u64,
    /// The question of ours that it became.
    own_request_id: u64,
    requester: u64,
}

/// Errands at a time; more than that are let go.
const MAX_PROBE_TASKS: usize = 64;

/// Bytes of sayings in one letter, and of one saying that is as the sender's own or differs: what a datagram holds
/// beside rumours.
const MAX_ASSERTION_BYTES: usize = 620;
const ASSERTION_BYTES: [usize; 2] = [16, 34];

impl Membership {
    pub(crate) fn send_request(
        &mut self,
        instance_id: u64,
        address: SocketAddr,
        kind: u8,
        subject: u64,
    ) -> u64 {
        self.last_request_id += 1;
        let mut datagram = self.new_datagram(instance_id, kind, self.last_request_id);
        datagram.subject = subject;
        datagram.updates = self.updates_for(instance_id);
        self.remember_request(PendingRequest {
            request_id: self.last_request_id,
            instance_id,
            sent: self.now,
        });
        self.enqueue(address, datagram);
        self.last_request_id
    }

    /// Goes on with the probe of this period, and begins the next when it is over.
    pub(crate) fn run_probe(&mut self) {
        /// Part of the period after which it is asked again, and ways round from the second try on: with thirty of a
        /// hundred letters lost four tries and six ways round leave one in a hundred unanswered.
        const RETRY_AFTER: f64 = 0.22;
        const TRIES: u32 = 4;
        const HELPERS: usize = 3;
        let (now, period) = (self.now, self.config.period);
        if let Some(probe) = self.probe.as_mut().filter(|p| !p.answered && now >= p.retry_at) {
            probe.tries += 1;
            let (instance_id, tries) = (probe.instance_id, probe.tries);
            probe.retry_at = if tries < TRIES { now + RETRY_AFTER * period } else { f64::INFINITY };
            if let Some(address) = self.address_of(instance_id) {
                self.send_request(instance_id, address, kind::PING, 0);
                let helper = |other: u64, m: &crate::member::Member| {
                    other != instance_id && m.state == MemberState::Alive
                };
                let helpers = if (2..TRIES).contains(&tries) {
                    self.sample_members(HELPERS, helper)
                } else {
                    Vec::new()
                };
                for (other, address) in helpers {
                    self.send_request(other, address, kind::PING_REQUEST, instance_id);
                }
            }
        }
        if now < self.period_ends_at {
            return;
        }
        // After a late turn the next period is a whole one all the same.
        self.period_ends_at = now + period;
        if let Some(probe) = self.probe.take().filter(|p| !p.answered) {
            self.counters.probes_unanswered += 1;
            self.suspect(probe.instance_id, probe.started_at);
        }
        let present = |membership: &Self, instance_id: &u64| {
            membership.members.get(instance_id).is_some_and(|m| m.state.is_present())
        };
        let mut next = self.probe_round.pop();
        while next.is_some_and(|instance_id| !present(self, &instance_id)) {
            next = self.probe_round.pop();
        }
        if next.is_none() {
            self.probe_round = self
                .sample_members(usize::MAX, |_, m| m.state.is_present())
                .into_iter()
                .map(|(id, _)| id)
                .collect();
            next = self.probe_round.pop();
        }
        if let Some((instance_id, address)) =
            next.and_then(|instance_id| Some((instance_id, self.address_of(instance_id)?)))
        {
            self.counters.probes += 1;
            self.send_request(instance_id, address, kind::PING, 0);
            let retry_at = now + RETRY_AFTER * period;
            self.probe = Some(Probe { instance_id, started_at: now, tries: 1, retry_at, answered: false });
        }
    }

    /// Seconds that a suspect has to object: for the word of it to go round, and as long as answers round_trip lately.
    pub(crate) fn suspicion_timeout(&self) -> f64 {
        /// Periods for each tenfold of gateways.
        const PERIODS: f64 = 5.0;
        let scale = (self.members.len() as f64 + 2.0).log10().max(1.0);
        PERIODS * self.config.period * scale + 3.0 * self.slowest_recent_answer()
    }

    /// The longest that an answer round_trip lately; that fades.
    fn slowest_recent_answer(&self) -> f64 {
        const HALF_LIFE: f64 = 10.0;
        self.slowest_answer.0 * (-(self.now - self.slowest_answer.1) / HALF_LIFE).exp2()
    }

    /// Whether so little was heard lately that the fault may be at this end.
    fn is_isolated(&self) -> bool {
        const PERIODS: f64 = 3.0;
        self.last_received_at < self.now - PERIODS * self.config.period
    }

    /// Suspects a member that nobody heard since then.
    pub(crate) fn suspect(&mut self, instance_id: u64, since: f64) {
        /// So many times as long where it may be this end that fails.
        const ISOLATED_FACTOR: f64 = 4.0;
        let now = self.now;
        let suspicion_ends_at =
            now + self.suspicion_timeout() * if self.is_isolated() { ISOLATED_FACTOR } else { 1.0 };
        // Where nothing at all was heard meanwhile the others are not told.
        let transmissions_left = if self.last_received_at < since { 0 } else { self.retransmit_limit() };
        let Some(m) = self.members.get_mut(&instance_id).filter(|m| m.state == MemberState::Alive) else {
            return;
        };
        (m.state, m.state_since, m.suspicion_ends_at, m.transmissions_left) =
            (MemberState::Suspect, now, suspicion_ends_at, transmissions_left);
        self.needs_review = true;
        let name = m.name.clone();
        self.record_event(MembershipEvent::Suspected { name });
    }

    /// Ends suspicions that ran out, and forgets the long dead.
    pub(crate) fn expire_suspicions(&mut self) {
        /// Seconds for which a dead member is tried retry_at: a cut that lasts longer is healed by the seeds.
        const DEAD_RETENTION: f64 = 3600.0;
        let (now, transmissions_left) =
            (self.now, if self.is_isolated() { 0 } else { self.retransmit_limit() });
        let expired: Vec<u64> = self
            .members
            .iter()
            .filter(|(_, m)| m.suspicion_ends_at <= now)
            .map(|(instance_id, _)| *instance_id)
            .collect();
        for instance_id in expired {
            let Some(m) = self.members.get_mut(&instance_id) else { continue };
            (m.state, m.state_since, m.suspicion_ends_at, m.transmissions_left) =
                (MemberState::Dead, now, f64::INFINITY, transmissions_left);
            self.needs_review = true;
            let name = m.name.clone();
            self.record_event(MembershipEvent::Died { name });
        }
        self.members.retain(|_, m| {
            m.state.is_present() || m.listed_since.is_finite() || now < m.state_since + DEAD_RETENTION
        });
    }

    /// Answers a question, with what is known of who said what.
    pub(crate) fn acknowledge(&mut self, instance_id: u64, request_id: u64) {
        let Some(address) = self.address_of(instance_id) else { return };
        // A question in its turn: so both learn of what the other knows how old it is.
        self.last_request_id += 1;
        self.remember_request(PendingRequest {
            request_id: self.last_request_id,
            instance_id,
            sent: self.now,
        });
        let mut datagram = self.new_datagram(instance_id, kind::ACK, request_id);
        datagram.subject = self.last_request_id;
        datagram.updates = self.updates_for(instance_id);
        datagram.assertions = self.assertions_for(instance_id);
        self.enqueue(address, datagram);
    }

    /// Answers the question that came with an answer.
    pub(crate) fn acknowledge_ack(&mut self, instance_id: u64, request_id: u64) {
        let Some(address) = self.address_of(instance_id) else { return };
        let mut datagram = self.new_datagram(instance_id, kind::FINAL_ACK, request_id);
        datagram.assertions = self.assertions_for(instance_id);
        self.enqueue(address, datagram);
    }

    fn remember_request(&mut self, request: PendingRequest) {
        if self.pending_requests.len() == MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        self.pending_requests.push_back(request);
    }

    /// One's own saying first, then those of others, the freshest of them.
    fn assertions_for(&self, to: u64) -> Vec<Assertion> {
        let sets = &self.own_sets;
        let own = Assertion {
            instance_id: self.identity.instance_id,
            age: 0,
            endorsed: Some(sets.endorsed),
            listed: Some(sets.listed),
        };
        let recent = |s: &TimedAssertion| self.now - s.issued_at < self.config.lease;
        let mut others: Vec<(u64, TimedAssertion)> = (self.members.iter())
            .filter(|(instance_id, _)| **instance_id != to)
            .filter_map(|(instance_id, m)| m.assertion.filter(recent).map(|s| (*instance_id, s)))
            .collect();
        others.sort_by(|a, b| b.1.issued_at.total_cmp(&a.1.issued_at));
        let mut bytes_left = MAX_ASSERTION_BYTES;
        others.retain(|(_, assertion)| {
            let bytes = ASSERTION_BYTES
                [usize::from((assertion.endorsed, assertion.listed) != (sets.endorsed, sets.listed))];
            let fits = bytes <= bytes_left;
            bytes_left -= if fits { bytes } else { 0 };
            fits
        });
        let to_wire = |(instance_id, assertion): (u64, TimedAssertion)| Assertion {
            instance_id,
            // Rounded up, and more for a clock that runs slow: a word may pass for older than it is, never younger.
            age: ((self.now - assertion.issued_at) * (1.0 + 2.0 * crate::quorum_proof::MAX_CLOCK_DRIFT) * 1e3)
                .ceil() as u32
                + 1,
            endorsed: Some(assertion.endorsed).filter(|sum| *sum != sets.endorsed),
            listed: Some(assertion.listed).filter(|sum| *sum != sets.listed),
        };
        std::iter::once(own).chain(others.into_iter().map(to_wire)).collect()
    }

    /// An answer came from `from`: the member `about` is there, and what is said in it is no older than the question.
    pub(crate) fn handle_answer(&mut self, from: u64, subject: u64, datagram: &Datagram) {
        let matching = |a: &&PendingRequest| a.request_id == datagram.request_id && a.instance_id == from;
        let Some(sent) = self.pending_requests.iter().find(matching).map(|a| a.sent) else { return };
        let round_trip = self.now - sent;
        if round_trip >= self.slowest_recent_answer() {
            self.slowest_answer = (round_trip, self.now);
        }
        let first = datagram.assertions.first().map(|s| (s.endorsed.unwrap_or(0), s.listed.unwrap_or(0)));
        for assertion in &datagram.assertions {
            let Some((endorsed, listed)) = first else { break };
            let issued_at = sent - f64::from(assertion.age) / 1e3;
            let (endorsed, listed) =
                (assertion.endorsed.unwrap_or(endorsed), assertion.listed.unwrap_or(listed));
            if let Some(m) = self.members.get_mut(&assertion.instance_id)
                && m.assertion.is_none_or(|known| known.issued_at < issued_at)
            {
                m.assertion = Some(TimedAssertion { issued_at, endorsed, listed });
            }
        }
        if let Some(probe) = self.probe.as_mut().filter(|p| p.instance_id == subject) {
            probe.answered = true;
            probe.retry_at = f64::INFINITY;
        }
        // It answered what was asked after it came under suspicion: it has the whole time once more.
        let again = self.now + self.suspicion_timeout();
        if let Some(m) =
            self.members.get_mut(&subject).filter(|m| m.state == MemberState::Suspect && sent > m.state_since)
        {
            m.suspicion_ends_at = m.suspicion_ends_at.max(again);
        }
        while let Some(n) = self.probe_tasks.iter().position(|e| e.own_request_id == datagram.request_id) {
            let Some(task) = self.probe_tasks.remove(n) else { break };
            if let Some(address) = self.address_of(task.requester) {
                let mut indirect_ack = self.new_datagram(task.requester, kind::INDIRECT_ACK, task.request_id);
                indirect_ack.subject = subject;
                indirect_ack.updates = self.updates_for(task.requester);
                indirect_ack.assertions = self.assertions_for(task.requester);
                self.enqueue(address, indirect_ack);
            }
        }
    }

    /// Asks a member for another that doesn't hear it.
    pub(crate) fn probe_on_behalf(&mut self, requester: u64, request_id: u64, subject: u64) {
        let Some(address) = self.address_of(subject) else { return };
        let own_request_id = self.send_request(subject, address, kind::PING, 0);
        if self.probe_tasks.len() == MAX_PROBE_TASKS {
            self.probe_tasks.pop_front();
        }
        self.probe_tasks.push_back(ProbeTask { request_id, own_request_id, requester });
    }
}
