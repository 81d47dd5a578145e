//! Probing: one member is pinged per period, in rounds of random order (SWIM, section 4.3). An unanswered ping is
//! repeated within the period, and other members are asked to ping the target as well (indirect probes).

use crate::datagram::{Datagram, kind};
use crate::state::Membership;
use crate::state::member::{Member, MemberState, TimedAssertion};
use crate::state::probe::{IndirectProbe, MAX_INDIRECT_PROBES, Probe, SlowestRoundTrip};

/// Fraction of the period after which an unanswered ping is repeated.
const RETRY_AFTER: f64 = 0.22;

/// Direct pings per probe. At 30 % datagram loss, four pings and six ping requests leave about 1 % of the probes
/// unanswered.
const MAX_PINGS: u32 = 4;

/// Number of members that receive a ping request along with each ping of a probe except the first and the last.
const PING_REQUEST_FANOUT: usize = 3;

impl Membership {
    /// Retries the current probe, and starts the next one if the period has ended.
    pub(crate) fn run_probe(&mut self) {
        self.retry_probe();
        if self.now < self.period_ends_at {
            return;
        }
        // Counted from now, so that the next period has its full length even if this call is late.
        self.period_ends_at = self.now + self.config.period;
        self.finish_probe();
        if let Some(target) = self.next_probe_target() {
            self.start_probe(target);
        }
    }

    fn retry_probe(&mut self) {
        let (now, retry_after) = (self.now, RETRY_AFTER * self.config.period);
        let Some(probe) = self.probe.as_mut().filter(|p| !p.answered && now >= p.retry_at) else { return };
        probe.pings_sent += 1;
        probe.retry_at = if probe.pings_sent < MAX_PINGS { now + retry_after } else { f64::INFINITY };
        let (target, pings_sent) = (probe.instance_id, probe.pings_sent);
        let Some(address) = self.address_of(target) else { return };
        self.send_request(target, address, kind::PING, 0);
        if !(2..MAX_PINGS).contains(&pings_sent) {
            return;
        }
        let is_intermediary = |id: u64, member: &Member| id != target && member.state == MemberState::Alive;
        for intermediary in self.sample_members(PING_REQUEST_FANOUT, is_intermediary) {
            self.send_request(intermediary.instance_id, intermediary.address, kind::PING_REQUEST, target);
        }
    }

    /// Ends the current probe, and suspects its target if it was not answered.
    fn finish_probe(&mut self) {
        let Some(probe) = self.probe.take() else { return };
        if !probe.answered {
            self.counters.probes_unanswered += 1;
            self.suspect(probe.instance_id, probe.started_at);
        }
    }

    /// Returns the next present member of the round, and starts a new round if the current one is complete.
    fn next_probe_target(&mut self) -> Option<u64> {
        while let Some(candidate) = self.probe_round.pop() {
            if self.members.get(&candidate).is_some_and(|member| member.state.is_present()) {
                return Some(candidate);
            }
        }
        let round = self.sample_members(usize::MAX, |_, member| member.state.is_present());
        self.probe_round = round.into_iter().map(|contact| contact.instance_id).collect();
        self.probe_round.pop()
    }

    fn start_probe(&mut self, target: u64) {
        let Some(address) = self.address_of(target) else { return };
        self.counters.probes += 1;
        self.send_request(target, address, kind::PING, 0);
        let retry_at = self.now + RETRY_AFTER * self.config.period;
        self.probe = Some(Probe {
            instance_id: target,
            started_at: self.now,
            pings_sent: 1,
            retry_at,
            answered: false,
        });
    }

    /// Pings `subject` on behalf of `requester`, which received no ack from it.
    pub(crate) fn handle_ping_request(&mut self, requester: u64, request_id: u64, subject: u64) {
        let Some(address) = self.address_of(subject) else { return };
        let own_request_id = self.send_request(subject, address, kind::PING, 0);
        if self.indirect_probes.len() == MAX_INDIRECT_PROBES {
            self.indirect_probes.pop_front();
        }
        self.indirect_probes.push_back(IndirectProbe { request_id, own_request_id, requester });
    }

    /// Handles an ack from `sender`, which shows that the member `subject` is present.
    pub(crate) fn handle_ack(&mut self, sender: u64, subject: u64, ack: &Datagram) {
        let Some(sent_at) = self.request_sent_at(sender, ack.request_id) else { return };
        let round_trip = self.now - sent_at;
        if round_trip >= self.recent_slowest_round_trip() {
            self.slowest_round_trip = SlowestRoundTrip { round_trip, received_at: self.now };
        }
        self.record_assertions(ack, sent_at);
        self.confirm_presence(subject, sent_at);
        self.send_indirect_acks(subject, ack.request_id);
    }

    /// Records the assertions in the ack of a request sent at `sent_at`. `issued_at` is `sent_at` minus the
    /// assertion's age: an ack is sent after its request, so the assertion cannot have been made earlier.
    fn record_assertions(&mut self, ack: &Datagram, sent_at: f64) {
        let Some(senders_own) = ack.assertions.first() else { return };
        let default_endorsed = senders_own.endorsed.unwrap_or(0);
        let default_listed = senders_own.listed.unwrap_or(0);
        for received in &ack.assertions {
            let assertion = TimedAssertion {
                issued_at: sent_at - f64::from(received.age) / 1e3,
                endorsed: received.endorsed.unwrap_or(default_endorsed),
                listed: received.listed.unwrap_or(default_listed),
            };
            if let Some(member) = self.members.get_mut(&received.instance_id)
                && member.assertion.is_none_or(|known| known.issued_at < assertion.issued_at)
            {
                member.assertion = Some(assertion);
            }
        }
    }

    fn confirm_presence(&mut self, subject: u64, sent_at: f64) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.instance_id == subject) {
            probe.answered = true;
            probe.retry_at = f64::INFINITY;
        }
        // A suspect that answers a request sent after it became suspect gets the full suspicion timeout again.
        let extended = self.now + self.suspicion_timeout();
        if let Some(member) = self.members.get_mut(&subject)
            && member.state == MemberState::Suspect
            && sent_at > member.state_since
        {
            member.suspicion_ends_at = member.suspicion_ends_at.max(extended);
        }
    }

    /// Sends indirect acks to the members that requested the probe of `subject` with this ping.
    fn send_indirect_acks(&mut self, subject: u64, own_request_id: u64) {
        while let Some(n) =
            self.indirect_probes.iter().position(|probe| probe.own_request_id == own_request_id)
        {
            let Some(probe) = self.indirect_probes.remove(n) else { break };
            let Some(address) = self.address_of(probe.requester) else { continue };
            let mut indirect_ack = self.new_datagram(probe.requester, kind::INDIRECT_ACK, probe.request_id);
            indirect_ack.subject = subject;
            indirect_ack.updates = self.updates_for(probe.requester);
            indirect_ack.assertions = self.assertions_for(probe.requester);
            self.enqueue(address, indirect_ack);
        }
    }
}
