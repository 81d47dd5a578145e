//! What the desk has for a core, carried out: each errand goes to the piece that does it.

use crate::answer::Reply;
use crate::shared_runtime::{CoreMessage, FaultInjection};
use crate::shell::Gateway;
use crate::{follow, serve, shot};
use milletpath_config::WorkerSource;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};

pub fn carry_out(gateway: &Rc<Gateway>, errand: CoreMessage) {
    match errand {
        CoreMessage::Guest(stream, ticket) => serve::welcome(gateway, stream, ticket),
        CoreMessage::Shoot { tag, slot, shot, worker, way, function, left } => {
            gateway.waiting(tag, slot, |waiting| {
                let (headers, body) = (waiting.headers.clone(), waiting.body.clone());
                let request = shot::Request { function, left, headers, body };
                let task = shot::activation(gateway.clone(), (tag, slot, shot), worker, way, request);
                waiting.shots.push(spawn_local(task).abort_handle());
            });
        }
        CoreMessage::Drop { tag, slot, shot } => {
            gateway.waiting(tag, slot, |w| w.shots.get(shot).into_iter().for_each(AbortHandle::abort));
        }
        CoreMessage::Answer { slot, own, line } => gateway.reply(slot, &line, Reply::Own(own)),
        CoreMessage::Hold { order, worker, way, function, copies } => {
            spawn_local(shot::hold(gateway.clone(), order, worker, way, function, copies));
        }
        CoreMessage::Unload { worker, way, function } => {
            spawn_local(shot::unload(gateway.clone(), worker, way, function));
        }
        CoreMessage::Probe { worker, way, serial } => {
            spawn_local(shot::probe(gateway.clone(), worker, way, serial));
        }
        CoreMessage::Follow => {
            if let WorkerSource::Registry(address) = gateway.house().source {
                gateway.follows(spawn_local(follow::follow(gateway.clone(), address)).abort_handle());
            }
        }
        CoreMessage::Spare { worker } => gateway.spare(worker),
        CoreMessage::FaultInjection(FaultInjection::Stall(seconds)) => {
            std::thread::sleep(Duration::from_secs_f64(seconds))
        }
        CoreMessage::FaultInjection(FaultInjection::Panic) => panic!("asked for"),
        CoreMessage::FaultInjection(FaultInjection::Break) => {
            let gateway = gateway.clone();
            spawn_local(
                async move { gateway.shared_runtime.with_dispatcher(None, |_, _| panic!("asked for")) },
            );
        }
    }
}
