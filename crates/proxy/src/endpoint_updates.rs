//! Changes to the set of backends on their way to the balancer: endpoint lists and the operator
//! state.

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

/// Applies each change to the backends first, then reports it to the dispatcher.
pub struct EndpointUpdates {
    backends: Rc<BackendRegistry>,
    dispatcher: Rc<Dispatcher>,
    clock: Clock,
    log: EventLog,
    revision: Cell<u64>,
    has_listed_active_backend: Cell<bool>,
}

impl EndpointUpdates {
    /// No list has been applied yet.
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

    /// The dispatcher that changes are reported to.
    pub fn dispatcher(&self) -> &Rc<Dispatcher> {
        &self.dispatcher
    }

    /// Revision of the list that was applied last.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Whether any list has named an active backend.
    pub fn is_ready(&self) -> bool {
        self.has_listed_active_backend.get()
    }

    /// Whether the backend is listed.
    pub fn is_listed(&self, backend: &str) -> bool {
        self.backends.is_listed(backend)
    }

    /// Whether a backend that operators have returned from maintenance has finished its slow start,
    /// as far as this process knows.
    pub fn has_warmed_up(&self, backend: &str, slow_start: Duration) -> bool {
        self.backends
            .has_warmed_up(self.clock.now(), backend, slow_start)
    }

    /// Applies the list of the configuration, which is empty if there is none.
    pub fn apply_configured_list(&self, list: Option<&EndpointList>) {
        let endpoints = list
            .map(|list| self.apply_list(list, ListSource::Configuration))
            .unwrap_or_default();
        self.dispatcher
            .endpoint_list_updated(ListUpdate::Cached, endpoints);
    }

    /// Applies an endpoint list, or a change to it, that discovery has sent.
    pub fn apply_discovered_list(&self, list: &EndpointList) {
        let update = if list.is_snapshot {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Delta
        };
        let endpoints = self.apply_list(list, ListSource::Discovery);
        // Discovery may send lists without a change.
        if !endpoints.is_empty() {
            self.log_list(list.revision, update, &endpoints);
        }
        self.dispatcher.endpoint_list_updated(update, endpoints);
    }

    /// A poll was answered, without a list so far.
    pub fn poll_answered(&self) {
        self.dispatcher
            .endpoint_list_updated(ListUpdate::Delta, Vec::new());
    }

    /// A poll has failed or ended.
    pub fn poll_failed(&self) {
        self.dispatcher
            .endpoint_list_updated(ListUpdate::Failed, Vec::new());
    }

    /// Applies the operator state, under this list and all later ones.
    pub fn apply_operator_state(&self, operator_state: &OperatorState) {
        let endpoints = self
            .backends
            .apply_operator_state(self.clock.now(), operator_state);
        if !endpoints.is_empty() {
            self.dispatcher
                .endpoint_list_updated(ListUpdate::Delta, endpoints);
        }
    }

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
