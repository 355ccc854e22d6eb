//! The stored operator state: maintenance and drain. It outlives a process and is shared with the
//! peer process of the same node during an upgrade.

mod file_lock;
pub mod store;
