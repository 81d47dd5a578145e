//! The time limit on a client's header fields. It asks the socket before it expires: after the process was suspended
//! (SIGSTOP) `epoll_wait` returns EINTR without events, and the runtime fires the timers that fell due before it knows
//! which sockets are readable. A connection closed at that point would lose the request that it brought.

use crate::response_channel::ResponseChannel;
use hyper::rt::{Sleep, Timer};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Time in which the runtime learns of unread bytes.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Rechecks after which the limit holds in any case: a client that sends its fields bit by bit must not keep the
/// connection for ever.
const MAX_RECHECKS: u32 = 10;

/// The timer that hyper uses for one client connection.
pub struct HeaderTimer(pub Arc<ResponseChannel>);

impl Timer for HeaderTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let sleep = Box::pin(tokio::time::sleep_until(deadline.into()));
        Box::pin(HeaderDeadline { channel: self.0.clone(), sleep, rechecks: 0 })
    }
}

struct HeaderDeadline {
    channel: Arc<ResponseChannel>,
    sleep: Pin<Box<tokio::time::Sleep>>,
    rechecks: u32,
}

impl Sleep for HeaderDeadline {}

impl Future for HeaderDeadline {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        while self.sleep.as_mut().poll(context).is_ready() {
            if self.rechecks >= MAX_RECHECKS || !self.channel.has_unread() {
                return Poll::Ready(());
            }
            self.rechecks += 1;
            let again = tokio::time::Instant::now() + RECHECK_INTERVAL;
            self.sleep.as_mut().reset(again);
        }
        Poll::Pending
    }
}
