//! Timers in a hierarchical wheel (Varghese and Lauck, SOSP 87): seven levels of 64 slots, the lowest of a
//! millisecond each. Setting and calling off cost the same however many there are; `benches/timers.rs` holds it
//! against a binary heap. A timer never fires early and at most a millisecond late; those of one millisecond fire
//! in the order in which they were set, but for those that come down from a higher level.

/// Slots a level, as a power of two: the occupied ones of a level fit one word.
const SLOT_BITS: u32 = 6;
const SLOTS_PER_LEVEL: u64 = 1 << SLOT_BITS;
/// 2^42 ms: over a hundred years.
const LEVELS: usize = 7;
const LATEST_TICK: u64 = (1 << (SLOT_BITS * LEVELS as u32)) - 1;
/// Part of a millisecond that rounding may take off a time in seconds: 1.001 s is 1000.9999999999999 ms. Without it
/// a timer would be due at a time at which it does not fire, and whoever waits for that time would wait for ever.
const ROUNDING_MS: f64 = 1e-6;
/// No node.
const NO_NODE: u32 = u32::MAX;
/// The list of those that are due.
const DUE_LIST: usize = LEVELS * SLOTS_PER_LEVEL as usize;

/// Names a timer that was set. Of no use once it fired or was called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    node: u32,
    generation: u32,
}

struct Node<T> {
    at: u64,
    payload: Option<T>,
    list: usize,
    previous_node: u32,
    next_node: u32,
    /// How often the node was used; tells an old ticket from a new one.
    generation: u32,
}

pub struct TimerWheel<T> {
    nodes: Vec<Node<T>>,
    free: u32,
    /// First and last node of each list.
    lists: Vec<(u32, u32)>,
    occupied: [u64; LEVELS],
    /// Milliseconds up to which all has fired.
    elapsed_ms: u64,
    len: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        let lists = vec![(NO_NODE, NO_NODE); DUE_LIST + 1];
        Self { nodes: Vec::new(), free: NO_NODE, lists, occupied: [0; LEVELS], elapsed_ms: 0, len: 0 }
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
    pub fn set(&mut self, at: f64, payload: T) -> TimerKey {
        let at = (at.max(0.0) * 1e3 - ROUNDING_MS).ceil().min(LATEST_TICK as f64) as u64;
        let node = if self.free == NO_NODE {
            let fresh = Node {
                at,
                payload: Some(payload),
                list: DUE_LIST,
                previous_node: NO_NODE,
                next_node: NO_NODE,
                generation: 0,
            };
            self.nodes.push(fresh);
            (self.nodes.len() - 1) as u32
        } else {
            let node = self.free;
            let n = &mut self.nodes[node as usize];
            self.free = n.next_node;
            (n.at, n.payload) = (at, Some(payload));
            node
        };
        self.len += 1;
        self.link(node);
        TimerKey { node, generation: self.nodes[node as usize].generation }
    }

    /// Calls a timer off and gives back what it was set for, unless it fired or was called off before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let n = self.nodes.get(key.node as usize)?;
        if n.generation != key.generation || n.payload.is_none() {
            return None;
        }
        self.unlink(key.node);
        self.free_node(key.node)
    }

    /// The earliest time at which [`fire`](Self::fire) may have something to do, in seconds.
    pub fn next_due(&self) -> Option<f64> {
        if self.lists[DUE_LIST].0 != NO_NODE {
            return Some(self.elapsed_ms as f64 / 1e3);
        }
        self.next_slot().map(|(_, _, at)| at as f64 / 1e3)
    }

    /// One timer that is due by `now`, the earliest first.
    pub fn fire(&mut self, now: f64) -> Option<T> {
        let now = (now.max(0.0) * 1e3 + ROUNDING_MS).floor().min(LATEST_TICK as f64) as u64;
        loop {
            let first = self.lists[DUE_LIST].0;
            if first != NO_NODE {
                self.unlink(first);
                return self.free_node(first);
            }
            let Some((level, slot, at)) = self.next_slot().filter(|&(.., at)| at <= now) else {
                self.elapsed_ms = self.elapsed_ms.max(now);
                return None;
            };
            self.elapsed_ms = self.elapsed_ms.max(at);
            let list = level * SLOTS_PER_LEVEL as usize + slot;
            let (mut node, _) = std::mem::replace(&mut self.lists[list], (NO_NODE, NO_NODE));
            self.occupied[level] &= !(1 << slot);
            while node != NO_NODE {
                let next_node = self.nodes[node as usize].next_node;
                self.link(node);
                node = next_node;
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
            let shift = SLOT_BITS * level as u32;
            let here = (self.elapsed_ms >> shift) & (SLOTS_PER_LEVEL - 1);
            let ahead = u64::from(occupied.rotate_right(here as u32).trailing_zeros());
            let slot = (here + ahead) % SLOTS_PER_LEVEL;
            let begin = ((self.elapsed_ms >> shift) - here + slot) << shift;
            // A slot behind us belongs to the next round of its level.
            let round = if slot < here { SLOTS_PER_LEVEL << shift } else { 0 };
            Some((level, slot as usize, begin + round))
        })
    }

    /// Puts a node on the list for its time.
    fn link(&mut self, node: u32) {
        let at = self.nodes[node as usize].at;
        let list = if at <= self.elapsed_ms {
            DUE_LIST
        } else {
            let differing = (self.elapsed_ms ^ at) | (SLOTS_PER_LEVEL - 1);
            let level = ((63 - differing.leading_zeros()) / SLOT_BITS) as usize;
            let slot = ((at >> (SLOT_BITS * level as u32)) & (SLOTS_PER_LEVEL - 1)) as usize;
            self.occupied[level] |= 1 << slot;
            level * SLOTS_PER_LEVEL as usize + slot
        };
        let (first, last) = self.lists[list];
        let n = &mut self.nodes[node as usize];
        (n.list, n.previous_node, n.next_node) = (list, last, NO_NODE);
        if last == NO_NODE {
            self.lists[list] = (node, node);
        } else {
            self.nodes[last as usize].next_node = node;
            self.lists[list] = (first, node);
        }
    }

    fn unlink(&mut self, node: u32) {
        let Node { list, previous_node, next_node, .. } = self.nodes[node as usize];
        match previous_node {
            NO_NODE => self.lists[list].0 = next_node,
            other => self.nodes[other as usize].next_node = next_node,
        }
        match next_node {
            NO_NODE => self.lists[list].1 = previous_node,
            other => self.nodes[other as usize].previous_node = previous_node,
        }
        if self.lists[list].0 == NO_NODE && list != DUE_LIST {
            self.occupied[list / SLOTS_PER_LEVEL as usize] &= !(1 << (list % SLOTS_PER_LEVEL as usize));
        }
    }

    fn free_node(&mut self, node: u32) -> Option<T> {
        let n = &mut self.nodes[node as usize];
        n.generation = n.generation.wrapping_add(1);
        n.next_node = self.free;
        self.free = node;
        self.len -= 1;
        n.payload.take()
    }
}
