//! Shared test support: starts proxy processes, and stands in for their clients, their backends and
//! discovery.

#![allow(dead_code, unused_imports)] // Each test file uses only some of it.

mod bodies;
mod builder;
mod connection;
mod downloads;
mod faults;
mod folder;
mod load;
mod paced_stream;
mod process;
mod servers;
mod settings;
mod spawn_lock;

pub use bodies::{
    numbered_text, serve_whole_request, Framing, BODY_SIZES, BUFFER_LIMIT, FRAMINGS,
    MAX_FRAME_BYTES, REPEATABLE_SIZES,
};
pub use builder::{serve, serve_with_admin, serve_with_faults, ProxyBuilder};
pub use connection::{Connection, Message};
pub use downloads::{download_sizes, responses_of_every_framing, Downloads, SLOWEST_READ_RATE};
pub use faults::FaultInjection;
pub use folder::StateFolder;
pub use load::{Clients, EchoBackends, Outcomes};
pub use process::{run_to_exit, ProxyProcess};
pub use servers::{
    accept_at_either, accept_request_at_either, unique_address, FullListener, ScriptedServer,
    WatchStream,
};
pub use settings::{endpoint, settings, MEMORY_MB};
pub use spawn_lock::spawn_locked;

use std::future::Future;
use std::time::Duration;

/// Longest time that a test waits for one thing.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits for `future`, and fails the test after [`TEST_TIMEOUT`]. `what` is a noun phrase for what
/// is waited for; the failure names it. The timeout only ends tests that hang; it checks no timing
/// of the proxy.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, future)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {what}"))
}
