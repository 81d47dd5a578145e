//! Workers that answer immediately.

use super::block_on;
use super::http_message::skip_message;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// Starts workers, all on one new thread, and returns their addresses.
pub fn start_workers(count: usize) -> Vec<SocketAddr> {
    let (sender, addresses) = channel();
    std::thread::spawn(move || {
        block_on(async move {
            for _ in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                sender.send(listener.local_addr().expect("an address")).expect("the caller waits");
                spawn_local(accept(listener));
            }
            drop(sender);
            std::future::pending::<()>().await;
        });
    });
    addresses.iter().collect()
}

async fn accept(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        spawn_local(answer(stream));
    }
}

async fn answer(mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while skip_message(&mut stream, &mut buffer).await {
        if stream.write_all(RESPONSE).await.is_err() {
            break;
        }
    }
}
