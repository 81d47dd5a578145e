//! Client groups, each with its quota and its rate limit.

use crate::document::Section;

/// Client groups in the order of the file. Rates are in requests per second over all gateways.
#[derive(Default)]
pub struct ClientGroups {
    pub names: Vec<String>,
    /// The rate up to which a group is within its quota; infinite if not configured.
    pub quotas: Vec<f64>,
    /// The maximum rate of a group; infinite if not configured.
    pub ceilings: Vec<f64>,
}

/// Reads the client groups. A client without a group, or with an unknown one, is always within its quota and has no rate
/// limit.
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
