//! Parsing of the addresses that a gateway prints at startup.

use super::read_addresses;
use std::net::SocketAddr;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn all_addresses_are_read_up_to_the_one_for_clients() {
    let output =
        "peers on udp://127.0.0.1:1\nchanges on udp://127.0.0.1:2\nlistening on http://127.0.0.1:3\n";
    let listening = read_addresses(output.as_bytes()).expect("an address for clients");
    assert_eq!(listening.addresses.http, loopback(3));
    assert_eq!(listening.addresses.membership, Some(loopback(1)));
    assert_eq!(listening.config_log_address, Some(loopback(2)));
}

#[test]
fn a_gateway_may_have_no_membership_link_and_no_follower() {
    let listening = read_addresses("listening on http://127.0.0.1:3\n".as_bytes()).expect("an address");
    assert_eq!((listening.addresses.membership, listening.config_log_address), (None, None));
}

#[test]
fn output_that_ends_without_an_address_for_clients_is_an_error() {
    assert!(read_addresses("peers on udp://127.0.0.1:1\n".as_bytes()).is_none());
}
