//! The links of a run, on real sockets: who gets what, what is counted, what a cut keeps back.

use milletpath_scale_test::plan::RegionPair;
use milletpath_scale_test::relay::{LinkDelays, LinkTraffic, Relay};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Three gateways in two regions: the first two in one.
struct Town {
    relay: Relay,
    links: Vec<SocketAddr>,
    gateways: Vec<UdpSocket>,
}

/// Far longer than anything here takes.
const LONG: Duration = Duration::from_secs(20);

impl Town {
    fn new(latency: f64, loss: f64) -> Self {
        let latency = vec![vec![0.001, latency], vec![latency, 0.001]];
        let relay = Relay::start(LinkDelays { regions: vec![0, 0, 1], latency, loss }, 2, 7).expect("links");
        let links = relay.addresses().expect("addresses");
        let gateways: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
        for (n, gateway) in gateways.iter().enumerate() {
            gateway.set_read_timeout(Some(LONG)).expect("a time");
            relay.attach(n, gateway.local_addr().expect("an address"));
        }
        Self { relay, links, gateways }
    }

    fn send(&self, from: usize, to: usize, what: &[u8]) {
        self.gateways[from].send_to(what, self.links[to]).expect("sent");
    }

    /// What comes next at a gateway, and from whose link.
    fn next(&self, to: usize) -> (Vec<u8>, usize) {
        let mut buffer = [0; 2000];
        let (size, from) = self.gateways[to].recv_from(&mut buffer).expect("a letter");
        let from = self.links.iter().position(|at| *at == from).expect("a link");
        (buffer[..size].to_vec(), from)
    }

    fn wait(&self, what: &str, so: impl Fn(&Relay) -> bool) {
        let begun = Instant::now();
        while !so(&self.relay) {
            assert!(begun.elapsed() < LONG, "{what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn a_letter_comes_from_its_sender_s_link_and_is_counted_at_both() {
    let town = Town::new(0.02, 0.0);
    town.send(0, 2, b"hello");
    town.send(1, 0, b"hi");
    assert_eq!(town.next(2), (b"hello".to_vec(), 0));
    assert_eq!(town.next(0), (b"hi".to_vec(), 1));
    town.wait("all is counted", |r| r.traffic()[0].datagrams_in == 1 && r.traffic()[2].datagrams_in == 1);
    let passed = town.relay.traffic();
    assert_eq!(passed[0], LinkTraffic { datagrams_in: 1, bytes_in: 2, datagrams_out: 1, bytes_out: 5 });
    assert_eq!(passed[2], LinkTraffic { datagrams_in: 1, bytes_in: 5, ..LinkTraffic::default() });
}

/// What is sent first over the long way comes after what is sent later over the short one.
#[test]
fn a_far_region_is_farther() {
    let town = Town::new(5.0, 0.0);
    town.send(2, 1, b"from afar");
    town.wait("it is under way", |r| r.traffic()[2].datagrams_out == 1);
    town.send(0, 1, b"from here");
    assert_eq!(town.next(1), (b"from here".to_vec(), 0));
    assert_eq!(town.next(1), (b"from afar".to_vec(), 2));
}

#[test]
fn a_cut_keeps_back_what_goes_across_and_nothing_else() {
    let town = Town::new(0.001, 0.0);
    town.relay.set_partitioned(RegionPair { first: 0, second: 1 }, true);
    town.send(0, 2, b"lost");
    town.send(2, 0, b"lost");
    town.wait("both are lost", |r| r.lost() == 2);
    town.send(1, 0, b"near");
    assert_eq!(town.next(0), (b"near".to_vec(), 1));
    town.relay.set_partitioned(RegionPair { first: 0, second: 1 }, false);
    town.send(0, 2, b"again");
    assert_eq!(town.next(2), (b"again".to_vec(), 0));
}

#[test]
fn all_letters_are_lost_or_passed_on() {
    const SENT: u64 = 400;
    let town = Town::new(0.001, 0.5);
    for n in 0..SENT {
        town.send(0, 1, &n.to_le_bytes());
        town.wait("one at a time", |r| r.traffic()[0].datagrams_out == n + 1);
    }
    town.wait("each is one or the other", |r| r.lost() + r.traffic()[1].datagrams_in == SENT);
    assert!((100..300).contains(&town.relay.lost()), "{}", town.relay.lost());
}

#[test]
fn who_is_gone_hears_nothing_and_is_not_heard() {
    let town = Town::new(0.001, 0.0);
    town.relay.detach(0);
    town.send(0, 1, b"of a dead one");
    town.send(1, 0, b"to a dead one");
    town.send(2, 1, b"of another");
    assert_eq!(town.next(1), (b"of another".to_vec(), 2));
    town.wait("it was taken", |r| r.traffic()[1].datagrams_out == 1);
    assert_eq!(town.relay.traffic()[0], LinkTraffic::default());
}

/// A process that begins may get the port of one that ended.
#[test]
fn a_port_is_its_latest_owner_s() {
    let town = Town::new(0.001, 0.0);
    let port = town.gateways[0].local_addr().expect("an address");
    town.relay.attach(2, port);
    town.relay.detach(0);
    town.send(0, 1, b"who am I");
    assert_eq!(town.next(1), (b"who am I".to_vec(), 2));
}
