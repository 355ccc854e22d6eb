//! What all parts of one run share.

use crate::discovery_mode::DiscoveryMode;
use crate::invariants::InvariantChecker;
use crate::plan::{BackendBehavior, BackendIndex, Plan};
use std::cell::{Cell, RefCell, RefMut};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// What discovery lists about a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Active,
    /// It finishes what it has.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// A backend of the cluster.
pub struct Backend {
    /// Its address.
    pub address: SocketAddr,
    /// What discovery lists.
    pub state: Cell<EndpointState>,
    /// When it started last, in Unix milliseconds; 0 for long ago.
    pub started_at_ms: Cell<u64>,
    /// The list's revision that changed it last.
    pub changed_in: Cell<u64>,
    /// How it treats requests.
    pub behavior: Cell<BackendBehavior>,
    /// Counts its starts: connections of an earlier one are reset.
    pub starts: watch::Sender<u64>,
    /// Requests in work or queued.
    pub in_flight: Cell<usize>,
}

/// The fleet of one run: its plan, its backends, how discovery and clients behave, and the checker of
/// its invariants.
pub struct TestCluster {
    /// What is run.
    pub plan: Plan,
    /// The backends.
    pub backends: Vec<Backend>,
    /// How discovery behaves.
    pub discovery_mode: watch::Sender<DiscoveryMode>,
    /// The revision of the endpoint list.
    pub list_revision: watch::Sender<u64>,
    /// Counts the times at which all open watches are reset.
    pub watch_resets: watch::Sender<u64>,
    /// Clients disconnect early.
    pub clients_impatient: Cell<bool>,
    /// Peers come that send no proper request.
    pub malformed_peers: Cell<bool>,
    /// Multiple of the usual rate at which requests come.
    pub crowd_factor: Cell<f64>,
    /// No more requests begin.
    pub traffic_ended: Cell<bool>,
    checker: RefCell<InvariantChecker>,
    /// Second octet of the run's addresses within 127.0.0.0/8.
    network: u8,
}

/// The groups into which a run's addresses are divided: their third octet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressGroup {
    /// Of nodes.
    Nodes,
    /// Of the nodes' admin servers.
    Admin,
    /// Of backends.
    Backends,
    /// Of discovery: a node that moves to another address of it gets one of the next generation.
    Discovery {
        /// Counts a node's addresses of discovery.
        generation: usize,
    },
}

impl AddressGroup {
    fn octet(self) -> u8 {
        match self {
            AddressGroup::Nodes => 1,
            AddressGroup::Admin => 3,
            AddressGroup::Backends => 2,
            AddressGroup::Discovery { generation } => 100 + (generation % 100) as u8,
        }
    }
}

/// A cluster, and the listeners of its backends in their order.
pub struct NewCluster {
    /// The cluster.
    pub cluster: Rc<TestCluster>,
    /// Where its backends accept connections.
    pub backend_listeners: Vec<TcpListener>,
}

impl TestCluster {
    /// Makes the cluster of a plan on a network of its own within 127.0.0.0/8.
    ///
    /// # Errors
    ///
    /// A backend's address cannot be bound.
    pub async fn create(plan: Plan, network: u8) -> std::io::Result<NewCluster> {
        let mut cluster = TestCluster {
            checker: RefCell::new(InvariantChecker::new(&plan)),
            backends: Vec::new(),
            discovery_mode: watch::Sender::new(DiscoveryMode::PROMPT),
            list_revision: watch::Sender::new(1),
            watch_resets: watch::Sender::new(0),
            clients_impatient: Cell::default(),
            malformed_peers: Cell::default(),
            crowd_factor: Cell::new(1.0),
            traffic_ended: Cell::default(),
            network,
            plan,
        };
        let mut backend_listeners = Vec::new();
        for index in 0..cluster.plan.backends {
            let address = cluster.address(AddressGroup::Backends, index);
            let listener = TcpListener::bind(address).await?;
            let state = if cluster.plan.joins_later(BackendIndex(index)) {
                EndpointState::Removed
            } else {
                EndpointState::Active
            };
            let backend = Backend::new(listener.local_addr()?, state);
            cluster.backends.push(backend);
            backend_listeners.push(listener);
        }
        Ok(NewCluster {
            cluster: Rc::new(cluster),
            backend_listeners,
        })
    }

    /// The checker of the run's invariants. Must not be held across an await.
    pub fn checker(&self) -> RefMut<'_, InvariantChecker> {
        self.checker.borrow_mut()
    }

    /// An address of the run's own, with the port left to the system.
    ///
    /// # Panics
    ///
    /// Panics if there are more than 255 members.
    pub fn address(&self, group: AddressGroup, member: usize) -> SocketAddr {
        let member = u8::try_from(member + 1).expect("a small fleet");
        (Ipv4Addr::new(127, self.network, group.octet(), member), 0).into()
    }

    /// Lists a backend as draining or removed.
    pub fn take_out(&self, backend: BackendIndex, state: EndpointState) {
        self.checker().backend_taken_out(backend);
        self.change_endpoint(backend, |backend| backend.state.set(state));
    }

    /// Restarts a backend under its id: its connections are reset and its slow start begins.
    pub fn restart_backend(&self, backend: BackendIndex) {
        self.checker().backend_started(backend);
        let started_at = unix_milliseconds();
        self.backends[backend.0]
            .starts
            .send_modify(|starts| *starts += 1);
        self.backends[backend.0].in_flight.set(0);
        self.change_endpoint(backend, |backend| backend.started_at_ms.set(started_at));
    }

    /// Lists a backend that has just started and was not listed before.
    pub fn join_backend(&self, backend: BackendIndex) {
        self.checker().backend_started(backend);
        let started_at = unix_milliseconds();
        self.change_endpoint(backend, |backend| {
            backend.started_at_ms.set(started_at);
            backend.state.set(EndpointState::Active);
        });
    }

    /// Changes a backend's entry in the endpoint list.
    fn change_endpoint(&self, backend: BackendIndex, change: impl FnOnce(&Backend)) {
        let revision = *self.list_revision.borrow() + 1;
        let backend = &self.backends[backend.0];
        change(backend);
        backend.changed_in.set(revision);
        self.list_revision.send_replace(revision);
    }
}

impl Backend {
    fn new(address: SocketAddr, state: EndpointState) -> Self {
        Backend {
            address,
            state: Cell::new(state),
            started_at_ms: Cell::new(0),
            changed_in: Cell::new(1),
            behavior: Cell::new(BackendBehavior::Normal),
            starts: watch::Sender::new(0),
            in_flight: Cell::new(0),
        }
    }
}

fn unix_milliseconds() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
