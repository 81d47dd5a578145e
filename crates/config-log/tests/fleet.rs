//! A fleet as it is meant: seven control machines in as many zones, a hundred gateways in ten zones and four regions, 1% of
//! the messages lost, a zone gone. A change is in force everywhere within 3 s of its proposal, in simulated time.

mod burst;
mod net;

use burst::{Burst, SECONDS};
use net::place::regions;
use net::{Net, Place};

/// What comes of a burst of 20 changes within a second while that zone is cut off; the gateways there are not counted.
fn burst(seed: u64, gone: Option<usize>, followers: usize) -> (Burst, Net) {
    let mut net = Net::new(7, followers, seed);
    net.rule = regions(0.01);
    net.follow_all();
    net.play(4.0);
    net.commit(0, net::change(1, "first", "lanes = 1", 0));
    net.gone.extend(gone);
    let burst = Burst::play(&mut net, 20);
    (burst, net)
}

/// Zones 0 to 6 have a control machine each, the first of them the one that leads.
#[test]
fn in_force_everywhere_within_three_seconds() {
    for seed in 0..6 {
        let gone = [None, Some(0), Some(1), Some(3), Some(6), Some(9)][seed as usize];
        let (burst, net) = burst(seed, gone, 100);
        let left = (0..100).filter(|n| Some(Place::Follower(*n).zone()) != gone).count();
        assert_eq!(burst.delays.len(), 20 * left, "seed {seed}: not in force everywhere after {SECONDS} s");
        let worst = burst.worst();
        assert!(worst <= 3.0, "seed {seed}, zone {gone:?}: {worst:.3} s");
        net.check_all();
    }
}

/// The leader's zone goes in the midst of a burst: whoever takes over ends it, all that was told to be committed is in
/// force, and the gateways of that zone are there soon after it came back.
#[test]
fn a_zone_that_goes_in_the_midst_takes_nothing_with_it() {
    for seed in 20..24 {
        let mut net = Net::new(7, 40, seed);
        net.rule = regions(0.01);
        net.follow_all();
        net.play(4.0);
        net.commit(0, net::change(1, "first", "lanes = 1", 0));
        assert_eq!(net.leaders(), [0], "seed {seed}");
        for id in 2..22 {
            if id == 12 {
                net.gone.push(0);
            }
            let machine = 1 + id as usize % 6;
            net.propose(1, machine, net::change(id, &format!("key {id}"), "lanes = 2", 0));
            net.play(net.now + 0.05);
        }
        net.play(net.now + 8.0);
        // An author whose message was lost asks again.
        for id in 2..22 {
            net.propose(1, 1, net::change(id, &format!("key {id}"), "lanes = 2", 0));
        }
        net.play(net.now + 8.0);
        assert_eq!(net.log.state.iter().count(), 21, "seed {seed}");
        net.gone.clear();
        net.play(net.now + 6.0);
        let head = net.log.state.head();
        assert!((0..40).all(|n| net.number(n) == head), "seed {seed}");
        assert!((0..7).all(|n| net.head(n) == head), "seed {seed}");
        net.check_all();
    }
}
