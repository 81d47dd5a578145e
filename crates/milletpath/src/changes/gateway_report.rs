//! Prints the report of a single gateway on the configuration that it applied.

use milletpath_config_log::message::ApplyError;
use milletpath_config_log::{FollowerView, ReplicaStatus};
use milletpath_gateway::ConfigStatus;
use milletpath_gateway::control_client::Client;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Why there is no report of the gateway.
#[derive(Debug, thiserror::Error)]
pub enum GatewayReportError {
    /// The configuration has port 0: the operating system assigned the port, which is not known here.
    #[error("listen of changes has port 0: the gateway's port is not known; set a fixed port")]
    UnknownPort,
    /// No gateway with the same key answered in time, or its answer was not a valid report.
    #[error("the gateway does not answer on {0}: is it running, with this key?")]
    NoAnswer(SocketAddr),
}

/// Queries the gateway that listens on `listen`, and prints its report as text, or unchanged as JSON.
///
/// # Errors
///
/// The port of the address is 0, or the gateway does not answer.
pub fn print(client: &Client, listen: SocketAddr, json: bool) -> Result<(), GatewayReportError> {
    let address = query_address(listen)?;
    let text = client.status_texts(&[address]).into_iter().flatten().next();
    let text = text.ok_or(GatewayReportError::NoAnswer(address))?;
    let status: ConfigStatus =
        serde_json::from_slice(&text).map_err(|_| GatewayReportError::NoAnswer(address))?;
    if json {
        println!("{}", String::from_utf8_lossy(&text));
    } else {
        print_state(&status.view);
        print_replicas(&status.view);
        print_counters(&status);
    }
    Ok(())
}

/// Returns the address at which a gateway on this machine can be queried: loopback if it listens on all interfaces.
fn query_address(mut listen: SocketAddr) -> Result<SocketAddr, GatewayReportError> {
    if listen.port() == 0 {
        return Err(GatewayReportError::UnknownPort);
    }
    if listen.ip().is_unspecified() {
        let loopback: IpAddr =
            if listen.is_ipv4() { Ipv4Addr::LOCALHOST.into() } else { Ipv6Addr::LOCALHOST.into() };
        listen.set_ip(loopback);
    }
    Ok(listen)
}

/// Prints the configuration state of the gateway.
fn print_state(view: &FollowerView) {
    let confirmation = match view.confirmed_age {
        Some(age) => format!("known to be the latest {age:.1} s ago"),
        None => "not known to be the latest since the start".into(),
    };
    println!("{}: number {}, digest {:016x}; {confirmation}", view.name, view.number, view.digest);
    if view.behind {
        println!("behind: there is number {}", view.known);
    }
    if let Some(ApplyError { number, reason }) = &view.apply_error {
        println!("could not apply number {number}: {reason}");
    }
}

/// Prints a line for each control machine, as seen by the gateway.
fn print_replicas(view: &FollowerView) {
    println!("follows control machines {:?}", view.follows);
    println!("{:<8} {:>15} {:>9} {:>10}", "control", "last contact, s", "number", "conflicts");
    for ReplicaStatus { replica, seconds_since_contact, head, conflicts } in &view.replicas {
        let contact = seconds_since_contact.map_or("never".into(), |age| format!("{age:.1}"));
        println!("{replica:<8} {contact:>15} {head:>9} {conflicts:>10}");
    }
}

/// Prints the counters since the gateway's start.
fn print_counters(status: &ConfigStatus) {
    println!(
        "rebuilt {} times; state saved {} times, not saved {}; datagrams rejected: {} of another key or altered, {} \
         others; CPU {:.3} s",
        status.view.rebuilds,
        status.saves,
        status.failed_saves,
        status.rejected_seal,
        status.rejected_other,
        status.cpu_seconds
    );
}
