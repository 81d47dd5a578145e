//! Prints the combined report of the control machines as tables.

use crate::control_overview::{ControlMachineStatus, ControlOverview, GatewayState, GatewayStatus};

/// Maximum number of listed gateways that are not current.
const MAX_LISTED_GATEWAYS: usize = 100;

/// Prints all tables.
pub fn print(overview: &ControlOverview) {
    print_summary(overview);
    print_control_machines(&overview.control);
    print_gateways(&overview.gateways);
}

/// Prints a line about the log, and one about the control machines and gateways.
fn print_summary(overview: &ControlOverview) {
    let confirmation = match overview.confirmed_age {
        Some(age) => format!("confirmed {age:.1} s ago as the latest"),
        None => "not confirmed by a majority: there may be later ones".into(),
    };
    println!("number {}, digest {}; {confirmation}", overview.head, overview.digest);
    println!(
        "control machines: {} of {} answer; gateways: {} current, {} behind, {} refusing, {} silent",
        overview.answering(),
        overview.control.len(),
        overview.count(GatewayState::Current),
        overview.count(GatewayState::Behind),
        overview.count(GatewayState::Refusing),
        overview.count(GatewayState::Silent)
    );
}

/// Prints a line for each control machine.
fn print_control_machines(machines: &[ControlMachineStatus]) {
    println!(
        "{:<8} {:<22} {:>9} {:>12} {:>8} {:>9}  reaches",
        "control", "address", "number", "confirmed, s", "votes", "gateways"
    );
    for ControlMachineStatus { number, address, status } in machines {
        let address = address.to_string();
        let Some(status) = status else {
            println!("{number:<8} {address:<22} does not answer");
            continue;
        };
        let view = &status.view;
        let confirmed = view.confirmed_age.map_or("never".into(), |age| format!("{age:.1}"));
        let votes = if view.votes { "yes" } else { "no" };
        println!(
            "{number:<8} {address:<22} {:>9} {confirmed:>12} {votes:>8} {:>9}  {:?}",
            view.number,
            view.followers.len(),
            view.reachable
        );
        if let Some(error) = &status.log_error {
            println!("{:<8} its log can't be written: {error}; make room on its disk", "");
        }
    }
}

/// Prints the gateways that are not current, up to [`MAX_LISTED_GATEWAYS`].
fn print_gateways(gateways: &[GatewayStatus]) {
    let not_current: Vec<_> = gateways.iter().filter(|g| g.state != GatewayState::Current).collect();
    if not_current.is_empty() {
        return;
    }
    println!("{:<32} {:<9} {:>9} {:>15}  reason", "gateway", "state", "number", "last contact, s");
    for gateway in not_current.iter().take(MAX_LISTED_GATEWAYS) {
        let GatewayStatus { name, number, seconds_since_contact, state, apply_error } = gateway;
        let state = format!("{state:?}").to_lowercase();
        let reason = apply_error.as_ref();
        let reason = reason.map_or(String::new(), |e| format!("number {}: {}", e.number, e.reason));
        println!("{name:<32} {state:<9} {number:>9} {seconds_since_contact:>15.1}  {reason}");
    }
    if not_current.len() > MAX_LISTED_GATEWAYS {
        println!("and {} more", not_current.len() - MAX_LISTED_GATEWAYS);
    }
}
