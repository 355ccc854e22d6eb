//! What discovery calls share: discovery's address, what is held of the endpoint list, and
//! the receiver of events.

use super::wire::EndpointList;
use crate::event_log::EventLog;
use std::cell::{Cell, OnceCell, RefCell};
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{spawn_local, AbortHandle};

/// How long an unanswered call is kept running, beside the calls that follow it.
const UNANSWERED_CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Whether discovery pushes lists or is asked for them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// A watch is kept open at all times.
    Pushed,
    /// A watch is opened when the balancer asks for one.
    Polled,
}

/// What the proxy learns from discovery.
pub enum DiscoveryEvent<'a> {
    /// An endpoint list, or a change to the one received before.
    EndpointList(&'a EndpointList),
    /// A watch was answered, and may receive no list for long. Only under polled discovery.
    WatchOpened,
    /// A watch failed or ended. Only under polled discovery.
    WatchFailed,
}

type EventHandler = Box<dyn Fn(DiscoveryEvent)>;

/// State that outlives single calls to discovery.
pub struct DiscoveryState {
    mode: DiscoveryMode,
    log: EventLog,
    address: Cell<SocketAddr>,
    /// Called synchronously, so that a list is in force before anything else runs.
    event_handler: OnceCell<EventHandler>,
    /// Revision of the list held.
    revision: Cell<u64>,
    /// The list held comes from another address than the present one, so that changes to it are of
    /// no use.
    needs_snapshot: Cell<bool>,
    /// Whether a first list may be received soon.
    first_list_pending: Cell<bool>,
    watches_opened: Cell<u64>,
    /// The watch at the previous address. It runs until the present address has sent a snapshot.
    superseded_watch: RefCell<Option<AbortHandle>>,
    /// A call that was given up for its silence, and may still receive a list.
    unanswered_call: RefCell<Option<AbortHandle>>,
}

impl DiscoveryState {
    /// Creates the state of a process that has received no list. Discovery answers at `address`.
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

    /// Sets the receiver of events. Only the first call has an effect.
    pub fn set_event_handler(&self, handler: impl Fn(DiscoveryEvent) + 'static) {
        let _ = self.event_handler.set(Box::new(handler));
    }

    /// Writes a line to the process's log.
    pub fn log(&self, line: fmt::Arguments) {
        self.log.log(line);
    }

    /// Whether discovery pushes lists or is asked for them.
    pub fn mode(&self) -> DiscoveryMode {
        self.mode
    }

    /// Where discovery answers at present.
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Changes where discovery answers. `watch` is the task that watches the previous address: it
    /// goes on until the new address has sent a snapshot.
    pub fn set_address(&self, address: SocketAddr, watch: Option<AbortHandle>) {
        self.address.set(address);
        self.needs_snapshot.set(true);
        abort(self.superseded_watch.replace(watch));
    }

    /// Revision of the list held.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Sets the revision of a list that was not received from discovery.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// Whether a watch has to start from a snapshot.
    pub fn needs_snapshot(&self) -> bool {
        self.needs_snapshot.get()
    }

    /// Whether there is no first list to wait for: one has been received or discovery is
    /// unavailable, or lists are polled and the list of the configuration serves until then.
    pub fn is_settled(&self) -> bool {
        !self.first_list_pending.get()
    }

    /// Notes that a watch failed at once, so that there is no first list to wait for.
    pub fn stop_awaiting_first_list(&self) {
        self.first_list_pending.set(false);
    }

    /// How many watches have been opened so far.
    pub fn watches_opened(&self) -> u64 {
        self.watches_opened.get()
    }

    /// Notes that a watch was answered.
    pub fn watch_opened(&self) {
        self.watches_opened.set(self.watches_opened.get() + 1);
        if self.mode == DiscoveryMode::Polled {
            self.emit(DiscoveryEvent::WatchOpened);
        }
    }

    /// Passes an event to the handler.
    pub fn emit(&self, event: DiscoveryEvent) {
        if let Some(handler) = self.event_handler.get() {
            handler(event);
        }
    }

    /// Passes a list that discovery has sent from `source` to the event handler.
    pub fn publish(&self, list: &EndpointList, source: SocketAddr) {
        self.first_list_pending.set(false);
        if list.is_snapshot && source == self.address.get() {
            self.needs_snapshot.set(false);
            abort(self.superseded_watch.take());
        }
        self.revision.set(list.revision);
        self.emit(DiscoveryEvent::EndpointList(list));
    }

    /// Keeps a call running that was given up for its silence. One that is kept already has
    /// precedence, since it was made first.
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

    /// Ends a call that was kept. To be called once a later call has received a list: before that
    /// the kept call may still be the one that receives it, since an open watch may end without a
    /// list.
    pub fn drop_unanswered_call(&self) {
        abort(self.unanswered_call.take());
    }
}

fn abort(task: Option<AbortHandle>) {
    if let Some(task) = task {
        task.abort();
    }
}
