//! What the proxy adds to hyper's HTTP/1.1, for both directions: strict message framing, the filter
//! between a socket and hyper, limits on messages, and streamed bodies.

pub mod body;
pub mod chunked_end;
pub mod download;
pub mod enlarged_buffer;
pub mod error;
pub mod framing;
pub mod head_filter;
pub mod hop_by_hop;
pub mod limits;
pub mod upload;
