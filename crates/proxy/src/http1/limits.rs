//! Limits on the size and the pace of messages, for both directions.

use std::time::Duration;

/// Largest body that is accepted, in either direction.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// Bodies up to this size are buffered completely, so that a request can be retried and a broken
/// response never reaches a client.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// Largest head of a message, including the interim responses before it.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

/// Most header lines in a head.
pub const MAX_HEADERS: usize = 100;

/// A streamed message of which no byte is read or written for this long is given up.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
