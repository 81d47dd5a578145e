//! Bounds the passes that a task's loop makes before all other tasks run. Waiting for a socket that is ready returns at
//! once and takes nothing from the runtime's task budget, so a loop that waits for such a socket would never give way.

/// Maximum number of passes in a row: twice one that reads and one that finds the socket not ready.
const MAX_PASSES: usize = 4;

/// Counts the passes of one loop.
#[derive(Debug, Default)]
pub(crate) struct PassLimit {
    passes: usize,
}

impl PassLimit {
    /// Ends a pass. At the limit, every task that is ready runs before the next pass, and the runtime looks at its sockets
    /// and timers.
    pub async fn end_pass(&mut self) {
        self.passes += 1;
        if self.passes >= MAX_PASSES {
            self.passes = 0;
            tokio::task::yield_now().await;
        }
    }
}

#[cfg(test)]
mod tests;
