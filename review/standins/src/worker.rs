//! Workers: they load a function on its first request, run requests side by side, and answer probes and orders.

use crate::frames::{self, Frame};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// What a worker does with a request. It is called on a thread of its own; the result is the answer, `None` for an
/// answer that never arrives.
pub type Run = Arc<dyn Fn(usize, &Frame) -> Option<(u8, Vec<u8>)> + Send + Sync>;

/// Starts the worker with this index and returns its address.
pub fn start(index: usize, run: Run) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let run = run.clone();
            std::thread::spawn(move || serve(index, stream, &run));
        }
    });
    address
}

/// Serves one connection until it ends.
pub fn serve(index: usize, mut stream: TcpStream, run: &Run) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    loop {
        let frame = frames::read(&mut stream).ok()?;
        let (id, writer) = (frame.id, writer.clone());
        let write = move |code, fields: &str, body: &[u8]| {
            let _ = writer.lock().unwrap().write_all(&frames::answer(code, id, fields, body));
        };
        match frame.code {
            frames::ATTEMPT => {
                let run = run.clone();
                std::thread::spawn(move || {
                    if let Some((code, body)) = run(index, &frame) {
                        write(code, "use=q:0;x1:0;x0:0.1", &body);
                    }
                });
            }
            frames::PROBE | frames::PROBE_WITH_LOAD => write(frames::HEALTHY, "use=q:0;x1:0;x0:0.1", b""),
            frames::LOAD => write(frames::OK, "n=1", b""),
            _ => {}
        }
    }
}
