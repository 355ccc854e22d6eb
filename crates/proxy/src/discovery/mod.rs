//! The discovery client: endpoint lists on the wire, and the watch that follows their changes.

mod client;
mod json_lines;
pub mod state;
pub mod watch_loop;
pub mod wire;
