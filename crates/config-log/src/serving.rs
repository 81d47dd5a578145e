//! Those who ask a replica: followers, authors' tools, operators, and replicas that are behind.

use crate::entry::Logged;
use crate::message::{Message, ROOM, Refusal};
use crate::replica::Replica;
use crate::view::{ReplicaView, Seen};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Followers known at most: three of seven machines for each of 1,100 gateways are 471 here.
const FOLLOWERS: usize = 2048;

/// Seconds without a poll after which a follower is pushed to no more, and after which it is forgotten: a gateway that
/// went is seen as silent by operators for some minutes.
const SILENT: f64 = 3.0;
const FORGOTTEN: f64 = 600.0;

/// Pages that are sent at a time at most.
const PAGES: u8 = 16;

/// Bytes of one page of the view.
const PAGE: usize = 1200;

/// Operators whose pages are kept: one more begins anew with each page.
const READERS: usize = 8;

/// Seconds within which another replica counts as heard.
const FRESH: f64 = 2.0;

#[derive(Clone, Debug)]
struct Known {
    at: SocketAddr,
    number: u64,
    heard: f64,
    refused: Option<Refusal>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Serving {
    followers: BTreeMap<String, Known>,
    /// The views that are being read in pages, and whose questions they answer.
    told: VecDeque<(SocketAddr, u64, Vec<u8>)>,
}

impl Replica {
    /// A follower tells how it stands: `about` is a number at which it wants the digest, then what comes back.
    pub(crate) fn polled(
        &mut self,
        from: SocketAddr,
        name: String,
        number: u64,
        (about, stamp): (u64, u64),
        refused: Option<Refusal>,
    ) {
        let now = self.clock.now;
        let followers = &mut self.serving.followers;
        if followers.len() >= FOLLOWERS && !followers.contains_key(&name) {
            followers.retain(|_, known| now - known.heard < SILENT);
        }
        if followers.len() < FOLLOWERS || followers.contains_key(&name) {
            followers.insert(name, Known { at: from, number, heard: now, refused });
        } else {
            self.tally.crowded += 1;
        }
        let (head, digest) = (self.log.state.head(), self.log.state.digest());
        let reply = Message::Reply {
            stamp,
            head,
            digest,
            age: self.age(),
            about: if about == 0 { None } else { self.log.digest_at(about) },
            entries: if number < head { self.log.after(number, ROOM) } else { Vec::new() },
        };
        self.send(from, reply);
    }

    /// Milliseconds since a majority knew of nothing beyond the head here.
    fn age(&self) -> Option<u64> {
        self.sure().map(|at| ((self.clock.now - at) * 1e3).ceil() as u64)
    }

    /// Tells an entry to all that follow.
    pub(crate) fn push(&mut self, logged: &Logged) {
        let now = self.clock.now;
        let known = self.serving.followers.values();
        let to: Vec<_> = known.filter(|k| now - k.heard < SILENT).map(|k| k.at).collect();
        to.into_iter().for_each(|at| self.send(at, Message::Push { logged: logged.clone() }));
    }

    pub(crate) fn fetched(&mut self, from: SocketAddr, after: u64, pages: u8, compacted: bool) {
        let mut after = after;
        for _ in 0..pages.min(PAGES) {
            let (head, digest) = (self.log.state.head(), self.log.state.digest());
            if !compacted && after < head && self.log.reaches(after) {
                let entries = self.log.after(after, ROOM);
                let Some(last) = entries.last().map(|l| l.entry.number) else { return };
                self.send(from, Message::Log { entries });
                after = last;
            } else if compacted || after < head {
                let entries = self.log.state.after(after, ROOM);
                let last = entries.last().map_or(after, |e| e.number);
                let more = self.log.state.last() > last;
                let upto = if more { last } else { head };
                if upto < after {
                    return;
                }
                self.send(from, Message::Page { after, upto, entries, head, digest });
                after = upto;
            }
            if after >= head {
                return;
            }
        }
    }

    pub(crate) fn get(&mut self, from: SocketAddr, key: String) {
        let (number, text) = match self.log.state.get(&key) {
            Some((number, change)) => (number, change.text.clone()),
            None => (0, None),
        };
        let got = Message::Got { key, number, text, head: self.log.state.head(), age: self.age() };
        self.send(from, got);
    }

    pub(crate) fn status(&mut self, from: SocketAddr, ask: u64, page: u32) {
        let asked = |told: &&(SocketAddr, u64, Vec<u8>)| (told.0, told.1) == (from, ask);
        if self.serving.told.iter().find(asked).is_none() {
            let Ok(text) = serde_json::to_vec(&self.view_now()) else { return };
            self.serving.told.truncate(READERS - 1);
            self.serving.told.push_front((from, ask, text));
        }
        let Some((_, _, text)) = self.serving.told.iter().find(asked) else { return };
        let of = text.len().div_ceil(PAGE) as u32;
        let Some(bytes) = text.chunks(PAGE).nth(page as usize).map(<[u8]>::to_vec) else { return };
        self.send(from, Message::StatusPage { ask, page, of, bytes });
    }

    pub fn view(&mut self, now: f64) -> ReplicaView {
        self.clock.pass(now);
        self.view_now()
    }

    fn view_now(&mut self) -> ReplicaView {
        let now = self.clock.now;
        self.serving.followers.retain(|_, known| now - known.heard < FORGOTTEN);
        let fresh = |n: &usize| *n == self.me || self.others[*n].heard.is_some_and(|at| now - at < FRESH);
        let heard: Vec<_> = (0..self.others.len()).filter(fresh).collect();
        let seen = |(name, known): (&String, &Known)| Seen {
            name: name.clone(),
            number: known.number,
            heard: now - known.heard,
            refused: known.refused.as_ref().map(|r| (r.number, r.why.clone())),
        };
        ReplicaView {
            me: self.me,
            replicas: self.replicas.len(),
            number: self.log.state.head(),
            digest: self.log.state.digest(),
            votes: self.votes,
            leads: self.leads(),
            ballot: self.observed.max(self.acceptor.promised).0,
            committed: self.log.recent.iter().rev().take_while(|k| now - k.at < 60.0).count(),
            majority: self.sure().is_some_and(|at| now - at < FRESH),
            sure_as_of: self.sure().map(|at| now - at),
            heard,
            followers: self.serving.followers.iter().map(seen).collect(),
            tally: self.tally,
        }
    }
}
