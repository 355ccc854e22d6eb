//! The discovery client: parses endpoint lists and keeps the current list up to date by a watch, a
//! long-lived response on which discovery sends changes.

mod client;
mod json_objects;
pub mod state;
pub mod watch_loop;
pub mod wire;
