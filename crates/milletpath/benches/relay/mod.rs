//! The baseline of the bench: a relay on the gateway's HTTP stack, which forwards each request to one worker over
//! reused connections, without any routing decisions.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The flag with which the bench starts itself as the relay, followed by the worker's address.
pub const FLAG: &str = "--relay";

/// Idle connections to the worker.
type IdleConnections = Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>;

/// Prints the relay's address, and forwards requests to the worker until the process is killed.
pub async fn run(worker: SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    println!("listening on http://{}", listener.local_addr().expect("an address"));
    let idle = IdleConnections::default();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let idle = idle.clone();
        let service = service_fn(move |request| {
            let idle = idle.clone();
            async move { Ok::<_, Infallible>(relay(idle, worker, request).await) }
        });
        spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn relay(
    idle: IdleConnections,
    worker: SocketAddr,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.expect("the request's body").to_bytes();
    let connection = idle.borrow_mut().pop();
    let mut connection = match connection {
        Some(connection) => connection,
        None => connect(worker).await,
    };
    connection.ready().await.expect("an idle connection");
    let request = Request::from_parts(parts, Full::new(body));
    let response = connection.send_request(request).await.expect("a response");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("the response's body").to_bytes();
    idle.borrow_mut().push(connection);
    Response::from_parts(parts, Full::new(body))
}

async fn connect(worker: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(worker).await.expect("the worker");
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("a connection");
    spawn_local(connection);
    sender
}
