//! The emulated registry: it streams revisions of the endpoint list to each gateway, on one socket per gateway.
//! Injected faults delay, withhold, drop or duplicate the updates.

mod update_stream;

use crate::context::EmulatorContext;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus, write};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use update_stream::{AnnouncedEndpoint, Update, UpdateStream};

/// The fault currently injected into the registry.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegistryFault {
    /// Seconds by which updates are delayed.
    pub delay: f64,
    /// Whether nothing is sent; updates made in the meantime are sent when the fault ends.
    pub stalled: bool,
    /// Whether every other revision is lost.
    pub loses_revisions: bool,
    /// Whether every update is sent twice.
    pub duplicates: bool,
}

/// A worker as the registry lists it.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    /// The worker's number.
    pub number: usize,
    /// Its entry in the endpoint list; the address is replaced by the one for the receiving gateway.
    pub entry: EndpointEntry,
    /// The worker's address for each gateway.
    pub addresses: Vec<SocketAddr>,
}

/// The update stream of one gateway.
struct Subscription {
    address: SocketAddr,
    sender: RefCell<Option<mpsc::UnboundedSender<Rc<Update>>>>,
    /// Updates made while the registry is stalled.
    stalled_updates: RefCell<Vec<Rc<Update>>>,
}

impl Subscription {
    fn send(&self, update: Rc<Update>) {
        if let Some(sender) = &*self.sender.borrow() {
            // A gateway that is not connected gets the complete list when it connects.
            let _ = sender.send(update);
        }
    }
}

/// An emulated registry.
pub struct Registry {
    context: Rc<EmulatorContext>,
    /// One per gateway.
    subscriptions: Vec<Subscription>,
    workers: RefCell<BTreeMap<usize, ListedWorker>>,
    revision: Cell<u64>,
    fault: Cell<RegistryFault>,
    /// Whether a fault makes the endpoint list appear empty.
    emptied: Cell<bool>,
}

impl Registry {
    /// Starts a registry without workers.
    ///
    /// # Errors
    /// It can't listen on loopback.
    pub async fn start(context: Rc<EmulatorContext>, gateways: usize) -> io::Result<Rc<Self>> {
        let (mut subscriptions, mut listeners) = (Vec::new(), Vec::new());
        for _ in 0..gateways {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let address = listener.local_addr()?;
            let (sender, stalled_updates) = (RefCell::default(), RefCell::default());
            subscriptions.push(Subscription { address, sender, stalled_updates });
            listeners.push(listener);
        }
        let registry = Rc::new(Self {
            context,
            subscriptions,
            workers: RefCell::default(),
            revision: Cell::new(0),
            fault: Cell::default(),
            emptied: Cell::new(false),
        });
        for (gateway, listener) in listeners.into_iter().enumerate() {
            spawn_local(registry.clone().accept(gateway, listener));
        }
        Ok(registry)
    }

    /// The address at which a gateway connects to the registry.
    #[must_use]
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.subscriptions[gateway].address
    }

    /// Replaces the injected fault; the default value is none.
    pub fn set_fault(&self, fault: RegistryFault) {
        self.fault.set(fault);
        if !fault.stalled {
            for subscription in &self.subscriptions {
                subscription.stalled_updates.take().into_iter().for_each(|update| subscription.send(update));
            }
        }
    }

    /// Adds or replaces the entries of workers, as one revision.
    pub fn list(self: &Rc<Self>, workers: Vec<ListedWorker>) {
        let numbers: Vec<_> = workers.iter().map(|worker| worker.number).collect();
        self.workers.borrow_mut().extend(workers.into_iter().map(|worker| (worker.number, worker)));
        self.publish(&numbers);
    }

    /// Changes a worker's status.
    pub fn set_status(self: &Rc<Self>, number: usize, status: EndpointStatus) {
        if let Some(worker) = self.workers.borrow_mut().get_mut(&number) {
            worker.entry.state = status;
        }
        self.publish(&[number]);
    }

    /// Publishes an empty list, or the true list again.
    pub fn set_emptied(self: &Rc<Self>, emptied: bool) {
        self.emptied.set(emptied);
        self.next_revision();
        for gateway in 0..self.subscriptions.len() {
            let update = self.update(gateway, None);
            self.schedule_send(gateway, update);
        }
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    /// Sends the entries of some workers to all gateways, as a new revision.
    fn publish(self: &Rc<Self>, numbers: &[usize]) {
        let revision = self.next_revision();
        let is_lost = self.fault.get().loses_revisions && revision.is_multiple_of(2);
        if is_lost || self.emptied.get() {
            return;
        }
        for gateway in 0..self.subscriptions.len() {
            let update = self.update(gateway, Some(numbers));
            self.schedule_send(gateway, update);
        }
    }

    /// Builds an update for a gateway: the complete list, or only the entries of some workers.
    fn update(&self, gateway: usize, only: Option<&[usize]>) -> Rc<Update> {
        let workers = self.workers.borrow();
        let is_selected = |worker: &&ListedWorker| only.is_none_or(|only| only.contains(&worker.number));
        let emptied = self.emptied.get();
        let entry_for = |worker: &ListedWorker| EndpointEntry {
            address: worker.addresses[gateway],
            ..worker.entry.clone()
        };
        let entries: Vec<EndpointEntry> = workers
            .values()
            .filter(|worker| !emptied && is_selected(worker))
            .filter(|worker| only.is_some() || worker.entry.state != EndpointStatus::Gone)
            .map(entry_for)
            .collect();
        let announced = |worker: &ListedWorker| AnnouncedEndpoint {
            worker: worker.number,
            ready: !emptied && worker.entry.state == EndpointStatus::Ready,
        };
        let endpoints = workers.values().filter(is_selected).map(announced).collect();
        let bytes = write(self.revision.get(), only.is_none(), &entries).into();
        Rc::new(Update { bytes, endpoints })
    }

    /// Sends an update to a gateway, subject to the injected fault.
    fn schedule_send(self: &Rc<Self>, gateway: usize, update: Rc<Update>) {
        let RegistryFault { delay, stalled, duplicates, .. } = self.fault.get();
        let registry = self.clone();
        spawn_local(async move {
            tokio::time::sleep(Duration::from_secs_f64(delay)).await;
            let subscription = &registry.subscriptions[gateway];
            if stalled {
                subscription.stalled_updates.borrow_mut().push(update);
                return;
            }
            subscription.send(update.clone());
            if duplicates {
                subscription.send(update);
            }
        });
    }

    async fn accept(self: Rc<Self>, gateway: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let registry = self.clone();
            spawn_local(async move {
                let service = service_fn(move |_: Request<Incoming>| {
                    let updates = registry.subscribe(gateway);
                    async move { Ok::<_, Infallible>(Response::new(updates)) }
                });
                // Connection errors are left to the gateway.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    /// Opens a new stream to a gateway, in place of the previous one; it starts with the complete list.
    fn subscribe(&self, gateway: usize) -> UpdateStream {
        let (sender, updates) = mpsc::unbounded_channel();
        let _ = sender.send(self.update(gateway, None));
        self.subscriptions[gateway].sender.replace(Some(sender));
        UpdateStream::new(self.context.clone(), gateway, updates)
    }
}
