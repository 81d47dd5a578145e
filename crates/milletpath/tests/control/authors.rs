//! Authors of the tests' own: one whose proposals wait until they are told to go on, and one that proposes as fast as
//! changes are committed.

use super::{Site, key};
use milletpath_config_log::message::{self, MAX_DATAGRAM_BYTES, Message};
use milletpath_config_log::{Change, Outcome};
use std::net::{SocketAddr, UdpSocket};
use std::ops::RangeInclusive;
use std::sync::mpsc;
use std::time::Duration;

/// Stands between an author and a control machine: passes all on, and holds back the first proposal until it
/// is told.
pub fn between(control: &str) -> (SocketAddr, mpsc::Receiver<()>, mpsc::Sender<()>) {
    let near = UdpSocket::bind("127.0.0.1:0").unwrap();
    let far = UdpSocket::bind("127.0.0.1:0").unwrap();
    far.connect(control).unwrap();
    let at = near.local_addr().unwrap();
    let ((held, tell), (go, gone)) = (mpsc::channel(), mpsc::channel());
    std::thread::spawn(move || {
        let (mut buffer, mut author, mut first) = ([0; MAX_DATAGRAM_BYTES + 1], None, true);
        for socket in [&near, &far] {
            socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        }
        loop {
            if let Ok((size, from)) = near.recv_from(&mut buffer) {
                author = Some(from);
                let message = message::open(&key(), &buffer[..size]).expect("its own key");
                if matches!(message, Message::Propose { .. }) && std::mem::take(&mut first) {
                    held.send(()).unwrap();
                    if gone.recv().is_err() {
                        return;
                    }
                }
                let _ = far.send(&buffer[..size]);
            }
            if let (Ok(size), Some(author)) = (far.recv(&mut buffer), author) {
                let _ = near.send_to(&buffer[..size], author);
            }
        }
    });
    (at, tell, go)
}

/// Proposes one change after the other under one key, as fast as they are committed; gives the last number.
pub fn proposed(site: &Site, changes: usize) -> u64 {
    proposed_at(site, 0, 1..=changes, 0)
}

/// As [`proposed`], at that control machine, where that number stands under the key.
pub fn proposed_at(site: &Site, machine: usize, changes: RangeInclusive<usize>, replaces: u64) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.connect(site.at(machine)).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let (mut number, mut buffer) = (replaces, [0; MAX_DATAGRAM_BYTES + 1]);
    for n in changes {
        let text = format!("functions {{\n  lanes = {n}\n#{}\n}}", "x".repeat(700));
        let change = Change { id: n as u64, key: "functions".into(), text: Some(text), replaces: number };
        let datagram = message::seal(&key(), &Message::Propose { change }).unwrap();
        let committed = (0..30).find_map(|_| {
            socket.send(&datagram).unwrap();
            let size = socket.recv(&mut buffer).ok()?;
            match message::open(&key(), &buffer[..size]) {
                Ok(Message::ProposalResult { id, outcome: Outcome::Committed(at) }) if id == n as u64 => {
                    Some(at)
                }
                _ => None,
            }
        });
        number = committed.unwrap_or_else(|| panic!("change {n} is not committed"));
    }
    number
}
