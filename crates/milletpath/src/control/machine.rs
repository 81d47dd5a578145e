//! The thread of a control machine: datagrams in, what is to be stored into the log, datagrams out.

use super::receiver::{self, Receiver, Turn};
use super::{ControlStatus, LOOK};
use milletpath_config::GatewayConfig;
use milletpath_config_log::message::{self, Key, LARGEST, LONGEST_DENIAL, Message};
use milletpath_config_log::{DurableReplica, StorageEvent};
use milletpath_gateway::{Telling, cpu, is_power_of_ten};
use milletpath_storage::DiskFolder;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub struct Machine {
    replica: DurableReplica<DiskFolder>,
    house: GatewayConfig,
    control: Vec<SocketAddr>,
    socket: Arc<UdpSocket>,
    key: Key,
    began: Instant,
    telling: Telling,
    /// Datagrams that were not taken.
    refused: u64,
    /// Why the log can't be written, since it failed last.
    log_error: Option<String>,
    /// When it is looked at next what is worth a line in the log, and what that was told last.
    look: f64,
    leads: Option<(bool, bool)>,
}

impl Machine {
    pub fn new(
        replica: DurableReplica<DiskFolder>,
        house: GatewayConfig,
        control: Vec<SocketAddr>,
        socket: Arc<UdpSocket>,
        key: Key,
        began: Instant,
    ) -> Self {
        Self {
            replica,
            house,
            control,
            socket,
            key,
            began,
            telling: Telling::default(),
            refused: 0,
            log_error: None,
            look: 0.0,
            leads: None,
        }
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Runs until it is told to stop.
    pub fn run(mut self, stop: &AtomicBool) {
        let mut receiver = Receiver::new(self.socket.clone(), LARGEST);
        while !stop.load(Ordering::Acquire) {
            let wait = (self.replica.next() - self.now()).clamp(0.001, LOOK.as_secs_f64());
            let turn =
                receiver.receive(Duration::from_secs_f64(wait), |datagram, from| self.take(datagram, from));
            // Whatever came while this thread stood still is heard before anybody counts as silent.
            if turn == Turn::Drained {
                let now = self.now();
                self.replica.replica_mut().turn(now);
            }
            self.flush();
            self.log_role_change();
        }
    }

    fn take(&mut self, datagram: &[u8], from: SocketAddr) {
        let message = match message::open(&self.key, datagram) {
            Ok(message) => message,
            Err(why) => {
                self.refused += 1;
                if is_power_of_ten(self.refused) {
                    tracing::warn!(%from, all = self.refused, "a message is not taken: {why}");
                }
                return;
            }
        };
        if let Message::Propose { change } = &message
            // What another control machine passes on was looked at there.
            && !self.control.contains(&from)
            && let Err(mistakes) = self.house.parse_change(&change.key, change.text.as_deref())
        {
            let mut why = mistakes.first().map(ToString::to_string).unwrap_or_default();
            let end = (0..=LONGEST_DENIAL.min(why.len())).rev().find(|n| why.is_char_boundary(*n));
            why.truncate(end.unwrap_or(0));
            tracing::info!(%from, key = change.key, "a change is refused: {why}");
            return self.send(from, &Message::Denied { id: change.id, why });
        }
        if let Message::Status { ask, page } = message {
            return self.answer(ask, page, from);
        }
        let now = self.now();
        self.replica.replica_mut().heard(now, from, message);
    }

    /// Tells an operator what is known here.
    fn answer(&mut self, ask: u64, page: u32, from: SocketAddr) {
        let (up, log, log_error) = (self.now(), self.replica.log_size(), self.log_error.clone());
        let replica = self.replica.replica_mut();
        let told = self.telling.page(from, ask, page, || {
            serde_json::to_vec(&ControlStatus { view: replica.view(up), up, cpu: cpu(), log, log_error }).ok()
        });
        if let Some(told) = told {
            self.send(from, &told);
        }
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        if let Some(datagram) = message::seal(&self.key, message) {
            receiver::send(&self.socket, &datagram, to);
        }
    }

    /// Stores all that is to be stored, and sends what builds on it once that is on the disk.
    fn flush(&mut self) {
        let (out, events) = self.replica.flush(self.now());
        out.iter().for_each(|(to, message)| self.send(*to, message));
        events.into_iter().for_each(|event| self.log_storage_event(event));
    }

    fn log_storage_event(&mut self, event: StorageEvent) {
        match event {
            StorageEvent::Failed { error, in_a_row, retry_in } => {
                let votes = !self.replica.replica().is_suspended();
                if is_power_of_ten(in_a_row.into()) {
                    tracing::error!(in_a_row, retry_in, votes, "the log can't be written: {error}");
                }
                self.log_error = Some(error.to_string());
            }
            StorageEvent::Recovered => {
                tracing::info!("a fresh log is on the disk: it votes again");
                self.log_error = None;
            }
            StorageEvent::Rewritten { records } => {
                tracing::info!(records, "the log was written anew");
                self.log_error = None;
            }
        }
    }

    /// Tells the log when its part among the others changes.
    fn log_role_change(&mut self) {
        /// Seconds between two looks.
        const AGAIN: f64 = 1.0;
        let now = self.now();
        if now < self.look {
            return;
        }
        self.look = now + AGAIN;
        let view = self.replica.replica_mut().view(now);
        let leads = Some((view.votes, view.majority));
        if leads != self.leads {
            let (number, votes, majority, heard) = (view.number, view.votes, view.majority, &view.heard);
            tracing::info!(number, votes, majority, ?heard, "how it stands among the control machines");
            self.leads = leads;
        }
    }
}
