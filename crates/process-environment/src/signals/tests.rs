use super::*;
use nix::sys::signal::{Signal, raise};
use tokio::time::{Duration, timeout};

/// A signal that arrives before `next` is called is received, three at once are reported as one, and a later one is
/// received again.
#[test]
fn signals_are_received_whenever_they_arrive() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let mut receiver = SignalReceiver::new(Signal::SIGUSR1 as i32).expect("a pipe");
        for times in [3, 1] {
            (0..times).for_each(|_| raise(Signal::SIGUSR1).expect("a signal"));
            receiver.next().await;
            assert!(timeout(Duration::from_millis(20), receiver.next()).await.is_err());
        }
    });
}
