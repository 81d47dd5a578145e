//! Many workers in one process: `fleet_workers COUNT` prints the address of each, then a line for each request that
//! runs, and ends with its standard input. A request takes 50 ms.

use review_standins::frames;
use review_standins::worker::{Run, serve};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::Duration;

#[repr(C)]
struct PollFd {
    descriptor: i32,
    events: i16,
    returned: i16,
}

unsafe extern "C" {
    fn poll(descriptors: *mut PollFd, count: u64, timeout_ms: i32) -> i32;
}

fn main() {
    let count: usize = std::env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(1);
    let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let mut addresses = String::new();
    for listener in &listeners {
        listener.set_nonblocking(true).unwrap();
        addresses += &format!("{}\n", listener.local_addr().unwrap());
    }
    std::io::stdout().write_all(addresses.as_bytes()).unwrap();
    std::thread::spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    let run: Run = Arc::new(|index, frame| {
        let _ = writeln!(std::io::stdout(), "{index} {:016x}", frame.id);
        std::thread::sleep(Duration::from_millis(50));
        Some((frames::OK, b"done".to_vec()))
    });
    let polled = |listener: &TcpListener| PollFd { descriptor: listener.as_raw_fd(), events: 1, returned: 0 };
    let mut descriptors: Vec<_> = listeners.iter().map(polled).collect();
    loop {
        // SAFETY: the array is valid and has as many elements as stated.
        unsafe { poll(descriptors.as_mut_ptr(), descriptors.len() as u64, 1000) };
        for (index, _) in descriptors.iter().enumerate().filter(|(_, descriptor)| descriptor.returned != 0) {
            while let Ok((stream, _)) = listeners[index].accept() {
                let _ = stream.set_nonblocking(false);
                let run = run.clone();
                std::thread::spawn(move || serve(index, stream, &run));
            }
        }
    }
}
