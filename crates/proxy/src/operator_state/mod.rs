//! Maintenance and drain state that outlives a process, and is shared with a peer process of the same
//! node during an upgrade.

mod file_lock;
pub mod store;
