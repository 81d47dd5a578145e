//! All instances of the process and their worker lists.

use crate::error::WireError;
use crate::event::{ListUpdated, Start, WorkerList, code, code_of, instance_of, is_instance_event};
use crate::event_batch::EventBatch;
use crate::instance::Instance;
use crate::record::Record;
use crate::reply::Reply;
use std::collections::HashMap;

/// The state that the process keeps between batches.
#[derive(Default)]
pub struct Session {
    instances: HashMap<u16, Instance>,
    /// Encoded entries of worker lists, by list number.
    lists: HashMap<u32, Vec<u8>>,
}

impl Session {
    /// Applies a batch and returns the actions of all instances.
    pub fn answer(&mut self, batch: &EventBatch) -> Result<Reply, WireError> {
        let mut reply = Reply::default();
        let mut events: Vec<Record<'_>> = batch.events().collect();
        move_lists_first(&mut events);
        for event in events {
            self.apply(batch, event, &mut reply)?;
        }
        Ok(reply)
    }

    fn apply(&mut self, batch: &EventBatch, event: Record<'_>, reply: &mut Reply) -> Result<(), WireError> {
        let instance = instance_of(event);
        match code_of(event) {
            code::WORKER_LIST => {
                let list = WorkerList::decode(event)?;
                let entries = batch.tail(list.offset, list.length)?.to_vec();
                self.lists.insert(list.number, entries);
                Ok(())
            }
            code::START => self.start(batch, instance, &Start::decode(event), reply),
            code::LIST_UPDATED => self.update_list(batch.clock, instance, &ListUpdated::decode(event), reply),
            code::STOP => {
                self.instances.remove(&instance);
                Ok(())
            }
            code => match self.instances.get_mut(&instance) {
                Some(instance) => instance.apply(batch.clock, event, reply),
                // Events of instances that were stopped or never started are ignored.
                None if is_instance_event(code) => Ok(()),
                None => Err(WireError::UnknownEvent(code)),
            },
        }
    }

    fn start(
        &mut self,
        batch: &EventBatch,
        number: u16,
        start: &Start,
        reply: &mut Reply,
    ) -> Result<(), WireError> {
        let settings = batch.tail(start.settings_offset, start.settings_length)?;
        match Instance::start(number, start.seed, batch.clock, settings, reply) {
            Ok(instance) => {
                self.instances.insert(number, instance);
            }
            Err(error) => {
                self.instances.remove(&number);
                reply.fatal(number, &error.to_string());
            }
        }
        Ok(())
    }

    fn update_list(
        &mut self,
        clock: u64,
        instance: u16,
        update: &ListUpdated,
        reply: &mut Reply,
    ) -> Result<(), WireError> {
        let entries = match self.lists.get(&update.list) {
            Some(entries) => entries.as_slice(),
            None if update.is_failure() => &[],
            None => return Err(WireError::UnknownList(update.list)),
        };
        match self.instances.get_mut(&instance) {
            Some(instance) => instance.update_list(clock, update.mode()?, entries, reply),
            None => Ok(()),
        }
    }
}

/// Moves worker lists and their updates before the other events. All events of a batch have the same time, so every decision
/// in the batch uses the updated lists. Starts and stops keep their positions.
fn move_lists_first(events: &mut [Record<'_>]) {
    let is_boundary = |event: &Record<'_>| matches!(code_of(*event), code::START | code::STOP);
    let is_list = |event: &Record<'_>| matches!(code_of(*event), code::LIST_UPDATED | code::WORKER_LIST);
    for events in events.chunk_by_mut(|a, b| !is_boundary(a) && !is_boundary(b)) {
        events.sort_by_key(|event| !is_list(event));
    }
}
