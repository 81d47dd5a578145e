//! Former names of keys, blocks and values, which are still accepted. A file may use either name, but not both in one
//! block. Readers request the standard name; messages use the name in the file.

use hcl_edit::structure::{Attribute, Body};

/// A key or block that was renamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyAlias {
    /// The name that readers request.
    pub standard: &'static str,
    /// The name in files written before the renaming.
    pub former: &'static str,
}

/// A value of a key that was renamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueAlias {
    /// The standard name of the key.
    pub key: &'static str,
    /// The value that readers pass to [`Section::one_of`](super::Section::one_of).
    pub standard: &'static str,
    /// The value in files written before the renaming.
    pub former: &'static str,
}

const fn key(standard: &'static str, former: &'static str) -> KeyAlias {
    KeyAlias { standard, former }
}

const fn idempotency(standard: &'static str, former: &'static str) -> ValueAlias {
    ValueAlias { key: "idempotency", standard, former }
}

/// All keys and blocks with a former name, of all kinds of files.
pub const KEY_ALIASES: [KeyAlias; 24] = [
    // Profiles.
    key("latency_objective", "due"),
    key("deadline", "cut_off"),
    key("idempotency", "effect"),
    // Functions.
    key("concurrency", "lanes"),
    // Workers.
    key("rejects_unloaded", "misses"),
    key("idle_timeout", "keep"),
    key("initial_capacity", "cold_share"),
    key("overload_multiple", "tip_multiple"),
    key("overload_window", "tip_window"),
    key("health_checks", "probes"),
    key("health_check_timeout", "probe_wait"),
    key("load_requests", "orders"),
    // Limits.
    key("load_rate_limit", "ration"),
    key("over_quota", "over_share"),
    // Scenarios.
    key("extends", "upon"),
    key("loads_ahead", "eager"),
    key("abandonment", "leave"),
    key("timeout", "patience"),
    key("idempotency_window", "receipts"),
    key("notification_delay", "notice"),
    // Faults of scenarios.
    key("fault", "trouble"),
    key("fraction", "part"),
    key("duration", "lasts"),
    key("magnitude", "size"),
];

/// All values with a former name.
pub const VALUE_ALIASES: [ValueAlias; 3] = [
    idempotency("idempotent", "pure"),
    idempotency("idempotent_with_key", "receipted"),
    idempotency("non_idempotent", "effectful"),
];

/// The former name of a key; `None` if it was never renamed.
pub(super) fn former_key(standard: &str) -> Option<&'static str> {
    KEY_ALIASES.iter().find(|alias| alias.standard == standard).map(|alias| alias.former)
}

/// The former name of a value; `None` if it was never renamed.
pub(super) fn former_value(key: &str, standard: &str) -> Option<&'static str> {
    let is_alias = |alias: &&ValueAlias| alias.key == key && alias.standard == standard;
    VALUE_ALIASES.iter().find(is_alias).map(|alias| alias.former)
}

/// Whether a body has an attribute or a block with exactly this name.
pub(super) fn has_name(body: &Body, name: &str) -> bool {
    body.has_attribute(name) || body.has_blocks(name)
}

/// The name under which a body has a key, standard or former; `None` if the body does not have the key.
pub(super) fn name_in<'k>(body: &Body, standard: &'k str) -> Option<&'k str> {
    let names = [Some(standard), former_key(standard)];
    names.into_iter().flatten().find(|name| has_name(body, name))
}

/// The attribute of a key, under its standard or its former name.
#[must_use]
pub fn attribute<'b>(body: &'b Body, standard: &str) -> Option<&'b Attribute> {
    body.get_attribute(name_in(body, standard)?)
}
