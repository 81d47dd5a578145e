//! Timers in a hierarchical timing wheel (Varghese and Lauck, SOSP 1987): seven levels of 64 slots, the lowest of a
//! millisecond each. Setting and cancelling cost the same however many timers there are; `benches/timers.rs` compares
//! it with a binary heap. A timer never fires early and at most a millisecond late; those of one millisecond fire in
//! the order in which they were set, but for those that come down from a higher level.

/// Slots of a level, as a power of two: the occupied ones of a level fit one word.
const SLOT_BITS: u32 = 6;
const SLOTS_PER_LEVEL: u64 = 1 << SLOT_BITS;
/// All levels together reach 2^42 ms, over a hundred years.
const LEVELS: usize = 7;
const LATEST_TICK: u64 = (1 << (SLOT_BITS * LEVELS as u32)) - 1;
const MS_PER_SECOND: f64 = 1e3;
/// Part of a millisecond that rounding may take off a time in seconds: 1.001 s is 1000.9999999999999 ms. Without it
/// a timer would be due at a time at which it does not fire, and whoever waits for that time would wait for ever.
const ROUNDING_MS: f64 = 1e-6;
/// Stands for no node in a link.
const NO_NODE: u32 = u32::MAX;
/// The list of timers that are due, after those of the slots.
const DUE_LIST: usize = LEVELS * SLOTS_PER_LEVEL as usize;

/// Identifies a timer that was set, until it fires or is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    node: u32,
    generation: u32,
}

/// A timer, linked into the list of its slot; or a free node, linked by `next` alone.
struct Node<T> {
    due_ms: u64,
    payload: Option<T>,
    list: usize,
    previous: u32,
    next: u32,
    /// How often the node was used; distinguishes a key of an earlier use from that of the current one.
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

/// The slot whose timers come next.
struct NextSlot {
    level: usize,
    slot: usize,
    starts_at_ms: u64,
}

/// Timers that each carry a payload. As many nodes are kept as there were timers at a time; whoever sets timers has to
/// bound them.
pub struct TimerWheel<T> {
    nodes: Vec<Node<T>>,
    /// The first free node.
    free: u32,
    lists: Vec<List>,
    /// A bit for each slot of a level that has timers.
    occupied: [u64; LEVELS],
    /// Milliseconds up to which all timers have fired.
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
    /// Number of timers that were set and neither fired nor were cancelled.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no timers.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Sets a timer for a time in seconds; one in the past is due at once.
    pub fn set(&mut self, at: f64, payload: T) -> TimerKey {
        let due_ms = (at.max(0.0) * MS_PER_SECOND - ROUNDING_MS).ceil().min(LATEST_TICK as f64) as u64;
        let node = self.allocate_node(due_ms, payload);
        self.len += 1;
        self.link(node);
        TimerKey { node, generation: self.nodes[node as usize].generation }
    }

    /// Cancels a timer and gives back its payload; none if it fired or was cancelled before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let node = self.nodes.get(key.node as usize)?;
        if node.generation != key.generation || node.payload.is_none() {
            return None;
        }
        self.unlink(key.node);
        self.free_node(key.node)
    }

    /// The earliest time at which [`fire`](Self::fire) may give a timer, in seconds.
    pub fn next_due(&self) -> Option<f64> {
        if self.lists[DUE_LIST].first != NO_NODE {
            return Some(self.elapsed_ms as f64 / MS_PER_SECOND);
        }
        self.next_slot().map(|next| next.starts_at_ms as f64 / MS_PER_SECOND)
    }

    /// The payload of one timer that is due by `now`, in seconds; the earliest first.
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

    /// Moves the timers of a slot whose time has come to lower levels, or to the list of those that are due.
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
            // A slot behind the current one belongs to the next round of its level.
            let round = if slot < current { SLOTS_PER_LEVEL << shift } else { 0 };
            Some(NextSlot { level, slot: slot as usize, starts_at_ms: begin + round })
        })
    }

    /// Puts a node at the end of the list for its time.
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

    /// The list for a time; its slot counts as occupied from here on. The level is that of the highest bits in which
    /// the time differs from now.
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
