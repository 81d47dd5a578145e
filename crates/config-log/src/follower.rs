//! A gateway's side: takes what enough replicas tell alike, in order, and knows how old its knowledge is.

use crate::clock::Clock;
use crate::collect::{SnapshotAssembly, SnapshotPage};
use crate::entry::{Change, Entry};
use crate::message::{ApplyError, MAX_APPLY_ERROR_BYTES, MAX_FOLLOWER_NAME_BYTES, Message};
use crate::replica::Timing;
use crate::sources::Sources;
use crate::state::State;
use crate::view::{Counters, FollowerView, ReplicaStatus};
use minicbor::Decode;
use minicbor::encode::{Encoder, Error as Unwritten, Write};
use oorandom::Rand64;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Messages that wait to be sent at most; what comes beyond is as if it were lost on the way.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Numbers behind from which on the compacted log is gathered: what comes with polls is some entries at a time.
const SNAPSHOT_DISTANCE: u64 = 64;

/// Pages asked for at a time, and seconds between: 22 KB/s at most.
const PAGES_PER_FETCH: u8 = 8;
const FETCH_INTERVAL: f64 = 0.5;

/// Seconds between two polls of a replica at least.
const MIN_POLL_INTERVAL: f64 = 0.1;

/// Seconds after a poll in which an entry that is lacking may still come by itself.
const MISSING_ENTRY_DELAY: f64 = 0.25;

/// Seconds without a word of the replica that it is gathered from after which another is asked.
const SOURCE_TIMEOUT: f64 = 3.0;

/// Seconds for a collection from one replica, doubled each time that it was not whole by then.
const SNAPSHOT_TIMEOUT: f64 = 60.0;

/// Seconds by which clocks may run apart while a replica counts how old its knowledge is.
const MAX_CLOCK_DRIFT: f64 = 1.0;

/// Seconds between two beginnings from nothing at least.
const REBUILD_INTERVAL: f64 = 30.0;

/// The compacted log as it is gathered from one replica.
#[derive(Clone, Debug)]
struct SnapshotFetch {
    from: usize,
    /// From nothing, not from what is in force here.
    is_rebuild: bool,
    assembly: SnapshotAssembly,
    ends: f64,
    fetch_at: f64,
}

#[derive(Clone, Debug)]
pub struct Follower {
    name: String,
    timing: Timing,
    clock: Clock,
    random: Rand64,
    state: State,
    sources: Sources,
    snapshot_fetch: Option<SnapshotFetch>,
    /// When what is in force here was taken.
    since: f64,
    /// Collections that failed in a row, and when one from nothing may begin.
    failed_fetches: usize,
    rebuild_allowed_at: f64,
    rebuilds: u64,
    /// Up to which number the gateway was told, and what it must forget beside.
    delivered: u64,
    removals: Vec<Entry>,
    apply_error: Option<ApplyError>,
    out: VecDeque<(SocketAddr, Message)>,
    counters: Counters,
}

#[derive(Decode)]
#[cbor(map)]
struct SavedState {
    #[n(0)]
    head: u64,
    #[n(1)]
    digest: u64,
    #[n(2)]
    entries: Vec<Entry>,
}

/// Bytes of the hash before what was saved.
const HASH_BYTES: usize = 32;

fn load(saved: &[u8]) -> Option<State> {
    let (hash, body) = saved.split_at_checked(HASH_BYTES)?;
    if blake3::hash(body).as_bytes() != hash {
        return None;
    }
    let saved: SavedState = minicbor::decode(body).ok()?;
    let mut state = State::default();
    state.install(saved.entries, saved.head);
    (state.digest() == saved.digest).then_some(state)
}

/// As much of a text as fits.
fn truncated(mut text: String, most: usize) -> String {
    while text.len() > most {
        text.pop();
    }
    text
}

impl Follower {
    /// `name` is what operators know the gateway by, at most 64 bytes (what is longer is cut). `saved`: what
    /// [`save`](Self::save) gave, checked by its own hash; a broken one is as none. What it holds is in force at once and
    /// is the first of the [`take_updates`](Self::news).
    pub fn new(
        name: String,
        replicas: Vec<SocketAddr>,
        timing: Timing,
        seed: u64,
        now: f64,
        saved: Option<Vec<u8>>,
    ) -> Self {
        let name = truncated(name, MAX_FOLLOWER_NAME_BYTES);
        Self {
            sources: Sources::new(&name, replicas, now),
            name,
            timing,
            clock: Clock::new(now),
            random: Rand64::new(u128::from(seed)),
            state: saved.and_then(|saved| load(&saved)).unwrap_or_default(),
            snapshot_fetch: None,
            since: now,
            failed_fetches: 0,
            rebuild_allowed_at: now,
            rebuilds: 0,
            delivered: 0,
            removals: Vec::new(),
            apply_error: None,
            out: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    fn advance_to(&mut self, now: f64) {
        let elapsed = self.clock.advance_to(now);
        if elapsed > self.timing.silence_timeout {
            self.sources.reset_after_pause(self.clock.now);
        }
    }

    /// A message came.
    pub fn receive(&mut self, now: f64, from: SocketAddr, message: Message) {
        self.advance_to(now);
        let Some(n) = self.sources.position(from) else {
            self.counters.unexpected += 1;
            return;
        };
        self.counters.received += 1;
        let here = self.state.head();
        match message {
            Message::Push { logged } => self.sources.record_entry(n, here, logged),
            Message::SnapshotPage { after, through, entries, head, digest } => {
                self.on_snapshot_page(n, SnapshotPage { after, through, entries, reported: (head, digest) });
            }
            Message::PollReply { request_id, .. } => {
                if !self.sources.on_reply(n, self.clock.now, here, request_id, &message) {
                    return;
                }
                if let Message::PollReply { entries, .. } = message {
                    entries.into_iter().for_each(|logged| self.sources.record_entry(n, here, logged));
                }
            }
            _ => self.counters.unexpected += 1,
        }
        self.make_progress();
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.advance_to(now);
        self.sources.mark_silent(self.clock.now, self.timing.silence_timeout);
        self.make_progress();
        self.fetch();
        for n in self.sources.due(self.clock.now) {
            self.poll(n);
        }
    }

    /// When [`tick`](Self::turn) is wanted next, on the caller's clock.
    pub fn next_deadline(&self) -> f64 {
        let polls = self.sources.next_poll(self.clock.now);
        let silence = self.sources.next_silence(self.timing.silence_timeout);
        let fetch = self.snapshot_fetch.as_ref().map_or(f64::INFINITY, |g| g.fetch_at.min(g.ends));
        self.clock.to_caller(polls.min(silence).min(fetch))
    }

    fn send(&mut self, n: usize, message: Message) {
        if self.out.len() == MAX_QUEUED_MESSAGES {
            self.counters.dropped += 1;
            return;
        }
        self.counters.sent += 1;
        self.out.push_back((self.sources.all[n].at, message));
    }

    /// What to send next.
    pub fn next_outgoing(&mut self) -> Option<(SocketAddr, Message)> {
        self.out.pop_front()
    }

    fn poll(&mut self, n: usize) {
        let now = self.clock.now;
        let request_id = self.random.rand_u64();
        let complete = self.snapshot_fetch.as_ref().and_then(|g| g.assembly.complete);
        let queried_number = complete.map_or(0, |(head, _)| head);
        // By chance out of step, so that a thousand followers don't ask at once.
        let next = now + self.timing.poll_interval * (0.8 + 0.4 * self.random.rand_float());
        self.sources.record_poll(n, now, request_id, queried_number, next);
        let poll = Message::Poll {
            name: self.name.clone(),
            number: self.state.head(),
            digest: self.state.digest(),
            queried_number,
            request_id,
            apply_error: self.apply_error.clone(),
        };
        self.send(n, poll);
    }

    /// What follows from what was told, after each event.
    fn make_progress(&mut self) {
        let before = self.state.head();
        self.apply_confirmed();
        self.check_digest();
        self.install();
        if self.state.head() != before {
            let is_in_force =
                |number: u64| self.state.iter_from(number).next().is_some_and(|(n, _)| n == number);
            if self.apply_error.as_ref().is_some_and(|r| !is_in_force(r.number)) {
                self.apply_error = None;
            }
            // The acknowledgement.
            self.sources.poll_soon(self.clock.now, MIN_POLL_INTERVAL);
        }
        self.catch_up();
    }

    /// Takes entries that enough replicas tell alike, in order.
    fn apply_confirmed(&mut self) {
        while let Some(logged) = self.sources.confirmed_entry(self.state.head() + 1) {
            let number = logged.entry.number;
            if self.state.digest_after(&logged.entry) != logged.digest {
                // What is in force here is no state of the log, or they are all wrong: gathered anew it will show.
                self.start_rebuild();
                return;
            }
            self.sources.distrust_contradicting(self.clock.now, number, logged.digest, Some(&logged));
            self.state.apply(logged.entry);
            self.since = self.clock.now;
            self.sources.forget(number);
        }
    }

    /// Compares what is in force here with what enough replicas say of that number.
    fn check_digest(&mut self) {
        let here = self.state.head();
        match self.sources.confirmed_digest(here) {
            Some(digest) if digest == self.state.digest() => {
                self.sources.distrust_contradicting(self.clock.now, here, digest, None);
            }
            Some(_) => self.start_rebuild(),
            None if self.sources.never_reached(here, self.since + MAX_CLOCK_DRIFT) => self.start_rebuild(),
            None => {}
        }
    }

    fn start_rebuild(&mut self) {
        if self.clock.now < self.rebuild_allowed_at
            || self.snapshot_fetch.as_ref().is_some_and(|g| g.is_rebuild)
        {
            return;
        }
        self.snapshot_fetch = None;
        self.start_snapshot_fetch(true);
        if self.snapshot_fetch.is_some() {
            self.rebuild_allowed_at = self.clock.now + REBUILD_INTERVAL;
            self.rebuilds += 1;
        }
    }

    /// Begins to gather the compacted log from one of those followed, another one each time that it failed.
    fn start_snapshot_fetch(&mut self, is_rebuild: bool) {
        let now = self.clock.now;
        let (known, here) = (self.sources.known(), self.state.head());
        let followed = self.sources.followed(now);
        let can_serve =
            |n: &usize| self.sources.all[*n].head >= known && self.sources.all[*n].last_received_at.is_some();
        let candidates: Vec<_> = followed.into_iter().filter(can_serve).collect();
        let Some(&from) = candidates.get(self.failed_fetches % candidates.len().max(1)) else { return };
        let after = if is_rebuild { 0 } else { here };
        self.snapshot_fetch = Some(SnapshotFetch {
            from,
            is_rebuild,
            assembly: SnapshotAssembly::after(after),
            ends: now + SNAPSHOT_TIMEOUT * 2f64.powi(self.failed_fetches.min(6) as i32),
            fetch_at: now,
        });
    }

    fn fail_snapshot_fetch(&mut self) {
        let is_rebuild = self.snapshot_fetch.take().is_some_and(|g| g.is_rebuild);
        self.failed_fetches += 1;
        if is_rebuild {
            self.start_snapshot_fetch(true);
        }
    }

    /// Gathers what it lacks where that is much, or where the log doesn't reach back to it; polls soon where it is
    /// little.
    fn catch_up(&mut self) {
        let (known, here) = (self.sources.known(), self.state.head());
        if known <= here {
            return;
        }
        let gaps = self.sources.all.iter().filter(|s| s.has_gap).count();
        if self.snapshot_fetch.is_none()
            && (known - here > SNAPSHOT_DISTANCE || gaps >= self.sources.required)
        {
            self.start_snapshot_fetch(false);
        }
        self.sources.poll_soon(self.clock.now, MISSING_ENTRY_DELAY);
    }

    fn on_snapshot_page(&mut self, n: usize, page: SnapshotPage) {
        let Some(snapshot_fetch) = self.snapshot_fetch.as_mut().filter(|g| g.from == n) else { return };
        if snapshot_fetch.assembly.take(page).is_err() {
            self.sources.distrust(n, self.clock.now);
            self.fail_snapshot_fetch();
        } else if snapshot_fetch.assembly.complete.is_some() {
            self.sources.poll_soon(self.clock.now, MIN_POLL_INTERVAL);
        }
    }

    /// Asks for the next pages, and where all are there whether there is more by now: others may have disappeared on and keep
    /// no digest of that number any more.
    fn fetch(&mut self) {
        let now = self.clock.now;
        let Some(snapshot_fetch) = self.snapshot_fetch.as_mut() else { return };
        let silent =
            self.sources.all[snapshot_fetch.from].last_received_at.is_none_or(|at| now - at > SOURCE_TIMEOUT);
        if now >= snapshot_fetch.ends || silent || self.sources.distrusted(snapshot_fetch.from, now) {
            self.fail_snapshot_fetch();
            return;
        }
        if now < snapshot_fetch.fetch_at {
            return;
        }
        let complete = snapshot_fetch.assembly.complete.is_some();
        snapshot_fetch.fetch_at = now + if complete { 4.0 * FETCH_INTERVAL } else { FETCH_INTERVAL };
        let fetch =
            Message::Fetch { after: snapshot_fetch.assembly.cursor, pages: PAGES_PER_FETCH, snapshot: true };
        let from = snapshot_fetch.from;
        self.send(from, fetch);
    }

    /// Takes over a compacted log that is whole, and vouched for by others than whom it is from alone.
    fn install(&mut self) {
        let Some(snapshot_fetch) = self.snapshot_fetch.as_ref() else { return };
        let here = self.state.head();
        let (from, is_rebuild) = (snapshot_fetch.from, snapshot_fetch.is_rebuild);
        let Some((head, digest)) = snapshot_fetch.assembly.complete else {
            if !is_rebuild && snapshot_fetch.assembly.cursor < here {
                self.snapshot_fetch = None;
            }
            return;
        };
        if !is_rebuild && head <= here {
            // What came meanwhile went further.
            self.snapshot_fetch = None;
            return;
        }
        let Some(confirmed) = self.sources.confirmed_digest(head) else { return };
        if confirmed != digest {
            self.sources.distrust(from, self.clock.now);
            self.fail_snapshot_fetch();
            return;
        }
        let entries = &snapshot_fetch.assembly.entries;
        let rebuilt =
            if is_rebuild { State::default().digest_with(entries) } else { self.state.digest_with(entries) };
        if rebuilt != digest {
            // From nothing: it can only be whom it is from. Else it may be what is in force here.
            if is_rebuild {
                self.sources.distrust(from, self.clock.now);
                self.fail_snapshot_fetch();
            } else {
                self.snapshot_fetch = None;
                self.start_rebuild();
            }
            return;
        }
        let Some(snapshot_fetch) = self.snapshot_fetch.take() else { return };
        let entries = snapshot_fetch.assembly.entries.into_iter();
        let entries = entries.map(|(number, change)| Entry { number, change });
        if is_rebuild {
            let mut state = State::default();
            state.install(entries, head);
            self.replace(state);
        } else {
            self.state.install(entries, head);
        }
        self.since = self.clock.now;
        self.failed_fetches = 0;
        self.sources.forget(head);
    }

    /// All is to be told to the gateway again, and what it must forget.
    fn replace(&mut self, rebuilt: State) {
        let disappeared =
            self.state.iter().filter(|(_, c)| rebuilt.get(&c.key).is_none() && c.text.is_some());
        let removal = |(number, c): (u64, &Change)| Entry {
            number,
            change: Change { id: 0, key: c.key.clone(), text: None, replaces: number },
        };
        self.removals = disappeared.map(removal).collect();
        self.delivered = 0;
        self.state = rebuilt;
    }

    /// A batch of entries to be applied whole, in order; later ones follow. Only entries that change something: none for
    /// an empty one, or for one whose author was too late, and of two under one key since the last batch the later. A
    /// removal with the id 0 is of what never should have been there.
    pub fn take_updates(&mut self) -> Option<Vec<Entry>> {
        if self.delivered == self.state.head() && self.removals.is_empty() {
            return None;
        }
        let mut updates = std::mem::take(&mut self.removals);
        updates.extend(self.state.after(self.delivered, usize::MAX));
        self.delivered = self.state.head();
        (!updates.is_empty()).then_some(updates)
    }

    /// The gateway could not apply an entry: told to the replicas with each poll. The latest one is kept, until another
    /// entry stands under its key.
    pub fn report_apply_error(&mut self, number: u64, reason: String) {
        self.apply_error = Some(ApplyError { number, reason: truncated(reason, MAX_APPLY_ERROR_BYTES) });
    }

    /// What is in force, for the next start: a hash and what it is over. Takes as many bytes again as keys and texts have.
    pub fn save(&self) -> Vec<u8> {
        let mut complete = vec![0; HASH_BYTES];
        // Writing into memory can't fail; if it did, the hash would not fit and the next start would be as without it.
        let encoded = self.write(&mut Encoder::new(&mut complete));
        if encoded.is_ok() {
            let hash = blake3::hash(&complete[HASH_BYTES..]);
            complete[..HASH_BYTES].copy_from_slice(hash.as_bytes());
        }
        complete
    }

    /// The same as a [`SavedState`], without copying it first.
    fn write<W: Write>(&self, e: &mut Encoder<W>) -> Result<(), Unwritten<W::Error>> {
        e.map(3)?.u8(0)?.u64(self.state.head())?.u8(1)?.u64(self.state.digest())?;
        e.u8(2)?.array(self.state.iter().count() as u64)?;
        for (number, change) in self.state.iter() {
            e.map(2)?.u8(0)?.u64(number)?.u8(1)?.encode(change)?;
        }
        Ok(())
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    pub fn view(&self, now: f64) -> FollowerView {
        let mut clock = self.clock;
        clock.advance_to(now);
        let now = clock.now;
        let here = self.state.head();
        let followed = |(replica, s): (usize, &crate::sources::Source)| ReplicaStatus {
            replica,
            seconds_since_contact: s.last_received_at.map(|at| now - at),
            head: s.head,
            conflicts: s.conflicts,
        };
        FollowerView {
            name: self.name.clone(),
            number: here,
            digest: self.state.digest(),
            follows: self.sources.followed(now),
            replicas: self.sources.all.iter().enumerate().map(followed).collect(),
            confirmed_age: self.sources.confirmed_at(here).map(|at| now - at),
            known: self.sources.known(),
            behind: self.sources.known() > here,
            conflicts: self.sources.all.iter().map(|s| s.conflicts).sum(),
            rebuilds: self.rebuilds,
            apply_error: self.apply_error.as_ref().map(|r| (r.number, r.reason.clone())),
            counters: self.counters,
        }
    }
}
