//! What a call costs: the gateway as its users run it, a plain relay on the same stack that copies requests to one
//! worker, and the worker asked directly. Processes of their own, instant workers, interleaved in one run.
//!
//! `cargo bench -p milletpath --bench calls` prints calls a second, CPU a call, and what the gateway adds at 760
//! calls a second, with one core and with four; `-- --earlier PROGRAM` adds an earlier build.

mod load;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use load::{closed, cpu, gateway, local, open_loop, workers};
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Interleaved rounds, seconds of each, and connections of the closed loop.
const ROUNDS: usize = 5;
const SECONDS: f64 = 3.0;
const CONNECTIONS: usize = 32;

/// The baseline: a relay on the same stack, with kept connections to one worker and nothing decided.
async fn relay(worker: SocketAddr) {
    type Idle = Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>;
    async fn pass(idle: Idle, worker: SocketAddr, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.expect("a body").to_bytes();
        let kept = idle.borrow_mut().pop();
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(worker).await.expect("the worker");
                let _ = stream.set_nodelay(true);
                let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("a connection");
                spawn_local(connection);
                sender
            }
        };
        sender.ready().await.expect("a kept connection");
        let response =
            sender.send_request(Request::from_parts(parts, Full::new(body))).await.expect("an answer");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("an answer's body").to_bytes();
        idle.borrow_mut().push(sender);
        Response::from_parts(parts, Full::new(body))
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    println!("listening on http://{}", listener.local_addr().expect("an address"));
    let idle = Idle::default();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let idle = idle.clone();
        let service = service_fn(move |request| {
            let idle = idle.clone();
            async move { Ok::<_, Infallible>(pass(idle, worker, request).await) }
        });
        spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

fn middle(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let mut args = std::env::args().skip(1);
    if let Some("--relay") = args.next().as_deref() {
        let worker = args.next().and_then(|a| a.parse().ok()).expect("the worker's address");
        return local(relay(worker));
    }
    let workers = workers(4);
    // One core, as the relay.
    let gateway = gateway(&workers, 1);
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    command.arg("--relay").arg(workers[0].to_string());
    let relay = load::start(command);
    let (mut rates, mut costs) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
    for round in 0..ROUNDS {
        for (n, under) in [&gateway, &relay].into_iter().enumerate() {
            let before = cpu(under);
            let rate = closed(under.address, CONNECTIONS, SECONDS);
            let cost = (cpu(under) - before) * 1e6 / (rate * SECONDS);
            let name = ["gateway", "relay"][n];
            println!("round {round} {name:<8} {rate:>8.0} calls/s {cost:>7.1} us CPU a call");
            rates[n].push(rate);
            costs[n].push(cost);
        }
    }
    let ratio = |pairs: &[Vec<f64>; 2]| middle(pairs[0].iter().zip(&pairs[1]).map(|(a, b)| a / b).collect());
    println!("calls/s, gateway / relay: {:.2} (median of {ROUNDS})", ratio(&rates));
    println!("CPU a call, relay / gateway: {:.2} (median of {ROUNDS})", 1.0 / ratio(&costs));
    let wide = load::gateway(&workers, 4);
    let mut asked = vec![
        ("direct", workers[1]),
        ("gateway", gateway.address),
        ("relay", relay.address),
        ("4 cores", wide.address),
    ];
    let earlier = std::env::args().skip_while(|a| a != "--earlier").nth(1);
    let earlier = earlier.map(|program| load::gateway_of(&program, &workers, ""));
    asked.extend(earlier.as_ref().map(|e| ("earlier", e.address)));
    let (names, addresses): (Vec<_>, Vec<_>) = asked.into_iter().unzip();
    let found = open_loop(&addresses, 8.0 * addresses.len() as f64);
    for (name, h) in names.into_iter().zip(&found) {
        let at = |q| h.value_at_quantile(q) as f64 / 1e3;
        println!("760/s {name:<8} p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms", at(0.5), at(0.99), at(0.999));
    }
    let added = |q| (found[1].value_at_quantile(q) as f64 - found[0].value_at_quantile(q) as f64) / 1e3;
    println!("added by the gateway: p50 {:.3} ms, p99 {:.3} ms", added(0.5), added(0.99));
}
