//! A router's configuration file.

use super::discovery::endpoint_event;
use std::fmt::Display;
use std::net::SocketAddr;

/// Limit on a router's sockets for tests in which it does not matter.
pub const MAX_SOCKETS: usize = 256;

/// The client groups in a configuration.
const CLIENT_GROUPS: &str = r#"[{"Name":"acme"}]"#;

/// The text of a router's configuration file, in which a test can replace settings.
#[derive(Clone, Debug)]
pub struct RouterConfiguration {
    text: String,
}

impl RouterConfiguration {
    /// Creates a configuration with the given active workers and socket limit. Calls are idempotent.
    pub fn new(workers: &[SocketAddr], discovery: SocketAddr, max_sockets: usize) -> Self {
        let events: Vec<_> = (0..)
            .zip(workers)
            .map(|(n, worker)| endpoint_event(n + 1, &format!("w{n}"), *worker, "active"))
            .collect();
        let events: Vec<_> = events.iter().map(|event| event.trim()).collect();
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"0000000000000005","bulletin":"{discovery}",
        "limits":{{"cores":1,"memory_mb":64,"sockets":{max_sockets}}},"known":{{"no":{},"items":[{}]}},
        "settings":{{"Balancers":1,"Classes":[{{"Name":"p","Effect":"free","Objective":400000,"HardLimit":3000000}}],
        "FamilyInfo":{{"PlacementCalls":true,"MissMode":"load","KeepAlive":5000000}},"Kinds":["k"],
        "Limits":{{"MaxAttempts":4,"Cancelling":true,"Probing":true,"RetryAfter":true,"MaxRetryAfter":1000000,
        "ConnectTimeout":250000,"Keepalive":30000000,"StreamsPerConn":32}},
        "Rules":{{"DrainGrace":500000,"StartCapacity":0.2,"WarmUp":1000000,"TipMultiple":2.5,"OverloadFor":1000000}},
        "Telemetry":{{"Names":["q"],"Via":"inline"}},"Tenants":{CLIENT_GROUPS},"Tick":1000}}}}"#,
            workers.len(),
            events.join(","),
        );
        Self { text }
    }

    /// Creates a configuration in which a call that may have run must not be sent again, and workers load an instance
    /// on the first attempt. `connect_timeout` is that of connections to workers, in microseconds.
    pub fn non_idempotent(workers: &[SocketAddr], discovery: SocketAddr, connect_timeout: u64) -> Self {
        Self::new(workers, discovery, MAX_SOCKETS)
            .with("Effect", "\"single_shot\"")
            .with("PlacementCalls", false)
            .with("ConnectTimeout", connect_timeout)
    }

    /// Replaces the value of a setting that occurs exactly once. `value` is written as JSON.
    pub fn with(mut self, setting: &str, value: impl Display) -> Self {
        let name = format!("\"{setting}\":");
        assert_eq!(
            self.text.matches(&name).count(),
            1,
            "{setting} does not occur exactly once in {}",
            self.text
        );
        let start = self.text.find(&name).expect("the setting occurs once") + name.len();
        let length = self.text[start..].find([',', '}']).expect("a comma or a brace follows the value");
        self.text.replace_range(start..start + length, &value.to_string());
        self
    }

    /// Removes all client groups.
    pub fn without_client_groups(mut self) -> Self {
        self.text = self.text.replace(CLIENT_GROUPS, "[]");
        self
    }

    /// Makes calls idempotent by a key that workers remember for `deduplication_window` microseconds.
    pub fn with_idempotency_keys(self, deduplication_window: u64) -> Self {
        let effect = format!("\"guarded\",\"KeyScope\":\"all\",\"DedupWindow\":{deduplication_window}");
        self.with("Effect", effect)
    }

    /// Returns the text of the file.
    pub fn text(&self) -> &str {
        &self.text
    }
}
