//! Connects the routing decisions to a simulator: reads frames of events from standard input and writes a reply of actions to
//! standard output for each frame. The adapter only decodes, encodes and maps IDs; all decisions are made by
//! `milletpath_policy`.

mod error;
mod event;
mod event_batch;
mod id_map;
mod instance;
mod record;
mod reply;
mod session;

use error::WireError;
use event_batch::EventBatch;
use session::Session;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("milletpath-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches of events until the input ends.
fn serve() -> Result<(), WireError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut session = Session::default();
    while let Some(batch) = EventBatch::read(&mut input)? {
        let reply = session.answer(&batch)?;
        reply.write(&mut output).map_err(WireError::Write)?;
    }
    Ok(())
}
