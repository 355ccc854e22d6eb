//! The clients' listener: accepts connections and starts a task for each.

use crate::downstream::accept::{handle_accept_error, AcceptQueue, QueuedConnection};
use crate::downstream::connection::ClientConnection;
use crate::downstream::connection_table::{ConnectionSlot, ConnectionTable};
use crate::downstream::connection_task::ConnectionTask;
use crate::downstream::request_handler::RequestHandler;
use crate::endpoint_updates::EndpointUpdates;
use crate::requests::dispatcher::Dispatcher;
use crate::shutdown::ShutdownPhase;
use balancer::Idempotency;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How often the timeouts of all connections are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long connections are still accepted in [`ShutdownPhase::Closing`]: a client that sends a
/// request while its idle connection is being closed connects again, and finds a listener.
const RECONNECT_GRACE: Duration = Duration::from_millis(100);

/// Accepts client connections, and owns them.
pub struct Listener {
    dispatcher: Rc<Dispatcher>,
    handler: Rc<RequestHandler>,
    phase: watch::Receiver<ShutdownPhase>,
    connections: Rc<ConnectionTable>,
    /// Connections may have entered the accept queue since then.
    listening_since: Instant,
}

impl Listener {
    /// A listener for at most `max_connections` at a time, which may have been made since
    /// `listening_since`.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        endpoint_updates: Rc<EndpointUpdates>,
        idempotency_by_class: Vec<Idempotency>,
        max_connections: usize,
        listening_since: Instant,
        phase: watch::Receiver<ShutdownPhase>,
    ) -> Rc<Self> {
        let handler = RequestHandler::new(
            dispatcher.clone(),
            endpoint_updates,
            idempotency_by_class,
            phase.clone(),
        );
        let connections = ConnectionTable::new(max_connections, dispatcher.metrics().clone());
        Rc::new(Listener {
            dispatcher,
            handler: Rc::new(handler),
            phase,
            connections,
            listening_since,
        })
    }

    /// Accepts connections until the process closes, then waits until the last of them has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let timeouts = spawn_local(self.clone().check_timeouts());
        let queue = AcceptQueue::new(listener, self.listening_since);
        self.accept_until_closing(queue).await;
        self.connections.wait_until_empty().await;
        timeouts.abort();
    }

    /// Whether a request is being read or is in flight.
    pub fn has_requests_in_progress(&self) -> bool {
        self.connections.has_requests_in_progress()
    }

    /// Changes the greatest number of connections.
    pub fn resize(&self, max_connections: usize) {
        self.connections.resize(max_connections);
    }

    async fn check_timeouts(self: Rc<Self>) {
        let mut interval = tokio::time::interval(TIMEOUT_CHECK_INTERVAL);
        loop {
            interval.tick().await;
            let phase = *self.phase.borrow();
            self.connections.close_expired(phase);
        }
    }

    /// Accepts connections until the process closes or hands its listener over, and closes the
    /// listener.
    async fn accept_until_closing(&self, mut queue: AcceptQueue) {
        let mut closing = std::pin::pin!(self.closing());
        loop {
            // Not interrupted when the process closes: connections in the accept queue may hold
            // requests, and would be lost with the socket. A listener that is handed over lives on,
            // and so does its queue.
            let slot = self.connections.acquire_slot().await;
            if *self.phase.borrow() == ShutdownPhase::HandingOver {
                return;
            }
            tokio::select! {
                biased; // For the same reason the queue is emptied before the listener closes.
                accepted = queue.accept() => match accepted {
                    Ok(connection) => self.start_connection(connection, slot),
                    Err(error) => handle_accept_error(&self.dispatcher, "accept", &error).await,
                },
                () = &mut closing => return,
            }
        }
    }

    /// Waits until no more connections are to be accepted.
    async fn closing(&self) {
        let mut phases = self.phase.clone();
        let phase = phases
            .wait_for(|phase| *phase >= ShutdownPhase::HandingOver)
            .await
            .map_or(ShutdownPhase::Closing, |phase| *phase);
        if phase == ShutdownPhase::Closing {
            tokio::time::sleep(RECONNECT_GRACE).await;
        }
    }

    fn start_connection(&self, accepted: QueuedConnection, slot: ConnectionSlot) {
        let _ = accepted.stream.set_nodelay(true);
        let connection = ClientConnection::new(accepted.stream, accepted.queued_since);
        let metrics = self.dispatcher.metrics();
        metrics.count(|c| c.connections_accepted += 1);
        // Inserted before its task runs: a burst may take all slots within one turn of the runtime,
        // and only connections in the table can be evicted.
        let open_connection = self.connections.insert(connection, slot);
        let task = ConnectionTask::new(
            open_connection,
            self.handler.clone(),
            self.phase.clone(),
            metrics.clone(),
        );
        spawn_local(task.run());
    }
}
