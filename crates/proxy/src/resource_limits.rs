//! How many connections the process's descriptors and memory allow.

use rustix::process::{getrlimit, Resource};

/// Descriptors for all that is neither client nor backend: standard streams, the listener, discovery
/// and the runtime.
const RESERVED_DESCRIPTORS: usize = 32;
/// Memory that one request uses at most: its body and response, and the buffers of both connections.
const MAX_REQUEST_BYTES: usize = 200 << 10;

/// What the process may use. Half of it while a peer process of the same node runs.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Descriptors of the node's processes together.
    node_descriptors: usize,
    /// Descriptors that the system allows this process.
    process_descriptors: usize,
    /// Descriptors that are needed for other purposes.
    reserved_descriptors: usize,
    /// Memory of the node's processes together.
    node_memory_bytes: usize,
}

/// How many connections there may be at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSizes {
    /// From clients.
    pub client_connections: usize,
    /// To all backends together.
    pub upstream_connections: usize,
}

impl ResourceLimits {
    /// The limits of a node, and those that the system has set for this process.
    /// `admin_descriptors` are for the admin server.
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

    /// The sizes of the connection pools, with or without a peer process of the node.
    ///
    /// Three quarters of the memory are for requests. Clients and backends share the descriptors;
    /// that gives clients more than they need for requests, and the rest is for idle connections.
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
