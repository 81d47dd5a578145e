//! A table of records at dense indices that are reused. Each record has a serial number that distinguishes it from
//! earlier records at the same index. It stores requests and load requests.

use super::action::RequestId;

struct Slot<R> {
    serial: u64,
    record: R,
}

/// Records by [`RequestId`]. Its length is the largest number of records held at once, which the code that inserts
/// records must bound.
pub(super) struct SlotTable<R> {
    slots: Vec<Option<Slot<R>>>,
    free: Vec<usize>,
}

impl<R> SlotTable<R> {
    pub(super) fn new() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }

    /// The id that [`insert`](Self::insert) will assign to the next record.
    pub(super) fn next_id(&self, serial: u64) -> RequestId {
        RequestId { index: self.free.last().copied().unwrap_or(self.slots.len()), serial }
    }

    /// Stores a record under a serial number that was never used before.
    pub(super) fn insert(&mut self, serial: u64, record: R) -> RequestId {
        let id = self.next_id(serial);
        let slot = Some(Slot { serial, record });
        match self.free.pop() {
            Some(index) => self.slots[index] = slot,
            None => self.slots.push(slot),
        }
        id
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&R> {
        let slot = self.slots.get(id.index)?.as_ref();
        slot.filter(|slot| slot.serial == id.serial).map(|slot| &slot.record)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut R> {
        let slot = self.slots.get_mut(id.index)?.as_mut();
        slot.filter(|slot| slot.serial == id.serial).map(|slot| &mut slot.record)
    }

    /// The id of the record at an index; if there is none, an id that matches no record.
    pub(super) fn id_at(&self, index: usize) -> RequestId {
        let slot = self.slots.get(index).and_then(Option::as_ref);
        RequestId { index, serial: slot.map_or(0, |slot| slot.serial) }
    }

    /// Removes a record and frees its index.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<R> {
        let slot = self.slots.get_mut(id.index)?.take_if(|slot| slot.serial == id.serial)?;
        self.free.push(id.index);
        Some(slot.record)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (RequestId, &R)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let Slot { serial, record } = slot.as_ref()?;
            Some((RequestId { index, serial: *serial }, record))
        })
    }

    pub(super) fn into_records(self) -> impl Iterator<Item = R> {
        self.slots.into_iter().flatten().map(|slot| slot.record)
    }
}
