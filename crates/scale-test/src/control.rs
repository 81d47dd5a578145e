//! The control machines of a run, each a process of `milletpath control`; what they and gateways tell of
//! changes; and authors, who propose some as `milletpath change` does. Links of both pass the relay as those
//! of gateways do; who looks after the run asks directly.

use crate::applied_state::AppliedState;
use crate::children::ChildMessage;
use crate::gateway_config;
use crate::host_protocol::AddressMap;
use crate::proposal::ProposalError;
use milletpath_config_log::{Change, Outcome, ReplicaView};
use milletpath_gateway::ConfigStatus;
use milletpath_gateway::control_client::{Client, ProposalOutcome, random_id};
use milletpath_gateway::hollow_gateway::clock;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// Authors that propose side by side; what one proposes waits for what he proposed before.
pub const AUTHORS: usize = 24;

/// Seconds before its time for which an author looks what stands under a key.
pub const LOOK: f64 = 0.8;

/// Functions whose figures are changed in turn.
const FUNCTIONS: usize = 256;

/// Answers are this late at most: all that an author tries takes so many seconds.
pub const AUTHOR_TRIES: f64 = 20.0;

/// A control machine's process.
pub struct Machine {
    child: Child,
    /// Where it hears.
    pub at: SocketAddr,
}

impl Machine {
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts one, and waits until it hears; `found` where the log is a new one.
pub fn start(program: &Path, places: &AddressMap, number: usize, found: bool) -> io::Result<Machine> {
    /// Ports that are tried: one that is free may be taken by another until it is bound.
    const TRIES: usize = 4;
    let mut wrong = io::Error::other("no port is free");
    for _ in 0..TRIES {
        let at = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        match start_at(program, places, number, found, at) {
            Ok(machine) => return Ok(machine),
            Err(e) => wrong = e,
        }
    }
    Err(wrong)
}

fn start_at(
    program: &Path,
    places: &AddressMap,
    number: usize,
    found: bool,
    at: SocketAddr,
) -> io::Result<Machine> {
    // It reaches the others by their links, and hears where it is itself.
    let mut control = places.control.clone();
    control[number] = at;
    let file = places.folder.join(format!("control-{number}.hcl"));
    std::fs::write(&file, gateway_config::control_text(&control, places))?;
    let log = places.folder.join(format!("control-{number}.told"));
    let log = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(program);
    command.args(["--log", "json", "control", "--charter"]).arg(&file);
    command.args(["--number", &number.to_string()]).args(found.then_some("--found"));
    let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).spawn()?;
    let output = child.stdout.take();
    // Dropped from here on it is ended.
    let machine = Machine { child, at };
    let output = output.ok_or_else(|| io::Error::other("no output"))?;
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    match lines.any(|line| line.starts_with(&format!("control {number} on udp://"))) {
        true => Ok(machine),
        false => Err(io::Error::other(format!("control machine {number} does not begin"))),
    }
}

/// A client of the control machines at those addresses.
fn client(places: &AddressMap, control: &[SocketAddr]) -> io::Result<Client> {
    let mistakes = |m: Vec<_>| io::Error::other(format!("a charter can't be read: {m:?}"));
    let house = milletpath_config::read(&gateway_config::control_text(control, places)).map_err(mistakes)?;
    Client::new(&house.config_log.ok_or_else(|| io::Error::other("a charter without changes"))?)
        .map_err(io::Error::other)
}

/// What control machines tell, asked where they are; none for one that does not answer.
pub fn views(places: &AddressMap, at: &[SocketAddr]) -> io::Result<Vec<Option<ReplicaView>>> {
    if at.is_empty() { Ok(Vec::new()) } else { Ok(client(places, at)?.control_status()) }
}

/// Number and digest of what is in force at real gateways, asked where they hear changes.
pub fn states(places: &AddressMap, at: &[SocketAddr]) -> io::Result<Vec<Option<AppliedState>>> {
    if at.is_empty() {
        return Ok(Vec::new());
    }
    let told = client(places, &places.control)?.status_texts(at).into_iter();
    let read = |text: Option<Vec<u8>>| {
        let followed: ConfigStatus = serde_json::from_slice(&text?).ok()?;
        Some(AppliedState { number: followed.view.number, digest: followed.view.digest })
    };
    Ok(told.map(read).collect())
}

/// A change that an author has in mind: its number among all of the run, and when he proposes it.
pub type Wanted = (usize, f64);

/// An author who hears at a port of his own.
pub struct Author {
    client: Client,
}

impl Author {
    pub fn new(places: &AddressMap) -> io::Result<Self> {
        Ok(Self { client: client(places, &places.control)? })
    }

    pub fn at(&self) -> io::Result<SocketAddr> {
        self.client.address()
    }

    /// Proposes some, one after the other, in a thread of its own; what became of each is heard.
    pub fn propose(self, wanted: Vec<Wanted>, heard: SyncSender<ChildMessage>) -> io::Result<()> {
        std::thread::Builder::new().name("author".into()).spawn(move || {
            for (change, due) in wanted {
                std::thread::sleep(Duration::from_secs_f64((due - LOOK - clock()).max(0.0)));
                let (at, outcome) = self.one(change, due);
                let _ = heard.send(ChildMessage::Answered { change, at, answered: clock(), outcome });
            }
        })?;
        Ok(())
    }

    /// One change, as `milletpath change` has it made; with when it was proposed.
    fn one(&self, number: usize, due: f64) -> (f64, Result<u64, ProposalError>) {
        let key = format!("function scale-{}", number % FUNCTIONS);
        // All are different, so that none is so already.
        let (lanes, memory) = (1 + number % 4, 64 + number % 1_000);
        let name = number % FUNCTIONS;
        let text = Some(format!("function \"scale-{name}\" {{\n  lanes = {lanes}\n  memory = {memory}\n}}"));
        let Some(before) = self.client.get(&key) else {
            return (clock(), Err(ProposalError::NoAnswer));
        };
        std::thread::sleep(Duration::from_secs_f64((due - clock()).max(0.0)));
        let change =
            Change { id: random_id(), key: key.clone(), text: text.clone(), replaces: before.number };
        let at = clock();
        let outcome = match self.client.propose(&change, before.from) {
            ProposalOutcome::Decided(Outcome::Committed(number)) => Ok(number),
            // Of two askings for one proposal the later can find the earlier in force.
            ProposalOutcome::Decided(Outcome::Superseded(by)) => match self.client.get(&key) {
                Some(now) if now.text == text => Ok(now.number),
                _ => Err(ProposalError::Superseded { by }),
            },
            ProposalOutcome::Decided(other) => Err(ProposalError::NotCommitted(other)),
            ProposalOutcome::Denied(reason) => Err(ProposalError::Denied { reason }),
            ProposalOutcome::Unanswered => Err(ProposalError::Unanswered),
        };
        (at, outcome)
    }
}
