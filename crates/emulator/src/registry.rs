//! The stand-in registry: it streams editions of the worker list to each gateway on a socket of that gateway's own,
//! late, stalled, with losses and repeats where the script says so.

use crate::context::EmulatorContext;
use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use milletpath_history_checker::HistoryEvent;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus, write};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// How the registry behaves at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegistryFault {
    /// Seconds by which lines come late.
    pub late: f64,
    /// Nothing is sent at all; what was held back comes when it ends.
    pub stalled: bool,
    /// Every other edition is lost.
    pub loses: bool,
    /// Every line comes twice.
    pub repeats: bool,
}

/// One line on its way, and what a gateway is told by it.
struct Line {
    bytes: Bytes,
    told: Vec<(usize, bool)>,
}

struct Gate {
    address: SocketAddr,
    sender: RefCell<Option<mpsc::UnboundedSender<Rc<Line>>>>,
    held_back: RefCell<Vec<Rc<Line>>>,
}

pub struct Registry {
    context: Rc<EmulatorContext>,
    gates: Vec<Gate>,
    /// Workers by number, with an address for each gateway.
    list: RefCell<BTreeMap<usize, (EndpointEntry, Vec<SocketAddr>)>>,
    edition: Cell<u64>,
    manner: Cell<RegistryFault>,
    /// A list that shows nobody: a trouble.
    emptied: Cell<bool>,
}

impl Registry {
    pub async fn start(context: Rc<EmulatorContext>, gateways: usize) -> io::Result<Rc<Self>> {
        let (mut gates, mut listeners) = (Vec::new(), Vec::new());
        for _ in 0..gateways {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let address = listener.local_addr()?;
            gates.push(Gate { address, sender: RefCell::default(), held_back: RefCell::default() });
            listeners.push(listener);
        }
        let registry = Rc::new(Self {
            context,
            gates,
            list: RefCell::default(),
            edition: Cell::new(0),
            manner: Cell::default(),
            emptied: Cell::new(false),
        });
        for (gateway, listener) in listeners.into_iter().enumerate() {
            spawn_local(registry.clone().accept(gateway, listener));
        }
        Ok(registry)
    }

    /// Where a gateway follows it.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.gates[gateway].address
    }

    pub fn manner(self: &Rc<Self>, manner: RegistryFault) {
        self.manner.set(manner);
        if !manner.stalled {
            for gate in &self.gates {
                gate.held_back.take().into_iter().for_each(|line| self.send(gate, line));
            }
        }
    }

    /// Lists a worker, or changes what is listed of it, and tells all gateways.
    pub fn put(self: &Rc<Self>, number: usize, entry: EndpointEntry, addresses: Vec<SocketAddr>) {
        self.list.borrow_mut().insert(number, (entry, addresses));
        self.publish(&[number]);
    }

    /// Lists several at once.
    pub fn put_all(self: &Rc<Self>, workers: Vec<(usize, EndpointEntry, Vec<SocketAddr>)>) {
        let numbers: Vec<_> = workers.iter().map(|(number, ..)| *number).collect();
        self.list.borrow_mut().extend(workers.into_iter().map(|(number, entry, at)| (number, (entry, at))));
        self.publish(&numbers);
    }

    /// Changes how a worker stands.
    pub fn stand(self: &Rc<Self>, number: usize, state: EndpointStatus) {
        if let Some((entry, _)) = self.list.borrow_mut().get_mut(&number) {
            entry.state = state;
        }
        self.publish(&[number]);
    }

    /// Shows an empty list, or the true one again.
    pub fn empty(self: &Rc<Self>, emptied: bool) {
        self.emptied.set(emptied);
        self.edition.set(self.edition.get() + 1);
        for gateway in 0..self.gates.len() {
            let line = self.line(gateway, None);
            self.pass(gateway, line);
        }
    }

    fn publish(self: &Rc<Self>, numbers: &[usize]) {
        self.edition.set(self.edition.get() + 1);
        if self.manner.get().loses && self.edition.get().is_multiple_of(2) || self.emptied.get() {
            return;
        }
        for gateway in 0..self.gates.len() {
            let line = self.line(gateway, Some(numbers));
            self.pass(gateway, line);
        }
    }

    /// The whole list for a gateway, or changes of some workers.
    fn line(&self, gateway: usize, numbers: Option<&[usize]>) -> Rc<Line> {
        let list = self.list.borrow();
        let shown = |n: &&usize| !self.emptied.get() && numbers.is_none_or(|only| only.contains(n));
        let numbers_shown: Vec<usize> = list.keys().filter(shown).copied().collect();
        let entries: Vec<EndpointEntry> = numbers_shown
            .iter()
            .map(|n| EndpointEntry { address: list[n].1[gateway], ..list[n].0.clone() })
            .filter(|e| numbers.is_some() || e.state != EndpointStatus::Gone)
            .collect();
        let told = list
            .iter()
            .filter(|(n, _)| numbers.is_none_or(|only| only.contains(n)))
            .map(|(n, (entry, _))| (*n, !self.emptied.get() && entry.state == EndpointStatus::Ready))
            .collect();
        let bytes = write(self.edition.get(), numbers.is_none(), &entries).into();
        Rc::new(Line { bytes, told })
    }

    fn pass(self: &Rc<Self>, gateway: usize, line: Rc<Line>) {
        let RegistryFault { late, stalled, repeats, .. } = self.manner.get();
        let registry = self.clone();
        spawn_local(async move {
            tokio::time::sleep(Duration::from_secs_f64(late)).await;
            let gate = &registry.gates[gateway];
            if stalled {
                gate.held_back.borrow_mut().push(line);
                return;
            }
            registry.send(gate, line.clone());
            if repeats {
                registry.send(gate, line);
            }
        });
    }

    fn send(&self, gate: &Gate, line: Rc<Line>) {
        if let Some(sender) = &*gate.sender.borrow() {
            // A gateway that is gone is told everything when it is back.
            let _ = sender.send(line);
        }
    }

    async fn accept(self: Rc<Self>, gateway: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let registry = self.clone();
            spawn_local(async move {
                let service = service_fn(move |_: Request<Incoming>| {
                    let stream = registry.clone().subscribe(gateway);
                    async move { Ok::<_, Infallible>(Response::new(stream)) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    fn subscribe(self: Rc<Self>, gateway: usize) -> Stream {
        let (sender, lines) = mpsc::unbounded_channel();
        let _ = sender.send(self.line(gateway, None));
        self.gates[gateway].sender.replace(Some(sender));
        Stream { registry: self, gateway, lines }
    }
}

/// The lines to one gateway, as a body without end.
struct Stream {
    registry: Rc<Registry>,
    gateway: usize,
    lines: mpsc::UnboundedReceiver<Rc<Line>>,
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.lines.poll_recv(cx).map(|line| {
            let line = line?;
            for &(worker, ready) in &line.told {
                self.registry.context.note(HistoryEvent::EndpointNotified {
                    gateway: self.gateway,
                    worker,
                    ready,
                });
            }
            Some(Ok(Frame::data(line.bytes.clone())))
        })
    }
}
