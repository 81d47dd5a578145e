//! What a gateway keeps in memory: after a million functions wanted once, and with 100,000 idle client connections.
//! The gateway is a process of its own; its resident memory is read from /proc.
//!
//! `cargo bench -p milletpath --bench memory`; the limit of open files is raised where that is allowed, and the count
//! of connections follows it.

use milletpath_emulator::gateway_process::GatewayProcess;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

const ONE_OFFS: usize = 1_000_000;
const IDLE: usize = 100_000;
const CLIENTS: usize = 8;

/// One worker that answers at once, a thread for each connection.
fn worker() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                let mut out = stream;
                let mut line = String::new();
                // Calls here have no body: an empty line ends each.
                while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                    if line == "\r\n"
                        && out.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").is_err()
                    {
                        return;
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

fn gateway(worker: SocketAddr) -> GatewayProcess {
    let path = std::env::temp_dir().join(format!("milletpath-memory-{}.hcl", std::process::id()));
    let text = format!(
        "listen = \"127.0.0.1:0\"\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nfunctions {{ lanes = 64 }}\n\
         workers {{\n  orders = false\n  worker \"w\" {{ address = \"{worker}\" }}\n}}\nlimits {{ connections = 200000 }}\n"
    );
    std::fs::write(&path, text).expect("a charter");
    let mut command = Command::new(env!("CARGO_BIN_EXE_milletpath"));
    command.arg("serve").arg("--charter").arg(&path).stderr(Stdio::null());
    GatewayProcess::start(command).expect("the gateway starts")
}

/// Resident memory in MB.
fn resident(child: &Child) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
    line.split_whitespace().next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// Calls each of so many functions once.
fn one_offs(at: SocketAddr, which: std::ops::Range<usize>) -> usize {
    let mut stream = TcpStream::connect(at).expect("the gateway");
    let _ = stream.set_nodelay(true);
    let (mut bytes, mut handled) = ([0u8; 4096], 0);
    for n in which {
        let call = format!(
            "POST /v1/functions/once-{n}/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(call.as_bytes()).expect("it is taken");
        let read = stream.read(&mut bytes).expect("an answer");
        handled += usize::from(bytes[..read].starts_with(b"HTTP/1.1 200"));
    }
    handled
}

fn main() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    let wanted = 2 * IDLE as u64 + 1000;
    // Root may raise the hard limit as well; otherwise what there is must do.
    let raised = setrlimit(Resource::RLIMIT_NOFILE, wanted, wanted.max(hard)).is_ok();
    let files = if raised { wanted } else { hard };
    let _ = setrlimit(Resource::RLIMIT_NOFILE, files, files.max(hard));
    let running = gateway(worker());
    let (child, at) = (&running.child, running.address);
    println!("at the start: {:.1} MB", resident(child));
    let began = Instant::now();
    for part in 0..10 {
        let step = ONE_OFFS / 10 / CLIENTS;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|c| {
                let from = part * ONE_OFFS / 10 + c * step;
                std::thread::spawn(move || one_offs(at, from..from + step))
            })
            .collect();
        let handled: usize = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
        let (done, seconds) = ((part + 1) * ONE_OFFS / 10, began.elapsed().as_secs_f64());
        println!(
            "{done} one-off functions after {seconds:.0} s ({handled} of the last handled): {:.1} MB",
            resident(child)
        );
    }
    let idle = IDLE.min(files as usize - 500);
    let before = resident(child);
    // One call each, so that each connection was in use; from several addresses, as ports are few.
    let mut kept = Vec::with_capacity(idle);
    for n in 0..idle {
        let from = SocketAddr::from((Ipv4Addr::new(127, 0, 1, (n / 20_000) as u8 + 1), 0));
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&from.into()).expect("an address");
        socket.connect(&at.into()).expect("the gateway");
        let mut stream: TcpStream = socket.into();
        stream.write_all(b"GET /health/live HTTP/1.1\r\nhost: g\r\n\r\n").expect("it is taken");
        let mut bytes = [0u8; 1024];
        let _ = stream.read(&mut bytes);
        kept.push(stream);
    }
    let after = resident(child);
    let each = (after - before) * 1024.0 / idle as f64;
    println!("{idle} idle client connections: {before:.1} to {after:.1} MB, {each:.1} KB each");
    drop(kept);
}
