//! The entry points of the protocol. The inputs are received datagrams and the current time; the outputs are datagrams
//! to send, payloads for the application, and events to log.

use crate::datagram::{Datagram, kind};
use crate::gossip::UpdateSource;
use crate::state::counters::Counters;
use crate::state::event::MembershipEvent;
use crate::state::member::MemberState;
use crate::state::{Membership, OutgoingDatagram, ReceivedPayload};
use std::collections::VecDeque;

/// Capacity of the queue of received payloads; payloads that arrive while it is full are dropped.
const MAX_PENDING_PAYLOADS: usize = 256;

/// Number of members that a departing gateway notifies directly; the others learn of the departure by gossip.
const DEPARTURE_NOTICES: usize = 8;

impl Membership {
    /// The counters, so that the owner of the socket can update those of sent and rejected datagrams.
    pub fn counters_mut(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Removes and returns the next datagram to send.
    #[must_use]
    pub fn next_outgoing(&mut self) -> Option<OutgoingDatagram> {
        self.outgoing.pop_front()
    }

    /// Removes and returns the next received payload.
    #[must_use]
    pub fn next_payload(&mut self) -> Option<ReceivedPayload> {
        self.payloads.pop_front()
    }

    /// Removes and returns the events since the last call.
    #[must_use]
    pub fn take_events(&mut self) -> VecDeque<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sends a payload to a process. Delivery is not guaranteed, and nothing is sent if the process is unknown or has
    /// left.
    pub fn send_payload(&mut self, instance_id: u64, payload: Vec<u8>) {
        let Some(address) = self.address_of(instance_id) else { return };
        let mut datagram = self.new_datagram(instance_id, kind::PAYLOAD, 0);
        datagram.payload = Some(payload);
        self.enqueue(address, datagram);
    }

    /// Returns when [`tick`](Self::tick) is due next, in seconds on the caller's clock; infinity after the departure.
    #[must_use]
    pub fn next_deadline(&self) -> f64 {
        if self.departing {
            return f64::INFINITY;
        }
        let suspicions = self.members.values().map(|member| member.suspicion_ends_at);
        let retry_at = self.probe.as_ref().map_or(f64::INFINITY, |probe| probe.retry_at);
        let deadlines = [self.period_ends_at, self.next_sync_at, self.next_refresh_at, retry_at];
        suspicions.chain(deadlines).fold(f64::INFINITY, f64::min) - self.clock_offset
    }

    /// Runs the probes, suspicion timeouts and synchronizations that are due. `now` is in seconds on the caller's
    /// clock.
    pub fn tick(&mut self, now: f64) {
        self.advance_clock(now);
        if !self.departing {
            self.run_probe();
            self.expire_suspicions();
            self.synchronize();
        }
        self.refresh_endorsements();
    }

    /// Handles a received datagram, which must have been authenticated. `now` is in seconds on the caller's clock.
    pub fn receive(&mut self, now: f64, datagram: Datagram) {
        self.advance_clock(now);
        if !self.admit(&datagram) {
            return;
        }
        if !self.record_sender(&datagram.sender, datagram.sequence) || self.departing {
            return;
        }
        let source = match datagram.kind {
            kind::MEMBER_TABLE => UpdateSource::MemberTable,
            _ => UpdateSource::Gossip,
        };
        datagram.updates.iter().for_each(|update| self.apply_update(update, source));
        let sender = datagram.sender.instance_id;
        self.handle(sender, datagram);
        self.notify_sender_of_its_state(sender);
        self.refresh_endorsements();
    }

    /// Returns whether a datagram is addressed to this process and was not received before.
    fn admit(&mut self, datagram: &Datagram) -> bool {
        let sender = &datagram.sender;
        if sender.instance_id == self.identity.instance_id {
            self.counters.echoes += 1;
            return false;
        }
        // A datagram addressed to an earlier process proves nothing about this one. The sender is told the current
        // instance id.
        if datagram.recipient != 0 && datagram.recipient != self.identity.instance_id {
            self.counters.misaddressed += 1;
            if datagram.kind != kind::ANNOUNCE {
                let announcement = self.new_datagram(sender.instance_id, kind::ANNOUNCE, 0);
                self.enqueue(sender.address, announcement);
            }
            return false;
        }
        let known = self.members.get_mut(&sender.instance_id);
        if known.is_some_and(|member| !member.replay_window.accept(datagram.sequence)) {
            self.counters.replayed += 1;
            return false;
        }
        self.counters.accepted += 1;
        self.last_received_at = self.now;
        true
    }

    fn handle(&mut self, sender: u64, datagram: Datagram) {
        let request_id = datagram.request_id;
        match datagram.kind {
            kind::PING => self.send_ack(sender, request_id),
            kind::ACK => {
                self.handle_ack(sender, sender, &datagram);
                self.send_final_ack(sender, datagram.subject);
            }
            kind::FINAL_ACK => self.handle_ack(sender, sender, &datagram),
            kind::PING_REQUEST => self.handle_ping_request(sender, request_id, datagram.subject),
            kind::INDIRECT_ACK => self.handle_ack(sender, datagram.subject, &datagram),
            kind::DIGEST => self.handle_digest(sender, request_id, datagram.digest),
            kind::DEPARTURE => self.record_departure(sender),
            kind::PAYLOAD if self.payloads.len() < MAX_PENDING_PAYLOADS => {
                let received = datagram.payload.map(|payload| ReceivedPayload { sender, payload });
                self.payloads.extend(received);
            }
            // The kind is unknown to this version or carries only the identity and updates that were handled already,
            // or the payload queue is full.
            _ => {}
        }
    }

    /// Announces the departure of this process to some members. From now on it must not use the shared budgets.
    pub fn announce_departure(&mut self, now: f64) {
        self.advance_clock(now);
        (self.departing, self.endorsements_outdated) = (true, true);
        self.probe = None;
        for contact in self.sample_members(DEPARTURE_NOTICES, |_, member| member.state.is_present()) {
            let departure = self.new_datagram(contact.instance_id, kind::DEPARTURE, 0);
            self.enqueue(contact.address, departure);
        }
        self.refresh_endorsements();
    }

    /// The random instance id of this process.
    #[must_use]
    pub fn instance_id(&self) -> u64 {
        self.identity.instance_id
    }

    /// State of the process with this instance id; `None` if it is unknown.
    #[must_use]
    pub fn state(&self, instance_id: u64) -> Option<MemberState> {
        self.members.get(&instance_id).map(|member| member.state)
    }

    /// Upper bound on the age, in seconds, of the last assertion of a process; `None` if there is none.
    #[must_use]
    pub fn assertion_age(&self, instance_id: u64) -> Option<f64> {
        self.members.get(&instance_id)?.assertion.map(|assertion| self.now - assertion.issued_at)
    }
}
