//! Carries out operators' commands: changes the stored operator state and applies it.

use super::commands::{AdminCommand, AdminReply};
use crate::endpoint_updates::EndpointUpdates;
use crate::event_log::EventLog;
use crate::operator_state::store::{OperatorState, OperatorStateStore};
use crate::shutdown::{ShutdownController, ShutdownPhase};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// Applies the operator state to this process, whichever process of the node has changed it.
pub struct OperatorControl {
    log: EventLog,
    endpoint_updates: Rc<EndpointUpdates>,
    shutdown: Rc<ShutdownController>,
    store: Rc<OperatorStateStore>,
    slow_start_duration: Duration,
    /// Whether the latest refresh has failed.
    refresh_failed: Cell<bool>,
    /// Restrictions that are being stored: in force at once, since storing may take long.
    pending: RefCell<Vec<Restriction>>,
}

/// What an operator's command forbids the node.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Restriction {
    /// To ask for new clients.
    Drain,
    /// To send requests to a backend.
    Maintenance(String),
}

impl Restriction {
    fn add_to(&self, state: &mut OperatorState) {
        match self {
            Restriction::Drain => state.draining = true,
            Restriction::Maintenance(backend) => {
                state.in_maintenance.insert(backend.clone());
            }
        }
    }
}

/// A restriction in force while it is stored. Dropping it leaves what is stored in force.
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
    /// Applies what the store holds. Backends warm up for `slow_start_duration` after their return
    /// from maintenance.
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

    /// Applies what a peer process has stored, and forgets returns from maintenance of backends that
    /// have warmed up.
    pub async fn refresh(&self) {
        self.forget_warmed_up().await;
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
            Err(_) if failed_before => {} // Only the first failure in a row is logged.
            Err(error) => self.log.log(format_args!("{error}")),
        }
    }

    /// Forgets returns from maintenance of backends that have warmed up: the next process could not
    /// tell how long ago they were.
    async fn forget_warmed_up(&self) {
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
        let forget = |state: &mut OperatorState| {
            state
                .returned_from_maintenance
                .retain(|name, _| !has_warmed_up(name));
        };
        // A failure is logged, and the change is tried again later.
        let _ = self.change(forget).await;
    }

    /// Carries out a command. The change is stored and in force when this returns; what it forbids is
    /// in force at once.
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

    /// Changes the operator state for every process of the node, and applies it to this one: with
    /// the change, this process takes in what a peer process has stored before. A failure is logged.
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

    /// Puts a restriction into force until the returned value is dropped.
    fn restrict(&self, restriction: Restriction) -> PendingRestriction<'_> {
        self.pending.borrow_mut().push(restriction.clone());
        self.apply();
        PendingRestriction {
            control: self,
            restriction,
        }
    }

    /// Applies the state to this process, with the restrictions that are being stored.
    fn apply(&self) {
        let mut state = self.store.state().clone();
        for restriction in self.pending.borrow().iter() {
            restriction.add_to(&mut state);
        }
        self.endpoint_updates.apply_operator_state(&state);
        self.shutdown.set_draining(state.draining);
    }
}

/// A change could not be stored.
struct NotStored;

fn reply_if_known(is_known: bool, reply: AdminReply) -> AdminReply {
    if is_known {
        reply
    } else {
        AdminReply::UnknownBackend
    }
}
