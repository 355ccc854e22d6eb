//! Client connections: accepting, reading requests, writing final responses.

pub mod listener;
mod request_head;
