//! Eviction: selects the connections that are closed when new connections need their slots.

use crate::downstream::close_reason::CloseReason;
use crate::downstream::connection::{ClientConnection, MIN_IDLE_TIME};
use crate::downstream::connection_state::ConnectionState;
use crate::metrics::Metrics;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum age of a new connection that is evicted: a request that the client sent right after the
/// handshake may still arrive.
const MIN_TIME_FOR_FIRST_BYTES: Duration = Duration::from_millis(10);

/// Minimum age of an incomplete head whose connection is evicted, counted as in
/// [`ConnectionState::ReadingHead`].
const MIN_TIME_FOR_HEAD: Duration = Duration::from_millis(200);

/// Minimum time for which a client has sent nothing of a body, after which its request is refused. A client
/// that sends steadily pauses for less.
const MIN_BODY_STALL: Duration = Duration::from_millis(400);

/// Closes up to `limit` connections that owe no response and have no unread bytes, or whose request has a
/// body that has stalled and is refused. Starts with those that have been in their state
/// ([`ConnectionState::since`]), or have stalled, for the longest. Those younger than the minimum age for
/// their state are kept.
pub fn evict<'c>(
    connections: impl Iterator<Item = &'c Rc<ClientConnection>>,
    limit: usize,
    metrics: &Metrics,
) {
    let mut evictable: Vec<_> = connections
        .filter_map(|connection| Some((evictable_since(connection)?, connection)))
        .collect();
    evictable.sort_unstable_by_key(|(since, _)| *since);
    evictable.truncate(limit);
    for (_, connection) in &evictable {
        if matches!(connection.state(), ConnectionState::RequestInFlight { .. }) {
            connection.evict_body();
        } else {
            metrics.count_rejected_message(eviction_reason(connection.state()));
            connection.close();
        }
    }
}

/// Returns since when a connection makes no progress; `None` if it may not be evicted.
fn evictable_since(connection: &ClientConnection) -> Option<Instant> {
    let state = connection.state();
    let min_age = match state {
        ConnectionState::AwaitingFirstRequest { .. } => MIN_TIME_FOR_FIRST_BYTES,
        ConnectionState::ReadingHead { .. } | ConnectionState::HeadTimedOut { .. } => {
            MIN_TIME_FOR_HEAD
        }
        ConnectionState::Idle { .. } => MIN_IDLE_TIME,
        ConnectionState::RequestInFlight { .. } => {
            let stalled_since = connection.body_stalled_since();
            return stalled_since.filter(|since| since.elapsed() >= MIN_BODY_STALL);
        }
        ConnectionState::StreamingResponse { .. }
        | ConnectionState::FlushingResponse { .. }
        | ConnectionState::Closing { .. }
        | ConnectionState::ClientDisconnected { .. } => return None,
    };
    let is_evictable = state.since().elapsed() >= min_age && connection.may_close().is_ok();
    is_evictable.then(|| state.since())
}

fn eviction_reason(state: ConnectionState) -> CloseReason {
    match state {
        ConnectionState::AwaitingFirstRequest { .. } => CloseReason::EvictedBeforeRequest,
        ConnectionState::ReadingHead { .. } | ConnectionState::HeadTimedOut { .. } => {
            CloseReason::EvictedWithIncompleteHead
        }
        _ => CloseReason::EvictedIdle,
    }
}
