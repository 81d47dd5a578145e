//! The quorum proof of one gateway and the memory of its membership view against the number of members, and the
//! authentication and decoding of a datagram.

use crate::measure::{
    BYTES_PER_MEGABYTE, MICROSECONDS_PER_SECOND, MILLISECONDS_PER_SECOND, Options, RunDescription,
    allocated_bytes, measurement, timed,
};
use milletpath_membership::datagram::{self, Assertion, Datagram, Identity, Key, kind};
use milletpath_membership::{Membership, MembershipConfig};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;
use std::net::SocketAddr;

/// The membership configuration of a large fleet; times are in seconds.
pub const MEMBERSHIP_CONFIG: MembershipConfig =
    MembershipConfig { period: 0.4, lease: 12.0, floor: 0.5, budget_window: 10.0 };

/// Step by which time advances until the gateway probes a member.
const TICK_SECONDS: f64 = 0.05;

fn identity(index: usize, max_gateways: usize) -> Identity {
    let (high, low) = ((index / 250) as u8, (index % 250) as u8 + 1);
    Identity {
        instance_id: index as u64 + 1,
        name: format!("gateway-{index}"),
        address: SocketAddr::from(([10, 1, high, low], 7_400)),
        incarnation: 0,
        max_gateways: max_gateways as u32,
    }
}

/// Whether the members assert the same membership view.
#[derive(Clone, Copy)]
enum Assertions {
    /// All members assert the same view as the gateway itself.
    Equal,
    /// Each member asserts a different view.
    Different,
}

/// A probe that the gateway has sent and that has not been answered yet.
struct Probe {
    /// Index of the probed member.
    member: usize,
    request_id: u64,
    now: f64,
}

/// Creates a gateway in a fleet of `members` that has a fresh assertion of each other member.
fn member_with_fresh_assertions(members: usize, assertions: Assertions, seed: u64) -> Membership {
    let mut membership = Membership::new(identity(0, members), MEMBERSHIP_CONFIG, Vec::new(), seed, 0.0);
    for index in 1..members {
        let mut announcement = Datagram::new(identity(index, members), 1, kind::ANNOUNCE, 0);
        announcement.sequence = 1;
        membership.receive(0.001, announcement);
    }
    let own = own_assertion(&mut membership, members);
    let probe = next_probe(&mut membership);
    let answer = answer(members, assertions, &own, &probe, seed);
    membership.receive(probe.now + 0.001, answer);
    while membership.next_outgoing().is_some() {}
    membership
}

/// The gateway's own assertion, taken from its answer to a ping.
fn own_assertion(membership: &mut Membership, members: usize) -> Assertion {
    let mut ping = Datagram::new(identity(1, members), 1, kind::PING, 1);
    ping.sequence = 2;
    membership.receive(0.002, ping);
    let own = std::iter::from_fn(|| membership.next_outgoing())
        .find_map(|sent| sent.datagram.assertions.first().cloned());
    own.expect("the answer contains the gateway's own assertion")
}

/// Advances time until the gateway probes a member.
fn next_probe(membership: &mut Membership) -> Probe {
    let mut now = 0.002;
    loop {
        now += TICK_SECONDS;
        membership.tick(now);
        let ping =
            std::iter::from_fn(|| membership.next_outgoing()).find(|sent| sent.datagram.kind == kind::PING);
        if let Some(sent) = ping {
            let member = sent.datagram.recipient as usize - 1;
            return Probe { member, request_id: sent.datagram.request_id, now };
        }
    }
}

/// The answer to a probe, with the assertions of all members.
fn answer(members: usize, assertions: Assertions, own: &Assertion, probe: &Probe, seed: u64) -> Datagram {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let different: Vec<(u64, u64)> = match assertions {
        Assertions::Equal => Vec::new(),
        Assertions::Different => (0..members).map(|_| (rng.random(), rng.random())).collect(),
    };
    let assertion = |index: usize, age| {
        let hashes = different.get(index).filter(|_| index != probe.member);
        let (endorsed, listed) = hashes.map_or((own.endorsed, own.listed), |(e, l)| (Some(*e), Some(*l)));
        Assertion { instance_id: index as u64 + 1, age, endorsed, listed }
    };
    let mut answer = Datagram::new(identity(probe.member, members), 1, kind::ACK, probe.request_id);
    answer.sequence = 3;
    answer.assertions.push(assertion(probe.member, 0));
    let others = (1..members).filter(|index| *index != probe.member);
    answer.assertions.extend(others.map(|index| assertion(index, 1)));
    answer
}

/// CPU time in milliseconds of repeated checks of the quorum proof. The membership link makes one after each datagram.
pub fn proof_times(membership: &Membership, repeats: usize) -> Vec<f64> {
    let mut membership = membership.clone();
    // The time passed does not advance, so all assertions stay fresh.
    let _ = membership.quota_fraction(0.0);
    let check = |_| timed(|| _ = black_box(membership.quota_fraction(0.0))).0 * MILLISECONDS_PER_SECOND;
    (0..repeats).map(check).collect()
}

pub fn measure(options: &Options) {
    proofs(options);
    datagram_opening(options);
}

fn proofs(options: &Options) {
    const MEMBERS: [usize; 7] = [50, 100, 200, 300, 500, 800, 1_100];
    let (mut settled, mut starting, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for members in MEMBERS {
        let size = members as f64;
        let before = allocated_bytes();
        let membership = member_with_fresh_assertions(members, Assertions::Equal, options.seed);
        let megabytes = (allocated_bytes() - before) / BYTES_PER_MEGABYTE;
        memory.push(measurement(size, vec![megabytes]));
        assert_eq!(
            membership.fresh_instances().len(),
            members - 1,
            "there is a fresh assertion of each member"
        );
        settled.push(measurement(size, proof_times(&membership, 15)));
        drop(membership);
        let membership = member_with_fresh_assertions(members, Assertions::Different, options.seed);
        starting.push(measurement(size, proof_times(&membership, 3)));
    }
    let description = RunDescription {
        name: "proof-settled",
        mechanism: "proof by a majority of all (`peers::backing`)",
        quantity: "one look at what is proven, all words alike",
        unit: "ms",
        axis: "gateways",
        method: "thread clock; members and their words brought by letters; 15 looks",
        fixed: &[("lease", 12.0)],
        group: "proof",
    };
    description.write(options, settled);
    RunDescription {
        name: "proof-starting",
        quantity: "one look at what is proven, no two words alike (`differs`)",
        method: "thread clock; members and their words brought by letters; 3 looks",
        ..description
    }
    .write(options, starting);
    RunDescription {
        name: "peers-memory",
        mechanism: "a full view of all gateways (`peers::member`)",
        quantity: "view of all, settled",
        unit: "MB",
        method: "bytes by a counting allocator; once, as it does not vary",
        ..description
    }
    .write(options, memory);
}

/// Measures authenticating and decoding a datagram, which the simulated network omits.
fn datagram_opening(options: &Options) {
    const ASSERTIONS: [usize; 5] = [1, 10, 20, 40, 70];
    const REPEATS: usize = 5;
    const DATAGRAMS: usize = 2_000;
    let key = Key::new(b"a fixed secret for the benchmark");
    let measure_size = |assertions| {
        let sealed =
            datagram::seal(&key, &datagram_with(assertions)).expect("the datagram fits the maximum size");
        let open = || (0..DATAGRAMS).for_each(|_| _ = black_box(datagram::open(&key, black_box(&sealed))));
        let times = (0..REPEATS).map(|_| timed(open).0 * MICROSECONDS_PER_SECOND / DATAGRAMS as f64);
        measurement(sealed.len() as f64, times.collect())
    };
    RunDescription {
        name: "letter-open",
        mechanism: "seal of a letter (`peers::letter`)",
        quantity: "a letter is opened and read",
        unit: "us",
        axis: "bytes of a letter",
        method: "thread clock; 2,000 letters, five times",
        fixed: &[],
        group: "proof",
    }
    .write(options, ASSERTIONS.map(measure_size).to_vec());
}

/// A datagram in a fleet of 1,100 gateways with the given number of assertions.
fn datagram_with(assertions: usize) -> Datagram {
    /// Spreads the ids over 64 bits, so that their encodings are as long as in production.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let assertion = |n: u64| Assertion {
        instance_id: n.wrapping_mul(MULTIPLIER),
        age: 900,
        endorsed: None,
        listed: None,
    };
    let mut datagram = Datagram::new(identity(1, 1_100), 1, kind::ACK, 7);
    datagram.assertions = (1..=assertions as u64).map(assertion).collect();
    datagram
}
