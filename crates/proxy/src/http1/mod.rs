//! HTTP/1.1 messages on raw sockets: head filtering and streamed bodies.

pub mod head_filter;
pub mod streaming;
