//! Bounds the passes that a task's loop makes before all other tasks run. Waiting for a socket that is ready returns at
//! once and takes nothing from the runtime's task budget, so a loop that waits for such a socket would never give way.

/// Units of the task budget that a pass takes: a quarter of what the runtime grants for one poll. A task that is woken
/// for one event makes two passes, one that reads or writes and one that finds the socket not ready.
const PASS_COST: usize = 32;

/// Ends a pass of a task's loop. Once the budget of the poll is used up, every task that is ready runs before the next
/// pass, and the runtime looks at its sockets and timers.
pub(crate) async fn end_pass() {
    for _ in 0..PASS_COST {
        tokio::task::consume_budget().await;
    }
}

#[cfg(test)]
mod tests;
