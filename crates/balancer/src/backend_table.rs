//! All backends of which the balancer keeps state, by id and in this node's own order.

use crate::backend::Backend;
use crate::events::{Endpoint, EndpointState, ListUpdate};
use crate::ids::BackendId;
use crate::settings::RequestClass;
use crate::time::Time;
use rustc_hash::FxHashMap;

/// The listed backends, and removed ones that have attempts in flight still.
pub struct BackendTable {
    backends: Vec<Backend>,
    index: FxHashMap<BackendId, usize>,
    /// Positions of the active backends, in this node's order.
    active: Vec<usize>,
    /// Sets this node's order of backends apart from those of other nodes.
    rank_seed: u64,
}

impl BackendTable {
    /// An empty table. `rank_seed` differs from node to node.
    pub fn new(rank_seed: u64) -> Self {
        BackendTable {
            backends: Vec::new(),
            index: FxHashMap::default(),
            active: Vec::new(),
            rank_seed,
        }
    }

    /// Brings the table in line with an endpoint list or changes to it. Backends that are new start
    /// at `initial_price`.
    pub fn apply(
        &mut self,
        now: Time,
        update: ListUpdate,
        endpoints: &[Endpoint],
        initial_price: f64,
    ) {
        if update != ListUpdate::Delta {
            for backend in &mut self.backends {
                backend.state = EndpointState::Removed;
            }
        }
        for endpoint in endpoints {
            if let Some(&position) = self.index.get(&endpoint.backend) {
                self.backends[position].apply(now, endpoint, self.rank_seed, initial_price);
            } else {
                self.index.insert(endpoint.backend, self.backends.len());
                let backend = Backend::new(now, endpoint, self.rank_seed, initial_price);
                self.backends.push(backend);
            }
        }
        self.backends.retain(|backend| {
            backend.state != EndpointState::Removed || !backend.in_flight.is_empty()
        });
        self.rebuild_indices();
    }

    fn rebuild_indices(&mut self) {
        self.index = self
            .backends
            .iter()
            .enumerate()
            .map(|(position, backend)| (backend.id, position))
            .collect();
        self.active = (0..self.backends.len())
            .filter(|&position| self.backends[position].is_active())
            .collect();
        self.active
            .sort_by_key(|&position| self.backends[position].rank);
    }

    /// The backend of this id.
    pub fn get(&self, id: BackendId) -> Option<&Backend> {
        self.index
            .get(&id)
            .map(|&position| &self.backends[position])
    }

    /// The backend of this id, to be changed.
    pub fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.index
            .get(&id)
            .map(|&position| &mut self.backends[position])
    }

    /// Number of active backends.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// The active backends in this node's order.
    pub fn active(&self) -> impl Iterator<Item = &Backend> {
        self.active.iter().map(|&position| &self.backends[position])
    }

    /// The active backend at this position of the node's order.
    ///
    /// # Panics
    ///
    /// Where there are not so many.
    pub fn nth_active(&self, position: usize) -> &Backend {
        &self.backends[self.active[position]]
    }

    /// The active backend at this position of the node's order, to be changed.
    ///
    /// # Panics
    ///
    /// Where there are not so many.
    pub fn nth_active_mut(&mut self, position: usize) -> &mut Backend {
        &mut self.backends[self.active[position]]
    }

    /// Positions, in the node's order, of the active backends to which a class may go.
    pub fn positions_allowed_for(&self, class: &RequestClass) -> Vec<usize> {
        (0..self.active_count())
            .filter(|&position| self.nth_active(position).is_allowed_for(class))
            .collect()
    }
}
