//! Makes the frames for workers and writes them, each no sooner than the socket has taken the one before.

use super::{Load, Open, Sent};
use crate::faults::{self, FaultOrigin, Operation, Recovery};
use crate::station::{Asker, Station};
use milletpath_dispatcher::dispatcher::RequestId;
use milletpath_platform_protocol::frames;
use milletpath_policy::Outcome;
use std::collections::VecDeque;
use std::io;

impl Station {
    /// Writes what waits for a worker, as far as the socket takes it: frame by frame, so that what is withdrawn before
    /// its first byte has gone is not sent, however long the worker takes nothing.
    pub fn link_writes(&mut self, key: usize) {
        loop {
            let now = self.now();
            let Some(link) = self.links.get_mut(key) else { return };
            let Some(stream) = link.stream.clone() else { return };
            if link.writes.pauses_until(now).is_some() {
                return;
            }
            let before = link.out.left();
            let written = link.out.write_by(&*self.sockets, &stream);
            // What went before an error counts as well.
            let taken = before - link.out.left();
            if taken > 0 {
                link.written += taken as u64;
                link.used = now;
                link.writes.succeeded();
            }
            if let Err(error) = written {
                return self.write_failed(key, &error, now);
            }
            if link.out.left() > 0 {
                link.wake.notify_one();
                return self.take_back(key, now);
            }
            link.made_of = None;
            if link.waiting.is_empty() {
                return;
            }
            // Written into a connection that its worker has closed, a shot would count as one that may have run.
            if link.closed() {
                return self.broken(key, "it was closed", FaultOrigin::Remote);
            }
            if let Some(load) = link.waiting.pop_front()
                && !self.make(key, load, now)
            {
                return;
            }
        }
    }

    fn write_failed(&mut self, key: usize, error: &io::Error, now: f64) {
        let fault = faults::classify(Operation::Write, error);
        if fault.recovery == Recovery::Close {
            return self.broken(key, &error.to_string(), fault.origin);
        }
        self.take_back(key, now);
        let Some(link) = self.links.get_mut(key) else { return };
        link.writes.failed(now);
        link.wake.notify_one();
        if link.writes.exhausted(now) {
            self.give_back_waiting(key);
        }
    }

    /// Ends what waits on a link as never sent: its turn does not come soon, for a local reason. What nobody awaits
    /// an answer for goes on waiting.
    pub fn give_back_waiting(&mut self, key: usize) {
        let Some(link) = self.links.get_mut(key) else { return };
        let (worker, waiting) = (link.worker, std::mem::take(&mut link.waiting));
        let (awaited, rest) = waiting.into_iter().partition(|load| load.awaits().is_some());
        link.waiting = rest;
        let awaited: VecDeque<Load> = awaited;
        for what in awaited.iter().filter_map(Load::awaits) {
            self.unanswered(worker, what, Outcome::NotSent);
        }
    }

    /// A frame of which no byte has gone was never begun: it waits again, to be asked about anew.
    fn take_back(&mut self, key: usize, now: f64) {
        let Some(link) = self.links.get_mut(key).filter(|l| !l.out.begun()) else { return };
        let Some(load) = link.made_of.take() else { return };
        let made = link.out.left() as u64;
        link.out.bytes.clear();
        link.made -= made;
        if load.awaits().is_some() {
            link.open.pop();
        }
        match load {
            Load::Shot(tag, shot) => {
                link.waiting.push_front(load);
                self.desk.attempt_not_written(now, tag, shot);
            }
            // It has its place in the ration: given again it would have two.
            Load::Hold(order, ..) => self.desk.load_request_ended(now, order, Outcome::NotSent, 0),
            Load::Unload(_) | Load::Probe(_) | Load::GiveUp(_) => link.waiting.push_front(load),
        }
    }

    /// Makes the frame of something whose turn has come, if it still may go. False where it waits for a look at what
    /// its client has said meanwhile.
    fn make(&mut self, key: usize, load: Load, now: f64) -> bool {
        let (worker, process) = (self.links[key].worker, self.links[key].process);
        if let Some(what) = load.awaits().filter(|_| self.desk.worker_process(worker).process != process) {
            // Another process has the worker's name by now; what was meant for that one was not meant for this.
            self.unanswered(worker, what, Outcome::NotSent);
            return true;
        }
        if let Load::Shot(tag, _) = load
            && !self.looked_at(tag, key, now)
        {
            self.links[key].waiting.push_front(load);
            return false;
        }
        let mut out = std::mem::take(&mut self.links[key].out.bytes);
        let open = match &load {
            Load::Shot(tag, shot) => self.make_shot(&mut out, *tag, *shot, now),
            Load::Hold(order, function, copies) => self.desk.begin_load_request(now, *order).then(|| {
                let id = self.own_id(key);
                frames::write_load_request(&mut out, id, function, *copies);
                (id, Sent::Order(*order))
            }),
            Load::Unload(function) => {
                if let Some(id) = milletpath_platform_protocol::parse_hex_id(function) {
                    frames::write_unload(&mut out, id);
                }
                None
            }
            Load::Probe(serial) => {
                let id = self.own_id(key);
                frames::write_probe(&mut out, id, self.reports);
                Some((id, Sent::Probe(*serial)))
            }
            Load::GiveUp(id) => {
                frames::write_cancel(&mut out, *id);
                None
            }
        };
        let Some(link) = self.links.get_mut(key) else { return false };
        link.made += out.len() as u64;
        link.made_of = (!out.is_empty()).then_some(load);
        link.out.bytes = out;
        if let Some((id, what)) = open {
            let whole = link.made;
            link.open.push(Open { id, what, whole, at: now });
        }
        true
    }

    /// The id of a frame of our own, which no client is likely to have chosen, and none has open here.
    fn own_id(&mut self, key: usize) -> u64 {
        loop {
            self.serial += 1;
            // An odd multiplier spreads them over all numbers, so that none follows from another by chance.
            let id = self.serial.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            if !self.links[key].bears(id) {
                return id;
            }
        }
    }

    fn make_shot(&mut self, out: &mut Vec<u8>, tag: RequestId, shot: usize, now: f64) -> Option<(u64, Sent)> {
        let left = self.desk.time_left(now, tag, shot)?;
        if !self.desk.begin_attempt(now, tag, shot) {
            return None;
        }
        let function = self.desk.function(tag)?;
        let asker = self.desk.context(tag)?;
        asker.begun = now;
        let Asker { id, mark, body, .. } = &*asker;
        let profile = &self.profiles[asker.profile];
        frames::write_attempt(
            out,
            &frames::Attempt { id: *id, profile, function: &function, idempotency_key: mark, body },
            left,
        );
        Some((asker.id, Sent::Shot(tag, shot)))
    }
}
