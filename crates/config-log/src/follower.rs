//! A gateway's side: takes what enough replicas tell alike, in order, and knows how old its knowledge is.

use crate::clock::Clock;
use crate::collect::{Collection, Page};
use crate::entry::{Change, Entry};
use crate::message::{LONGEST_NAME, LONGEST_WHY, Message, Refusal};
use crate::replica::Terms;
use crate::sources::Sources;
use crate::state::State;
use crate::view::{Followed, FollowerView, Tally};
use minicbor::Decode;
use minicbor::encode::{Encoder, Error as Unwritten, Write};
use oorandom::Rand64;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Messages that wait to be sent at most; what comes beyond is as if it were lost on the way.
const OUT: usize = 256;

/// Numbers behind from which on the compacted log is gathered: what comes with polls is some entries at a time.
const FAR: u64 = 64;

/// Pages asked for at a time, and seconds between: 22 KB/s at most.
const PAGES: u8 = 8;
const FETCH: f64 = 0.5;

/// Seconds between two polls of a replica at least.
const BREATH: f64 = 0.1;

/// Seconds after a poll in which an entry that is lacking may still come by itself.
const LACKING: f64 = 0.25;

/// Seconds without a word of the replica that it is gathered from after which another is asked.
const GONE: f64 = 3.0;

/// Seconds for a collection from one replica, doubled each time that it was not whole by then.
const GATHERED: f64 = 60.0;

/// Seconds by which clocks may run apart while a replica counts how old its knowledge is.
const APART: f64 = 1.0;

/// Seconds between two beginnings from nothing at least.
const ANEW: f64 = 30.0;

/// The compacted log as it is gathered from one replica.
#[derive(Clone, Debug)]
struct Gathering {
    from: usize,
    /// From nothing, not from what is in force here.
    anew: bool,
    collection: Collection,
    ends: f64,
    fetch_at: f64,
}

#[derive(Clone, Debug)]
pub struct Follower {
    name: String,
    terms: Terms,
    clock: Clock,
    chance: Rand64,
    state: State,
    sources: Sources,
    gathering: Option<Gathering>,
    /// When what is in force here was taken.
    since: f64,
    /// Collections that failed in a row, and when one from nothing may begin.
    failed: usize,
    anew_at: f64,
    anew: u64,
    /// Up to which number the gateway was told, and what it must forget beside.
    given: u64,
    removals: Vec<Entry>,
    refused: Option<Refusal>,
    out: VecDeque<(SocketAddr, Message)>,
    tally: Tally,
}

#[derive(Decode)]
#[cbor(map)]
struct Saved {
    #[n(0)]
    head: u64,
    #[n(1)]
    digest: u64,
    #[n(2)]
    entries: Vec<Entry>,
}

/// Bytes of the hash before what was saved.
const HASH: usize = 32;

fn load(saved: &[u8]) -> Option<State> {
    let (hash, body) = saved.split_at_checked(HASH)?;
    if blake3::hash(body).as_bytes() != hash {
        return None;
    }
    let saved: Saved = minicbor::decode(body).ok()?;
    let mut state = State::default();
    state.install(saved.entries, saved.head);
    (state.digest() == saved.digest).then_some(state)
}

/// As much of a text as fits.
fn shortened(mut text: String, most: usize) -> String {
    while text.len() > most {
        text.pop();
    }
    text
}

impl Follower {
    /// `name` is what operators know the gateway by, at most 64 bytes (what is longer is cut). `saved`: what
    /// [`save`](Self::save) gave, checked by its own hash; a broken one is as none. What it holds is in force at once and
    /// is the first of the [`news`](Self::news).
    pub fn new(
        name: String,
        replicas: Vec<SocketAddr>,
        terms: Terms,
        seed: u64,
        now: f64,
        saved: Option<Vec<u8>>,
    ) -> Self {
        let name = shortened(name, LONGEST_NAME);
        Self {
            sources: Sources::new(&name, replicas, now),
            name,
            terms,
            clock: Clock::new(now),
            chance: Rand64::new(u128::from(seed)),
            state: saved.and_then(|saved| load(&saved)).unwrap_or_default(),
            gathering: None,
            since: now,
            failed: 0,
            anew_at: now,
            anew: 0,
            given: 0,
            removals: Vec::new(),
            refused: None,
            out: VecDeque::new(),
            tally: Tally::default(),
        }
    }

    fn pass(&mut self, now: f64) {
        let gap = self.clock.pass(now);
        if gap > self.terms.silent {
            self.sources.stood(self.clock.now);
        }
    }

    /// A message came.
    pub fn heard(&mut self, now: f64, from: SocketAddr, message: Message) {
        self.pass(now);
        let Some(n) = self.sources.position(from) else {
            self.tally.strange += 1;
            return;
        };
        self.tally.taken += 1;
        let here = self.state.head();
        match message {
            Message::Push { logged } => self.sources.told(n, here, logged),
            Message::Page { after, upto, entries, head, digest } => {
                self.page(n, Page { after, upto, entries, told: (head, digest) });
            }
            Message::Reply { stamp, .. } => {
                if !self.sources.replied(n, self.clock.now, here, stamp, &message) {
                    return;
                }
                if let Message::Reply { entries, .. } = message {
                    entries.into_iter().for_each(|logged| self.sources.told(n, here, logged));
                }
            }
            _ => self.tally.strange += 1,
        }
        self.go_on();
    }

    /// Does what is due.
    pub fn turn(&mut self, now: f64) {
        self.pass(now);
        self.sources.listen(self.clock.now, self.terms.silent);
        self.go_on();
        self.fetch();
        for n in self.sources.due(self.clock.now) {
            self.poll(n);
        }
    }

    /// When [`turn`](Self::turn) is wanted next, on the caller's clock.
    pub fn next(&self) -> f64 {
        let polls = self.sources.next_poll(self.clock.now);
        let silence = self.sources.next_silence(self.terms.silent);
        let fetch = self.gathering.as_ref().map_or(f64::INFINITY, |g| g.fetch_at.min(g.ends));
        self.clock.theirs(polls.min(silence).min(fetch))
    }

    fn send(&mut self, n: usize, message: Message) {
        if self.out.len() == OUT {
            self.tally.unsent += 1;
            return;
        }
        self.tally.sent += 1;
        self.out.push_back((self.sources.all[n].at, message));
    }

    /// What to send next.
    pub fn out(&mut self) -> Option<(SocketAddr, Message)> {
        self.out.pop_front()
    }

    fn poll(&mut self, n: usize) {
        let now = self.clock.now;
        let stamp = self.chance.rand_u64();
        let whole = self.gathering.as_ref().and_then(|g| g.collection.whole);
        let about = whole.map_or(0, |(head, _)| head);
        // By chance out of step, so that a thousand followers don't ask at once.
        let next = now + self.terms.poll * (0.8 + 0.4 * self.chance.rand_float());
        self.sources.polled(n, now, stamp, about, next);
        let poll = Message::Poll {
            name: self.name.clone(),
            number: self.state.head(),
            digest: self.state.digest(),
            about,
            stamp,
            refused: self.refused.clone(),
        };
        self.send(n, poll);
    }

    /// What follows from what was told, after each event.
    fn go_on(&mut self) {
        let before = self.state.head();
        self.take();
        self.check();
        self.install();
        if self.state.head() != before {
            let stands = |number: u64| self.state.iter_from(number).next().is_some_and(|(n, _)| n == number);
            if self.refused.as_ref().is_some_and(|r| !stands(r.number)) {
                self.refused = None;
            }
            // The acknowledgement.
            self.sources.hurry(self.clock.now, BREATH);
        }
        self.catch_up();
    }

    /// Takes entries that enough replicas tell alike, in order.
    fn take(&mut self) {
        while let Some(logged) = self.sources.vouched_entry(self.state.head() + 1) {
            let number = logged.entry.number;
            if self.state.digest_after(&logged.entry) != logged.digest {
                // What is in force here is no state of the log, or they are all wrong: gathered anew it will show.
                self.begin_anew();
                return;
            }
            self.sources.contradicted(self.clock.now, number, logged.digest, Some(&logged));
            self.state.apply(logged.entry);
            self.since = self.clock.now;
            self.sources.forget(number);
        }
    }

    /// Compares what is in force here with what enough replicas say of that number.
    fn check(&mut self) {
        let here = self.state.head();
        match self.sources.vouched_digest(here) {
            Some(digest) if digest == self.state.digest() => {
                self.sources.contradicted(self.clock.now, here, digest, None);
            }
            Some(_) => self.begin_anew(),
            None if self.sources.never_reached(here, self.since + APART) => self.begin_anew(),
            None => {}
        }
    }

    fn begin_anew(&mut self) {
        if self.clock.now < self.anew_at || self.gathering.as_ref().is_some_and(|g| g.anew) {
            return;
        }
        self.gathering = None;
        self.gather(true);
        if self.gathering.is_some() {
            self.anew_at = self.clock.now + ANEW;
            self.anew += 1;
        }
    }

    /// Begins to gather the compacted log from one of those followed, another one each time that it failed.
    fn gather(&mut self, anew: bool) {
        let now = self.clock.now;
        let (known, here) = (self.sources.known(), self.state.head());
        let followed = self.sources.followed(now);
        let able = |n: &usize| self.sources.all[*n].head >= known && self.sources.all[*n].heard.is_some();
        let able: Vec<_> = followed.into_iter().filter(able).collect();
        let Some(&from) = able.get(self.failed % able.len().max(1)) else { return };
        let after = if anew { 0 } else { here };
        self.gathering = Some(Gathering {
            from,
            anew,
            collection: Collection::after(after),
            ends: now + GATHERED * 2f64.powi(self.failed.min(6) as i32),
            fetch_at: now,
        });
    }

    fn failed(&mut self) {
        let anew = self.gathering.take().is_some_and(|g| g.anew);
        self.failed += 1;
        if anew {
            self.gather(true);
        }
    }

    /// Gathers what it lacks where that is much, or where the log doesn't reach back to it; polls soon where it is
    /// little.
    fn catch_up(&mut self) {
        let (known, here) = (self.sources.known(), self.state.head());
        if known <= here {
            return;
        }
        let gaps = self.sources.all.iter().filter(|s| s.gap).count();
        if self.gathering.is_none() && (known - here > FAR || gaps >= self.sources.need) {
            self.gather(false);
        }
        self.sources.hurry(self.clock.now, LACKING);
    }

    fn page(&mut self, n: usize, page: Page) {
        let Some(gathering) = self.gathering.as_mut().filter(|g| g.from == n) else { return };
        if gathering.collection.take(page).is_err() {
            self.sources.doubt(n, self.clock.now);
            self.failed();
        } else if gathering.collection.whole.is_some() {
            self.sources.hurry(self.clock.now, BREATH);
        }
    }

    /// Asks for the next pages, and where all are there whether there is more by now: others may have gone on and keep
    /// no digest of that number any more.
    fn fetch(&mut self) {
        let now = self.clock.now;
        let Some(gathering) = self.gathering.as_mut() else { return };
        let silent = self.sources.all[gathering.from].heard.is_none_or(|at| now - at > GONE);
        if now >= gathering.ends || silent || self.sources.doubted(gathering.from, now) {
            self.failed();
            return;
        }
        if now < gathering.fetch_at {
            return;
        }
        let whole = gathering.collection.whole.is_some();
        gathering.fetch_at = now + if whole { 4.0 * FETCH } else { FETCH };
        let fetch = Message::Fetch { after: gathering.collection.cursor, pages: PAGES, compacted: true };
        let from = gathering.from;
        self.send(from, fetch);
    }

    /// Takes over a compacted log that is whole, and vouched for by others than whom it is from alone.
    fn install(&mut self) {
        let Some(gathering) = self.gathering.as_ref() else { return };
        let here = self.state.head();
        let (from, anew) = (gathering.from, gathering.anew);
        let Some((head, digest)) = gathering.collection.whole else {
            if !anew && gathering.collection.cursor < here {
                self.gathering = None;
            }
            return;
        };
        if !anew && head <= here {
            // What came meanwhile went further.
            self.gathering = None;
            return;
        }
        let Some(vouched) = self.sources.vouched_digest(head) else { return };
        if vouched != digest {
            self.sources.doubt(from, self.clock.now);
            self.failed();
            return;
        }
        let entries = &gathering.collection.entries;
        let with = if anew { State::default().digest_with(entries) } else { self.state.digest_with(entries) };
        if with != digest {
            // From nothing: it can only be whom it is from. Else it may be what is in force here.
            if anew {
                self.sources.doubt(from, self.clock.now);
                self.failed();
            } else {
                self.gathering = None;
                self.begin_anew();
            }
            return;
        }
        let Some(gathering) = self.gathering.take() else { return };
        let entries = gathering.collection.entries.into_iter();
        let entries = entries.map(|(number, change)| Entry { number, change });
        if anew {
            let mut state = State::default();
            state.install(entries, head);
            self.replace(state);
        } else {
            self.state.install(entries, head);
        }
        self.since = self.clock.now;
        self.failed = 0;
        self.sources.forget(head);
    }

    /// All is to be told to the gateway again, and what it must forget.
    fn replace(&mut self, with: State) {
        let gone = self.state.iter().filter(|(_, c)| with.get(&c.key).is_none() && c.text.is_some());
        let removal = |(number, c): (u64, &Change)| Entry {
            number,
            change: Change { id: 0, key: c.key.clone(), text: None, replaces: number },
        };
        self.removals = gone.map(removal).collect();
        self.given = 0;
        self.state = with;
    }

    /// A batch of entries to be applied whole, in order; later ones follow. Only entries that change something: none for
    /// an empty one, or for one whose author was too late, and of two under one key since the last batch the later. A
    /// removal with the id 0 is of what never should have been there.
    pub fn news(&mut self) -> Option<Vec<Entry>> {
        if self.given == self.state.head() && self.removals.is_empty() {
            return None;
        }
        let mut news = std::mem::take(&mut self.removals);
        news.extend(self.state.after(self.given, usize::MAX));
        self.given = self.state.head();
        (!news.is_empty()).then_some(news)
    }

    /// The gateway could not apply an entry: told to the replicas with each poll. The latest one is kept, until another
    /// entry stands under its key.
    pub fn refused(&mut self, number: u64, why: String) {
        self.refused = Some(Refusal { number, why: shortened(why, LONGEST_WHY) });
    }

    /// What is in force, for the next start: a hash and what it is over. Takes as many bytes again as keys and texts have.
    pub fn save(&self) -> Vec<u8> {
        let mut whole = vec![0; HASH];
        // Writing into memory can't fail; if it did, the hash would not fit and the next start would be as without it.
        let written = self.write(&mut Encoder::new(&mut whole));
        if written.is_ok() {
            let hash = blake3::hash(&whole[HASH..]);
            whole[..HASH].copy_from_slice(hash.as_bytes());
        }
        whole
    }

    /// The same as a [`Saved`], without copying it first.
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
        clock.pass(now);
        let now = clock.now;
        let here = self.state.head();
        let followed = |(replica, s): (usize, &crate::sources::Source)| Followed {
            replica,
            heard: s.heard.map(|at| now - at),
            head: s.head,
            conflicts: s.conflicts,
        };
        FollowerView {
            name: self.name.clone(),
            number: here,
            digest: self.state.digest(),
            follows: self.sources.followed(now),
            replicas: self.sources.all.iter().enumerate().map(followed).collect(),
            sure_as_of: self.sources.sure(here).map(|at| now - at),
            known: self.sources.known(),
            behind: self.sources.known() > here,
            conflicts: self.sources.all.iter().map(|s| s.conflicts).sum(),
            anew: self.anew,
            refused: self.refused.as_ref().map(|r| (r.number, r.why.clone())),
            tally: self.tally,
        }
    }
}
