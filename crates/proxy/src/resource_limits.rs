//! Computes how many connections the descriptors and the memory of the process allow.

use crate::downstream::connection_table::{CONNECTION_BYTES, MAX_SURPLUS_CONNECTIONS};
use rustix::process::{getrlimit, Resource};

/// Number of descriptors kept for standard streams, the listener, discovery, files and the runtime.
const PROCESS_DESCRIPTORS: usize = 16;
/// Number of descriptors kept for everything other than the usual connections to clients and backends.
const RESERVED_DESCRIPTORS: usize = PROCESS_DESCRIPTORS + MAX_SURPLUS_CONNECTIONS;
/// Memory in bytes of the mapped program, which all processes of the node share.
const PROGRAM_BYTES: usize = 4 << 20;
/// Memory in bytes that a process holds besides its program, its backends, connections and messages.
pub const BASE_BYTES: usize = 2 << 20;
/// The part of the other memory that the allocator loses to fragmentation is one divided by this.
const FRAGMENTATION_DIVISOR: usize = 5;
/// Client connections without a request may hold the memory budget divided by this.
const IDLE_CLIENTS_DIVISOR: usize = 2;

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

/// Largest numbers of connections at a time, and the memory for them and their messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSizes {
    /// Connections from all clients together.
    pub client_connections: usize,
    /// Connections to all backends together.
    pub upstream_connections: usize,
    /// Memory in bytes that backends, connections and messages may hold together.
    pub memory_bytes: usize,
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
    /// Clients get at most half of the descriptors, and backends the others. That gives clients more
    /// connections than they need for requests; the remaining ones are for idle connections.
    pub fn pool_sizes(&self, peer_process_running: bool) -> PoolSizes {
        let processes = if peer_process_running { 2 } else { 1 };
        let descriptors = (self.node_descriptors / processes)
            .min(self.process_descriptors)
            .saturating_sub(self.reserved_descriptors)
            .max(2);
        let usable_bytes = (self.node_memory_bytes.saturating_sub(PROGRAM_BYTES) / processes)
            .saturating_sub(BASE_BYTES);
        let memory_bytes = usable_bytes - usable_bytes / FRAGMENTATION_DIVISOR;
        let idle_clients = memory_bytes / IDLE_CLIENTS_DIVISOR / CONNECTION_BYTES;
        let client_connections = (descriptors / 2).min(idle_clients).max(1);
        PoolSizes {
            client_connections,
            upstream_connections: descriptors - client_connections,
            memory_bytes,
        }
    }
}
