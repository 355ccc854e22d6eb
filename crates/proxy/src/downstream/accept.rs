//! Accepting connections, with the time that they may have waited in the accept queue.

use crate::downstream::close_reason::CloseReason;
use crate::requests::dispatcher::Dispatcher;
use crate::transient_errors;
use std::future::poll_fn;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Pause after an accept that failed for want of resources.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A listening socket and its accept queue.
pub struct AcceptQueue {
    listener: TcpListener,
    /// When the queue was last known to be empty.
    empty_at: Instant,
}

/// A connection taken from the accept queue.
pub struct QueuedConnection {
    /// The connection.
    pub stream: TcpStream,
    /// The earliest instant at which it may have entered the queue.
    pub queued_since: Instant,
}

impl AcceptQueue {
    /// The queue of a listener that may have received connections since `listening_since`.
    pub fn new(listener: TcpListener, listening_since: Instant) -> Self {
        AcceptQueue {
            listener,
            empty_at: listening_since,
        }
    }

    /// Accepts a connection. One that is there at once may have entered the queue as soon as it was
    /// last empty.
    ///
    /// # Errors
    ///
    /// Returns the system's error, after which the next call may succeed.
    ///
    /// # Cancellation
    ///
    /// Cancel safe: no connection is lost.
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

/// Logs a failed accept, and pauses if the next one would fail as well.
pub async fn handle_accept_error(dispatcher: &Dispatcher, operation: &str, error: &std::io::Error) {
    if transient_errors::is_single_connection_error(error) {
        dispatcher
            .stats()
            .count_rejected_message(CloseReason::ClosedBeforeAccept);
        return;
    }
    dispatcher.log(format_args!("{operation}: {error}"));
    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
}
