//! Stand-in workers: alone by a charter's list, or inside a gateway that was given no charter.

use milletpath_charter::{House, Source};
use milletpath_standin::engine::{Make, Pack};
use milletpath_standin::hall::{Hall, Tells};
use milletpath_standin::store::Shelf;
use milletpath_standin::worker::Worker;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;

/// A small worker: what a newcomer's machine plays without effort.
const MAKE: Make = Make {
    cores: 4,
    speed: 1.0,
    memory: 4096.0,
    loads_at_once: 4,
    queue: 256,
    keep: 30.0,
    misses: false,
    eager: true,
    cold_share: 0.2,
    warm_up: 5.0,
    tip_multiple: 2.5,
    tip_window: 1.0,
};

/// Functions that load in a moment, so that the first call shows a load without making one wait.
const PACK: Pack = Pack { lanes: 4, memory: 128.0, fetch: 0.1, start: 0.1 };

fn hall() -> Rc<Hall> {
    let shelf = Shelf { at_once: 16.0, takes: 64, tips: None, stops: 1.0 };
    let tells = Tells { found: true, company: true, load: true };
    Hall::new(Instant::now(), 1, shelf, PACK, tells, 60.0)
}

/// `milletpath workers`.
pub fn workers(charter: &Path) -> ExitCode {
    let house = match crate::read(charter) {
        Ok(house) => house,
        Err(code) => return code,
    };
    let Source::List(list) = house.source else {
        eprintln!("{}: names a registry; stand-in workers need a list of workers", charter.display());
        return ExitCode::from(2);
    };
    crate::local(async move {
        let hall = hall();
        for (number, entry) in list.iter().enumerate() {
            let started = TcpListener::bind(entry.address)
                .await
                .and_then(|l| Worker::on(hall.clone(), number, 0, MAKE, -MAKE.warm_up, vec![l]));
            if let Err(e) = started {
                eprintln!("worker {} can't listen on {}: {e}", entry.name, entry.address);
                return ExitCode::FAILURE;
            }
            println!("worker {} on {}", entry.name, entry.address);
        }
        crate::serve::stop().await;
        ExitCode::SUCCESS
    })
}

/// The built-in charter, with stand-in workers that run in this process.
pub async fn inside() -> Result<House, ExitCode> {
    const WORKERS: usize = 3;
    let hall = hall();
    let mut text = include_str!("inside.hcl").to_owned();
    text.push_str("workers {\n");
    for number in 0..WORKERS {
        let worker = Worker::start(hall.clone(), number, 0, MAKE, -MAKE.warm_up, 1).await.map_err(|e| {
            eprintln!("a stand-in worker can't start: {e}");
            ExitCode::FAILURE
        })?;
        text.push_str(&format!("  worker \"inside-{number}\" {{ address = \"{}\" }}\n", worker.addresses[0]));
    }
    text.push_str("}\n");
    milletpath_charter::read(&text).map_err(|mistakes| {
        mistakes.iter().for_each(|mistake| eprintln!("the built-in charter:{mistake}"));
        ExitCode::FAILURE
    })
}
