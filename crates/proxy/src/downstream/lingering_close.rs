//! Lingering close: reads what a client still sends before its connection is closed.
//!
//! Closing a socket with unread bytes resets the connection. The reset may overtake the response
//! that says what was wrong with those bytes, and the client would lose that response.

use crate::downstream::connection::ClientConnection;
use crate::http1::limits::MAX_BODY_BYTES;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum number of bytes that are read and discarded after a request was rejected.
pub const MAX_LINGER_BYTES: usize = 256 << 10;

/// How long input is read and discarded after a request was rejected.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for more input, after which the client counts as having stopped writing.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(1);

/// Reads and discards what the client still sends, if it was sent a response before all of its
/// request was read. The caller closes the connection afterwards.
///
/// Returns immediately for any other connection, whose close then resets it if it has unread bytes:
/// the client sent them before it noticed the close. They were not processed, and the client may
/// send them again.
pub async fn linger(connection: &ClientConnection) {
    let socket = connection.socket();
    if connection.last_request_rejected() {
        connection.start_lingering();
        let discarding = discard_input(socket, MAX_LINGER_BYTES);
        let _ = timeout(LINGER_TIMEOUT, discarding).await;
    }
    if connection.upload_unfinished() {
        connection.start_lingering();
        // A client that pauses may go on, and must not lose a response that it is still receiving.
        while discard_input(socket, MAX_BODY_BYTES as usize).await == DiscardEnd::Paused
            && connection.is_delivering()
        {}
    }
}

/// Why [`discard_input`] ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardEnd {
    /// The peer has ended the connection, or it failed.
    Closed,
    /// Nothing was received for [`MAX_WRITE_PAUSE`].
    Paused,
    /// The largest number of bytes was read.
    LimitReached,
}

/// Reads and discards input until the peer ends the connection, an error, a pause of
/// [`MAX_WRITE_PAUSE`], or `max_bytes`, which the last read may exceed.
pub async fn discard_input(socket: &TcpStream, max_bytes: usize) -> DiscardEnd {
    let mut buffer = [0; 4096];
    let mut discarded = 0;
    while discarded < max_bytes {
        match timeout(MAX_WRITE_PAUSE, socket.readable()).await {
            Err(_) => return DiscardEnd::Paused,
            Ok(Err(_)) => return DiscardEnd::Closed,
            Ok(Ok(())) => {}
        }
        match socket.try_read(&mut buffer) {
            Ok(0) => return DiscardEnd::Closed,
            Ok(length) => discarded += length,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return DiscardEnd::Closed,
        }
    }
    DiscardEnd::LimitReached
}
