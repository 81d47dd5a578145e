//! What is known of each request: its time, and the attempts that were made for it.

/// One attempt of a request at a worker.
#[derive(Clone, Copy)]
pub(crate) struct Shot {
    pub(crate) worker: usize,
    /// The worker's zone and cell then: those who know the receipt, whatever the list says of its name later.
    pub(crate) zone: usize,
    pub(crate) cell: usize,
    pub(crate) sent: f64,
    pub(crate) out: bool,
    /// Known never to have run.
    pub(crate) never_ran: bool,
    /// Sent to an instance believed to be there.
    pub(crate) warm: bool,
}

pub(crate) struct Activation {
    pub(crate) function: usize,
    pub(crate) profile: usize,
    pub(crate) client: usize,
    /// When it arrived, and when its client gives up.
    pub(crate) taken: f64,
    pub(crate) until: f64,
    /// The final answer is owed.
    pub(crate) open: bool,
    /// Beyond the share of its client group.
    pub(crate) over_share: bool,
    /// When its client group's ceiling let it through.
    pub(crate) passed: f64,
    /// Seconds after which its client may come again, where the ceiling does not let it through.
    pub(crate) away: Option<f64>,
    pub(crate) shots: Vec<Shot>,
}

impl Activation {
    /// Whether a shot is out.
    pub(crate) fn shot_out(&self) -> bool {
        self.shots.iter().any(|s| s.out)
    }
}

/// All requests that are not let go of yet, under the host's index.
#[derive(Default)]
pub(crate) struct Activations {
    activations: Vec<Option<Activation>>,
}

impl Activations {
    pub(crate) fn insert(&mut self, id: usize, activation: Activation) {
        self.activations.resize_with(self.activations.len().max(id + 1), || None);
        self.activations[id] = Some(activation);
    }

    pub(crate) fn get(&self, id: usize) -> Option<&Activation> {
        self.activations.get(id)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, id: usize) -> Option<&mut Activation> {
        self.activations.get_mut(id)?.as_mut()
    }

    pub(crate) fn take(&mut self, id: usize) -> Option<Activation> {
        self.activations.get_mut(id)?.take()
    }
}
