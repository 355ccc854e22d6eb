//! Keeps the endpoint list up to date. Where lists are pushed, a watch is opened whenever the
//! previous one has ended; where they are polled, one is opened at each request of the balancer.

use super::client::{self, WatchError, INITIAL_OPENING_TIMEOUT, OPENING_TIMEOUT};
use super::state::{DiscoveryEvent, DiscoveryMode, DiscoveryState};
use crate::event_log::EventLog;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

/// Pause before a watch is opened again after the first failure, and the shortest one before
/// jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause before a watch is opened again after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Largest random fraction by which a pause is shortened, so that many nodes do not reconnect at
/// the same time.
const BACKOFF_JITTER: f64 = 0.5;

// Two watches in a row may time out, and the third one still has most of a second to be answered
// before the node has to know the changes that the first one missed.
const _: () =
    assert!(2 * (client::SILENCE_TIMEOUT.as_millis() + INITIAL_BACKOFF.as_millis()) <= 5300);

/// Opens and owns the watch on the endpoint list.
pub struct EndpointWatcher {
    /// Reference to this watcher for the tasks that it starts.
    weak_self: Weak<EndpointWatcher>,
    state: Rc<DiscoveryState>,
    rng: RefCell<Xoshiro256PlusPlus>,
    /// The task of the latest watch, or of the loop that keeps a watch open.
    watch: RefCell<Option<AbortHandle>>,
}

impl EndpointWatcher {
    /// Creates a watcher that does nothing until it is started. `seed` is the seed of the process.
    pub fn new(mode: DiscoveryMode, address: SocketAddr, seed: u64, log: EventLog) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| EndpointWatcher {
            weak_self: weak_self.clone(),
            state: Rc::new(DiscoveryState::new(mode, address, log)),
            // Inverted, since the balancer's generator has the same seed and must draw other
            // numbers.
            rng: RefCell::new(Xoshiro256PlusPlus::seed_from_u64(!seed)),
            watch: RefCell::default(),
        })
    }

    /// Sets the handler of events. Only the first call has an effect; events before it are dropped.
    pub fn set_event_handler(&self, handler: impl Fn(DiscoveryEvent) + 'static) {
        self.state.set_event_handler(handler);
    }

    /// Starts watching, where lists are pushed, for changes since `revision`, that of the
    /// configured list. Where lists are polled, only sets the revision: the balancer requests the
    /// first watch.
    pub fn start(&self, revision: u64) {
        self.state.set_revision(revision);
        if self.state.mode() == DiscoveryMode::Pushed {
            self.refresh();
        }
    }

    /// Starts a watch, unless one is open or being opened.
    pub fn refresh(&self) {
        let mut watch = self.watch.borrow_mut();
        if watch.as_ref().is_some_and(|task| !task.is_finished()) {
            return;
        }
        let (weak_self, address) = (self.weak_self.clone(), self.state.address());
        let task = spawn_local(async move {
            let Some(watcher) = weak_self.upgrade() else {
                return;
            };
            match watcher.state.mode() {
                DiscoveryMode::Pushed => watcher.run_watch_loop(address).await,
                DiscoveryMode::Polled => watcher.watch_once(address).await,
            }
        });
        *watch = Some(task.abort_handle());
    }

    /// Watches another address from now on; does nothing if `address` is the current one. Until the
    /// new address has sent a snapshot, lists from the previous address are still applied and the
    /// endpoints last known stay.
    pub fn change_address(&self, address: SocketAddr) {
        if self.state.address() != address {
            self.state
                .log(format_args!("discovery address changed to {address}"));
            self.state.set_address(address, self.watch.take());
            self.refresh();
        }
    }

    /// Returns whether there is no first list to wait for before requests are accepted: one has
    /// been received, discovery is unavailable, or lists are polled.
    pub fn is_first_list_settled(&self) -> bool {
        self.state.is_first_list_settled()
    }

    /// Runs one watch, logs why it ended and emits [`DiscoveryEvent::WatchFailed`], unless the
    /// address has changed since.
    async fn watch_once(&self, address: SocketAddr) {
        let error = client::watch(&self.state, address, OPENING_TIMEOUT).await;
        if self.state.address() == address {
            self.state.log(format_args!("watch: {error}"));
            self.state.emit(DiscoveryEvent::WatchFailed);
        }
    }

    /// Opens a watch whenever the previous one has ended, after a pause. Returns once a watch has
    /// ended after the address was changed.
    async fn run_watch_loop(&self, address: SocketAddr) {
        let mut backoff = INITIAL_BACKOFF;
        let mut opening_timeout = INITIAL_OPENING_TIMEOUT;
        loop {
            let (watches_before, began_at) = (self.state.watches_opened(), Instant::now());
            let error = client::watch(&self.state, address, opening_timeout).await;
            if self.state.address() != address {
                return;
            }
            opening_timeout = (opening_timeout * 2).min(OPENING_TIMEOUT);
            if self.state.watches_opened() != watches_before {
                backoff = INITIAL_BACKOFF;
                opening_timeout = INITIAL_OPENING_TIMEOUT;
            }
            if !matches!(error, WatchError::Silent) {
                self.state.stop_awaiting_first_list();
            }
            // The time that the call took is part of the pause.
            let pause = backoff
                .saturating_sub(began_at.elapsed())
                .max(INITIAL_BACKOFF)
                .mul_f64(1.0 - BACKOFF_JITTER * self.random());
            self.state.log(format_args!(
                "watch: {error}; retrying in {} ms",
                pause.as_millis()
            ));
            tokio::time::sleep(pause).await;
            // Refused connections cost discovery nothing, while calls that it accepts and cannot
            // serve show that it is overloaded.
            backoff = if error.is_unreachable() {
                INITIAL_BACKOFF
            } else {
                (backoff * 2).min(MAX_BACKOFF)
            };
        }
    }

    /// Draws a random number, uniform in [0, 1).
    fn random(&self) -> f64 {
        (self.rng.borrow_mut().next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
