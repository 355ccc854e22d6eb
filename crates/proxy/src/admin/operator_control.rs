//! Executes operators' commands: changes the stored operator state and applies it to this process.

use super::commands::{AdminCommand, AdminReply};
use crate::endpoint_updates::EndpointUpdates;
use crate::event_log::EventLog;
use crate::operator_state::store::{OperatorState, OperatorStateStore};
use crate::shutdown::{ShutdownController, ShutdownPhase};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// Executes operators' commands, and applies the operator state to this process, whichever process
/// of the node has changed it.
pub struct OperatorControl {
    log: EventLog,
    endpoint_updates: Rc<EndpointUpdates>,
    shutdown: Rc<ShutdownController>,
    store: Rc<OperatorStateStore>,
    /// Length of a backend's slow start after its return from maintenance.
    slow_start_duration: Duration,
    /// Whether the latest refresh failed.
    refresh_failed: Cell<bool>,
    /// Restrictions that are being stored. They are already in force, since storing may take long.
    pending: RefCell<Vec<Restriction>>,
}

/// Something that an operator's command forbids the node to do.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Restriction {
    /// Being available to new clients: the node is drained.
    Drain,
    /// Sending new requests to the backend of this name: it is in maintenance.
    Maintenance(String),
}

impl Restriction {
    /// Changes an operator state so that it contains this restriction.
    fn add_to(&self, state: &mut OperatorState) {
        match self {
            Restriction::Drain => state.draining = true,
            Restriction::Maintenance(backend) => {
                state.in_maintenance.insert(backend.clone());
            }
        }
    }
}

/// Keeps a restriction in force while it is being stored. Once the value is dropped, only the
/// stored state is in force.
struct PendingRestriction<'a> {
    control: &'a OperatorControl,
    restriction: Restriction,
}

impl Drop for PendingRestriction<'_> {
    fn drop(&mut self) {
        let mut pending = self.control.pending.borrow_mut();
        let position = pending.iter().position(|one| *one == self.restriction);
        if let Some(position) = position {
            pending.swap_remove(position);
        }
        drop(pending);
        self.control.apply();
    }
}

impl OperatorControl {
    /// Creates the control and applies the state in `store`. `slow_start_duration` is the length of
    /// a backend's slow start after its return from maintenance.
    pub fn new(
        log: EventLog,
        endpoint_updates: Rc<EndpointUpdates>,
        shutdown: Rc<ShutdownController>,
        store: Rc<OperatorStateStore>,
        slow_start_duration: Duration,
    ) -> Self {
        let control = OperatorControl {
            log,
            endpoint_updates,
            shutdown,
            store,
            slow_start_duration,
            refresh_failed: Cell::new(false),
            pending: RefCell::default(),
        };
        control.apply();
        control
    }

    /// Applies what a peer process has stored, and removes backends that have finished their slow
    /// start from the stored returns from maintenance. Failures are logged, of those to read the
    /// stored state only the first in a row.
    pub async fn refresh(&self) {
        self.remove_warmed_up().await;
        let refreshed = self.store.refresh();
        let failed_before = self.refresh_failed.replace(refreshed.is_err());
        match refreshed {
            Ok(false) => {}
            Ok(true) => {
                self.apply();
                let state = self.store.state();
                self.log.log(format_args!(
                    "operator state updated from file draining={} in_maintenance={}",
                    state.draining,
                    state.in_maintenance.len()
                ));
            }
            Err(_) if failed_before => {} // Only the first of several failures in a row is logged.
            Err(error) => self.log.log(format_args!("{error}")),
        }
    }

    /// Removes backends that have finished their slow start from the stored returns from
    /// maintenance. The next process could not tell how long ago they returned, and would start
    /// them slowly again.
    async fn remove_warmed_up(&self) {
        let has_warmed_up = |name: &String| {
            self.endpoint_updates
                .has_warmed_up(name, self.slow_start_duration)
        };
        let any_warmed_up = self
            .store
            .state()
            .returned_from_maintenance
            .keys()
            .any(has_warmed_up);
        if !any_warmed_up || !self.store.may_write() {
            return;
        }
        let remove_returned = |state: &mut OperatorState| {
            state
                .returned_from_maintenance
                .retain(|name, _| !has_warmed_up(name));
        };
        // A failure is logged by `change`, and a later refresh tries again.
        let _ = self.change(remove_returned).await;
    }

    /// Executes a command and returns the reply. When this returns, a change is stored and in
    /// force, unless the reply is [`AdminReply::NotStored`]. A restriction is in force from the
    /// start, even before it is stored.
    pub async fn execute(&self, command: AdminCommand<'_>) -> AdminReply {
        let result = match command {
            AdminCommand::CheckHealth => Ok(self.check_health()),
            AdminCommand::StartDrain => self.set_draining(true).await,
            AdminCommand::EndDrain => self.set_draining(false).await,
            AdminCommand::StartMaintenance(backend) => self.start_maintenance(backend).await,
            AdminCommand::EndMaintenance(backend) => self.end_maintenance(backend).await,
        };
        result.unwrap_or(AdminReply::NotStored)
    }

    /// Returns the reply to a health check, without changing anything.
    fn check_health(&self) -> AdminReply {
        match self.shutdown.phase() {
            ShutdownPhase::Serving | ShutdownPhase::Draining
                if !self.endpoint_updates.is_ready() =>
            {
                AdminReply::NoEndpointList
            }
            ShutdownPhase::Serving => AdminReply::Ready,
            ShutdownPhase::Draining => AdminReply::ReadyDraining,
            ShutdownPhase::ShuttingDown | ShutdownPhase::HandingOver | ShutdownPhase::Closing => {
                AdminReply::ShuttingDown
            }
        }
    }

    /// Starts or ends a drain, unless the process is shutting down.
    async fn set_draining(&self, draining: bool) -> Result<AdminReply, NotStored> {
        if self.shutdown.phase() > ShutdownPhase::Draining {
            return Ok(AdminReply::DrainRefused);
        }
        let _pending = draining.then(|| self.restrict(Restriction::Drain));
        self.change(|state| state.draining = draining).await?;
        Ok(if draining {
            AdminReply::DrainStarted
        } else {
            AdminReply::DrainEnded
        })
    }

    /// Starts maintenance of a backend that is listed or already in maintenance.
    async fn start_maintenance(&self, backend: &str) -> Result<AdminReply, NotStored> {
        let is_listed = self.endpoint_updates.is_listed(backend);
        let restriction = || Restriction::Maintenance(backend.to_owned());
        let _pending = is_listed.then(|| self.restrict(restriction()));
        let start = |state: &mut OperatorState| {
            let is_known = is_listed || state.in_maintenance.contains(backend);
            if is_known {
                state.in_maintenance.insert(backend.to_owned());
            }
            is_known
        };
        let is_known = self.change(start).await?;
        Ok(reply_if_known(is_known, AdminReply::MaintenanceStarted))
    }

    /// Ends maintenance of a backend. A listed backend that is not in maintenance stays as it is.
    async fn end_maintenance(&self, backend: &str) -> Result<AdminReply, NotStored> {
        let is_listed = self.endpoint_updates.is_listed(backend);
        let end = |state: &mut OperatorState| {
            let was_in_maintenance = state.in_maintenance.remove(backend);
            if was_in_maintenance {
                state.mark_returned(backend, SystemTime::now());
            }
            was_in_maintenance || is_listed
        };
        let is_known = self.change(end).await?;
        Ok(reply_if_known(is_known, AdminReply::MaintenanceEnded))
    }

    /// Changes the operator state for every process of the node, and applies the new state to this
    /// one, including what a peer process has stored before.
    ///
    /// # Errors
    ///
    /// Returns [`NotStored`] if the change cannot be stored, after logging why. Nothing has changed
    /// then.
    async fn change<T>(
        &self,
        change: impl FnOnce(&mut OperatorState) -> T,
    ) -> Result<T, NotStored> {
        match self.store.change(change).await {
            Ok(result) => {
                self.apply();
                Ok(result)
            }
            Err(error) => {
                self.log.log(format_args!("{error}"));
                Err(NotStored)
            }
        }
    }

    /// Puts a restriction into force immediately. It stays in force, stored or not, until the
    /// returned value is dropped.
    fn restrict(&self, restriction: Restriction) -> PendingRestriction<'_> {
        self.pending.borrow_mut().push(restriction.clone());
        self.apply();
        PendingRestriction {
            control: self,
            restriction,
        }
    }

    /// Applies the stored state and the restrictions that are being stored to this process.
    fn apply(&self) {
        let mut state = self.store.state().clone();
        for restriction in self.pending.borrow().iter() {
            restriction.add_to(&mut state);
        }
        self.endpoint_updates.apply_operator_state(&state);
        self.shutdown.set_draining(state.draining);
    }
}

/// Error of a change that could not be stored.
struct NotStored;

/// Returns `reply`, or [`AdminReply::UnknownBackend`] if the backend of the command is not known.
fn reply_if_known(is_known: bool, reply: AdminReply) -> AdminReply {
    if is_known {
        reply
    } else {
        AdminReply::UnknownBackend
    }
}
