//! Changes of configuration among processes: control machines, gateways and authors. What a gateway goes by is seen from
//! outside: a call under a profile other than its function's is rejected.

mod agreement;
mod authors;
mod gateways;
mod json_output;
mod logs;
mod storage;
mod stored_files;

use std::process::Output;

/// "packs" is called under "order" from then on; the configuration file names "check".
const SET_ORDER_PROFILE: &str = "function \"packs\" {\n  profile = \"order\"\n}\n";

/// As [`ORDER`], with a number of lanes.
fn set_lanes(lanes: u32) -> String {
    format!("function \"packs\" {{\n  profile = \"order\"\n  lanes   = {lanes}\n}}\n")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
