//! `milletpath control`: a control machine. One thread with a UDP socket and a log file around the replica of
//! `milletpath-config-log`: what it is to store is on the disk before anything goes out that builds on it. A
//! change that its charter can't take is refused here, before anybody decides on it.

mod records;

use milletpath_config::{ConfigLogConfig, GatewayConfig};
use milletpath_config_log::message::{self, Key, LARGEST, LONGEST_DENIAL, Message};
use milletpath_config_log::{Act, Record, Replica, ReplicaView, Terms};
use milletpath_gateway::{Telling, cpu, tenfold};
use records::RecordFile;
use serde::{Deserialize, Serialize};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

pub fn control(charter: &Path, number: usize, found: bool) -> ExitCode {
    let (house, stated) = match stated(charter) {
        Ok(stated) => stated,
        Err(code) => return code,
    };
    let Some(at) = stated.control.get(number).copied() else {
        let (name, last) = (charter.display(), stated.control.len() - 1);
        eprintln!("{name}: has no control machine {number}; write --number 0 to {last}");
        return ExitCode::from(2);
    };
    let file = charter.with_file_name(format!("control-{number}.log"));
    let key = match milletpath_gateway::control_key(&stated.key) {
        Ok(key) => key,
        Err(e) => return failed(&format!("key of changes: {e}")),
    };
    // Before the file is touched: of two processes under one number the second ends here.
    let socket = match UdpSocket::bind(at) {
        Ok(socket) => socket,
        Err(e) => return failed(&format!("{at} can't be listened on: {e}; is this machine {number} here?")),
    };
    let (mut log, held) = match RecordFile::open(&file) {
        Ok(open) => open,
        Err(unfit) => return failed(&format!("{}: {unfit}", file.display())),
    };
    if held.cut > 0 {
        tracing::warn!(file = %file.display(), bytes = held.cut, "a record that a crash cut short is taken off the log");
    }
    let mut stored = Vec::with_capacity(held.records.len());
    for (n, bytes) in held.records.iter().enumerate() {
        match minicbor::decode::<Record>(bytes) {
            Ok(record) => stored.push(record),
            Err(_) => {
                let wrong = "is of a kind that this program does not know; run the program that wrote it";
                return failed(&format!("{}: record {n} {wrong}", file.display()));
            }
        }
    }
    if found && !stored.is_empty() {
        eprintln!("{}: holds a log already; begin without --found", file.display());
        return ExitCode::from(2);
    }
    if found {
        if let Err(e) = log.append(&[coded(&Record::Founded)]) {
            return failed(&format!("{}: can't be written: {e}", file.display()));
        }
        stored.push(Record::Founded);
    } else if stored.is_empty() {
        tracing::warn!("begins without a log: learns from the others, and votes once all of them answered");
    }
    let terms = Terms::default();
    let replica = Replica::new(
        number,
        stated.control.clone(),
        terms,
        milletpath_gateway::control_client::chance(),
        0.0,
        stored,
    );
    let head = replica.state().head();
    tracing::info!(number, %at, head, "a control machine");
    // For whoever started it.
    let _ = writeln!(io::stdout(), "control {number} on udp://{at}");
    let (began, stop) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let running = Running {
        replica,
        house,
        control: stated.control,
        socket,
        key,
        log,
        began,
        telling: Telling::default(),
        refused: 0,
        look: 0.0,
        leads: None,
    };
    let told = stop.clone();
    let thread = std::thread::Builder::new().name("control".into()).spawn(move || running.run(&told));
    let Ok(thread) = thread else { return failed("its thread can't start") };
    let ended = crate::local(async {
        tokio::select! {
            () = crate::serve::stop() => {}
            // It ends by itself where its log can't be written.
            () = async { while !thread.is_finished() { tokio::time::sleep(LOOK).await } } => {}
        }
        ExitCode::SUCCESS
    });
    stop.store(true, Ordering::Release);
    match thread.join() {
        Ok(Ok(())) => ended,
        Ok(Err(e)) => {
            failed(&format!("{}: can't be written: {e}; free its disk and begin again", file.display()))
        }
        Err(_) => failed("the control machine broke"),
    }
}

/// What a control machine tells operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    #[serde(flatten)]
    pub view: ReplicaView,
    /// Seconds since its process began, and seconds of a processor that it took.
    pub up: f64,
    pub cpu: f64,
    /// Bytes of its log.
    pub log: u64,
}

/// Between two looks whether it is to stop.
const LOOK: Duration = Duration::from_millis(50);

/// A charter, with what it states of changes.
pub fn stated(charter: &Path) -> Result<(GatewayConfig, ConfigLogConfig), ExitCode> {
    let house = crate::read(charter)?;
    match house.changes.clone() {
        Some(changes) => Ok((house, changes)),
        None => {
            eprintln!("{}: has no changes; add changes {{ ... }} to the charter", charter.display());
            Err(ExitCode::from(2))
        }
    }
}

fn failed(why: &str) -> ExitCode {
    eprintln!("{why}");
    ExitCode::FAILURE
}

fn coded(record: &Record) -> Vec<u8> {
    minicbor::to_vec(record).expect("a list of bytes takes all")
}

struct Running {
    replica: Replica,
    house: GatewayConfig,
    control: Vec<SocketAddr>,
    socket: UdpSocket,
    key: Key,
    log: RecordFile,
    began: Instant,
    telling: Telling,
    /// Datagrams that were not taken.
    refused: u64,
    /// When it is looked at next what is worth a line in the log, and what that was told last.
    look: f64,
    leads: Option<(bool, bool)>,
}

impl Running {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn run(mut self, stop: &AtomicBool) -> io::Result<()> {
        /// Datagrams read in a row before what follows from them is stored, once for all, and sent.
        const TURN: usize = 256;
        let mut buffer = [0; LARGEST + 1];
        while !stop.load(Ordering::Acquire) {
            let wait = (self.replica.next() - self.now()).clamp(0.001, LOOK.as_secs_f64());
            self.socket.set_read_timeout(Some(Duration::from_secs_f64(wait)))?;
            let mut read = 0;
            while read < TURN {
                match self.socket.recv_from(&mut buffer) {
                    Ok((size, from)) => self.take(&buffer[..size], from),
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => break,
                    // The word of a datagram that reached nobody.
                    Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::Interrupted) => {}
                    Err(e) => {
                        tracing::error!("messages can't be read: {e}");
                        std::thread::sleep(LOOK);
                        break;
                    }
                }
                if read == 0 {
                    // The rest of what lies there already.
                    self.socket.set_nonblocking(true)?;
                }
                read += 1;
            }
            if read > 0 {
                self.socket.set_nonblocking(false)?;
            }
            // Whatever came while this thread stood still is heard before anybody counts as silent.
            if read < TURN {
                self.replica.turn(self.now());
            }
            self.act()?;
            self.tell_log();
        }
        Ok(())
    }

    fn take(&mut self, datagram: &[u8], from: SocketAddr) {
        let message = match message::open(&self.key, datagram) {
            Ok(message) => message,
            Err(why) => {
                self.refused += 1;
                if tenfold(self.refused) {
                    tracing::warn!(%from, all = self.refused, "a message is not taken: {why}");
                }
                return;
            }
        };
        if let Message::Propose { change } = &message
            // What another control machine passes on was looked at there.
            && !self.control.contains(&from)
            && let Err(mistakes) = self.house.amendment(&change.key, change.text.as_deref())
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
        self.replica.heard(self.now(), from, message);
    }

    /// Tells an operator what is known here.
    fn answer(&mut self, ask: u64, page: u32, from: SocketAddr) {
        let (replica, up, log) = (&mut self.replica, self.began.elapsed().as_secs_f64(), self.log.size());
        let told = self.telling.page(from, ask, page, || {
            serde_json::to_vec(&Told { view: replica.view(up), up, cpu: cpu(), log }).ok()
        });
        if let Some(told) = told {
            self.send(from, &told);
        }
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        if let Some(datagram) = message::seal(&self.key, message) {
            // What can't be sent is as if lost on its way: that is what the core is built for.
            let _ = self.socket.send_to(&datagram, to);
        }
    }

    /// Stores all that is to be stored, and sends what builds on it once that is on the disk.
    fn act(&mut self) -> io::Result<()> {
        /// The log is written anew when it has grown to so many times what it was then, and is larger than
        /// this: some thousand changes.
        const MULTIPLE: u64 = 4;
        const SMALL: u64 = 1 << 20;
        let (mut records, mut sends) = (Vec::new(), Vec::new());
        while let Some(act) = self.replica.act() {
            match act {
                Act::Store(record) => records.push(coded(&record)),
                Act::Send { to, message } => sends.push((to, message)),
            }
        }
        if !records.is_empty() {
            self.log.append(&records)?;
        }
        sends.iter().for_each(|(to, message)| self.send(*to, message));
        if self.log.has_grown(MULTIPLE, SMALL) {
            let records: Vec<_> = self.replica.compact().iter().map(coded).collect();
            self.log.rewrite(&records)?;
            tracing::info!(records = records.len(), "the log was written anew");
        }
        Ok(())
    }

    /// Tells the log when its part among the others changes.
    fn tell_log(&mut self) {
        /// Seconds between two looks.
        const AGAIN: f64 = 1.0;
        let now = self.now();
        if now < self.look {
            return;
        }
        self.look = now + AGAIN;
        let view = self.replica.view(now);
        let leads = Some((view.votes, view.majority));
        if leads != self.leads {
            let (number, votes, majority, heard) = (view.number, view.votes, view.majority, &view.heard);
            tracing::info!(number, votes, majority, ?heard, "how it stands among the control machines");
            self.leads = leads;
        }
    }
}
