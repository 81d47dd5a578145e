//! The router's process, started by `run` of the deploy file.

use crate::children;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The repository's root, given by the script.
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The command `run` of the deploy file.
fn run_command() -> io::Result<String> {
    let file = std::fs::read_to_string(root().join("deploy/balancer.toml"))?;
    let line = file.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|rest| rest.split('"').next()).ok_or(io::ErrorKind::InvalidData)?;
    Ok(command.to_owned())
}

/// A router, which is killed when this is dropped.
pub struct Router {
    child: Child,
    pub address: SocketAddr,
}

impl Router {
    /// Starts a router; its log goes to the file `log`.
    pub fn start(name: &str, address: SocketAddr, configuration: &Path, log: &Path) -> io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command()?)
            .current_dir(root())
            .env("LB_NAME", name)
            .env("LB_LISTEN", address.to_string())
            .env("LB_CONFIG", configuration)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        Ok(Self { child: children::spawn(&mut command)?, address })
    }

    /// Waits until the router answers `probe` with `"fit":true`; false after 30 s or if it has ended.
    pub fn becomes_ready(&mut self) -> bool {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if !self.is_running() {
                return false;
            }
            if self.is_fit().unwrap_or(false) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_fit(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"probe\"}\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.contains("\"fit\":true"))
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
