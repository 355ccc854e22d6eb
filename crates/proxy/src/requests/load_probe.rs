//! Asks a backend for its load on behalf of the balancer.

use crate::upstream::backend::Backend;
use crate::upstream::exchange::UpstreamClient;
use balancer::{AttemptOutcome, BackendId, LoadProbeResult};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which a load probe is of use: the balancer picks among probed backends within a few
/// milliseconds.
const LOAD_PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// The result for a backend that is not listed any more.
pub fn unsent_probe(backend: BackendId) -> LoadProbeResult {
    LoadProbeResult {
        backend,
        outcome: AttemptOutcome::NotSent,
        latency: Duration::ZERO,
        load_report: None,
    }
}

/// Sends a load probe, reports its result, and releases the connection for reuse. Its latency counts
/// from `started_at`.
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
