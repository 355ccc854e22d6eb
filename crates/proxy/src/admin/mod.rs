//! The operators' address: health, drain and maintenance calls.

pub mod server;
