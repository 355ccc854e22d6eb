//! The discovery client: endpoint lists on the wire, and the watch that follows their changes.

pub mod client;
pub mod state;
pub mod watch_loop;
