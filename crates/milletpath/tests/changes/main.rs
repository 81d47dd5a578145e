//! Configuration changes with control machines, gateways and authors as separate processes. The configuration that a
//! gateway applies is observed from outside: it rejects a call whose profile is not the one of the called function.

mod agreement;
mod authors;
mod gateways;
mod json_output;
mod logs;
mod storage;
mod stored_files;

use std::process::Output;

/// Changes the profile of function "packs" to "order"; the gateways' configuration file sets "check".
const SET_ORDER_PROFILE: &str = "function \"packs\" {\n  profile = \"order\"\n}\n";

/// As [`SET_ORDER_PROFILE`], and sets the number of lanes as well.
fn set_lanes(lanes: u32) -> String {
    format!("function \"packs\" {{\n  profile = \"order\"\n  lanes   = {lanes}\n}}\n")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
