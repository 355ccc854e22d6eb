//! The registry of all backends, which follows endpoint lists and the operator state.

use super::backend::{Backend, Placement};
use super::pool::ConnectionPool;
use crate::discovery::wire::{EndpointList, EndpointPhase, ListedEndpoint};
use crate::operator_state::store::OperatorState;
use crate::start_times::{BackendStart, StartTimes};
use balancer::{BackendId, CellId, Endpoint, EndpointState, MachineTypeId, Time, ZoneId};
use rustc_hash::{FxHashMap, FxHashSet};
use settings::SettingNames;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Position given to names of zones and machine types that are not in the settings.
const UNKNOWN_NAME_POSITION: u8 = u8::MAX;

/// Memory in bytes that the process holds for each listed backend.
const BACKEND_BYTES: usize = 2 << 10;

/// Where an endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The configuration file, which was written before the process started.
    Configuration,
    /// Discovery. Once one of its lists has been applied, backends that are new in a later list
    /// count as started since.
    Discovery,
}

/// Owner of the backends. Attempts hold a reference to their backend until they end, even if it is
/// removed from the registry.
pub struct BackendRegistry {
    names: SettingNames,
    pool: Rc<ConnectionPool>,
    by_name: RefCell<FxHashMap<String, Rc<Backend>>>,
    by_id: RefCell<FxHashMap<BackendId, Rc<Backend>>>,
    next_id: Cell<u32>,
    start_times: RefCell<StartTimes>,
    /// Also covers backends that are not listed at present, since they may be listed again.
    operator_state: RefCell<OperatorState>,
}

impl BackendRegistry {
    /// Creates a registry without backends. It closes the idle connections in `pool` to backends
    /// that are removed, replaced or drained.
    pub fn new(names: SettingNames, pool: Rc<ConnectionPool>) -> Self {
        BackendRegistry {
            names,
            pool,
            by_name: RefCell::default(),
            by_id: RefCell::default(),
            next_id: Cell::new(0),
            start_times: RefCell::default(),
            operator_state: RefCell::default(),
        }
    }

    /// Returns the backend with this id, or `None` if it is not listed.
    pub fn get(&self, id: BackendId) -> Option<Rc<Backend>> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// Returns the names that the settings define, such as those of classes and tenants.
    pub fn names(&self) -> &SettingNames {
        &self.names
    }

    /// Whether the backend with this name is listed at present.
    pub fn is_listed(&self, name: &str) -> bool {
        self.by_name.borrow().contains_key(name)
    }

    /// Whether a backend that operators have put back into use has finished its slow start, counted
    /// from when this process learnt of it. `false` if this process knows of no such return.
    pub fn has_warmed_up(&self, now: Time, name: &str, slow_start: Duration) -> bool {
        self.start_times
            .borrow()
            .returned_at(name)
            .is_some_and(|returned_at| now - returned_at >= slow_start)
    }

    /// Returns the number of backends in maintenance, listed or not.
    pub fn in_maintenance(&self) -> usize {
        self.operator_state.borrow().in_maintenance.len()
    }

    /// Updates the backends from an endpoint list and returns the list's entries for the balancer.
    /// Entries of unknown backends that are removed or have no address are left out.
    pub fn apply_endpoint_list(
        &self,
        now: Time,
        list: &EndpointList,
        source: ListSource,
    ) -> Vec<Endpoint> {
        let wall_clock = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.start_times.borrow_mut().observe_timestamps(
            now,
            list.endpoints.iter().map(ListedEndpoint::start_timestamp),
        );
        if list.is_snapshot {
            self.remove_unlisted(list);
        }
        let mut endpoints = Vec::with_capacity(list.endpoints.len());
        for listed in &list.endpoints {
            endpoints.extend(self.apply_listed(now, wall_clock, listed));
        }
        self.update_memory_budget();
        if source == ListSource::Discovery {
            let by_name = self.by_name.borrow();
            self.start_times
                .borrow_mut()
                .list_applied(by_name.len(), |name| by_name.contains_key(name));
        }
        endpoints
    }

    /// Applies the operator state to the present endpoint list and all later ones. Returns the
    /// entries of the backends that this changes for the balancer, sorted by id.
    pub fn apply_operator_state(&self, now: Time, operator_state: &OperatorState) -> Vec<Endpoint> {
        *self.operator_state.borrow_mut() = operator_state.clone();
        let mut start_times = self.start_times.borrow_mut();
        start_times.observe_returned(now, operator_state.returned_from_maintenance.iter());
        let mut changed = Vec::new();
        for backend in self.by_id.borrow().values() {
            let state = effective_state(operator_state, backend.name(), backend.listed_state());
            let returned_at = start_times.returned_at(backend.name());
            let start = backend.start().max_with_observed(returned_at);
            if (state, start) == (backend.state(), backend.start()) {
                continue;
            }
            backend.set_state(state);
            backend.replace_start(start);
            self.pool.invalidate_connections(backend);
            changed.push(backend.endpoint());
        }
        changed.sort_unstable_by_key(|endpoint| endpoint.backend);
        changed
    }

    /// Takes the memory of all backends from the budget.
    fn update_memory_budget(&self) {
        let bytes = self.by_name.borrow().len() * BACKEND_BYTES;
        self.pool.memory().set_fixed(bytes);
    }

    /// Removes the backends that a snapshot does not list.
    fn remove_unlisted(&self, list: &EndpointList) {
        let listed_names: FxHashSet<&str> = list
            .endpoints
            .iter()
            .map(|listed| listed.name.as_str())
            .collect();
        self.by_name.borrow_mut().retain(|name, backend| {
            let is_listed = listed_names.contains(name.as_str());
            if !is_listed {
                backend.set_state(EndpointState::Removed);
                self.pool.invalidate_connections(backend);
                self.by_id.borrow_mut().remove(&backend.id());
            }
            is_listed
        });
    }

    /// Updates the backend of one list entry and returns its entry for the balancer. Returns `None`
    /// if the backend is unknown and the entry is removed or has no address.
    fn apply_listed(
        &self,
        now: Time,
        wall_clock: Duration,
        listed: &ListedEndpoint,
    ) -> Option<Endpoint> {
        let listed_state = match listed.phase {
            EndpointPhase::Active => EndpointState::Active,
            EndpointPhase::Draining => EndpointState::Draining,
            EndpointPhase::Removed => EndpointState::Removed,
        };
        let start = self.start_times.borrow_mut().start_of(
            now,
            wall_clock,
            &listed.name,
            listed.start_timestamp(),
        );
        let state = effective_state(&self.operator_state.borrow(), &listed.name, listed_state);
        let backend = self.find_or_insert(listed, state, start)?;
        backend.set_listed_state(listed_state);
        backend.set_state(state);
        backend.set_weight(listed.weight);
        if state == EndpointState::Removed {
            self.pool.invalidate_connections(&backend);
            self.by_name.borrow_mut().remove(&listed.name);
            self.by_id.borrow_mut().remove(&backend.id());
        } else {
            self.update_placement_and_start(&backend, listed, start);
        }
        Some(backend.endpoint())
    }

    /// Returns the backend of a list entry, and creates it if it is unknown. Returns `None` if it
    /// is unknown and the entry is removed or has no address.
    fn find_or_insert(
        &self,
        listed: &ListedEndpoint,
        state: EndpointState,
        start: BackendStart,
    ) -> Option<Rc<Backend>> {
        if let Some(backend) = self.by_name.borrow().get(&listed.name) {
            return Some(backend.clone());
        }
        let address = listed.address?;
        if state == EndpointState::Removed {
            return None;
        }
        let id = BackendId(self.next_id.get());
        self.next_id.set(id.0.wrapping_add(1));
        let backend = Rc::new(Backend::new(id, listed.name.clone(), address, start));
        self.by_name
            .borrow_mut()
            .insert(listed.name.clone(), backend.clone());
        self.by_id.borrow_mut().insert(id, backend.clone());
        Some(backend)
    }

    /// Updates where a listed backend runs and since when, and invalidates its connections if its
    /// process was replaced or it is draining.
    fn update_placement_and_start(
        &self,
        backend: &Backend,
        listed: &ListedEndpoint,
        start: BackendStart,
    ) {
        backend.set_placement(Placement {
            zone: ZoneId(position(&self.names.zones, &listed.zone)),
            machine_type: MachineTypeId(position(&self.names.machine_types, &listed.machine_type)),
            cell: CellId(listed.cell),
        });
        let has_moved = listed
            .address
            .is_some_and(|address| backend.replace_address(address));
        let has_restarted = backend.replace_start(start);
        // Connections to an earlier process are dead, even if no close has been received on them.
        // Those to a draining backend are of no use and only occupy file descriptors.
        if has_restarted || has_moved || backend.state() == EndpointState::Draining {
            self.pool.invalidate_connections(backend);
        }
    }
}

/// Returns a backend's state according to the endpoint list and the operator state together: an
/// active backend in maintenance counts as draining.
fn effective_state(
    operator_state: &OperatorState,
    name: &str,
    listed_state: EndpointState,
) -> EndpointState {
    match listed_state {
        EndpointState::Active if operator_state.in_maintenance.contains(name) => {
            EndpointState::Draining
        }
        _ => listed_state,
    }
}

/// Returns the position of a name in a list of the settings, or [`UNKNOWN_NAME_POSITION`] if it is
/// not there or its position exceeds the range of `u8`.
fn position(names: &[String], name: &str) -> u8 {
    names
        .iter()
        .position(|known| known == name)
        .and_then(|position| u8::try_from(position).ok())
        .unwrap_or(UNKNOWN_NAME_POSITION)
}
