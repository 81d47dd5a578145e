//! A valid configuration file that several tests modify.

use milletpath_config::{GatewayConfig, read};

pub const VALID: &str = r#"
listen   = "10.1.0.3:8080"
profile "check" {
  due    = 1.0
  effect = "pure"
}
profile "order" {
  due    = 0.5
  effect = "effectful"
}
functions {
  lanes  = 2
  memory = 400
}
function "packs-a" {
  load    = 0.7
  profile = "check"
}
workers {
  registry = "127.0.0.1:9000"
}
changes {
  control = ["10.0.0.1:7500", "10.0.1.1:7500", "10.0.2.1:7500"]
  key     = "changes.key"
}
"#;

pub fn config() -> GatewayConfig {
    read(VALID).unwrap_or_else(|errors| panic!("{errors:#?}"))
}
