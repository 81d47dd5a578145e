//! The task of a client connection, which waits for socket readiness.

use crate::pass_limit::end_pass;
use crate::platform_router::SharedRouter;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Serves the connection in a slot until it is closed.
pub(super) async fn serve_client(router: SharedRouter, slot: usize, stream: Rc<TcpStream>, wake: Rc<Notify>) {
    loop {
        let (reads, writes) = {
            let mut router = router.borrow_mut();
            let client = router.clients.get(slot).filter(|client| Rc::ptr_eq(&client.stream, &stream));
            let Some(client) = client else { return };
            let (closing, writes) = (client.closing, client.write_buffer.remaining() > 0);
            (router.update_reading(slot) && !closing, writes)
        };
        tokio::select! {
            _ = stream.readable(), if reads => router.borrow_mut().on_client_readable(slot),
            _ = stream.writable(), if writes => router.borrow_mut().flush_client(slot),
            () = wake.notified() => {}
        }
        end_pass().await;
    }
}
