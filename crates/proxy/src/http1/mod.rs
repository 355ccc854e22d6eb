//! HTTP/1.1 on raw sockets: message framing, the filter between a socket and hyper, and bodies that
//! are streamed.

pub mod body;
pub mod download;
pub mod error;
pub mod framing;
pub mod head_filter;
pub mod hop_by_hop;
pub mod limits;
pub mod upload;
