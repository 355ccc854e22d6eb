//! The client side of the proxy: accepts connections, reads and validates requests, hands them to
//! the dispatcher, and writes final responses.

pub mod accept;
mod close_reason;
mod connection;
mod connection_state;
pub mod connection_table;
mod connection_task;
pub mod delivery;
mod eviction;
pub mod lingering_close;
pub mod listener;
mod request_handler;
mod request_head;
mod responses;
mod unread_body;
