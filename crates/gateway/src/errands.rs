//! What the desk has for a core, carried out: each errand goes to the piece that does it.

use crate::answer::Reply;
use crate::office::{Errand, Stir};
use crate::shell::Gateway;
use crate::{follow, serve, shot};
use milletpath_config::WorkerSource;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};

pub fn carry_out(gateway: &Rc<Gateway>, errand: Errand) {
    match errand {
        Errand::Guest(stream, ticket) => serve::welcome(gateway, stream, ticket),
        Errand::Shoot { tag, slot, shot, worker, way, function, left } => {
            gateway.waiting(tag, slot, |waiting| {
                let (headers, body) = (waiting.headers.clone(), waiting.body.clone());
                let request = shot::Request { function, left, headers, body };
                let task = shot::activation(gateway.clone(), (tag, slot, shot), worker, way, request);
                waiting.shots.push(spawn_local(task).abort_handle());
            });
        }
        Errand::Drop { tag, slot, shot } => {
            gateway.waiting(tag, slot, |w| w.shots.get(shot).into_iter().for_each(AbortHandle::abort));
        }
        Errand::Answer { slot, own, line } => gateway.reply(slot, &line, Reply::Own(own)),
        Errand::Hold { order, worker, way, function, copies } => {
            spawn_local(shot::hold(gateway.clone(), order, worker, way, function, copies));
        }
        Errand::Unload { worker, way, function } => {
            spawn_local(shot::unload(gateway.clone(), worker, way, function));
        }
        Errand::Probe { worker, way, serial } => {
            spawn_local(shot::probe(gateway.clone(), worker, way, serial));
        }
        Errand::Follow => {
            if let WorkerSource::Registry(address) = gateway.house().source {
                gateway.follows(spawn_local(follow::follow(gateway.clone(), address)).abort_handle());
            }
        }
        Errand::Spare { worker } => gateway.spare(worker),
        Errand::Stir(Stir::Stall(seconds)) => std::thread::sleep(Duration::from_secs_f64(seconds)),
        Errand::Stir(Stir::Panic) => panic!("asked for"),
        Errand::Stir(Stir::Break) => {
            let gateway = gateway.clone();
            spawn_local(async move { gateway.office.tell(None, |_, _| panic!("asked for")) });
        }
    }
}
