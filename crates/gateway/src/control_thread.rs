//! The event loop shared by the control threads (membership link, configuration follower). Each reads datagrams in
//! batches from one UDP socket, advances its state machine's time once a batch has been read, and carries out the
//! resulting actions, until the gateway stops.

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
    /// The key for sealing its datagrams can't be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
    /// The socket can't be bound to the configured address.
    #[error("{address} can't be listened on: {source}")]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The socket's local address can't be read.
    #[error("the address of a socket can't be read: {0}")]
    LocalAddress(#[source] io::Error),
    /// The configuration has no section of this name.
    #[error("the configuration has no section {0}")]
    NotConfigured(&'static str),
    /// The path of the state file does not end in a file name.
    #[error("{} does not end in a file name; change `state` in section `changes`", .0.display())]
    StateFileName(PathBuf),
    /// The system can't start another thread.
    #[error("the thread can't be started: {0}")]
    Spawn(#[source] io::Error),
}

/// Opens the UDP socket of a control thread.
pub fn bind(address: SocketAddr) -> Result<UdpSocket, ControlThreadError> {
    UdpSocket::bind(address).map_err(|source| ControlThreadError::Bind { address, source })
}

/// A state machine without I/O together with its socket, to be run by [`spawn`]. All times are in seconds on the
/// gateway's clock.
pub trait ControlLoop: Send + 'static {
    /// Name of the thread.
    const THREAD_NAME: &'static str;
    /// Maximum size of a valid datagram, in bytes.
    const MAX_DATAGRAM_BYTES: usize;
    /// The message that is logged if reading from the socket fails.
    const READ_FAILED: &'static str;

    /// The socket from which datagrams are received.
    fn socket(&self) -> &UdpSocket;
    /// The time until which the thread may wait for a datagram.
    fn wait_until(&self) -> f64;
    /// The time at which [`tick`](Self::tick) is due.
    fn next_tick(&self) -> f64;
    /// Handles one received datagram, which may come from any sender.
    fn receive(&mut self, datagram: &[u8], from: SocketAddr);
    /// Advances the state machine's time. All datagrams that arrived before have been handled, so that no peer counts
    /// as silent just because this thread was paused.
    fn tick(&mut self, now: f64);
    /// Carries out the state machine's output. Called after each datagram and after each wait without one.
    fn process_output(&mut self, now: f64);
    /// Whether the thread must end as if its process had been killed, without calling [`finish`](Self::finish).
    fn is_killed(&self) -> bool;
    /// Performs a graceful shutdown, for the benefit of the peers and of the next process.
    fn finish(self);
}

/// Starts the thread of a control loop, which ends once `shared_runtime` is stopping. The caller joins the thread.
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
        control_loop.process_output(now);
    }
    if !control_loop.is_killed() {
        control_loop.finish();
    }
}
