//! Backends: their addresses and states, the connections to them, and exchanges on these.
//!
//! [`backend_registry`] follows endpoint lists and the operator state, [`pool`] owns the idle
//! connections, and [`exchange`] sends one request on one connection. Nothing in this module knows
//! what a request is for or whether it is retried.

pub mod backend;
pub mod backend_registry;
mod connection;
pub mod exchange;
mod load_report_header;
pub mod pool;
mod received_response;
pub mod response;

pub use connection::MAX_WRITE_BUFFER_BYTES;
