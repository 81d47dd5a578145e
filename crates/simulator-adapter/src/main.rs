//! Plays the milletpath library over a binary event wire: frames of events come on standard input, one reply
//! of actions goes out for each. It translates and maps ids; all decisions are the library's.

mod frame;
mod instance;

use frame::{Batch, Malformed, Reply};
use instance::Instance;
use std::collections::HashMap;
use std::io::{self, BufReader};
use std::process::ExitCode;

fn main() -> ExitCode {
    match play() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Malformed(text)) => {
            eprintln!("milletpath-drill: {text}");
            ExitCode::FAILURE
        }
    }
}

fn play() -> Result<(), Malformed> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut instances: HashMap<u16, Instance> = HashMap::new();
    let mut lists: HashMap<u32, Vec<u8>> = HashMap::new();
    while let Some(batch) = Batch::read(&mut input)? {
        let reply = answer(&batch, &mut instances, &mut lists)?;
        reply.write(&mut output).map_err(|e| Malformed(format!("the output cannot be written: {e}")))?;
    }
    Ok(())
}

fn answer(
    batch: &Batch,
    instances: &mut HashMap<u16, Instance>,
    lists: &mut HashMap<u32, Vec<u8>>,
) -> Result<Reply, Malformed> {
    let mut reply = Reply::default();
    // All of a batch happens at one time: what the lists say is passed on before anything is decided by them.
    let mut events: Vec<_> = batch.events().collect();
    for part in events.chunk_by_mut(|a, b| !matches!(a.u8(0), 10 | 100) && !matches!(b.u8(0), 10 | 100)) {
        part.sort_by_key(|e| !matches!(e.u8(0), 20 | 120));
    }
    for e in events {
        if e.u8(0) == 120 {
            lists.insert(e.u32(1), instance::entries(batch, e)?.to_vec());
            continue;
        }
        let number = e.u16(1);
        match e.u8(0) {
            10 => {
                let settings = batch.tail(e.u32(11), e.u32(15) as usize)?;
                match Instance::start(number, e.u64(3), batch.clock, settings, &mut reply) {
                    Ok(instance) => {
                        instances.insert(number, instance);
                    }
                    Err(text) => {
                        instances.remove(&number);
                        reply.text(120, number, &text);
                    }
                }
            }
            20 => {
                let mode = e.u8(3);
                let rows = match lists.get(&e.u32(12)) {
                    Some(rows) => rows.as_slice(),
                    None if mode == 3 => &[],
                    None => return Err(Malformed(format!("worker list {} was never given", e.u32(12)))),
                };
                if let Some(instance) = instances.get_mut(&number) {
                    instance.roster(batch.clock, mode, rows, &mut reply)?;
                }
            }
            100 => {
                instances.remove(&number);
            }
            // What comes for an instance that is off or never started concerns nobody but must be sound.
            code => match instances.get_mut(&number) {
                Some(instance) => instance.event(batch.clock, e, &mut reply)?,
                None if matches!(code, 30..=110) && code % 10 == 0 => {}
                None => return Err(Malformed(format!("{code} is no event"))),
            },
        }
    }
    Ok(reply)
}
