//! State that calls to discovery share: discovery's address, the revision of the current endpoint
//! list, and the handler of discovery events.

use super::wire::EndpointList;
use crate::event_log::EventLog;
use std::cell::{Cell, OnceCell, RefCell};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{spawn_local, AbortHandle};

/// How long a call that timed out is kept running in parallel with the calls that follow it.
const UNANSWERED_CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Who decides when a watch on the endpoint list is opened.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes lists: a watch is kept open at all times.
    Pushed,
    /// Lists are polled: a watch is opened when the balancer requests a refresh.
    Polled,
}

/// An event that calls to discovery report to the proxy.
pub enum DiscoveryEvent<'a> {
    /// A snapshot or a delta of the endpoint list was received.
    EndpointList(&'a EndpointList),
    /// A watch was answered; it may be long before it receives a list. Only in
    /// [`DiscoveryMode::Polled`].
    WatchOpened,
    /// A watch failed or ended. Only in [`DiscoveryMode::Polled`].
    WatchFailed,
}

type EventHandler = Box<dyn Fn(DiscoveryEvent)>;

/// State that outlives the single calls to discovery.
pub struct DiscoveryState {
    mode: DiscoveryMode,
    log: EventLog,
    address: Cell<SocketAddr>,
    /// Called synchronously, so that a list is applied before any other task runs.
    event_handler: OnceCell<EventHandler>,
    /// Revision of the current list; 0 if there is none.
    revision: Cell<u64>,
    /// Whether the current list comes from an earlier address, so that deltas of the current
    /// address do not apply to it.
    needs_snapshot: Cell<bool>,
    /// Whether the first list may still be received soon. Always false where lists are polled.
    first_list_pending: Cell<bool>,
    /// Number of watches that were answered.
    watches_opened: Cell<u64>,
    /// The task that watches the previous address. It runs until the current address has sent a
    /// snapshot.
    superseded_watch: RefCell<Option<AbortHandle>>,
    /// A call that timed out and may still receive a list.
    unanswered_call: RefCell<Option<AbortHandle>>,
}

impl DiscoveryState {
    /// Creates the state of a process that has received no list and calls discovery at `address`.
    pub fn new(mode: DiscoveryMode, address: SocketAddr, log: EventLog) -> Self {
        DiscoveryState {
            mode,
            log,
            address: Cell::new(address),
            event_handler: OnceCell::new(),
            revision: Cell::new(0),
            needs_snapshot: Cell::new(false),
            first_list_pending: Cell::new(mode == DiscoveryMode::Pushed),
            watches_opened: Cell::new(0),
            superseded_watch: RefCell::default(),
            unanswered_call: RefCell::default(),
        }
    }

    /// Sets the handler of events. Only the first call has an effect; events before it are dropped.
    pub fn set_event_handler(&self, handler: impl Fn(DiscoveryEvent) + 'static) {
        let _ = self.event_handler.set(Box::new(handler));
    }

    /// Writes a line to the process's log.
    pub fn log(&self, line: fmt::Arguments) {
        self.log.log(line);
    }

    /// Returns whether lists are pushed or polled.
    pub fn mode(&self) -> DiscoveryMode {
        self.mode
    }

    /// Returns the current address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Changes the address of discovery. `watch` is the task that watches the previous address: it
    /// keeps running until the new address has sent a snapshot. The task of any address before that
    /// is aborted.
    pub fn set_address(&self, address: SocketAddr, watch: Option<AbortHandle>) {
        self.address.set(address);
        self.needs_snapshot.set(true);
        abort(self.superseded_watch.replace(watch));
    }

    /// Returns the revision of the current list; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Sets the revision of the current list, for a list that was not received from discovery.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// Returns whether a snapshot has to be fetched before a watch is opened.
    pub fn needs_snapshot(&self) -> bool {
        self.needs_snapshot.get()
    }

    /// Returns whether there is no first list to wait for: one has been received, discovery is
    /// unavailable, or lists are polled and the list of the configuration is used until the first
    /// one.
    pub fn is_first_list_settled(&self) -> bool {
        !self.first_list_pending.get()
    }

    /// Notes that a watch failed other than by a timeout, so that the first list is not awaited any
    /// longer.
    pub fn stop_awaiting_first_list(&self) {
        self.first_list_pending.set(false);
    }

    /// Returns how many watches have been answered so far.
    pub fn watches_opened(&self) -> u64 {
        self.watches_opened.get()
    }

    /// Notes that discovery has answered a watch, and reports it where lists are polled.
    pub fn watch_opened(&self) {
        self.watches_opened.set(self.watches_opened.get() + 1);
        if self.mode == DiscoveryMode::Polled {
            self.emit(DiscoveryEvent::WatchOpened);
        }
    }

    /// Passes an event to the event handler, if one is set.
    pub fn emit(&self, event: DiscoveryEvent) {
        if let Some(handler) = self.event_handler.get() {
            handler(event);
        }
    }

    /// Passes a list that was received from the address `source` to the event handler, and makes it
    /// the current list. A snapshot from the current address ends the watch at the previous one.
    pub fn publish(&self, list: &EndpointList, source: SocketAddr) {
        self.first_list_pending.set(false);
        if list.is_snapshot && source == self.address.get() {
            self.needs_snapshot.set(false);
            abort(self.superseded_watch.take());
        }
        self.revision.set(list.revision);
        self.emit(DiscoveryEvent::EndpointList(list));
    }

    /// Keeps a call running that timed out, for at most [`UNANSWERED_CALL_TIMEOUT`]. A call that is
    /// already kept takes precedence, since it was made first: then `call` is dropped, as it is if
    /// `address` is not the current one any more.
    pub fn keep_unanswered_call(&self, address: SocketAddr, call: impl Future + 'static) {
        let mut unanswered_call = self.unanswered_call.borrow_mut();
        let is_occupied = unanswered_call
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        if is_occupied || self.address.get() != address {
            return;
        }
        let task = spawn_local(async move {
            let _ = tokio::time::timeout(UNANSWERED_CALL_TIMEOUT, call).await;
        });
        *unanswered_call = Some(task.abort_handle());
    }

    /// Aborts the call that is kept running, if any. To be called once a later call has received a
    /// list: before that the kept call may still be the one that receives it, since an open watch
    /// may end without a list.
    pub fn drop_unanswered_call(&self) {
        abort(self.unanswered_call.take());
    }
}

fn abort(task: Option<AbortHandle>) {
    if let Some(task) = task {
        task.abort();
    }
}
