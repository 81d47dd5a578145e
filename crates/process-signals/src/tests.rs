use super::*;
use nix::sys::signal::{Signal, raise};
use tokio::time::{Duration, timeout};

/// A signal that comes before anybody waits is heard, three at once are one, and the next is heard anew.
#[test]
fn signals_are_heard_whenever_they_come() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let mut heard = Heard::new(Signal::SIGUSR1 as i32).expect("a pipe");
        for times in [3, 1] {
            (0..times).for_each(|_| raise(Signal::SIGUSR1).expect("a signal"));
            heard.next().await;
            assert!(timeout(Duration::from_millis(20), heard.next()).await.is_err());
        }
    });
}
