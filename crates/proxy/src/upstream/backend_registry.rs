//! All backends: keeps them in line with endpoint lists and the operator state.

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

/// Position of names that the settings do not give.
const UNKNOWN_NAME_POSITION: u8 = u8::MAX;

/// Where an endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The process's configuration, written before the start.
    Configuration,
    /// Discovery.
    Discovery,
}

/// Owner of the backends. Others may hold a backend for as long as they have an attempt there.
pub struct BackendRegistry {
    names: SettingNames,
    pool: Rc<ConnectionPool>,
    by_name: RefCell<FxHashMap<String, Rc<Backend>>>,
    by_id: RefCell<FxHashMap<BackendId, Rc<Backend>>>,
    next_id: Cell<u32>,
    start_times: RefCell<StartTimes>,
    /// Kept for backends that no list names, too: they may be listed again.
    operator_state: RefCell<OperatorState>,
}

impl BackendRegistry {
    /// Creates a registry without backends. Idle connections to backends that leave it or are
    /// replaced are closed in `pool`.
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

    /// The backend with this id, if it is listed.
    pub fn get(&self, id: BackendId) -> Option<Rc<Backend>> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// The names that the settings give to classes, tenants and so on.
    pub fn names(&self) -> &SettingNames {
        &self.names
    }

    /// Whether a list names this backend.
    pub fn is_listed(&self, name: &str) -> bool {
        self.by_name.borrow().contains_key(name)
    }

    /// Whether a backend that operators have returned from maintenance has finished its slow start,
    /// as far as this process knows.
    pub fn has_warmed_up(&self, now: Time, name: &str, slow_start: Duration) -> bool {
        self.start_times
            .borrow()
            .returned_at(name)
            .is_some_and(|returned_at| now - returned_at >= slow_start)
    }

    /// Number of backends in maintenance, listed or not.
    pub fn in_maintenance(&self) -> usize {
        self.operator_state.borrow().in_maintenance.len()
    }

    /// Updates the backends by an endpoint list, and returns its entries for the balancer.
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
        if source == ListSource::Discovery {
            let by_name = self.by_name.borrow();
            self.start_times
                .borrow_mut()
                .list_applied(by_name.len(), |name| by_name.contains_key(name));
        }
        endpoints
    }

    /// Applies the operator state, under this list and all later ones. Returns the changed backends'
    /// entries for the balancer.
    pub fn apply_operator_state(&self, now: Time, operator_state: &OperatorState) -> Vec<Endpoint> {
        *self.operator_state.borrow_mut() = operator_state.clone();
        let mut start_times = self.start_times.borrow_mut();
        start_times.observe_returned(now, operator_state.returned_from_maintenance.iter());
        let mut changed = Vec::new();
        for backend in self.by_id.borrow().values() {
            let state = effective_state(operator_state, backend.name(), backend.listed_state());
            let returned_at = start_times.returned_at(backend.name());
            let start = backend.start().or_observed(returned_at);
            if (state, start) == (backend.state(), backend.start()) {
                continue;
            }
            backend.set_state(state);
            backend.replace_start(start);
            self.pool.abandon_connections(backend);
            changed.push(backend.endpoint());
        }
        changed.sort_unstable_by_key(|endpoint| endpoint.backend);
        changed
    }

    fn remove_unlisted(&self, list: &EndpointList) {
        let listed: FxHashSet<&str> = list
            .endpoints
            .iter()
            .map(|listed| listed.name.as_str())
            .collect();
        self.by_name.borrow_mut().retain(|name, backend| {
            let is_listed = listed.contains(name.as_str());
            if !is_listed {
                backend.set_state(EndpointState::Removed);
                self.pool.abandon_connections(backend);
                self.by_id.borrow_mut().remove(&backend.id());
            }
            is_listed
        });
    }

    /// Updates the backend of one entry. Returns `None` for a removed backend that was not known.
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
            self.pool.abandon_connections(&backend);
            self.by_name.borrow_mut().remove(&listed.name);
            self.by_id.borrow_mut().remove(&backend.id());
        } else {
            self.update_process(&backend, listed, start);
        }
        Some(backend.endpoint())
    }

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

    /// Updates where a listed backend runs and since when.
    fn update_process(&self, backend: &Backend, listed: &ListedEndpoint, start: BackendStart) {
        backend.set_placement(Placement {
            zone: ZoneId(position(&self.names.zones, &listed.zone)),
            machine_type: MachineTypeId(position(&self.names.machine_types, &listed.machine_type)),
            cell: CellId(listed.cell),
        });
        let has_moved = listed
            .address
            .is_some_and(|address| backend.replace_address(address));
        let has_restarted = backend.replace_start(start);
        // Connections to an earlier process are dead, even where no close has arrived. Those to a
        // draining backend only take up descriptors.
        if has_restarted || has_moved || backend.state() == EndpointState::Draining {
            self.pool.abandon_connections(backend);
        }
    }
}

/// A backend's state by the endpoint list, as changed by the operators.
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

/// Position of a name among those that the settings give; all others share one position.
fn position(names: &[String], name: &str) -> u8 {
    names
        .iter()
        .position(|known| known == name)
        .and_then(|position| u8::try_from(position).ok())
        .unwrap_or(UNKNOWN_NAME_POSITION)
}
