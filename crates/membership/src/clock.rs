//! The internal clock, which is monotonic and detects pauses of the process.

use crate::state::Membership;
use crate::state::event::MembershipEvent;

/// Number of periods without a call after which the process is considered to have been paused. The suspicion timeouts
/// of other members are then extended by the length of the pause.
const PAUSE_PERIODS: f64 = 2.0;

impl Membership {
    /// Advances the internal clock to the caller's time, which may jump backward or far forward.
    pub(crate) fn advance_clock(&mut self, now: f64) {
        let advanced = now + self.clock_offset;
        if advanced < self.now {
            self.clock_offset = self.now - now;
        } else {
            let gap = advanced - self.now;
            self.now = advanced;
            if gap > PAUSE_PERIODS * self.config.period {
                self.record_pause(gap);
            }
        }
        self.refresh_endorsements();
    }

    fn record_pause(&mut self, seconds: f64) {
        self.counters.pauses += 1;
        self.record_event(MembershipEvent::ProcessPaused { seconds });
        self.members.values_mut().for_each(|member| member.suspicion_ends_at += seconds);
        self.probe = None;
        self.period_ends_at = self.now + self.config.period;
        self.last_received_at += seconds;
        self.next_sync_at = self.next_sync_at.max(self.now);
    }
}
