use super::faults::{Delivery, FaultInjector};
use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 4;
const DATAGRAMS: usize = 4_000;

/// Updates an FNV-1a hash.
fn update_digest(digest: &mut u64, bytes: &[u8]) {
    for byte in bytes {
        *digest = (*digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
}

fn random_fault(links: &[Link], rng: &mut ChaCha8Rng) -> LinkFault {
    let chosen: Vec<_> = links.iter().copied().filter(|_| rng.random_bool(0.5)).collect();
    let gateways: Vec<_> = (0..GATEWAYS).filter(|_| rng.random_bool(0.2)).collect();
    match rng.random_range(0..12) {
        0 => LinkFault::Partition(gateways),
        1 => LinkFault::InboundLoss(gateways),
        2 | 3 => LinkFault::Loss { links: chosen, fraction: 0.3 },
        4 | 5 => LinkFault::Delay { links: chosen, mean_seconds: 0.4 },
        6..9 => LinkFault::Duplication { links: chosen, fraction: 0.5 },
        _ => LinkFault::Corruption { links: chosen, fraction: 0.5 },
    }
}

/// Guards against changes in what a seed means: random datagrams over random links under random faults must give the
/// recorded digest.
#[test]
fn faults_act_on_datagrams_as_recorded() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut injector = FaultInjector::new(ChaCha8Rng::seed_from_u64(2));
    let all = (0..GATEWAYS).flat_map(|from| (0..GATEWAYS).map(move |to| Link { from, to }));
    let links: Vec<_> = all.filter(|link| link.from != link.to).collect();
    let mut digest = 0xcbf2_9ce4_8422_2325;
    for _ in 0..DATAGRAMS {
        let faults: Vec<_> = (0..rng.random_range(0..4)).map(|_| random_fault(&links, &mut rng)).collect();
        let link = links[rng.random_range(0..links.len())];
        let mut datagram = vec![0; rng.random_range(1..200)];
        rng.fill(&mut datagram[..]);
        for Delivery { delay, bytes } in injector.apply(&faults, link, datagram) {
            update_digest(&mut digest, &((delay * 1e9).round() as u64).to_le_bytes());
            update_digest(&mut digest, &bytes);
        }
    }
    assert_eq!(digest, 0x3abf_010d_5b5f_39c1, "{digest:#018x}");
}
