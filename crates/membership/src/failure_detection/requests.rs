//! Requests that are answered by an ack. An ack bounds the age of the assertion that its sender makes in it, because
//! that assertion was made after the request was sent.

use crate::datagram::kind;
use crate::state::Membership;
use crate::state::probe::{MAX_PENDING_REQUESTS, PendingRequest};
use std::net::SocketAddr;

/// Half-life, in seconds, of the slowest recent round-trip time.
const ROUND_TRIP_HALF_LIFE: f64 = 10.0;

impl Membership {
    /// Sends a request with gossip updates, and returns the request id.
    pub(crate) fn send_request(&mut self, receiver: u64, address: SocketAddr, kind: u8, subject: u64) -> u64 {
        let request_id = self.record_request(receiver);
        let mut datagram = self.new_datagram(receiver, kind, request_id);
        datagram.subject = subject;
        datagram.updates = self.updates_for(receiver);
        self.enqueue(address, datagram);
        request_id
    }

    /// Allocates a request id and records that the request is sent to `receiver` now.
    fn record_request(&mut self, receiver: u64) -> u64 {
        self.last_request_id += 1;
        if self.pending_requests.len() == MAX_PENDING_REQUESTS {
            self.pending_requests.pop_front();
        }
        let request_id = self.last_request_id;
        self.pending_requests.push_back(PendingRequest {
            request_id,
            instance_id: receiver,
            sent_at: self.now,
        });
        request_id
    }

    /// Answers a ping. The ack is itself a request, so that each side can bound the age of the other's assertions.
    pub(crate) fn send_ack(&mut self, receiver: u64, request_id: u64) {
        let Some(address) = self.address_of(receiver) else { return };
        let own_request_id = self.record_request(receiver);
        let mut ack = self.new_datagram(receiver, kind::ACK, request_id);
        ack.subject = own_request_id;
        ack.updates = self.updates_for(receiver);
        ack.assertions = self.assertions_for(receiver);
        self.enqueue(address, ack);
    }

    /// Answers an ack with a final ack.
    pub(crate) fn send_final_ack(&mut self, receiver: u64, request_id: u64) {
        let Some(address) = self.address_of(receiver) else { return };
        let mut ack = self.new_datagram(receiver, kind::FINAL_ACK, request_id);
        ack.assertions = self.assertions_for(receiver);
        self.enqueue(address, ack);
    }

    /// Returns when the request with this id was sent to `sender`; `None` if no such request is recorded.
    pub(crate) fn request_sent_at(&self, sender: u64, request_id: u64) -> Option<f64> {
        let matches =
            |request: &&PendingRequest| request.request_id == request_id && request.instance_id == sender;
        self.pending_requests.iter().find(matches).map(|request| request.sent_at)
    }

    /// The slowest recent round-trip time in seconds, which decays exponentially.
    pub(crate) fn recent_slowest_round_trip(&self) -> f64 {
        let age = self.now - self.slowest_round_trip.received_at;
        self.slowest_round_trip.round_trip * (-age / ROUND_TRIP_HALF_LIFE).exp2()
    }
}
