//! Computes how many connections the descriptors and the memory of the process allow.

use rustix::process::{getrlimit, Resource};

/// Number of descriptors kept for everything other than connections to clients and backends:
/// standard streams, the listener, discovery and the runtime.
const RESERVED_DESCRIPTORS: usize = 32;
/// Largest memory in bytes that one request uses: for its body, its response and the buffers of
/// both connections.
const MAX_REQUEST_BYTES: usize = 200 << 10;

/// The resources that the process may use. It has half of the node's resources while a peer process
/// of the same node runs.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Number of descriptors for the node's processes together.
    node_descriptors: usize,
    /// Number of descriptors that the system allows this process.
    process_descriptors: usize,
    /// Number of descriptors that are not available for connections to clients and backends.
    reserved_descriptors: usize,
    /// Memory in bytes for the node's processes together.
    node_memory_bytes: usize,
}

/// Largest numbers of connections at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSizes {
    /// Connections from all clients together.
    pub client_connections: usize,
    /// Connections to all backends together.
    pub upstream_connections: usize,
}

impl ResourceLimits {
    /// Creates the limits from those of the node and from the limit on descriptors that the system
    /// has set for this process. `admin_descriptors` is the number that the admin server needs.
    pub fn new(
        node_descriptors: usize,
        node_memory_bytes: usize,
        admin_descriptors: usize,
    ) -> Self {
        let process_descriptors = getrlimit(Resource::Nofile)
            .current
            .and_then(|limit| usize::try_from(limit).ok())
            .unwrap_or(usize::MAX);
        ResourceLimits {
            node_descriptors,
            process_descriptors,
            reserved_descriptors: RESERVED_DESCRIPTORS + admin_descriptors,
            node_memory_bytes,
        }
    }

    /// Returns the sizes of the connection pools, with or without a peer process of the node.
    ///
    /// Three quarters of the memory are for requests. Clients get at most half of the descriptors,
    /// and backends the others. That gives clients more connections than they need for requests;
    /// the remaining ones are for idle connections.
    pub fn pool_sizes(&self, peer_process_running: bool) -> PoolSizes {
        let processes = if peer_process_running { 2 } else { 1 };
        let descriptors = (self.node_descriptors / processes)
            .min(self.process_descriptors)
            .saturating_sub(self.reserved_descriptors)
            .max(2);
        let requests_in_memory = self.node_memory_bytes / processes / 4 * 3 / MAX_REQUEST_BYTES;
        let client_connections = (descriptors / 2).min(requests_in_memory).max(1);
        PoolSizes {
            client_connections,
            upstream_connections: descriptors - client_connections,
        }
    }
}
