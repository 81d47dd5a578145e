//! Selection of the assertions that are sent with an ack.

use crate::config::MAX_CLOCK_DRIFT;
use crate::datagram::Assertion;
use crate::state::Membership;
use crate::state::member::TimedAssertion;

/// Maximum size of the assertions in one datagram, which leaves room for gossip updates.
const MAX_ASSERTION_BYTES: usize = 620;

/// Size of an encoded assertion whose sums equal the sender's own and are omitted.
const SHORT_ASSERTION_BYTES: usize = 16;

/// Size of an encoded assertion that includes its sums.
const LONG_ASSERTION_BYTES: usize = 34;

impl Membership {
    /// Returns this gateway's own assertion, followed by as many fresh assertions of other members as fit, the most
    /// recent first.
    pub(crate) fn assertions_for(&self, receiver: u64) -> Vec<Assertion> {
        let sets = &self.own_sets;
        let own = Assertion {
            instance_id: self.identity.instance_id,
            age: 0,
            endorsed: Some(sets.endorsed),
            listed: Some(sets.listed),
        };
        let mut others: Vec<(u64, TimedAssertion)> = (self.members.iter())
            .filter(|(id, _)| **id != receiver)
            .filter_map(|(id, member)| member.assertion.map(|assertion| (*id, assertion)))
            .filter(|(_, assertion)| self.now - assertion.issued_at < self.config.lease)
            .collect();
        others.sort_by(|(_, a), (_, b)| b.issued_at.total_cmp(&a.issued_at));
        let mut bytes_left = MAX_ASSERTION_BYTES;
        others.retain(|(_, assertion)| {
            let same_sums = (assertion.endorsed, assertion.listed) == (sets.endorsed, sets.listed);
            let bytes = if same_sums { SHORT_ASSERTION_BYTES } else { LONG_ASSERTION_BYTES };
            let fits = bytes <= bytes_left;
            bytes_left -= if fits { bytes } else { 0 };
            fits
        });
        let relayed = others.into_iter().map(|(instance_id, assertion)| Assertion {
            instance_id,
            age: self.age_in_milliseconds(&assertion),
            endorsed: Some(assertion.endorsed).filter(|sum| *sum != sets.endorsed),
            listed: Some(assertion.listed).filter(|sum| *sum != sets.listed),
        });
        std::iter::once(own).chain(relayed).collect()
    }

    /// Upper bound on the age of an assertion, rounded up and lengthened in case the local clock runs slow. The age
    /// may be overstated but never understated.
    fn age_in_milliseconds(&self, assertion: &TimedAssertion) -> u32 {
        let age = (self.now - assertion.issued_at) * (1.0 + 2.0 * MAX_CLOCK_DRIFT);
        (age * 1e3).ceil() as u32 + 1
    }
}
