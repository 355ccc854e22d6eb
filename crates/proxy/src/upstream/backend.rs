//! The state of one backend, as endpoint lists and operators describe it.

use crate::send_invariants::BackendKeyScopes;
use crate::start_times::BackendStart;
use balancer::{BackendId, CellId, Endpoint, EndpointState, MachineTypeId, ZoneId};
use std::cell::Cell;
use std::net::SocketAddr;

/// Counts the changes after which a backend's existing connections must not be used again, such as
/// a restart, a new address or a change of state. Connections of an earlier generation may be dead
/// or lead to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionGeneration(u64);

/// Where a backend runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Placement {
    /// Zone of the backend, by position in the settings.
    pub zone: ZoneId,
    /// Machine type of the backend, by position in the settings.
    pub machine_type: MachineTypeId,
    /// Number of the cell that the backend belongs to.
    pub cell: CellId,
}

/// The state of a backend. It outlives the backend's entry in the endpoint list for as long as an
/// attempt refers to it.
pub struct Backend {
    id: BackendId,
    name: String,
    address: Cell<SocketAddr>,
    /// State according to the endpoint list alone.
    listed_state: Cell<EndpointState>,
    /// State according to the endpoint list and the operator state together.
    state: Cell<EndpointState>,
    start: Cell<BackendStart>,
    weight: Cell<f64>,
    placement: Cell<Placement>,
    generation: Cell<ConnectionGeneration>,
}

impl Backend {
    /// Creates a backend in state `Removed` and with weight 0, which the registry then updates.
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

    /// Returns the id that this node has given to the backend.
    pub fn id(&self) -> BackendId {
        self.id
    }

    /// Returns the backend's name in endpoint lists.
    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the backend listens on.
    pub(super) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Returns the key scopes that the backend belongs to.
    pub fn key_scopes(&self) -> BackendKeyScopes {
        let Placement { zone, cell, .. } = self.placement.get();
        BackendKeyScopes { zone, cell }
    }

    /// Whether new requests may be sent to the backend.
    pub fn accepts_requests(&self) -> bool {
        self.state.get() == EndpointState::Active
    }

    /// Returns the state according to the endpoint list and the operator state together.
    pub(super) fn state(&self) -> EndpointState {
        self.state.get()
    }

    /// Returns the state according to the endpoint list alone.
    pub(super) fn listed_state(&self) -> EndpointState {
        self.listed_state.get()
    }

    /// Returns when the backend last started or returned from maintenance.
    pub(super) fn start(&self) -> BackendStart {
        self.start.get()
    }

    /// Returns the generation of connections opened now.
    pub(super) fn generation(&self) -> ConnectionGeneration {
        self.generation.get()
    }

    /// Begins a new generation, so that no existing connection is used again.
    pub(super) fn advance_generation(&self) {
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

    /// Sets the address and returns whether it has changed.
    pub(super) fn replace_address(&self, address: SocketAddr) -> bool {
        self.address.replace(address) != address
    }

    /// Sets when the backend started and returns whether that has changed.
    pub(super) fn replace_start(&self, start: BackendStart) -> bool {
        self.start.replace(start) != start
    }

    /// Returns the backend's entry in the endpoint list that the balancer gets.
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
