//! One backend process as endpoint lists and operators describe it.

use crate::send_invariants::BackendIdentity;
use crate::start_times::BackendStart;
use balancer::{BackendId, CellId, Endpoint, EndpointState, MachineTypeId, ZoneId};
use std::cell::Cell;
use std::net::SocketAddr;

/// Numbers the processes and addresses that a backend has had. Connections made under an earlier
/// generation are dead or lead elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionGeneration(u64);

/// Where a backend runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: CellId,
}

/// A backend. It outlives its entry in the list for as long as an attempt refers to it.
pub struct Backend {
    id: BackendId,
    name: String,
    address: Cell<SocketAddr>,
    /// State by the endpoint list.
    listed_state: Cell<EndpointState>,
    /// State by the endpoint list and the operators together.
    state: Cell<EndpointState>,
    start: Cell<BackendStart>,
    weight: Cell<f64>,
    placement: Cell<Placement>,
    generation: Cell<ConnectionGeneration>,
}

impl Backend {
    /// Creates a removed backend without weight, for the registry to update.
    pub(super) fn new(
        id: BackendId,
        name: String,
        address: SocketAddr,
        start: BackendStart,
    ) -> Self {
        Backend {
            id,
            name,
            address: Cell::new(address),
            listed_state: Cell::new(EndpointState::Removed),
            state: Cell::new(EndpointState::Removed),
            start: Cell::new(start),
            weight: Cell::new(0.0),
            placement: Cell::default(),
            generation: Cell::default(),
        }
    }

    /// Its id at this node.
    pub fn id(&self) -> BackendId {
        self.id
    }

    /// Its name in endpoint lists.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// The key scopes that it belongs to.
    pub fn identity(&self) -> BackendIdentity {
        let Placement { zone, cell, .. } = self.placement.get();
        BackendIdentity { zone, cell }
    }

    /// Whether new requests may be sent to it.
    pub fn accepts_requests(&self) -> bool {
        self.state.get() == EndpointState::Active
    }

    /// Its state by the endpoint list and the operators together.
    pub(super) fn state(&self) -> EndpointState {
        self.state.get()
    }

    /// Its state by the endpoint list alone.
    pub(super) fn listed_state(&self) -> EndpointState {
        self.listed_state.get()
    }

    /// When it last started or returned from maintenance.
    pub(super) fn start(&self) -> BackendStart {
        self.start.get()
    }

    /// The generation of a connection made now.
    pub(super) fn generation(&self) -> ConnectionGeneration {
        self.generation.get()
    }

    /// Makes the connections of the present generation useless.
    pub(super) fn start_generation(&self) {
        let ConnectionGeneration(number) = self.generation.get();
        self.generation.set(ConnectionGeneration(number + 1));
    }

    pub(super) fn set_state(&self, state: EndpointState) {
        self.state.set(state);
    }

    pub(super) fn set_listed_state(&self, state: EndpointState) {
        self.listed_state.set(state);
    }

    pub(super) fn set_weight(&self, weight: f64) {
        self.weight.set(weight);
    }

    pub(super) fn set_placement(&self, placement: Placement) {
        self.placement.set(placement);
    }

    /// Sets its address, and returns whether that has changed.
    pub(super) fn replace_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    /// Sets when it started, and returns whether that has changed.
    pub(super) fn replace_start(&self, start: BackendStart) -> bool {
        self.start.replace(start) != start
    }

    /// Its entry for the balancer.
    pub(super) fn endpoint(&self) -> Endpoint {
        let placement = self.placement.get();
        let start = self.start.get();
        Endpoint {
            backend: self.id,
            zone: placement.zone,
            machine_type: placement.machine_type,
            cell: placement.cell,
            state: self.state.get(),
            weight: self.weight.get(),
            started_at: start.latest,
            likely_started_at: start.likely,
        }
    }
}
