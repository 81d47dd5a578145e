//! Timers in a hierarchical wheel (Varghese and Lauck, SOSP 87): seven levels of 64 slots, the lowest of a
//! millisecond each. Setting and calling off cost the same however many there are; `benches/timers.rs` holds it
//! against a binary heap. A timer never fires early and at most a millisecond late; those of one millisecond fire
//! in the order in which they were set, but for those that come down from a higher level.

/// Slots a level, as a power of two: the occupied ones of a level fit one word.
const BITS: u32 = 6;
const SLOTS: u64 = 1 << BITS;
/// 2^42 ms: over a hundred years.
const LEVELS: usize = 7;
const LAST: u64 = (1 << (BITS * LEVELS as u32)) - 1;
/// Part of a millisecond that rounding may take off a time in seconds: 1.001 s is 1000.9999999999999 ms. Without it
/// a timer would be due at a time at which it does not fire, and whoever waits for that time would wait for ever.
const HAIR: f64 = 1e-6;
/// No node.
const NONE: u32 = u32::MAX;
/// The list of those that are due.
const DUE: usize = LEVELS * SLOTS as usize;

/// Names a timer that was set. Of no use once it fired or was called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    node: u32,
    turn: u32,
}

struct Node<T> {
    at: u64,
    what: Option<T>,
    list: usize,
    before: u32,
    after: u32,
    /// How often the node was used; tells an old ticket from a new one.
    turn: u32,
}

pub struct TimerWheel<T> {
    nodes: Vec<Node<T>>,
    free: u32,
    /// First and last node of each list.
    lists: Vec<(u32, u32)>,
    occupied: [u64; LEVELS],
    /// Milliseconds up to which all has fired.
    passed: u64,
    len: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        let lists = vec![(NONE, NONE); DUE + 1];
        Self { nodes: Vec::new(), free: NONE, lists, occupied: [0; LEVELS], passed: 0, len: 0 }
    }
}

impl<T> TimerWheel<T> {
    /// Timers set and neither fired nor called off.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer for a time in seconds; one in the past is due at once.
    pub fn set(&mut self, at: f64, what: T) -> TimerKey {
        let at = (at.max(0.0) * 1e3 - HAIR).ceil().min(LAST as f64) as u64;
        let node = if self.free == NONE {
            let fresh = Node { at, what: Some(what), list: DUE, before: NONE, after: NONE, turn: 0 };
            self.nodes.push(fresh);
            (self.nodes.len() - 1) as u32
        } else {
            let node = self.free;
            let n = &mut self.nodes[node as usize];
            self.free = n.after;
            (n.at, n.what) = (at, Some(what));
            node
        };
        self.len += 1;
        self.link(node);
        TimerKey { node, turn: self.nodes[node as usize].turn }
    }

    /// Calls a timer off and gives back what it was set for, unless it fired or was called off before.
    pub fn call_off(&mut self, ticket: TimerKey) -> Option<T> {
        let n = self.nodes.get(ticket.node as usize)?;
        if n.turn != ticket.turn || n.what.is_none() {
            return None;
        }
        self.unlink(ticket.node);
        self.release(ticket.node)
    }

    /// The earliest time at which [`fire`](Self::fire) may have something to do, in seconds.
    pub fn next(&self) -> Option<f64> {
        if self.lists[DUE].0 != NONE {
            return Some(self.passed as f64 / 1e3);
        }
        self.next_slot().map(|(_, _, at)| at as f64 / 1e3)
    }

    /// One timer that is due by `now`, the earliest first.
    pub fn fire(&mut self, now: f64) -> Option<T> {
        let now = (now.max(0.0) * 1e3 + HAIR).floor().min(LAST as f64) as u64;
        loop {
            let first = self.lists[DUE].0;
            if first != NONE {
                self.unlink(first);
                return self.release(first);
            }
            let Some((level, slot, at)) = self.next_slot().filter(|&(.., at)| at <= now) else {
                self.passed = self.passed.max(now);
                return None;
            };
            self.passed = self.passed.max(at);
            let list = level * SLOTS as usize + slot;
            let (mut node, _) = std::mem::replace(&mut self.lists[list], (NONE, NONE));
            self.occupied[level] &= !(1 << slot);
            while node != NONE {
                let after = self.nodes[node as usize].after;
                self.link(node);
                node = after;
            }
        }
    }

    /// The slot that comes next, its level, and when it begins.
    fn next_slot(&self) -> Option<(usize, usize, u64)> {
        (0..LEVELS).find_map(|level| {
            let occupied = self.occupied[level];
            if occupied == 0 {
                return None;
            }
            let shift = BITS * level as u32;
            let here = (self.passed >> shift) & (SLOTS - 1);
            let ahead = u64::from(occupied.rotate_right(here as u32).trailing_zeros());
            let slot = (here + ahead) % SLOTS;
            let begin = ((self.passed >> shift) - here + slot) << shift;
            // A slot behind us belongs to the next round of its level.
            let round = if slot < here { SLOTS << shift } else { 0 };
            Some((level, slot as usize, begin + round))
        })
    }

    /// Puts a node on the list for its time.
    fn link(&mut self, node: u32) {
        let at = self.nodes[node as usize].at;
        let list = if at <= self.passed {
            DUE
        } else {
            let differing = (self.passed ^ at) | (SLOTS - 1);
            let level = ((63 - differing.leading_zeros()) / BITS) as usize;
            let slot = ((at >> (BITS * level as u32)) & (SLOTS - 1)) as usize;
            self.occupied[level] |= 1 << slot;
            level * SLOTS as usize + slot
        };
        let (first, last) = self.lists[list];
        let n = &mut self.nodes[node as usize];
        (n.list, n.before, n.after) = (list, last, NONE);
        if last == NONE {
            self.lists[list] = (node, node);
        } else {
            self.nodes[last as usize].after = node;
            self.lists[list] = (first, node);
        }
    }

    fn unlink(&mut self, node: u32) {
        let Node { list, before, after, .. } = self.nodes[node as usize];
        match before {
            NONE => self.lists[list].0 = after,
            other => self.nodes[other as usize].after = after,
        }
        match after {
            NONE => self.lists[list].1 = before,
            other => self.nodes[other as usize].before = before,
        }
        if self.lists[list].0 == NONE && list != DUE {
            self.occupied[list / SLOTS as usize] &= !(1 << (list % SLOTS as usize));
        }
    }

    fn release(&mut self, node: u32) -> Option<T> {
        let n = &mut self.nodes[node as usize];
        n.turn = n.turn.wrapping_add(1);
        n.after = self.free;
        self.free = node;
        self.len -= 1;
        n.what.take()
    }
}
