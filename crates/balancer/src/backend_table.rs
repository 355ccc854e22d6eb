//! The table of all backends that the balancer keeps state about, indexed by id and ordered by this
//! node's own order, which differs from node to node.

use crate::backend::Backend;
use crate::events::{Endpoint, EndpointState, ListUpdate};
use crate::ids::BackendId;
use crate::settings::RequestClass;
use crate::time::Time;
use rustc_hash::FxHashMap;

/// The listed backends, and removed ones that still have attempts in flight.
pub struct BackendTable {
    /// All backends, in the order in which they were first listed.
    backends: Vec<Backend>,
    /// Position of each backend in `backends`.
    index: FxHashMap<BackendId, usize>,
    /// Positions in `backends` of the active backends, in this node's order.
    active: Vec<usize>,
    /// Seed of this node's order of backends; makes it differ from that of other nodes.
    rank_seed: u64,
}

impl BackendTable {
    /// Creates an empty table. `rank_seed` differs from node to node.
    pub fn new(rank_seed: u64) -> Self {
        BackendTable {
            backends: Vec::new(),
            index: FxHashMap::default(),
            active: Vec::new(),
            rank_seed,
        }
    }

    /// Applies an endpoint list, or the changed entries of a delta. After a complete list, backends
    /// that it does not name are removed. Removed backends stay in the table while they have
    /// attempts in flight. New and restarted backends start at `initial_price`.
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

    /// Recomputes both indices from the list of backends.
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

    /// Returns the backend with this id, or `None` if it is not in the table.
    pub fn get(&self, id: BackendId) -> Option<&Backend> {
        self.index
            .get(&id)
            .map(|&position| &self.backends[position])
    }

    /// Returns the backend with this id for modification, or `None` if it is not in the table.
    pub fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.index
            .get(&id)
            .map(|&position| &mut self.backends[position])
    }

    /// Returns the number of active backends, which is n in the formulas for prices and shares.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Iterates over the active backends in this node's order.
    pub fn active(&self) -> impl Iterator<Item = &Backend> {
        self.active.iter().map(|&position| &self.backends[position])
    }

    /// Returns the active backend at a position in this node's order, counted from 0.
    ///
    /// # Panics
    ///
    /// If `position` is not below [`Self::active_count`].
    pub fn nth_active(&self, position: usize) -> &Backend {
        &self.backends[self.active[position]]
    }

    /// Returns the active backend at a position in this node's order for modification.
    ///
    /// # Panics
    ///
    /// If `position` is not below [`Self::active_count`].
    pub fn nth_active_mut(&mut self, position: usize) -> &mut Backend {
        &mut self.backends[self.active[position]]
    }

    /// Returns the positions, in this node's order, of the active backends allowed for a class.
    pub fn positions_allowed_for(&self, class: &RequestClass) -> Vec<usize> {
        (0..self.active_count())
            .filter(|&position| self.nth_active(position).is_allowed_for(class))
            .collect()
    }
}
