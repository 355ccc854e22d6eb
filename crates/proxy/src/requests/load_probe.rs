//! Load probes: requests sent on behalf of the balancer to ask a backend for its load.

use crate::upstream::backend::Backend;
use crate::upstream::exchange::UpstreamClient;
use balancer::{AttemptOutcome, BackendId, LoadProbeResult};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of a load probe. A later answer is useless, since the balancer chooses among the probed
/// backends within a few milliseconds.
const LOAD_PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns the result of a load probe that was not sent because its backend is no longer listed.
pub fn unsent_probe_result(backend: BackendId) -> LoadProbeResult {
    LoadProbeResult {
        backend,
        outcome: AttemptOutcome::NotSent,
        latency: Duration::ZERO,
        load_report: None,
    }
}

/// Sends a load probe, passes its result to `on_result`, and then releases the connection for
/// reuse. The reported latency counts from `started_at`.
pub async fn run_load_probe(
    client: Rc<UpstreamClient>,
    backend: Rc<Backend>,
    started_at: Instant,
    on_result: impl FnOnce(LoadProbeResult),
) {
    let exchange = client.send_load_probe(&backend, LOAD_PROBE_TIMEOUT).await;
    on_result(LoadProbeResult {
        backend: backend.id(),
        outcome: exchange.outcome,
        latency: started_at.elapsed(),
        load_report: exchange.load_report,
    });
    if let Some(connection) = exchange.connection {
        client.pool().release(&backend, connection).await;
    }
}
