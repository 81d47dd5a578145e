//! What a run and its host processes say to each other: one JSON object a line, orders on the host's standard
//! input, what it tells on its standard output. A host ends when its input does.

use crate::membership_tracker::ReportedState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostCommand {
    /// Comes first, and once.
    Plan {
        /// The plan's text, and the number of gateways and the seed where they are not its own.
        text: String,
        gateways: usize,
        seed: u64,
        places: AddressMap,
    },
    Begin {
        gateway: usize,
    },
    /// End, with a word to the others or killed.
    End {
        gateways: Vec<usize>,
        killed: bool,
    },
    /// One edition of the worker list for all gateways there: these workers are there, in that generation, or
    /// gone.
    List {
        workers: Vec<usize>,
        generation: u32,
        there: bool,
    },
    /// Tell the readings.
    Read {
        number: u64,
    },
}

/// One event: observer, about, what it says, and when.
pub type Event = (u32, u32, ReportedState, f64);

/// A gateway has in force all changes up to a number, and when.
pub type Change = (u32, u64, f64);

/// Where all of a run is: what charters state beside the plan's figures.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AddressMap {
    /// Where each gateway is reached by the others, and each control machine by all.
    pub links: Vec<SocketAddr>,
    pub control: Vec<SocketAddr>,
    /// Keys, and what gateways keep.
    pub folder: PathBuf,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StatusMessage {
    Began {
        gateway: usize,
        /// Where it hears other gateways, and changes.
        link: Option<SocketAddr>,
        feed: Option<SocketAddr>,
        at: f64,
    },
    /// It could not begin, or its control thread ended by itself.
    Failed {
        gateway: usize,
        why: String,
    },
    Ended {
        gateway: usize,
        at: f64,
    },
    Events(Vec<Event>),
    Changed(Vec<Change>),
    /// An edition is taken by all gateways there: the processor time that it took at the slowest.
    Listed {
        workers: usize,
        slowest: f64,
    },
    Readings {
        number: u64,
        readings: Vec<Reading>,
    },
}

/// What one hollow gateway used and had; times and counts since it began.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reading {
    pub gateway: usize,
    pub at: f64,
    pub control: f64,
    pub desk: f64,
    pub likely: f64,
    pub lows: Vec<Minimum>,
    pub changes: Option<Following>,
}

/// The follower of changes: when it was read, its thread's processor time, and what is in force.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Following {
    pub at: f64,
    pub cpu: f64,
    pub number: u64,
    pub digest: u64,
}

/// The least that it could use at every moment of a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Minimum {
    pub second: u64,
    #[serde(rename = "part")]
    pub fraction: f64,
    /// By budget: its part by the count alone, and what it might use.
    pub budgets: BTreeMap<String, (f64, f64)>,
}
