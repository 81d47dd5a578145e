//! Measures how evenly persistent connections are distributed over cores: by listeners that share a port (SO_REUSEPORT,
//! where the kernel picks a listener by the connection's hash), compared to one acceptor that assigns them round-robin.
//! The result is the ratio of the busiest core's share to an even share, for few and for many clients with persistent
//! connections.
//!
//! `cargo bench -p milletpath-gateway --bench spread`

use socket2::{Domain, Protocol, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const ROUNDS: usize = 30;

fn listener(at: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).expect("a socket");
    socket.set_reuse_port(true).expect("a shared port");
    socket.bind(&at.into()).expect("an address");
    socket.listen(4096).expect("a listener");
    let listener: TcpListener = socket.into();
    listener.set_nonblocking(true).expect("no waiting");
    listener
}

/// Returns the ratio of the busiest core's share to an even share if the kernel picks the listener.
fn kernel_imbalance(cores: usize, clients: usize) -> f64 {
    let first = listener(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let at = first.local_addr().expect("an address");
    let mut listeners = vec![first];
    listeners.extend((1..cores).map(|_| listener(at)));
    let connections: Vec<_> = (0..clients).map(|_| TcpStream::connect(at).expect("a connection")).collect();
    std::thread::sleep(Duration::from_millis(2));
    let mut taken = Vec::new();
    let counts: Vec<usize> = listeners
        .iter()
        .map(|l| {
            let before = taken.len();
            while let Ok((stream, _)) = l.accept() {
                taken.push(stream);
            }
            taken.len() - before
        })
        .collect();
    drop(connections);
    assert_eq!(counts.iter().sum::<usize>(), clients);
    *counts.iter().max().unwrap_or(&0) as f64 * cores as f64 / clients as f64
}

fn main() {
    println!(
        "busiest core over the even share, mean and worst of {ROUNDS} rounds; dealt out in turn it is 1 but for rounding"
    );
    for cores in [2, 4, 8] {
        for clients in [8, 32, 128, 1024] {
            let shares: Vec<f64> = (0..ROUNDS).map(|_| kernel_imbalance(cores, clients)).collect();
            let mean = shares.iter().sum::<f64>() / ROUNDS as f64;
            let worst = shares.iter().copied().fold(0.0, f64::max);
            let in_turn = clients.div_ceil(cores) as f64 * cores as f64 / clients as f64;
            println!(
                "{cores} cores, {clients:>4} clients: kernel {mean:.2} (worst {worst:.2}), in turn {in_turn:.2}"
            );
        }
    }
}
