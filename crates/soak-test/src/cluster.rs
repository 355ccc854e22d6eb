//! The state that all tasks of one run share: its plan, its backends, the behavior of discovery and
//! clients, and the invariant checker.

use crate::discovery_mode::DiscoveryMode;
use crate::invariants::InvariantChecker;
use crate::plan::{BackendBehavior, BackendIndex, Plan};
use std::cell::{Cell, RefCell, RefMut};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// State of a backend in discovery's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Listed as accepting requests.
    Active,
    /// Listed as draining: it finishes the requests that it has and should get no new ones.
    Draining,
    /// Not listed: it has been removed, or has not joined yet.
    Removed,
}

/// A simulated backend of the cluster.
pub struct Backend {
    /// Address at which it accepts connections; it stays the same when the backend restarts.
    pub address: SocketAddr,
    /// Its state in the endpoint list.
    pub state: Cell<EndpointState>,
    /// When it started or joined last during the run, in Unix milliseconds; 0 if it was already up
    /// before the run, long enough for its slow start to be over.
    pub started_at_ms: Cell<u64>,
    /// Revision of the endpoint list in which its entry changed last.
    pub changed_at_revision: Cell<u64>,
    /// How it treats requests at present.
    pub behavior: Cell<BackendBehavior>,
    /// Number of its restarts. A change resets the connections made before it.
    pub restart_count: watch::Sender<u64>,
    /// Number of requests that it is executing or that wait for one of its cores.
    pub in_flight: Cell<usize>,
}

/// The cluster of one run: its plan, its backends, how discovery and clients behave at present, and
/// the checker of its invariants.
pub struct TestCluster {
    /// The plan that is run.
    pub plan: Plan,
    /// All backends of the plan, by [`BackendIndex`], listed or not.
    pub backends: Vec<Backend>,
    /// How discovery behaves at present. Changed by
    /// [`discovery::set_mode`](crate::discovery::set_mode), which tells the checker as well.
    pub discovery_mode: watch::Sender<DiscoveryMode>,
    /// Current revision of the endpoint list, from 1.
    pub list_revision: watch::Sender<u64>,
    /// Number of times that discovery has reset all of its open connections.
    pub watch_resets: watch::Sender<u64>,
    /// Whether some clients disconnect before their response.
    pub clients_impatient: Cell<bool>,
    /// Whether some of the requests are replaced by peers that send a malformed or incomplete
    /// request.
    pub malformed_peers: Cell<bool>,
    /// Request rate as a multiple of the plan's; usually 1.
    pub request_rate_multiple: Cell<f64>,
    /// Whether the traffic is over. Open-loop clients then start no further requests; idle-timeout
    /// clients check it only after the first request of each round.
    pub traffic_ended: Cell<bool>,
    checker: RefCell<InvariantChecker>,
    /// Second octet of all addresses of the run, which are within 127.0.0.0/8.
    network: u8,
}

/// A group of a run's addresses. Each group has a third octet of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressGroup {
    /// Addresses at which nodes accept clients.
    Nodes,
    /// Addresses of the nodes' admin servers.
    Admin,
    /// Addresses at which backends accept connections.
    Backends,
    /// Addresses of discovery. A node whose discovery address changes gets one of the next
    /// generation.
    Discovery {
        /// Number of discovery addresses that the node has had before. Generations that differ by a
        /// multiple of 100 share a third octet.
        generation: usize,
    },
}

impl AddressGroup {
    /// Returns the third octet of the group's addresses.
    fn third_octet(self) -> u8 {
        match self {
            AddressGroup::Nodes => 1,
            AddressGroup::Admin => 3,
            AddressGroup::Backends => 2,
            AddressGroup::Discovery { generation } => 100 + (generation % 100) as u8,
        }
    }
}

/// A new cluster, with the bound listeners that its backends have yet to serve.
pub struct NewCluster {
    /// The cluster, in which nothing runs yet.
    pub cluster: Rc<TestCluster>,
    /// The listener of each backend, by [`BackendIndex`].
    pub backend_listeners: Vec<TcpListener>,
}

impl TestCluster {
    /// Creates the cluster of a plan and binds the addresses of its backends. `network` is the
    /// second octet of all its addresses within 127.0.0.0/8. Backends that the plan lets join later
    /// are not listed at first.
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
            request_rate_multiple: Cell::new(1.0),
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

    /// Borrows the checker of the run's invariants. The borrow must not be held across an await,
    /// nor while another is taken, which panics.
    pub fn checker(&self) -> RefMut<'_, InvariantChecker> {
        self.checker.borrow_mut()
    }

    /// Returns the address of a group's member, by its index from 0. Its port is 0, so that the
    /// system chooses a free one when the address is bound.
    ///
    /// # Panics
    ///
    /// Panics if the group has more than 255 members: if `member` is above 254.
    pub fn address(&self, group: AddressGroup, member: usize) -> SocketAddr {
        let member = u8::try_from(member + 1).expect("an address group has at most 255 members");
        (
            Ipv4Addr::new(127, self.network, group.third_octet(), member),
            0,
        )
            .into()
    }

    /// Lists a backend as draining, or removes it from the endpoint list, as `state` says, and
    /// tells the checker. The backend itself goes on responding.
    pub fn withdraw_backend(&self, backend: BackendIndex, state: EndpointState) {
        self.checker().backend_withdrawn(backend);
        self.change_endpoint(backend, |backend| backend.state.set(state));
    }

    /// Restarts a backend, which keeps its id and address: its connections are reset, it forgets
    /// its requests, and its slow start begins.
    pub fn restart_backend(&self, backend: BackendIndex) {
        self.checker().backend_started(backend);
        let started_at = unix_milliseconds();
        self.backends[backend.0]
            .restart_count
            .send_modify(|restart_count| *restart_count += 1);
        self.backends[backend.0].in_flight.set(0);
        self.change_endpoint(backend, |backend| backend.started_at_ms.set(started_at));
    }

    /// Lists a backend that was not listed before, as one that has just started.
    pub fn join_backend(&self, backend: BackendIndex) {
        self.checker().backend_started(backend);
        let started_at = unix_milliseconds();
        self.change_endpoint(backend, |backend| {
            backend.started_at_ms.set(started_at);
            backend.state.set(EndpointState::Active);
        });
    }

    /// Changes a backend's entry in the endpoint list, and then publishes the next revision of the
    /// list.
    fn change_endpoint(&self, backend: BackendIndex, change: impl FnOnce(&Backend)) {
        let revision = *self.list_revision.borrow() + 1;
        let backend = &self.backends[backend.0];
        change(backend);
        backend.changed_at_revision.set(revision);
        self.list_revision.send_replace(revision);
    }
}

impl Backend {
    /// Creates a backend that behaves normally and has been up since long before the run.
    fn new(address: SocketAddr, state: EndpointState) -> Self {
        Backend {
            address,
            state: Cell::new(state),
            started_at_ms: Cell::new(0),
            changed_at_revision: Cell::new(1),
            behavior: Cell::new(BackendBehavior::Normal),
            restart_count: watch::Sender::new(0),
            in_flight: Cell::new(0),
        }
    }
}

/// Returns the current wall clock time, in milliseconds since the Unix epoch.
fn unix_milliseconds() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
