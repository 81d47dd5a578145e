//! A router process, started by the `run` command of the deploy file.

use crate::CaseError;
use crate::client::{Client, wait_until};
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The settings that a case varies.
pub struct Settings {
    /// The list of tenants, as JSON.
    pub tenants: &'static str,
    /// What the sizes of workers mean.
    pub weights: &'static str,
    /// The size of each worker that a router knows at its start.
    pub size: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { tenants: r#"[{"Name":"acme","QuotaPerS":2000.0,"Share":1.0}]"#, weights: "nominal", size: 4 }
    }
}

/// A member of the list, as JSON. `started_ms` is the Unix millisecond of a late start, or else 0.
pub fn member(name: &str, address: SocketAddr, phase: &str, size: f64, started_ms: u128) -> String {
    format!(
        r#"{{"id":"{name}","host_port":"{address}","locality":"room","flavor":"std","cell":0,"phase":"{phase}","size":{size:.3},"up_since_ms":{started_ms}}}"#
    )
}

/// The id of a worker that a router knows at its start.
pub fn member_name(n: usize) -> String {
    format!("s-{n:04}")
}

/// A running router. It is killed, and its folder removed, when this is dropped.
pub struct Router {
    process: Child,
    folder: PathBuf,
    /// Where clients connect.
    pub address: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Router {
    /// Starts a router and waits until it is fit.
    pub fn start(
        settings: &Settings,
        bulletin: SocketAddr,
        workers: &[SocketAddr],
        record: &Record,
    ) -> Result<Self, CaseError> {
        // The port is free again once the listener is dropped at the end of the line.
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), address.port()));
        fs::create_dir_all(&folder)?;
        let file = folder.join("config.json");
        fs::write(&file, configuration(settings, address, bulletin, workers))?;
        let log = File::create(folder.join("log"))?;
        let command = run_command()?;
        record.line(&format!("starts the router: {command}"));
        let process = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", address.to_string())
            .env("LB_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(&format!("the router is process {}", process.id()));
        let router = Self { process, folder, address };
        let fit = || Client::connect("front", address, record).is_ok_and(|mut client| client.probe());
        if wait_until(Duration::from_secs(30), fit) {
            Ok(router)
        } else {
            Err("the router is not fit".into())
        }
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_none())
    }
}

/// The `run` line of the deploy file.
fn run_command() -> Result<String, CaseError> {
    let file = fs::read_to_string("deploy/balancer.toml")?;
    let line =
        file.lines().find(|line| line.starts_with("run = ")).ok_or("the deploy file has no run line")?;
    Ok(line.split('"').nth(1).ok_or("the run line has no command")?.to_owned())
}

fn configuration(
    settings: &Settings,
    listen: SocketAddr,
    bulletin: SocketAddr,
    workers: &[SocketAddr],
) -> String {
    let size = settings.size as f64;
    let members: Vec<_> =
        (0..).zip(workers).map(|(n, address)| member(&member_name(n), *address, "active", size, 0)).collect();
    let members = members.join(",");
    let Settings { tenants, weights, .. } = settings;
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"bulletin":"{bulletin}",
"known":{{"no":1,"items":[{{"no":1,"roster":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
"settings":{{"Balancers":1,"Classes":[{{"DedupWindow":5000000,"Effect":"free","Gain":1.0,"HardLimit":3000000,
"KeyScope":"all","LateWorth":0.1,"Name":"refill-check","Objective":1000000,"Streaming":false}}],
"Clients":{{"MarksRetry":true}},"Family":"warm",
"FamilyInfo":{{"FreeLoads":0.0,"KeepAlive":11000000,"LoadPeriod":0,"LoadShare":0.0,"LoadWait":10000000,
"MemoryMbByKind":[13568.0],"MissMode":"load","PlacementCalls":true,"SaysCompany":true,"TellsWarm":false}},
"Kinds":["std"],
"Limits":{{"Cancelling":true,"ConnectTimeout":250000,"Keepalive":30000000,"MaxAttempts":4,"MaxRetryAfter":1000000,
"MayDuplicate":true,"OpenCap":20000,"Probing":true,"RetryAfter":true,"StreamsPerConn":32}},
"OverShareWorth":0.05,"RegistryMode":"automatic",
"Rules":{{"AnswerSlack":16000,"AskWithin":10000000,"DrainGrace":1000000,"OverloadFor":1000000,"StartCapacity":0.17,
"TipMultiple":2.5,"WarmUp":16000000}},
"Telemetry":{{"Names":["q","x1","x0"],"Via":"inline"}},"Tenants":{tenants},"Tick":4000,"Weights":"{weights}","Zone":0,"Zones":["room"]}}}}"#
    )
}
