//! Client groups, with the rate that each may send within its quota and at all.

use crate::document::Section;

/// Client groups in the order of the file, and their rates in requests a second over all gateways.
#[derive(Default)]
pub struct ClientGroups {
    pub names: Vec<String>,
    /// Within its share; infinite where not stated.
    pub quotas: Vec<f64>,
    /// At all; infinite where not stated.
    pub ceilings: Vec<f64>,
}

/// Reads the client groups. A client that names none, or another, is always within its quota and under no ceiling.
pub fn read(top: &Section<'_>) -> ClientGroups {
    let mut groups = ClientGroups::default();
    for section in top.blocks("client", true) {
        let rate = |key| section.number(key, "requests a second over all gateways", 0.0..=1e9);
        groups.quotas.push(rate("quota").unwrap_or(f64::INFINITY));
        groups.ceilings.push(rate("ceiling").unwrap_or(f64::INFINITY));
        groups.names.push(section.label.clone());
    }
    groups
}
