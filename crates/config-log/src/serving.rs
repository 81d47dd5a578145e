//! Those who ask a replica: followers, authors' tools, operators, and replicas that are behind.

use crate::entry::LoggedEntry;
use crate::message::{ApplyError, MAX_ENTRIES_BYTES, Message};
use crate::replica::Replica;
use crate::view::{FollowerStatus, ReplicaView};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Followers known at most: three of seven machines for each of 1,100 gateways are 471 here.
const MAX_FOLLOWERS: usize = 2048;

/// Seconds without a poll after which a follower is pushed to no more, and after which it is forgotten: a gateway that
/// went is seen as silent by operators for some minutes.
const PUSH_TIMEOUT: f64 = 3.0;
const FORGET_AFTER: f64 = 600.0;

/// Pages that are sent at a time at most.
const MAX_PAGES_PER_FETCH: u8 = 16;

/// Bytes of one page of the view.
const STATUS_PAGE_BYTES: usize = 1200;

/// Operators whose pages are kept: one more begins anew with each page.
const MAX_STATUS_READERS: usize = 8;

/// Seconds within which another replica counts as heard.
const CONTACT_TIMEOUT: f64 = 2.0;

#[derive(Clone, Debug)]
struct KnownFollower {
    at: SocketAddr,
    number: u64,
    last_received_at: f64,
    apply_error: Option<ApplyError>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Serving {
    followers: BTreeMap<String, KnownFollower>,
    /// The views that are being read in pages, and whose questions they answer.
    status_reports: VecDeque<(SocketAddr, u64, Vec<u8>)>,
}

impl Replica {
    /// A follower tells how it stands: `queried_number` is a number at which it wants the digest, then what comes back.
    pub(crate) fn on_poll(
        &mut self,
        from: SocketAddr,
        name: String,
        number: u64,
        (queried_number, request_id): (u64, u64),
        apply_error: Option<ApplyError>,
    ) {
        let now = self.clock.now;
        let followers = &mut self.serving.followers;
        if followers.len() >= MAX_FOLLOWERS && !followers.contains_key(&name) {
            followers.retain(|_, known| now - known.last_received_at < PUSH_TIMEOUT);
        }
        if followers.len() < MAX_FOLLOWERS || followers.contains_key(&name) {
            followers.insert(name, KnownFollower { at: from, number, last_received_at: now, apply_error });
        } else {
            self.counters.rejected_followers += 1;
        }
        let (head, digest) = (self.log.state.head(), self.log.state.digest());
        let reply = Message::PollReply {
            request_id,
            head,
            digest,
            confirmed_age_ms: self.confirmed_age_ms(),
            queried_digest: if queried_number == 0 { None } else { self.log.digest_at(queried_number) },
            entries: if number < head { self.log.after(number, MAX_ENTRIES_BYTES) } else { Vec::new() },
        };
        self.send(from, reply);
    }

    /// Milliseconds since a majority knew of nothing beyond the head here.
    fn confirmed_age_ms(&self) -> Option<u64> {
        self.confirmed_at().map(|at| ((self.clock.now - at) * 1e3).ceil() as u64)
    }

    /// Tells an entry to all that follow.
    pub(crate) fn push_to_followers(&mut self, logged: &LoggedEntry) {
        let now = self.clock.now;
        let known = self.serving.followers.values();
        let to: Vec<_> = known.filter(|k| now - k.last_received_at < PUSH_TIMEOUT).map(|k| k.at).collect();
        to.into_iter().for_each(|at| self.send(at, Message::Push { logged: logged.clone() }));
    }

    pub(crate) fn on_fetch(&mut self, from: SocketAddr, after: u64, pages: u8, snapshot: bool) {
        let mut after = after;
        for _ in 0..pages.min(MAX_PAGES_PER_FETCH) {
            let (head, digest) = (self.log.state.head(), self.log.state.digest());
            if !snapshot && after < head && self.log.reaches_back_to(after) {
                let entries = self.log.after(after, MAX_ENTRIES_BYTES);
                let Some(last) = entries.last().map(|l| l.entry.number) else { return };
                self.send(from, Message::LogEntries { entries });
                after = last;
            } else if snapshot || after < head {
                let entries = self.log.state.after(after, MAX_ENTRIES_BYTES);
                let last = entries.last().map_or(after, |e| e.number);
                let is_partial = self.log.state.last() > last;
                let through = if is_partial { last } else { head };
                if through < after {
                    return;
                }
                self.send(from, Message::SnapshotPage { after, through, entries, head, digest });
                after = through;
            }
            if after >= head {
                return;
            }
        }
    }

    pub(crate) fn on_get(&mut self, from: SocketAddr, key: String) {
        let (number, text) = match self.log.state.get(&key) {
            Some((number, change)) => (number, change.text.clone()),
            None => (0, None),
        };
        let reply = Message::GetReply {
            key,
            number,
            text,
            head: self.log.state.head(),
            confirmed_age_ms: self.confirmed_age_ms(),
        };
        self.send(from, reply);
    }

    pub(crate) fn on_status_request(&mut self, from: SocketAddr, query_id: u64, page: u32) {
        let same_query = |report: &&(SocketAddr, u64, Vec<u8>)| (report.0, report.1) == (from, query_id);
        if self.serving.status_reports.iter().find(same_query).is_none() {
            let Ok(text) = serde_json::to_vec(&self.view_now()) else { return };
            self.serving.status_reports.truncate(MAX_STATUS_READERS - 1);
            self.serving.status_reports.push_front((from, query_id, text));
        }
        let Some((_, _, text)) = self.serving.status_reports.iter().find(same_query) else { return };
        let page_count = text.len().div_ceil(STATUS_PAGE_BYTES) as u32;
        let Some(bytes) = text.chunks(STATUS_PAGE_BYTES).nth(page as usize).map(<[u8]>::to_vec) else {
            return;
        };
        self.send(from, Message::StatusPage { query_id, page, page_count, bytes });
    }

    pub fn view(&mut self, now: f64) -> ReplicaView {
        self.clock.advance_to(now);
        self.view_now()
    }

    fn view_now(&mut self) -> ReplicaView {
        let now = self.clock.now;
        self.serving.followers.retain(|_, known| now - known.last_received_at < FORGET_AFTER);
        let heard_recently = |n: &usize| {
            *n == self.own_index
                || self.others[*n].last_received_at.is_some_and(|at| now - at < CONTACT_TIMEOUT)
        };
        let reachable: Vec<_> = (0..self.others.len()).filter(heard_recently).collect();
        let follower_status = |(name, known): (&String, &KnownFollower)| FollowerStatus {
            name: name.clone(),
            number: known.number,
            seconds_since_contact: now - known.last_received_at,
            apply_error: known.apply_error.as_ref().map(|r| (r.number, r.reason.clone())),
        };
        ReplicaView {
            own_index: self.own_index,
            replicas: self.replicas.len(),
            number: self.log.state.head(),
            digest: self.log.state.digest(),
            votes: self.may_vote(),
            leads: self.leads(),
            ballot: self.observed.max(self.acceptor.promised).0,
            committed: self.log.recent.iter().rev().take_while(|k| now - k.at < 60.0).count(),
            majority: self.confirmed_at().is_some_and(|at| now - at < CONTACT_TIMEOUT),
            confirmed_age: self.confirmed_at().map(|at| now - at),
            reachable,
            followers: self.serving.followers.iter().map(follower_status).collect(),
            counters: self.counters,
        }
    }
}
