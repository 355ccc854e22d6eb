//! Keeps an endpoint list up to date: opens watches, again and again where lists are pushed, and one
//! at the balancer's request where they are polled.

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

/// Pause before a broken watch is opened again, the first time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause before a broken watch is opened again.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Fraction of a pause that is random, so that many nodes do not come back in step.
const BACKOFF_JITTER: f64 = 0.5;

// Two watches in a row may be silent, and the third still has most of a second to answer before the
// node has to know what the first one missed.
const _: () =
    assert!(2 * (client::SILENCE_TIMEOUT.as_millis() + INITIAL_BACKOFF.as_millis()) <= 5300);

/// Owner of the watch on the endpoint list.
pub struct EndpointWatcher {
    /// Itself, for the tasks it starts.
    this: Weak<EndpointWatcher>,
    state: Rc<DiscoveryState>,
    rng: RefCell<Xoshiro256PlusPlus>,
    /// The watch, or the loop that keeps one open.
    watch: RefCell<Option<AbortHandle>>,
}

impl EndpointWatcher {
    /// A watcher that does nothing until it is started. `seed` is that of the process.
    pub fn new(mode: DiscoveryMode, address: SocketAddr, seed: u64, log: EventLog) -> Rc<Self> {
        Rc::new_cyclic(|this| EndpointWatcher {
            this: this.clone(),
            state: Rc::new(DiscoveryState::new(mode, address, log)),
            // The balancer has the same seed and its own numbers.
            rng: RefCell::new(Xoshiro256PlusPlus::seed_from_u64(!seed)),
            watch: RefCell::default(),
        })
    }

    /// Sets the receiver of events. Only the first call has an effect.
    pub fn set_event_handler(&self, handler: impl Fn(DiscoveryEvent) + 'static) {
        self.state.set_event_handler(handler);
    }

    /// Starts to watch where lists are pushed, from a list of this revision on. Where lists are
    /// polled the balancer asks for the first one.
    pub fn start(&self, revision: u64) {
        self.state.set_revision(revision);
        if self.state.mode() == DiscoveryMode::Pushed {
            self.refresh();
        }
    }

    /// Starts a watch, unless one is being opened or is open already.
    pub fn refresh(&self) {
        let mut watch = self.watch.borrow_mut();
        if watch.as_ref().is_some_and(|task| !task.is_finished()) {
            return;
        }
        let (this, address) = (self.this.clone(), self.state.address());
        let task = spawn_local(async move {
            let Some(watcher) = this.upgrade() else {
                return;
            };
            match watcher.state.mode() {
                DiscoveryMode::Pushed => watcher.run_watch_loop(address).await,
                DiscoveryMode::Polled => watcher.watch_once(address).await,
            }
        });
        *watch = Some(task.abort_handle());
    }

    /// Watches another address from now on. Until the new address has sent a snapshot, lists from the
    /// previous address are still applied and the endpoints last known stay.
    pub fn change_address(&self, address: SocketAddr) {
        if self.state.address() != address {
            self.state
                .log(format_args!("discovery address changed to {address}"));
            self.state.set_address(address, self.watch.take());
            self.refresh();
        }
    }

    /// Whether there is no first list to wait for before requests are accepted: one has been
    /// received, discovery is unavailable, or lists are polled.
    pub fn is_settled(&self) -> bool {
        self.state.is_settled()
    }

    /// Runs one watch and emits its end as a failed call.
    async fn watch_once(&self, address: SocketAddr) {
        let error = client::watch(&self.state, address, OPENING_TIMEOUT).await;
        if self.state.address() == address {
            self.state.log(format_args!("watch: {error}"));
            self.state.emit(DiscoveryEvent::WatchFailed);
        }
    }

    /// Opens watch after watch. Ends once the address has changed.
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
            // The time that an unanswered call took counts as a pause.
            let pause = backoff
                .saturating_sub(began_at.elapsed())
                .max(INITIAL_BACKOFF)
                .mul_f64(1.0 - BACKOFF_JITTER * self.random());
            self.state.log(format_args!(
                "watch: {error}; retrying in {} ms",
                pause.as_millis()
            ));
            tokio::time::sleep(pause).await;
            // Refused connections cost discovery nothing, while calls that it answers and can't
            // serve show that it is overloaded.
            backoff = if error.is_unreachable() {
                INITIAL_BACKOFF
            } else {
                (backoff * 2).min(MAX_BACKOFF)
            };
        }
    }

    /// Uniform in [0, 1).
    fn random(&self) -> f64 {
        (self.rng.borrow_mut().next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
