//! The relay on real sockets: delivery, traffic counts and partitions.

use milletpath_scale_test::plan::RegionPair;
use milletpath_scale_test::relay::{LinkDelays, LinkTraffic, Relay};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// A relay with three gateways in two regions, the first two in the same one.
struct RelayRig {
    relay: Relay,
    links: Vec<SocketAddr>,
    gateways: Vec<UdpSocket>,
}

/// Far longer than any step of these tests takes.
const TIMEOUT: Duration = Duration::from_secs(20);

impl RelayRig {
    fn new(latency: f64, loss: f64) -> Self {
        let latency = vec![vec![0.001, latency], vec![latency, 0.001]];
        let relay = Relay::start(LinkDelays { regions: vec![0, 0, 1], latency, loss }, 2, 7).expect("links");
        let links = relay.addresses().expect("addresses");
        let gateways: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
        for (link, gateway) in gateways.iter().enumerate() {
            gateway.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
            relay.attach(link, gateway.local_addr().expect("an address"));
        }
        Self { relay, links, gateways }
    }

    fn send(&self, from: usize, to: usize, payload: &[u8]) {
        self.gateways[from].send_to(payload, self.links[to]).expect("sent");
    }

    /// Receives the next datagram of a gateway. Returns it with the link of its sender.
    fn receive(&self, to: usize) -> (Vec<u8>, usize) {
        let mut buffer = [0; 2000];
        let (size, from) = self.gateways[to].recv_from(&mut buffer).expect("a datagram");
        let from = self.links.iter().position(|at| *at == from).expect("a link");
        (buffer[..size].to_vec(), from)
    }

    fn wait_until(&self, description: &str, condition: impl Fn(&Relay) -> bool) {
        let started_at = Instant::now();
        while !condition(&self.relay) {
            assert!(started_at.elapsed() < TIMEOUT, "{description}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn a_datagram_arrives_from_its_senders_link_and_is_counted_at_both() {
    let rig = RelayRig::new(0.02, 0.0);
    rig.send(0, 2, b"hello");
    rig.send(1, 0, b"hi");
    assert_eq!(rig.receive(2), (b"hello".to_vec(), 0));
    assert_eq!(rig.receive(0), (b"hi".to_vec(), 1));
    rig.wait_until("both datagrams are counted", |relay| {
        relay.traffic()[0].datagrams_in == 1 && relay.traffic()[2].datagrams_in == 1
    });
    let passed = rig.relay.traffic();
    assert_eq!(passed[0], LinkTraffic { datagrams_in: 1, bytes_in: 2, datagrams_out: 1, bytes_out: 5 });
    assert_eq!(passed[2], LinkTraffic { datagrams_in: 1, bytes_in: 5, ..LinkTraffic::default() });
}

/// A datagram sent first over a slow link arrives after one sent later over a fast link.
#[test]
fn a_datagram_takes_the_latency_between_its_regions() {
    let rig = RelayRig::new(5.0, 0.0);
    rig.send(2, 1, b"from afar");
    rig.wait_until("the datagram is in flight", |relay| relay.traffic()[2].datagrams_out == 1);
    rig.send(0, 1, b"from here");
    assert_eq!(rig.receive(1), (b"from here".to_vec(), 0));
    assert_eq!(rig.receive(1), (b"from afar".to_vec(), 2));
}

#[test]
fn a_partition_drops_what_crosses_it_and_nothing_else() {
    let rig = RelayRig::new(0.001, 0.0);
    rig.relay.set_partitioned(RegionPair { first: 0, second: 1 }, true);
    rig.send(0, 2, b"lost");
    rig.send(2, 0, b"lost");
    rig.wait_until("both are lost", |relay| relay.lost() == 2);
    rig.send(1, 0, b"near");
    assert_eq!(rig.receive(0), (b"near".to_vec(), 1));
    rig.relay.set_partitioned(RegionPair { first: 0, second: 1 }, false);
    rig.send(0, 2, b"again");
    assert_eq!(rig.receive(2), (b"again".to_vec(), 0));
}

#[test]
fn each_datagram_is_lost_or_delivered() {
    const SENT: u64 = 400;
    let rig = RelayRig::new(0.001, 0.5);
    for n in 0..SENT {
        rig.send(0, 1, &n.to_le_bytes());
        rig.wait_until("the datagram is counted as sent", |relay| relay.traffic()[0].datagrams_out == n + 1);
    }
    rig.wait_until("every datagram is lost or delivered", |relay| {
        relay.lost() + relay.traffic()[1].datagrams_in == SENT
    });
    assert!((100..300).contains(&rig.relay.lost()), "{}", rig.relay.lost());
}

#[test]
fn a_detached_gateway_neither_sends_nor_receives() {
    let rig = RelayRig::new(0.001, 0.0);
    rig.relay.detach(0);
    rig.send(0, 1, b"from the detached gateway");
    rig.send(1, 0, b"to the detached gateway");
    rig.send(2, 1, b"from another gateway");
    assert_eq!(rig.receive(1), (b"from another gateway".to_vec(), 2));
    rig.wait_until("the datagram of gateway 1 is counted", |relay| relay.traffic()[1].datagrams_out == 1);
    assert_eq!(rig.relay.traffic()[0], LinkTraffic::default());
}

/// A new process may get the port of one that has stopped.
#[test]
fn a_port_belongs_to_its_latest_owner() {
    let rig = RelayRig::new(0.001, 0.0);
    let port = rig.gateways[0].local_addr().expect("an address");
    rig.relay.attach(2, port);
    rig.relay.detach(0);
    rig.send(0, 1, b"hello");
    assert_eq!(rig.receive(1), (b"hello".to_vec(), 2));
}
