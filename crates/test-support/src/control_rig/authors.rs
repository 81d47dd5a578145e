//! Authors of changes that are not `milletpath change`: one whose proposals wait until the test lets them go on, and one
//! that proposes as fast as changes are committed.

use super::{Installation, key};
use milletpath_config_log::message::{self, MAX_DATAGRAM_BYTES, Message};
use milletpath_config_log::{Change, Outcome};
use std::net::{SocketAddr, UdpSocket};
use std::ops::RangeInclusive;
use std::sync::mpsc::{Receiver, RecvError, Sender, channel};
use std::time::Duration;

/// How long one datagram waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the forwarder waits for a datagram of either side before it looks at the other.
const FORWARD_INTERVAL: Duration = Duration::from_millis(5);

/// How often a proposal is sent at most.
const MAX_SENDS: usize = 30;

/// A proposal between its author and a control machine.
pub struct HeldProposal {
    /// Where the author reaches the control machine.
    pub address: SocketAddr,
    /// Receives once the first proposal is held back.
    pub held: Receiver<()>,
    /// Sending lets it go on.
    pub release: Sender<()>,
}

/// Forwards datagrams between an author and a control machine, and holds the first proposal back.
pub fn hold_back_first_proposal(control: &str) -> HeldProposal {
    let author_side = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let control_side = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    control_side.connect(control).expect("a socket");
    for socket in [&author_side, &control_side] {
        socket.set_read_timeout(Some(FORWARD_INTERVAL)).expect("a socket");
    }
    let address = author_side.local_addr().expect("a bound socket");
    let ((holds, held), (release, released)) = (channel(), channel());
    let forwarder = Forwarder { author_side, control_side, holds, released, has_held: false };
    std::thread::spawn(move || forwarder.run());
    HeldProposal { address, held, release }
}

/// Stands between an author and a control machine.
struct Forwarder {
    author_side: UdpSocket,
    control_side: UdpSocket,
    holds: Sender<()>,
    released: Receiver<()>,
    /// Whether a proposal was held back already.
    has_held: bool,
}

impl Forwarder {
    /// Forwards until the test ends without having released the proposal.
    fn run(mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut author = None;
        loop {
            if let Ok((size, from)) = self.author_side.recv_from(&mut buffer) {
                author = Some(from);
                if self.hold_first_proposal(&buffer[..size]).is_err() {
                    return;
                }
                let _ = self.control_side.send(&buffer[..size]);
            }
            if let (Ok(size), Some(author)) = (self.control_side.recv(&mut buffer), author) {
                let _ = self.author_side.send_to(&buffer[..size], author);
            }
        }
    }

    /// Returns once the datagram may go on; an error where the test has ended.
    fn hold_first_proposal(&mut self, datagram: &[u8]) -> Result<(), RecvError> {
        let message = message::open(&key(), datagram).expect("a datagram under the shared key");
        if self.has_held || !matches!(message, Message::Propose { .. }) {
            return Ok(());
        }
        self.has_held = true;
        self.holds.send(()).expect("the test waits for the proposal");
        self.released.recv()
    }
}

/// Proposes changes 1 to `changes` under one key, each as soon as the one before is committed; returns the last number.
pub fn propose_changes(installation: &Installation, changes: usize) -> u64 {
    propose_changes_at(installation, 0, 1..=changes, 0)
}

/// As [`propose_changes`], to that control machine, where the key stands at number `replaces`.
pub fn propose_changes_at(
    installation: &Installation,
    machine: usize,
    changes: RangeInclusive<usize>,
    replaces: u64,
) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.connect(installation.control_address(machine)).expect("a socket");
    socket.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a socket");
    let mut number = replaces;
    for n in changes {
        let text = format!("functions {{\n  lanes = {n}\n#{}\n}}", "x".repeat(700));
        let change = Change { id: n as u64, key: "functions".into(), text: Some(text), replaces: number };
        number = propose(&socket, change).unwrap_or_else(|| panic!("change {n} is not committed"));
    }
    number
}

/// Sends a change until it is committed, and returns its number; `None` where it never is.
fn propose(socket: &UdpSocket, change: Change) -> Option<u64> {
    let change_id = change.id;
    let datagram = message::seal(&key(), &Message::Propose { change }).expect("a small datagram");
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    (0..MAX_SENDS).find_map(|_| {
        socket.send(&datagram).expect("a socket");
        let size = socket.recv(&mut buffer).ok()?;
        match message::open(&key(), &buffer[..size]) {
            Ok(Message::ProposalResult { id, outcome: Outcome::Committed(number) }) if id == change_id => {
                Some(number)
            }
            _ => None,
        }
    })
}
