//! A client that proposes configuration changes as `milletpath change` does.

use super::{ControlError, client};
use crate::child_message::ChildMessage;
use crate::host_protocol::AddressMap;
use crate::proposal::{ProposalError, ScheduledChange};
use milletpath_config_log::{Change, Outcome};
use milletpath_gateway::control_client::{Client, ProposalOutcome, random_id};
use milletpath_gateway::hollow_gateway::clock;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

/// Number of concurrent authors. Each waits for the outcome of a change before it proposes the next.
pub const AUTHOR_COUNT: usize = 24;

/// How long before a proposal is due an author looks up the current value of its key, in seconds.
pub const LOOKUP_LEAD_SECONDS: f64 = 0.8;

/// Upper bound on the time that an author spends on one change, in seconds.
pub const MAX_PROPOSAL_SECONDS: f64 = 20.0;

/// Number of functions whose settings are changed in turn.
const FUNCTION_COUNT: usize = 256;

/// An author with its own socket.
pub struct Author {
    client: Client,
}

impl Author {
    /// Opens the socket of an author.
    ///
    /// # Errors
    ///
    /// The client of the control machines can't be opened.
    pub fn new(addresses: &AddressMap) -> Result<Self, ControlError> {
        Ok(Self { client: client(addresses, &addresses.control_machines)? })
    }

    /// Address of the author's socket.
    ///
    /// # Errors
    ///
    /// The system doesn't return the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.client.address()
    }

    /// Proposes changes one after another from a new thread. Each outcome is sent to `messages`.
    ///
    /// # Errors
    ///
    /// The system can't create another thread.
    pub fn start(self, changes: Vec<ScheduledChange>, messages: SyncSender<ChildMessage>) -> io::Result<()> {
        std::thread::Builder::new().name("author".into()).spawn(move || {
            for scheduled in changes {
                sleep_until(scheduled.due_at - LOOKUP_LEAD_SECONDS);
                // After the run has ended nobody receives.
                let _ = messages.send(self.propose(scheduled));
            }
        })?;
        Ok(())
    }

    /// Proposes one change when it is due and returns its outcome.
    fn propose(&self, ScheduledChange { change: number, due_at }: ScheduledChange) -> ChildMessage {
        let finished = |proposed_at, outcome| {
            let (change, finished_at) = (number, clock());
            ChildMessage::ProposalFinished { change, proposed_at, finished_at, outcome }
        };
        let (key, text) = change_text(number);
        let Some(current) = self.client.get(&key) else {
            return finished(clock(), Err(ProposalError::NoAnswer));
        };
        sleep_until(due_at);
        let change = Change { id: random_id(), key, text: Some(text), replaces: current.number };
        let proposed_at = clock();
        let outcome = self.client.propose(&change, current.from);
        finished(proposed_at, self.committed_number(&change, outcome))
    }

    /// Returns the number in the log under which a change was committed.
    fn committed_number(&self, change: &Change, outcome: ProposalOutcome) -> Result<u64, ProposalError> {
        match outcome {
            ProposalOutcome::Decided(Outcome::Committed(number)) => Ok(number),
            // If a proposal was sent twice, the second transmission may find that the first one was committed.
            ProposalOutcome::Decided(Outcome::Superseded(by)) => match self.client.get(&change.key) {
                Some(current) if current.text == change.text => Ok(current.number),
                _ => Err(ProposalError::Superseded { by }),
            },
            ProposalOutcome::Decided(other) => Err(ProposalError::NotCommitted(other)),
            ProposalOutcome::Denied(reason) => Err(ProposalError::Denied { reason }),
            ProposalOutcome::Unanswered => Err(ProposalError::Unanswered),
        }
    }
}

/// Returns the key and the new text of a change. All texts for one key differ, so that each change has an effect.
fn change_text(change: usize) -> (String, String) {
    let function = change % FUNCTION_COUNT;
    let (lanes, memory) = (1 + change % 4, 64 + change % 1_000);
    let key = format!("function scale-{function}");
    (key, format!("function \"scale-{function}\" {{\n  lanes = {lanes}\n  memory = {memory}\n}}"))
}

fn sleep_until(at: f64) {
    std::thread::sleep(Duration::from_secs_f64((at - clock()).max(0.0)));
}
