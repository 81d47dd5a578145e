//! What the control threads (membership link, configuration follower) do alike: each reads datagrams in batches from one
//! UDP socket, lets time pass for its core once a batch is read, and acts on what follows, until the gateway stops.

use crate::datagram_receiver::DatagramReceiver;
use crate::key_file::KeyFileError;
use crate::shared_runtime::SharedRuntime;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;

/// Why a control thread can't start.
#[derive(Debug, thiserror::Error)]
pub enum ControlThreadError {
    /// The key that seals its datagrams can't be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// The socket can't be opened on the configured address.
    #[error("{address} can't be listened on: {source}")]
    Bind {
        /// The address that the configuration states.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The socket's own address can't be read.
    #[error("the address of a socket can't be read: {0}")]
    LocalAddress(#[source] io::Error),
    /// The configuration lacks the section of that name.
    #[error("the configuration has no section {0}")]
    NotConfigured(&'static str),
    /// The path of the state file does not end in a file name.
    #[error("{} is no file name; change state of changes in the configuration", .0.display())]
    StateFileName(PathBuf),
    /// The system has no room for another thread.
    #[error("the thread can't be started: {0}")]
    Spawn(#[source] io::Error),
}

/// Opens the UDP socket of a control thread.
pub fn bind(address: SocketAddr) -> Result<UdpSocket, ControlThreadError> {
    UdpSocket::bind(address).map_err(|source| ControlThreadError::Bind { address, source })
}

/// A core without I/O together with its socket, as [`spawn`] runs it. All times are seconds on the gateway's clock.
pub trait ControlLoop: Send + 'static {
    /// The name of the thread.
    const THREAD_NAME: &'static str;
    /// The size of the largest datagram that is valid, in bytes.
    const MAX_DATAGRAM_BYTES: usize;
    /// The log line for a socket that can't be read.
    const READ_FAILED: &'static str;

    /// The socket whose datagrams are received.
    fn socket(&self) -> &UdpSocket;
    /// The time up to which the thread may wait for a datagram.
    fn wait_until(&self) -> f64;
    /// The time at which [`tick`](Self::tick) is due.
    fn next_tick(&self) -> f64;
    /// Handles one datagram as it came, whoever sent it.
    fn receive(&mut self, datagram: &[u8], from: SocketAddr);
    /// Lets time pass for the core. All datagrams that came before were received, so that nobody counts as silent because
    /// this thread was paused.
    fn tick(&mut self, now: f64);
    /// Acts on what the core decided: after each datagram, and after each wait without one.
    fn act(&mut self, now: f64);
    /// Whether the thread is to end as if its process had been killed, without [`finish`](Self::finish).
    fn is_killed(&self) -> bool;
    /// Does what a graceful shutdown requires for others and for the next process.
    fn finish(self);
}

/// Starts the thread of a control loop; it ends once `shared_runtime` is stopping. The caller owns the thread and joins it.
pub fn spawn<L: ControlLoop>(
    control_loop: L,
    shared_runtime: Arc<SharedRuntime>,
) -> Result<JoinHandle<()>, ControlThreadError> {
    std::thread::Builder::new()
        .name(L::THREAD_NAME.into())
        .spawn(move || run(control_loop, &shared_runtime))
        .map_err(ControlThreadError::Spawn)
}

fn run<L: ControlLoop>(mut control_loop: L, shared_runtime: &SharedRuntime) {
    let mut datagram_receiver = DatagramReceiver::new(L::MAX_DATAGRAM_BYTES);
    while !shared_runtime.stopping.load(Ordering::Acquire) {
        let due_in = control_loop.wait_until() - shared_runtime.now();
        if let Some((datagram, from)) =
            datagram_receiver.receive(control_loop.socket(), due_in, L::READ_FAILED)
        {
            control_loop.receive(datagram, from);
        }
        let now = shared_runtime.now();
        if datagram_receiver.is_tick_due(now, control_loop.next_tick()) {
            control_loop.tick(now);
        }
        control_loop.act(now);
    }
    if !control_loop.is_killed() {
        control_loop.finish();
    }
}
