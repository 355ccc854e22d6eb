//! A proxy process under test, and scripted clients, backends and discovery around it.

#![allow(dead_code, unused_imports)] // Each test file uses its part.

mod builder;
mod connection;
mod faults;
mod folder;
mod process;
mod servers;
mod settings;
mod spawn_lock;

pub use builder::{serve, serve_with_admin, serve_with_faults, ProxyBuilder};
pub use connection::{Connection, Message};
pub use faults::FaultInjection;
pub use folder::StateFolder;
pub use process::{run_to_exit, ProxyProcess};
pub use servers::{full_listener, unique_address, ScriptedServer, WatchStream};
pub use settings::{endpoint, settings, MEMORY_MB};
pub use spawn_lock::spawn_locked;

use std::future::Future;
use std::time::Duration;

/// Longest time for which a test waits.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Fails a test that waits for something that never comes; nothing is measured by it.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, future)
        .await
        .unwrap_or_else(|_| panic!("{what}: nothing came"))
}
