//! Authors of changes other than a plain `milletpath change`: one whose first proposal is held back until the test
//! releases it, and one that proposes each change as soon as the previous one is committed.

use super::{Installation, key};
use milletpath_config_log::message::{self, MAX_DATAGRAM_BYTES, Message};
use milletpath_config_log::{Change, Outcome};
use std::net::{SocketAddr, UdpSocket};
use std::ops::RangeInclusive;
use std::sync::mpsc::{Receiver, RecvError, Sender, channel};
use std::time::Duration;

/// Timeout of the response to one datagram.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the forwarder waits for a datagram on one socket before it polls the other.
const FORWARDER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum number of times that a proposal is sent.
const MAX_SENDS: usize = 30;

/// A proposal that is held back between its author and a control machine.
pub struct HeldProposal {
    /// Address at which the author reaches the control machine.
    pub address: SocketAddr,
    /// Receives a message when the first proposal is held back.
    pub held: Receiver<()>,
    /// Sending a message lets the proposal be forwarded.
    pub release: Sender<()>,
}

/// Forwards datagrams between an author and a control machine, and holds the first proposal back.
pub fn hold_back_first_proposal(control: &str) -> HeldProposal {
    let author_side = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    let control_side = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    control_side.connect(control).expect("the address is valid");
    for socket in [&author_side, &control_side] {
        socket.set_read_timeout(Some(FORWARDER_POLL_INTERVAL)).expect("the socket is open");
    }
    let address = author_side.local_addr().expect("the socket is bound");
    let ((held_sender, held), (release, release_receiver)) = (channel(), channel());
    let forwarder = Forwarder { author_side, control_side, held_sender, release_receiver, has_held: false };
    std::thread::spawn(move || forwarder.run());
    HeldProposal { address, held, release }
}

/// Forwards datagrams in both directions between an author and a control machine.
struct Forwarder {
    author_side: UdpSocket,
    control_side: UdpSocket,
    held_sender: Sender<()>,
    release_receiver: Receiver<()>,
    /// Whether a proposal has already been held back.
    has_held: bool,
}

impl Forwarder {
    /// Forwards until the test ends without releasing the proposal.
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

    /// Returns when the datagram may be forwarded, or an error if the test has ended. Only the first proposal is held
    /// back.
    fn hold_first_proposal(&mut self, datagram: &[u8]) -> Result<(), RecvError> {
        let message = message::open(&key(), datagram).expect("the datagram is sealed with the shared key");
        if self.has_held || !matches!(message, Message::Propose { .. }) {
            return Ok(());
        }
        self.has_held = true;
        self.held_sender.send(()).expect("the test waits for the proposal");
        self.release_receiver.recv()
    }
}

/// Proposes changes 1 to `changes` of one configuration key, each as soon as the previous one is committed. Returns the
/// number of the last change.
pub fn propose_changes(installation: &Installation, changes: usize) -> u64 {
    propose_changes_at(installation, 0, 1..=changes, 0)
}

/// Like [`propose_changes`], but proposes to the given control machine. `replaces` is the number of the change that is
/// in force under the key, 0 for none.
pub fn propose_changes_at(
    installation: &Installation,
    machine: usize,
    changes: RangeInclusive<usize>,
    replaces: u64,
) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    socket.connect(installation.control_address(machine)).expect("the address is valid");
    socket.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("the socket is open");
    let mut number = replaces;
    for n in changes {
        let text = format!("functions {{\n  lanes = {n}\n#{}\n}}", "x".repeat(700));
        let change = Change { id: n as u64, key: "functions".into(), text: Some(text), replaces: number };
        number = propose(&socket, change).unwrap_or_else(|| panic!("change {n} was not committed"));
    }
    number
}

/// Sends a change until it is committed and returns its number; `None` after [`MAX_SENDS`] attempts.
fn propose(socket: &UdpSocket, change: Change) -> Option<u64> {
    let change_id = change.id;
    let datagram =
        message::seal(&key(), &Message::Propose { change }).expect("the change fits into a datagram");
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    (0..MAX_SENDS).find_map(|_| {
        socket.send(&datagram).expect("the socket is open");
        let size = socket.recv(&mut buffer).ok()?;
        match message::open(&key(), &buffer[..size]) {
            Ok(Message::ProposalResult { id, outcome: Outcome::Committed(number) }) if id == change_id => {
                Some(number)
            }
            _ => None,
        }
    })
}
