//! Memory use of a gateway after one call to each of a million functions, and with 100,000 idle client connections. The
//! gateway is a separate process, whose resident memory is read from /proc.
//!
//! Run it with `cargo bench -p milletpath --bench memory`. It raises the limit of open files as far as permitted; a
//! lower limit reduces the number of connections.

use milletpath_emulator::gateway_process::GatewayProcess;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// Number of functions, each of which is called once.
const FUNCTION_COUNT: usize = 1_000_000;

/// Number of steps into which the calls are divided; memory is measured after each.
const STEPS: usize = 10;

/// Number of threads that call functions.
const CLIENT_THREADS: usize = 8;

/// Number of idle client connections, if the limit of open files permits.
const IDLE_CONNECTIONS: usize = 100_000;

/// Number of open files reserved for purposes other than client connections.
const OTHER_FILES: u64 = 500;

/// Number of connections from one client address, limited by its number of ports.
const CONNECTIONS_PER_ADDRESS: usize = 20_000;

/// Starts a worker that answers immediately, with a thread for each connection.
fn start_worker() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer(stream));
        }
    });
    address
}

/// Answers the requests on one connection. They have no body, so an empty line ends each.
fn answer(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let reader = BufReader::new(stream.try_clone().expect("a handle"));
    for line in reader.lines().map_while(Result::ok) {
        if line.is_empty() && stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").is_err() {
            return;
        }
    }
}

fn start_gateway(worker: SocketAddr) -> GatewayProcess {
    let path = std::env::temp_dir().join(format!("milletpath-memory-{}.hcl", std::process::id()));
    let text = format!(
        "listen = \"127.0.0.1:0\"\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nfunctions {{ lanes = 64 }}\n\
         workers {{\n  orders = false\n  worker \"w\" {{ address = \"{worker}\" }}\n}}\nlimits {{ connections = 200000 }}\n"
    );
    std::fs::write(&path, text).expect("a configuration file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_milletpath"));
    command.arg("serve").arg("--charter").arg(&path).stderr(Stdio::null());
    GatewayProcess::start(command).expect("the gateway starts")
}

/// Returns the resident memory of a process in MB.
fn resident_memory(process: &Child) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    let kilobytes = line.split_whitespace().next().and_then(|number| number.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}

/// Raises the limit of open files as far as permitted, and returns the resulting limit.
fn raise_file_limit() -> u64 {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("a limit");
    let wanted = 2 * IDLE_CONNECTIONS as u64 + 1000;
    // Only a privileged process may raise the hard limit; otherwise the soft limit is raised up to it.
    let raised = setrlimit(Resource::RLIMIT_NOFILE, wanted, wanted.max(hard)).is_ok();
    let files = if raised { wanted } else { hard };
    let _ = setrlimit(Resource::RLIMIT_NOFILE, files, files.max(hard));
    files
}

/// Calls each function in a range once, and returns the number of calls that succeeded.
fn call_functions(gateway: SocketAddr, functions: Range<usize>) -> usize {
    let mut stream = TcpStream::connect(gateway).expect("the gateway listens");
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut succeeded) = ([0u8; 4096], 0);
    for n in functions {
        let request = format!(
            "POST /v1/functions/once-{n}/activations HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).expect("the gateway reads");
        let size = stream.read(&mut buffer).expect("a response");
        succeeded += usize::from(buffer[..size].starts_with(b"HTTP/1.1 200"));
    }
    succeeded
}

fn measure_functions(gateway: &GatewayProcess) {
    let (address, start) = (gateway.address, Instant::now());
    let per_step = FUNCTION_COUNT / STEPS;
    let per_client = per_step / CLIENT_THREADS;
    for step in 0..STEPS {
        let first_of = |client| step * per_step + client * per_client;
        let call =
            |first: usize| std::thread::spawn(move || call_functions(address, first..first + per_client));
        let clients: Vec<_> = (0..CLIENT_THREADS).map(|client| call(first_of(client))).collect();
        let succeeded: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
        println!(
            "{} functions called once after {:.0} s ({succeeded} of the last succeeded): {:.1} MB",
            (step + 1) * per_step,
            start.elapsed().as_secs_f64(),
            resident_memory(&gateway.child)
        );
    }
}

/// Opens a connection from one of several client addresses, and sends one request on it.
fn open_connection(gateway: SocketAddr, number: usize) -> TcpStream {
    let host = (number / CONNECTIONS_PER_ADDRESS) as u8 + 1;
    let from = SocketAddr::from((Ipv4Addr::new(127, 0, 1, host), 0));
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&from.into()).expect("an address");
    socket.connect(&gateway.into()).expect("the gateway listens");
    let mut stream: TcpStream = socket.into();
    stream.write_all(b"GET /health/live HTTP/1.1\r\nhost: g\r\n\r\n").expect("the gateway reads");
    let _ = stream.read(&mut [0u8; 1024]);
    stream
}

fn measure_idle_connections(gateway: &GatewayProcess, count: usize) {
    let before = resident_memory(&gateway.child);
    let connections: Vec<_> = (0..count).map(|number| open_connection(gateway.address, number)).collect();
    let after = resident_memory(&gateway.child);
    let each = (after - before) * 1024.0 / count as f64;
    println!("{count} idle client connections: {before:.1} to {after:.1} MB, {each:.1} KB each");
    drop(connections);
}

fn main() {
    let files = raise_file_limit();
    let gateway = start_gateway(start_worker());
    println!("at the start: {:.1} MB", resident_memory(&gateway.child));
    measure_functions(&gateway);
    measure_idle_connections(&gateway, IDLE_CONNECTIONS.min((files - OTHER_FILES) as usize));
}
