//! The processes that a run starts: hosts of hollow gateways, and real gateways. What they say comes on one
//! channel. Dropped, each of them ends, whatever the run came to.

use crate::gateway_config;
use crate::host_protocol::{HostCommand, Minimum, StatusMessage};
use crate::membership_tracker::ReportedState;
use crate::proposal::ProposalError;
use milletpath_gateway::hollow_gateway::clock;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel};
use std::time::{Duration, Instant};

/// What a run hears.
#[derive(Debug)]
pub enum ChildMessage {
    Host(StatusMessage),
    /// A host's output ended.
    HostEnded(usize),
    /// A real gateway says something of another; its life tells it from its former self.
    Real {
        gateway: usize,
        life: u64,
        about: usize,
        says: ReportedState,
        at: f64,
    },
    /// A real gateway has in force all changes up to a number.
    RealChanged {
        gateway: usize,
        life: u64,
        number: u64,
        at: f64,
    },
    /// What became of a change: when it was proposed and when that was known, its number or why it has none.
    Answered {
        change: usize,
        at: f64,
        answered: f64,
        outcome: Result<u64, ProposalError>,
    },
    /// A real gateway has ended after it was told to.
    RealEnded {
        gateway: usize,
        at: f64,
    },
    /// The least that a real gateway could use in a second.
    RealLow {
        gateway: usize,
        low: Minimum,
    },
}

/// Seconds that a process has to end by itself.
const END: f64 = 3.0;

/// Waits for a process's end, and ends it outright when it takes too long.
fn end(child: &mut Child) {
    let begun = Instant::now();
    while begun.elapsed().as_secs_f64() < END {
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    let _ = child.wait();
}

pub struct Host {
    child: Child,
    orders: Option<Sender<HostCommand>>,
}

impl Host {
    pub fn start(
        program: &Path,
        number: usize,
        log: File,
        heard: SyncSender<ChildMessage>,
    ) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.arg("--log").arg("json").arg("scale-host").stdin(Stdio::piped()).stdout(Stdio::piped());
        // Of a thousand gateways only what is broken is worth a line.
        if std::env::var_os("MILLETPATH_LOG").is_none() {
            command.env("MILLETPATH_LOG", "error");
        }
        let mut child = command.stderr(log).spawn()?;
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(io::Error::other("a host has no pipes"));
        };
        let (orders, wanted) = channel();
        // Dropped from here on it is ended.
        let host = Self { child, orders: Some(orders) };
        std::thread::Builder::new().name("orders".into()).spawn(move || write(input, &wanted))?;
        std::thread::Builder::new().name("host".into()).spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                match serde_json::from_str(&line) {
                    Ok(told) => _ = heard.send(ChildMessage::Host(told)),
                    Err(e) => tracing::error!(number, "a host's word can't be read: {e}"),
                }
            }
            let _ = heard.send(ChildMessage::HostEnded(number));
        })?;
        Ok(host)
    }

    /// Orders something; never waits for the host.
    pub fn order(&self, order: HostCommand) {
        // A host that is gone is heard of by its end.
        self.orders.iter().for_each(|orders| _ = orders.send(order.clone()));
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Lets it end: its input does.
    pub fn release(&mut self) {
        self.orders = None;
    }
}

fn write(mut input: ChildStdin, wanted: &Receiver<HostCommand>) {
    while let Ok(order) = wanted.recv() {
        let line = serde_json::to_string(&order).unwrap_or_default();
        if writeln!(input, "{line}").and_then(|()| input.flush()).is_err() {
            return;
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.release();
        end(&mut self.child);
    }
}

/// A real gateway's process.
pub struct Real {
    child: Child,
    pub life: u64,
    /// Where clients reach it, and where it hears other gateways.
    pub address: SocketAddr,
    pub link: Option<SocketAddr>,
    /// Where it hears changes.
    pub feed: Option<SocketAddr>,
    pub began: f64,
}

impl Real {
    /// Starts it and waits until it tells where it listens.
    pub fn start(
        program: &Path,
        config: &Path,
        (gateway, life): (usize, u64),
        heard: SyncSender<ChildMessage>,
    ) -> io::Result<Self> {
        let began = clock();
        let mut command = Command::new(program);
        command.arg("--log").arg("json").arg("serve").arg("--charter").arg(config);
        // By its log it is known whom it believes in.
        command.env("MILLETPATH_LOG", "info").stdin(Stdio::null());
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let (output, log) = (child.stdout.take(), child.stderr.take());
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut real = Self { child, life, address: nowhere, link: None, feed: None, began };
        if let Some(log) = log {
            std::thread::Builder::new().name("log".into()).spawn(move || {
                for line in BufReader::new(log).lines().map_while(Result::ok) {
                    if let Some((about, says)) = believes(&line) {
                        let _ = heard.send(ChildMessage::Real { gateway, life, about, says, at: clock() });
                    } else if let Some(number) = holds(&line) {
                        let _ = heard.send(ChildMessage::RealChanged { gateway, life, number, at: clock() });
                    }
                }
            })?;
        }
        for line in BufReader::new(output.into_iter().next().ok_or_else(|| io::Error::other("no output"))?)
            .lines()
            .map_while(Result::ok)
        {
            if let Some(at) = line.strip_prefix("peers on udp://") {
                real.link = at.trim().parse().ok();
            }
            if let Some(at) = line.strip_prefix("changes on udp://") {
                real.feed = at.trim().parse().ok();
            }
            if let Some(at) = line.strip_prefix("listening on http://").and_then(|at| at.trim().parse().ok())
            {
                real.address = at;
                return Ok(real);
            }
        }
        Err(io::Error::other(format!("gateway {gateway} does not tell where it listens")))
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Tells it to stop; that it has is heard.
    pub fn leave(mut self, gateway: usize, heard: SyncSender<ChildMessage>) -> io::Result<()> {
        let at = clock();
        kill(Pid::from_raw(self.child.id() as i32), Signal::SIGTERM)?;
        std::thread::Builder::new().name("leave".into()).spawn(move || {
            end(&mut self.child);
            let _ = heard.send(ChildMessage::RealEnded { gateway, at });
        })?;
        Ok(())
    }
}

impl Drop for Real {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The number up to which a line of a gateway's log says that all changes are in force.
pub fn holds(line: &str) -> Option<u64> {
    if !line.contains("\"configuration changes are applied\"") {
        return None;
    }
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    line["fields"]["number"].as_u64()
}

/// What a line of a gateway's log says of another: its number, and what.
pub fn believes(line: &str) -> Option<(usize, ReportedState)> {
    // Most lines are of other things.
    if !line.contains("\"a gateway ") {
        return None;
    }
    let line: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = &line["fields"];
    let says = match fields["message"].as_str()? {
        "a gateway joined" | "a gateway that was declared dead returned" => ReportedState::Alive,
        "a gateway does not answer" => ReportedState::Suspected,
        "a gateway is declared dead" | "a gateway left" => ReportedState::Dead,
        _ => return None,
    };
    Some((gateway_config::number(fields["name"].as_str()?)?, says))
}
