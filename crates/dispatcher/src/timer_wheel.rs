//! Hierarchical timing wheel (Varghese and Lauck, SOSP 1987) with seven levels of 64 slots; the slots of the lowest
//! level are one millisecond each. Setting and cancelling a timer take constant time regardless of the number of
//! timers; `benches/timers.rs` compares the wheel with a binary heap. A timer never fires early and at most a
//! millisecond late. Timers of the same millisecond fire in the order in which they were set, except for those that
//! cascade from a higher level.

/// Slots per level, as a power of two: the occupancy bits of a level fit in one word.
const SLOT_BITS: u32 = 6;
const SLOTS_PER_LEVEL: u64 = 1 << SLOT_BITS;
/// All levels together cover 2^42 ms, over a hundred years.
const LEVELS: usize = 7;
const LATEST_TICK: u64 = (1 << (SLOT_BITS * LEVELS as u32)) - 1;
const MS_PER_SECOND: f64 = 1e3;
/// Tolerance, in milliseconds, for rounding errors of times in seconds: 1.001 s converts to 1000.9999999999999 ms.
/// Without it a timer could be due at a time at which it does not fire, and a caller that waits for that time would
/// never make progress.
const ROUNDING_MS: f64 = 1e-6;
/// Marks the absence of a node in a link.
const NO_NODE: u32 = u32::MAX;
/// Index of the list of timers that are due; it follows the lists of the slots.
const DUE_LIST: usize = LEVELS * SLOTS_PER_LEVEL as usize;

/// Identifies a timer until it fires or is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    node: u32,
    generation: u32,
}

/// A timer, linked into the list of its slot, or a free node, linked only by `next`.
struct Node<T> {
    due_ms: u64,
    payload: Option<T>,
    list: usize,
    previous: u32,
    next: u32,
    /// Number of times that the node has been freed; distinguishes keys of earlier timers in the node from the
    /// current one.
    generation: u32,
}

/// First and last node of a linked list.
#[derive(Clone, Copy)]
struct List {
    first: u32,
    last: u32,
}

impl List {
    const EMPTY: Self = Self { first: NO_NODE, last: NO_NODE };
}

/// The next slot whose timers have to be processed.
struct NextSlot {
    level: usize,
    slot: usize,
    starts_at_ms: u64,
}

/// A set of timers that each carry a payload. Nodes are reused but never deallocated, so memory is proportional to
/// the largest number of timers set at once; the code that sets timers must bound it.
pub struct TimerWheel<T> {
    nodes: Vec<Node<T>>,
    /// The first free node.
    free: u32,
    lists: Vec<List>,
    /// For each level, a bit for each slot that contains timers.
    occupied: [u64; LEVELS],
    /// Time in milliseconds up to which all timers have fired.
    elapsed_ms: u64,
    len: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        let lists = vec![List::EMPTY; DUE_LIST + 1];
        Self { nodes: Vec::new(), free: NO_NODE, lists, occupied: [0; LEVELS], elapsed_ms: 0, len: 0 }
    }
}

impl<T> TimerWheel<T> {
    /// Number of timers that have neither fired nor been cancelled.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no timers.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer for a time in seconds; a time in the past is due immediately.
    pub fn set(&mut self, at: f64, payload: T) -> TimerKey {
        let due_ms = (at.max(0.0) * MS_PER_SECOND - ROUNDING_MS).ceil().min(LATEST_TICK as f64) as u64;
        let node = self.allocate_node(due_ms, payload);
        self.len += 1;
        self.link(node);
        TimerKey { node, generation: self.nodes[node as usize].generation }
    }

    /// Cancels a timer and returns its payload, or `None` if it has already fired or been cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let node = self.nodes.get(key.node as usize)?;
        if node.generation != key.generation || node.payload.is_none() {
            return None;
        }
        self.unlink(key.node);
        self.free_node(key.node)
    }

    /// The earliest time, in seconds, at which [`fire`](Self::fire) may return a timer.
    pub fn next_due(&self) -> Option<f64> {
        if self.lists[DUE_LIST].first != NO_NODE {
            return Some(self.elapsed_ms as f64 / MS_PER_SECOND);
        }
        self.next_slot().map(|next| next.starts_at_ms as f64 / MS_PER_SECOND)
    }

    /// Fires one timer that is due by `now`, in seconds, the earliest first, and returns its payload.
    pub fn fire(&mut self, now: f64) -> Option<T> {
        let now_ms = (now.max(0.0) * MS_PER_SECOND + ROUNDING_MS).floor().min(LATEST_TICK as f64) as u64;
        loop {
            let first = self.lists[DUE_LIST].first;
            if first != NO_NODE {
                self.unlink(first);
                return self.free_node(first);
            }
            let Some(next) = self.next_slot().filter(|next| next.starts_at_ms <= now_ms) else {
                self.elapsed_ms = self.elapsed_ms.max(now_ms);
                return None;
            };
            self.elapsed_ms = self.elapsed_ms.max(next.starts_at_ms);
            self.cascade_slot(next.level, next.slot);
        }
    }

    /// Cascades the timers of a slot that has been reached to lower levels or to the due list.
    fn cascade_slot(&mut self, level: usize, slot: usize) {
        let list = level * SLOTS_PER_LEVEL as usize + slot;
        let mut node = std::mem::replace(&mut self.lists[list], List::EMPTY).first;
        self.occupied[level] &= !(1 << slot);
        while node != NO_NODE {
            let next = self.nodes[node as usize].next;
            self.link(node);
            node = next;
        }
    }

    fn next_slot(&self) -> Option<NextSlot> {
        (0..LEVELS).find_map(|level| {
            let occupied = self.occupied[level];
            if occupied == 0 {
                return None;
            }
            let shift = SLOT_BITS * level as u32;
            let current = (self.elapsed_ms >> shift) & (SLOTS_PER_LEVEL - 1);
            let distance = u64::from(occupied.rotate_right(current as u32).trailing_zeros());
            let slot = (current + distance) % SLOTS_PER_LEVEL;
            let begin = ((self.elapsed_ms >> shift) - current + slot) << shift;
            // A slot behind the current one belongs to the next rotation of its level.
            let rotation = if slot < current { SLOTS_PER_LEVEL << shift } else { 0 };
            Some(NextSlot { level, slot: slot as usize, starts_at_ms: begin + rotation })
        })
    }

    /// Appends a node to the list for its due time.
    fn link(&mut self, node: u32) {
        let list = self.list_for_time(self.nodes[node as usize].due_ms);
        let last = self.lists[list].last;
        let linked_node = &mut self.nodes[node as usize];
        (linked_node.list, linked_node.previous, linked_node.next) = (list, last, NO_NODE);
        self.lists[list].last = node;
        match last {
            NO_NODE => self.lists[list].first = node,
            last => self.nodes[last as usize].next = node,
        }
    }

    /// Returns the list for a time and marks its slot as occupied. The level is that of the highest bit in which the
    /// time differs from the current time.
    fn list_for_time(&mut self, due_ms: u64) -> usize {
        if due_ms <= self.elapsed_ms {
            return DUE_LIST;
        }
        let differing = (self.elapsed_ms ^ due_ms) | (SLOTS_PER_LEVEL - 1);
        let level = ((63 - differing.leading_zeros()) / SLOT_BITS) as usize;
        let slot = ((due_ms >> (SLOT_BITS * level as u32)) & (SLOTS_PER_LEVEL - 1)) as usize;
        self.occupied[level] |= 1 << slot;
        level * SLOTS_PER_LEVEL as usize + slot
    }

    fn unlink(&mut self, node: u32) {
        let Node { list, previous, next, .. } = self.nodes[node as usize];
        match previous {
            NO_NODE => self.lists[list].first = next,
            previous => self.nodes[previous as usize].next = next,
        }
        match next {
            NO_NODE => self.lists[list].last = previous,
            next => self.nodes[next as usize].previous = previous,
        }
        if self.lists[list].first == NO_NODE && list != DUE_LIST {
            self.occupied[list / SLOTS_PER_LEVEL as usize] &= !(1 << (list % SLOTS_PER_LEVEL as usize));
        }
    }

    fn allocate_node(&mut self, due_ms: u64, payload: T) -> u32 {
        if self.free == NO_NODE {
            let (previous, next) = (NO_NODE, NO_NODE);
            let payload = Some(payload);
            self.nodes.push(Node { due_ms, payload, list: DUE_LIST, previous, next, generation: 0 });
            return (self.nodes.len() - 1) as u32;
        }
        let node = self.free;
        let reused_node = &mut self.nodes[node as usize];
        self.free = reused_node.next;
        (reused_node.due_ms, reused_node.payload) = (due_ms, Some(payload));
        node
    }

    fn free_node(&mut self, node: u32) -> Option<T> {
        let freed_node = &mut self.nodes[node as usize];
        freed_node.generation = freed_node.generation.wrapping_add(1);
        freed_node.next = self.free;
        self.free = node;
        self.len -= 1;
        freed_node.payload.take()
    }
}
