//! Maintenance and drain state that outlives a process.

pub mod store;
