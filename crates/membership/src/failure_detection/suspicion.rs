//! Suspicion: a member that answers neither directly nor through helpers becomes suspect, and dead unless it refutes that
//! in time (SWIM, section 4.2). A gateway that receives nothing at all assumes that it is itself cut off, and takes longer
//! to declare others dead.

use crate::state::Membership;
use crate::state::event::MembershipEvent;
use crate::state::member::MemberState;

/// Periods that a suspect has to refute, for each factor of ten in the number of gateways.
const SUSPICION_PERIODS: f64 = 5.0;

/// Slowest answers that a suspect is granted in addition.
const SUSPICION_ROUND_TRIPS: f64 = 3.0;

/// Periods without any datagram after which this gateway counts as isolated.
const ISOLATION_PERIODS: f64 = 3.0;

/// Factor on the suspicion timeout while this gateway is isolated.
const ISOLATED_FACTOR: f64 = 4.0;

/// Seconds for which a dead member is kept and contacted; the seeds heal a partition that lasts longer.
const DEAD_RETENTION: f64 = 3600.0;

impl Membership {
    /// Seconds that a suspect has to refute: for the suspicion to spread and for answers as slow as the recent ones.
    pub(crate) fn suspicion_timeout(&self) -> f64 {
        let scale = (self.members.len() as f64 + 2.0).log10().max(1.0);
        SUSPICION_PERIODS * self.config.period * scale
            + SUSPICION_ROUND_TRIPS * self.recent_slowest_round_trip()
    }

    /// Whether so little was received lately that this gateway itself may be cut off.
    fn is_isolated(&self) -> bool {
        self.last_received_at < self.now - ISOLATION_PERIODS * self.config.period
    }

    /// Suspects an alive member that has answered nobody since `silent_since`.
    pub(crate) fn suspect(&mut self, instance_id: u64, silent_since: f64) {
        let now = self.now;
        let factor = if self.is_isolated() { ISOLATED_FACTOR } else { 1.0 };
        let ends_at = now + self.suspicion_timeout() * factor;
        // Where nothing at all was received since, this gateway may be cut off: it does not spread the suspicion.
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

    /// Declares suspects dead whose time has run out, and forgets members that died long ago.
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
