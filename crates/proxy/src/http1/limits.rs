//! Limits on the size and the pace of messages. They hold for requests and for responses.

use std::time::Duration;

/// Largest body, in bytes, of a request or a response; a message with a larger one is rejected or,
/// if it is streamed already, aborted.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// Bodies up to this size, in bytes, are buffered completely, so that a request can be retried and
/// an incomplete response never reaches a client. Larger ones are streamed, and so is a successful
/// response of unknown length that takes long to receive.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// Memory in bytes that a message holds while it is streamed from one connection to the other, besides
/// enlarged read buffers.
pub const STREAMING_BYTES: usize = 32 << 10;

/// Memory in bytes by which the read buffer of a connection grows when much of a message is read at
/// once.
pub const ENLARGED_BUFFER_BYTES: usize = 56 << 10;

/// Largest head of a message, in bytes, including the heads of the interim responses before it.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum number of header lines in a head.
pub const MAX_HEADERS: usize = 100;

/// A streamed message is aborted if no byte of it is read or written for this long.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
