//! Whether the last byte of a request has arrived at this machine, although the node has not read it.
//!
//! While a backend takes no more of a large body, nobody reads the rest of it from the client. The time
//! of the request counts all the same from when the system has received its last byte.

use crate::http1::chunked_end::{ends_chunked_body, MAX_END_BYTES};
use crate::socket::{peek_end, unread_bytes};
use std::cell::{Cell, RefCell};
use tokio::net::TcpStream;

/// What a client still has to send of a body, as far as the node has read it.
#[derive(Default)]
pub struct UnreadBody {
    framing: Cell<Framing>,
    /// The last bytes that were read of a chunked body.
    end_of_read: RefCell<Vec<u8>>,
    /// Number of unread bytes at the last look at a chunked body.
    last_unread: Cell<Option<usize>>,
}

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Framing {
    /// This many bytes of it were not read yet.
    Length(u64),
    /// By its last chunk.
    Chunked,
    /// There is no body.
    #[default]
    None,
}

impl UnreadBody {
    /// Starts a body of which this many bytes are to be read; `None` if it is chunked.
    pub fn start(&self, unread: Option<u64>) {
        let framing = unread.map_or(Framing::Chunked, Framing::Length);
        self.framing.set(framing);
        self.end_of_read.borrow_mut().clear();
        self.last_unread.set(None);
    }

    /// Records that bytes of the body were read.
    pub fn record_read(&self, bytes: &[u8]) {
        match self.framing.get() {
            Framing::Length(unread) => {
                let unread = unread.saturating_sub(bytes.len() as u64);
                self.framing.set(Framing::Length(unread));
            }
            Framing::Chunked => self.append_to_end(bytes),
            Framing::None => {}
        }
    }

    /// Keeps the last [`MAX_END_BYTES`] of what was read.
    fn append_to_end(&self, bytes: &[u8]) {
        let mut end = self.end_of_read.borrow_mut();
        end.extend_from_slice(&bytes[bytes.len().saturating_sub(MAX_END_BYTES)..]);
        let excess = end.len().saturating_sub(MAX_END_BYTES);
        end.drain(..excess);
    }

    /// Whether the system has received the last byte of the body. For a chunked body it tells that only
    /// if nothing was received since the call before.
    pub fn has_arrived(&self, socket: &TcpStream) -> bool {
        match self.framing.get() {
            Framing::None => true,
            Framing::Length(unread) => unread_bytes(socket) as u64 >= unread,
            Framing::Chunked => self.has_chunked_end(socket),
        }
    }

    fn has_chunked_end(&self, socket: &TcpStream) -> bool {
        let unread = unread_bytes(socket);
        if self.last_unread.replace(Some(unread)) != Some(unread) {
            return false;
        }
        let mut end = self.end_of_read.borrow().clone();
        if unread > 0 {
            end.extend_from_slice(&peek_end::<MAX_END_BYTES>(socket, unread));
        }
        ends_chunked_body(&end)
    }
}
