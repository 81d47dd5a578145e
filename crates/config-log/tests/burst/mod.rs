//! A burst of changes by authors that ask again, and when each was in force at each gateway: for the fleet's test and the
//! bench.

#![allow(dead_code)]

use crate::net::{Net, Node, Place, change};
use milletpath_config_log::Outcome;
use rand::Rng;

/// How long it is played on after the last change.
pub const SECONDS: f64 = 6.0;

/// Seconds after which an author asks the next machine.
const AGAIN: f64 = 0.4;

/// CPU seconds, bytes in and bytes out.
pub type Cost = [f64; 3];

/// What a gateway and a machine have spent by now, on average over those that are not cut off.
pub fn spent(net: &Net) -> (Cost, Cost) {
    fn sum<'a, T: 'a>(nodes: impl Iterator<Item = &'a Node<T>>) -> Cost {
        let (sum, count) = nodes.fold(([0.0; 3], 0.0), |([cpu, bytes_in, bytes_out], count), n| {
            ([cpu + n.busy, bytes_in + n.bytes_in as f64, bytes_out + n.bytes_out as f64], count + 1.0)
        });
        sum.map(|all| all / count)
    }
    let here = |place: Place| !net.gone.contains(&place.zone());
    let gateways = net.gateways.iter().enumerate().filter(|(n, _)| here(Place::Follower(*n)));
    let machines = net.machines.iter().enumerate().filter(|(n, _)| here(Place::Replica(*n)));
    (sum(gateways.map(|(_, node)| node)), sum(machines.map(|(_, node)| node)))
}

/// What each spent a second between two such looks.
pub fn between(before: (Cost, Cost), after: (Cost, Cost), seconds: f64) -> (Cost, Cost) {
    let each = |a: Cost, b: Cost| std::array::from_fn(|n| (b[n] - a[n]) / seconds);
    (each(before.0, after.0), each(before.1, after.1))
}

pub struct Burst {
    /// Seconds from a change's proposal until it was in force, for each change and gateway that is not cut off.
    pub delays: Vec<f64>,
    /// Seconds until its author was told.
    pub told: Vec<f64>,
    /// What a gateway and a machine spent in the second of the burst.
    pub spent: (Cost, Cost),
}

impl Burst {
    /// So many changes within a second, from authors in zones that are there, proposed to any machine.
    pub fn play(net: &mut Net, changes: u64) -> Self {
        let began = net.now;
        let base = 1_000_000 + net.log.state.head() * 1_000;
        let there: Vec<usize> = (0..10).filter(|zone| !net.gone.contains(zone)).collect();
        // id, author, when it was proposed first and last, at which machine.
        let mut open: Vec<(u64, usize, f64, f64, usize)> = Vec::new();
        let mut done = Vec::new();
        let until = began + 1.0 + SECONDS;
        let (before, mut after) = (spent(net), None);
        let mut next = 0;
        while net.now < until {
            while next < changes && net.now >= began + next as f64 / changes as f64 {
                let author = there[net.chance.random_range(0..there.len())];
                let machine = net.chance.random_range(0..net.machines.len());
                let id = base + next;
                net.propose(author, machine, stated(id));
                open.push((id, author, net.now, net.now, machine));
                next += 1;
            }
            net.play(net.now + 0.01);
            if net.now >= began + 1.0 && after.is_none() {
                after = Some(between(before, spent(net), net.now - began));
            }
            for (id, author, since, asked, machine) in std::mem::take(&mut open) {
                match net.outcome(author, id) {
                    Some(Outcome::Committed(number)) => done.push((number, since, net.now)),
                    Some(Outcome::Unknown) | None if net.now - asked >= AGAIN => {
                        let machine = (machine + 1) % net.machines.len();
                        net.propose(author, machine, stated(id));
                        open.push((id, author, since, net.now, machine));
                    }
                    Some(Outcome::Unknown) | None => open.push((id, author, since, asked, machine)),
                    other => panic!("{other:?} of a change under a key of its own"),
                }
            }
        }
        assert!(open.is_empty(), "{} changes have no outcome", open.len());
        let here = |n: &usize| !net.gone.contains(&Place::Follower(*n).zone());
        let gateways: Vec<usize> = (0..net.gateways.len()).filter(here).collect();
        let delays = done
            .iter()
            .flat_map(|(number, since, _)| gateways.iter().filter_map(|n| net.delay(*n, *number, *since)))
            .collect();
        Self {
            delays,
            told: done.iter().map(|(_, since, told)| told - since).collect(),
            spent: after.unwrap_or_default(),
        }
    }

    pub fn worst(&self) -> f64 {
        self.delays.iter().copied().fold(0.0, f64::max)
    }
}

/// A statement of the usual length.
pub fn stated(id: u64) -> milletpath_config_log::Change {
    let text =
        "function \"resize-thumbnails\" {\n  lanes = 2\n  memory = 400\n  profile = \"interactive\"\n}\n";
    change(id, &format!("function resize-thumbnails-{id}"), text, 0)
}
