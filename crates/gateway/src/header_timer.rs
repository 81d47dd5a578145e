//! The time limit for receiving a request's head. Before it expires, it checks the socket for unread bytes: after the
//! process was suspended (SIGSTOP), `epoll_wait` returns EINTR without events, and the runtime fires expired timers
//! before it knows which sockets are readable. Closing a connection at that point would lose a request that has already
//! arrived.

use crate::response_channel::ResponseChannel;
use hyper::rt::{Sleep, Timer};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Time given to the runtime to detect unread bytes.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of rechecks after which the limit applies in any case, because a client that sends its header byte by byte
/// must not keep the connection open forever.
const MAX_RECHECKS: u32 = 10;

/// The timer that hyper uses for the header timeout of one client connection.
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
