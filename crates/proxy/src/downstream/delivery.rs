//! Whether a peer still takes the output that a socket holds.
//!
//! A socket delivers what it holds after its close too, unless input is unread at the close or
//! arrives later: then the connection is reset, and the peer loses what it has not received.

use crate::http1::limits::STALL_TIMEOUT;
use crate::socket::unacknowledged_bytes;
use std::cell::Cell;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Follows the output of a socket to which nothing more is written.
pub struct Delivery {
    /// Number of bytes that the peer had not acknowledged at the last update.
    unacknowledged: Cell<usize>,
    /// When the peer was last known to have acknowledged bytes; at first, when nothing more was to be
    /// written.
    last_progress: Cell<Instant>,
}

impl Delivery {
    /// Starts to follow the output of `socket`.
    pub fn start(socket: &TcpStream) -> Self {
        Delivery {
            unacknowledged: Cell::new(unacknowledged_bytes(socket)),
            last_progress: Cell::new(Instant::now()),
        }
    }

    /// Notices what the peer has acknowledged. Progress counts from the call that notices it.
    pub fn update(&self, socket: &TcpStream) {
        let unacknowledged = unacknowledged_bytes(socket);
        if unacknowledged < self.unacknowledged.replace(unacknowledged) {
            self.last_progress.set(Instant::now());
        }
    }

    /// Whether the peer has still to receive some of the output, and has received any of it within
    /// [`STALL_TIMEOUT`], by the last update.
    pub fn is_pending(&self) -> bool {
        self.unacknowledged.get() > 0 && self.last_progress.get().elapsed() < STALL_TIMEOUT
    }
}
