//! The listener for clients: accepts connections, bounds their number, and starts a task for each.

use crate::downstream::accept::{handle_accept_error, AcceptQueue, QueuedConnection};
use crate::downstream::connection::ClientConnection;
use crate::downstream::connection_table::{ConnectionSlot, ConnectionTable};
use crate::downstream::connection_task::ConnectionTask;
use crate::downstream::request_handler::RequestHandler;
use crate::endpoint_updates::EndpointUpdates;
use crate::memory_budget::MemoryBudget;
use crate::requests::dispatcher::Dispatcher;
use crate::shutdown::{PhaseProgress, ShutdownPhase};
use balancer::Idempotency;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Interval at which the timeouts of all connections are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long connections are still accepted in [`ShutdownPhase::Closing`]. A client that sends a
/// request while its idle connection is being closed connects again, and must find a listener.
const RECONNECT_GRACE: Duration = Duration::from_millis(100);

/// Accepts client connections, checks their timeouts, and owns the table that holds them.
pub struct Listener {
    dispatcher: Rc<Dispatcher>,
    handler: Rc<RequestHandler>,
    phase: watch::Receiver<ShutdownPhase>,
    connections: Rc<ConnectionTable>,
    /// The earliest instant at which a connection may have entered the accept queue.
    listening_since: Instant,
}

impl Listener {
    /// Creates a listener that holds at most `max_connections` at a time. Its socket, which
    /// [`Listener::serve`] gets, may have received connections since `listening_since`.
    /// `idempotency_by_class` is indexed by class; connections and requests reserve `memory`.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        endpoint_updates: Rc<EndpointUpdates>,
        idempotency_by_class: Vec<Idempotency>,
        memory: Rc<MemoryBudget>,
        max_connections: usize,
        listening_since: Instant,
        phase: watch::Receiver<ShutdownPhase>,
    ) -> Rc<Self> {
        let handler = RequestHandler::new(
            dispatcher.clone(),
            endpoint_updates,
            idempotency_by_class,
            memory.clone(),
            phase.clone(),
        );
        let connections =
            ConnectionTable::new(max_connections, memory, dispatcher.metrics().clone());
        Rc::new(Listener {
            dispatcher,
            handler: Rc::new(handler),
            phase,
            connections,
            listening_since,
        })
    }

    /// Accepts connections until the process closes or hands its listener over, then waits until
    /// the last connection has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let timeouts = spawn_local(self.clone().check_timeouts());
        let queue = AcceptQueue::new(listener, self.listening_since);
        self.accept_until_closing(queue).await;
        self.connections.wait_until_empty().await;
        timeouts.abort();
    }

    /// Whether any connection is reading the head of a request or owes a response, or would lose the
    /// end of its response by being closed.
    pub fn has_requests_in_progress(&self) -> bool {
        self.connections.has_requests_in_progress()
    }

    /// Counts the responses that the exit of the process cuts off.
    pub fn count_cut_responses(&self) {
        let unwritten = self.connections.unwritten_responses();
        let metrics = self.dispatcher.metrics();
        metrics.count(|c| c.responses_cut += unwritten);
    }

    /// Changes the maximum number of connections. If more are open, those without a request in
    /// flight are evicted.
    pub fn resize(&self, max_connections: usize) {
        self.connections.resize(max_connections);
    }

    /// Closes connections whose timeouts have expired, at each [`TIMEOUT_CHECK_INTERVAL`].
    async fn check_timeouts(self: Rc<Self>) {
        let mut interval = tokio::time::interval(TIMEOUT_CHECK_INTERVAL);
        let mut phase = *self.phase.borrow();
        let mut phase_since = Instant::now();
        loop {
            interval.tick().await;
            let current = *self.phase.borrow();
            if current != phase {
                phase = current;
                phase_since = Instant::now();
            }
            self.connections.close_expired(PhaseProgress {
                current,
                age: phase_since.elapsed(),
            });
        }
    }

    /// Accepts connections until the process closes or hands its listener over. Returning closes
    /// this process's descriptor of the listening socket.
    async fn accept_until_closing(&self, mut queue: AcceptQueue) {
        let mut closing = std::pin::pin!(self.closing());
        loop {
            // The end of accepting does not interrupt the wait for a slot: connections in the
            // accept queue may hold requests and would be lost when the socket closes. A listener
            // that is handed over stays open in the peer process, and so does its queue.
            let slot = self.connections.acquire_slot().await;
            if *self.phase.borrow() == ShutdownPhase::HandingOver {
                return;
            }
            tokio::select! {
                biased; // Empties the queue before the listener closes, for the same reason.
                accepted = queue.accept() => match accepted {
                    Ok(connection) => self.start_connection(connection, slot),
                    Err(error) => handle_accept_error(&self.dispatcher, "accept", &error).await,
                },
                () = &mut closing => return,
            }
        }
    }

    /// Waits until no more connections are to be accepted: until [`ShutdownPhase::HandingOver`], or
    /// until [`RECONNECT_GRACE`] after [`ShutdownPhase::Closing`].
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

    /// Starts the task that serves an accepted connection, which holds `slot` until it ends.
    fn start_connection(&self, accepted: QueuedConnection, slot: ConnectionSlot) {
        let _ = accepted.stream.set_nodelay(true);
        let connection = ClientConnection::new(
            accepted.stream,
            accepted.queued_since,
            self.connections.memory().clone(),
        );
        let metrics = self.dispatcher.metrics();
        metrics.count(|c| c.connections_accepted += 1);
        // The connection is inserted before its task first runs: a burst of connections may take
        // all slots before the runtime polls their tasks, and only connections in the table can be
        // evicted.
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
