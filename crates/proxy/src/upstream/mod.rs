//! Backends: their addresses and states, the connections to them, and the exchanges over these.
//!
//! [`backend_registry`] follows endpoint lists and the operators, [`pool`] owns the connections, and
//! [`exchange`] sends one request over one of them. Nothing here knows what a request is for or
//! whether it is tried again.

pub mod backend;
pub mod backend_registry;
mod connection;
pub mod exchange;
mod load_report_header;
pub mod pool;
pub mod response;

pub use connection::MAX_WRITE_BUFFER;
