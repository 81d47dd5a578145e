//! Suspicion: a member that answers neither direct nor indirect probes becomes suspect, and is declared dead unless it
//! refutes the suspicion in time (SWIM, section 4.2). A gateway that receives no datagrams at all assumes that it is
//! isolated itself, and waits longer before it declares others dead.

use crate::state::Membership;
use crate::state::event::MembershipEvent;
use crate::state::member::MemberState;

/// Suspicion timeout in periods, multiplied by the decimal logarithm of the cluster size (at least 1).
const SUSPICION_PERIODS: f64 = 5.0;

/// Multiple of the slowest recent round-trip time that is added to the suspicion timeout.
const SUSPICION_ROUND_TRIPS: f64 = 3.0;

/// Periods without any received datagram after which this gateway considers itself isolated.
const ISOLATION_PERIODS: f64 = 3.0;

/// Factor by which the suspicion timeout is lengthened while this gateway is isolated.
const ISOLATED_FACTOR: f64 = 4.0;

/// Seconds for which a dead member is retained and contacted. After a longer partition the seeds reconnect the
/// cluster.
const DEAD_RETENTION: f64 = 3600.0;

impl Membership {
    /// Seconds within which a suspect must refute the suspicion: enough for the suspicion to spread, and for responses
    /// as slow as recent ones.
    pub(crate) fn suspicion_timeout(&self) -> f64 {
        let scale = (self.members.len() as f64 + 2.0).log10().max(1.0);
        SUSPICION_PERIODS * self.config.period * scale
            + SUSPICION_ROUND_TRIPS * self.recent_slowest_round_trip()
    }

    /// Whether this gateway has received nothing for so long that it may be cut off itself.
    fn is_isolated(&self) -> bool {
        self.last_received_at < self.now - ISOLATION_PERIODS * self.config.period
    }

    /// Marks an alive member as suspect. `silent_since` is the start of its unanswered probe, or negative infinity if
    /// the suspicion has another cause.
    pub(crate) fn suspect(&mut self, instance_id: u64, silent_since: f64) {
        let now = self.now;
        let factor = if self.is_isolated() { ISOLATED_FACTOR } else { 1.0 };
        let ends_at = now + self.suspicion_timeout() * factor;
        // If no datagram at all was received since then, this gateway may be cut off itself and does not gossip the
        // suspicion.
        let transmissions = if self.last_received_at < silent_since { 0 } else { self.retransmit_limit() };
        let Some(member) = self.members.get_mut(&instance_id) else { return };
        if member.state != MemberState::Alive {
            return;
        }
        member.enter_suspicion(now, ends_at, transmissions);
        let name = member.name.clone();
        self.endorsements_outdated = true;
        self.record_event(MembershipEvent::Suspected { name });
    }

    /// Declares suspects dead whose suspicion timeout has expired, and removes unlisted members that have been gone
    /// for longer than [`DEAD_RETENTION`].
    pub(crate) fn expire_suspicions(&mut self) {
        let now = self.now;
        let transmissions = if self.is_isolated() { 0 } else { self.retransmit_limit() };
        let expired: Vec<u64> = (self.members.iter())
            .filter(|(_, member)| member.suspicion_ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for instance_id in expired {
            let Some(member) = self.members.get_mut(&instance_id) else { continue };
            member.enter(MemberState::Dead, now, transmissions);
            let name = member.name.clone();
            self.endorsements_outdated = true;
            self.record_event(MembershipEvent::Died { name });
        }
        self.members.retain(|_, member| {
            let recent = now < member.state_since + DEAD_RETENTION;
            member.state.is_present() || member.listed_since.is_finite() || recent
        });
    }
}
