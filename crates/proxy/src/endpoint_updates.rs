//! Applies changes of the set of backends, which come from endpoint lists and from the operator
//! state, and reports them to the balancer.

use crate::clock::Clock;
use crate::discovery::wire::EndpointList;
use crate::event_log::EventLog;
use crate::operator_state::store::OperatorState;
use crate::requests::dispatcher::Dispatcher;
use crate::upstream::backend_registry::{BackendRegistry, ListSource};
use balancer::{Endpoint, EndpointState, ListUpdate};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Applies each change first to the backend registry and then reports it to the dispatcher.
pub struct EndpointUpdates {
    backends: Rc<BackendRegistry>,
    dispatcher: Rc<Dispatcher>,
    clock: Clock,
    log: EventLog,
    /// Revision of the list that was applied last; 0 if there was none.
    revision: Cell<u64>,
    /// Whether any list applied so far has named an active backend.
    has_listed_active_backend: Cell<bool>,
}

impl EndpointUpdates {
    /// Creates endpoint updates that have applied no list yet.
    pub fn new(
        backends: Rc<BackendRegistry>,
        dispatcher: Rc<Dispatcher>,
        log: EventLog,
    ) -> Rc<Self> {
        Rc::new(EndpointUpdates {
            clock: dispatcher.clock(),
            backends,
            dispatcher,
            log,
            revision: Cell::new(0),
            has_listed_active_backend: Cell::new(false),
        })
    }

    /// Returns the dispatcher that changes are reported to.
    pub fn dispatcher(&self) -> &Rc<Dispatcher> {
        &self.dispatcher
    }

    /// Returns the revision of the list that was applied last; 0 if there was none.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns whether any list applied so far has named an active backend that is not in
    /// maintenance. It stays true when that backend is removed.
    pub fn is_ready(&self) -> bool {
        self.has_listed_active_backend.get()
    }

    /// Returns whether the current list names the backend of this name.
    pub fn is_listed(&self, backend: &str) -> bool {
        self.backends.is_listed(backend)
    }

    /// Returns whether a backend that operators have returned from maintenance has finished a slow
    /// start of the length `slow_start`, counted from when this process learnt of the return. False
    /// if this process knows of no return.
    pub fn has_warmed_up(&self, backend: &str, slow_start: Duration) -> bool {
        self.backends
            .has_warmed_up(self.clock.now(), backend, slow_start)
    }

    /// Applies the endpoint list of the configuration. `None` counts as an empty list.
    pub fn apply_configured_list(&self, list: Option<&EndpointList>) {
        let endpoints = list
            .map(|list| self.apply_list(list, ListSource::Configuration))
            .unwrap_or_default();
        self.dispatcher
            .endpoint_list_updated(ListUpdate::Cached, endpoints);
    }

    /// Applies a snapshot or a delta of the endpoint list that discovery has sent.
    pub fn apply_discovered_list(&self, list: &EndpointList) {
        let update = if list.is_snapshot {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Delta
        };
        let endpoints = self.apply_list(list, ListSource::Discovery);
        // Discovery may send lists that change nothing. One without entries for the balancer is not
        // logged.
        if !endpoints.is_empty() {
            self.log_list(list.revision, update, &endpoints);
        }
        self.dispatcher.endpoint_list_updated(update, endpoints);
    }

    /// Reports to the balancer that discovery has answered a poll, without a list so far.
    pub fn poll_answered(&self) {
        self.dispatcher
            .endpoint_list_updated(ListUpdate::Delta, Vec::new());
    }

    /// Reports to the balancer that a poll has failed or ended.
    pub fn poll_failed(&self) {
        self.dispatcher
            .endpoint_list_updated(ListUpdate::Failed, Vec::new());
    }

    /// Applies the operator state to the backends of the current list and of all later ones.
    pub fn apply_operator_state(&self, operator_state: &OperatorState) {
        let endpoints = self
            .backends
            .apply_operator_state(self.clock.now(), operator_state);
        if !endpoints.is_empty() {
            self.dispatcher
                .endpoint_list_updated(ListUpdate::Delta, endpoints);
        }
    }

    /// Applies a list to the backend registry, and returns its entries for the balancer.
    fn apply_list(&self, list: &EndpointList, source: ListSource) -> Vec<Endpoint> {
        self.revision.set(list.revision);
        let endpoints = self
            .backends
            .apply_endpoint_list(self.clock.now(), list, source);
        let has_active = endpoints
            .iter()
            .any(|endpoint| endpoint.state == EndpointState::Active);
        if has_active {
            self.has_listed_active_backend.set(true);
        }
        endpoints
    }

    /// Logs the revision of a list, the number of its endpoints by state and the age of the
    /// endpoint that started last.
    fn log_list(&self, revision: u64, update: ListUpdate, endpoints: &[Endpoint]) {
        let count = |state| {
            endpoints
                .iter()
                .filter(|endpoint| endpoint.state == state)
                .count()
        };
        let latest_start = endpoints.iter().filter_map(|e| e.started_at).max();
        let youngest = latest_start.map_or(f64::NAN, |started_at| {
            (self.clock.now() - started_at).as_secs_f64()
        });
        self.log.log(format_args!(
            "endpoint_list revision={revision} update={update:?} youngest_seconds={youngest:.1} \
             active={} draining={} removed={}",
            count(EndpointState::Active),
            count(EndpointState::Draining),
            count(EndpointState::Removed)
        ));
    }
}
