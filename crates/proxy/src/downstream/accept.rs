//! Accepts connections and records since when each may have waited in the accept queue, so that
//! this time counts towards the client's timeout for the first request.

use crate::downstream::close_reason::CloseReason;
use crate::requests::dispatcher::Dispatcher;
use crate::transient_errors;
use std::future::poll_fn;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Pause after an accept that failed for lack of a resource, such as descriptors or memory: the
/// next one would fail as well.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A listening socket, with what is known about the age of the connections in its accept queue.
pub struct AcceptQueue {
    listener: TcpListener,
    /// When the queue was last known to be empty; at first, when the socket may have begun to
    /// listen.
    empty_at: Instant,
}

/// A connection taken from the accept queue.
pub struct QueuedConnection {
    /// The accepted connection; nothing has been read from it yet.
    pub stream: TcpStream,
    /// The earliest instant at which the connection may have entered the queue.
    pub queued_since: Instant,
}

impl AcceptQueue {
    /// Creates the queue of a listener that may have received connections since `listening_since`.
    pub fn new(listener: TcpListener, listening_since: Instant) -> Self {
        AcceptQueue {
            listener,
            empty_at: listening_since,
        }
    }

    /// Accepts the next connection. One that is available immediately may have entered the queue at
    /// any time since the queue was last known to be empty; one that had to be waited for entered
    /// it just now.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call. The queue stays usable, and the next call may succeed;
    /// see [`handle_accept_error`].
    ///
    /// # Cancellation
    ///
    /// Cancel safe: a cancelled call takes no connection from the queue.
    pub async fn accept(&mut self) -> std::io::Result<QueuedConnection> {
        let mut was_empty = false;
        poll_fn(|cx| {
            let polled = self.listener.poll_accept(cx);
            was_empty |= polled.is_pending();
            if was_empty {
                self.empty_at = Instant::now();
            }
            polled.map_ok(|(stream, _)| QueuedConnection {
                stream,
                queued_since: self.empty_at,
            })
        })
        .await
    }
}

/// Handles a failed accept, after which the caller accepts again.
///
/// A failure of one connection is counted as [`CloseReason::ClosedBeforeAccept`]. Any other is
/// logged after the name of the `operation`, and followed by a pause, since the next accept would
/// fail as well.
pub async fn handle_accept_error(dispatcher: &Dispatcher, operation: &str, error: &std::io::Error) {
    if transient_errors::is_single_connection_error(error) {
        dispatcher
            .metrics()
            .count_rejected_message(CloseReason::ClosedBeforeAccept);
        return;
    }
    dispatcher.log(format_args!("{operation}: {error}"));
    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
}
