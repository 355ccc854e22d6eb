//! What goes wrong in a run, and when.

use super::{BackendIndex, NodeIndex};
use std::time::Duration;

/// How a backend treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendBehavior {
    /// Serves them.
    Normal,
    /// Never responds.
    Hang,
    /// Responds with 500.
    ServerError,
    /// Responds that it has not executed them.
    Reject,
    /// Resets the connection once it has read the whole request.
    Reset,
    /// Responds with half a head and resets the connection.
    PartialResponse,
    /// Responds with bytes that are no HTTP.
    Garbage,
    /// Serves them, and closes the connection soon after without announcing it.
    CloseAfterResponse,
    /// Responds after a while that it has not executed them.
    RejectLate,
}

/// The behaviors that are drawn for any fault, in the order in which they are drawn.
pub(super) const FAULTY_BEHAVIORS: [BackendBehavior; 7] = [
    BackendBehavior::Hang,
    BackendBehavior::ServerError,
    BackendBehavior::Reject,
    BackendBehavior::Reset,
    BackendBehavior::PartialResponse,
    BackendBehavior::Garbage,
    BackendBehavior::CloseAfterResponse,
];

/// System calls of nodes that fail at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCallFault {
    /// `accept` fails, for reasons of one connection or of the system.
    Accept,
    /// `socket` and `connect` fail.
    Connect,
    /// `epoll_wait` and `poll` are interrupted.
    InterruptedWaits,
    /// Reads and writes move a few bytes only.
    ShortIo,
    /// Connections break with ETIMEDOUT or EHOSTUNREACH.
    BrokenConnections,
}

/// All faults of system calls, in the order in which they are drawn.
pub(super) const SYSTEM_CALL_FAULTS: [SystemCallFault; 5] = [
    SystemCallFault::Accept,
    SystemCallFault::Connect,
    SystemCallFault::InterruptedWaits,
    SystemCallFault::ShortIo,
    SystemCallFault::BrokenConnections,
];

/// What goes wrong. Nodes and backends are named by their positions.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nodes get SIGTERM, and start again once they have ended.
    TerminateNodes(Vec<NodeIndex>),
    /// Nodes get SIGKILL, and start again at once.
    KillNodes(Vec<NodeIndex>),
    /// Nodes get a configuration with another address of discovery, and SIGHUP.
    ReloadNodes(Vec<NodeIndex>),
    /// Backends begin to drain, and stay up.
    DrainBackends(Vec<BackendIndex>),
    /// Backends leave the endpoint list, and go on responding.
    RemoveBackends(Vec<BackendIndex>),
    /// Backends restart under the same id.
    RestartBackends(Vec<BackendIndex>),
    /// Backends that were not listed before start and join.
    JoinBackends(Vec<BackendIndex>),
    /// Backends behave like this for a while.
    Misbehave(Vec<BackendIndex>, BackendBehavior),
    /// Discovery refuses every call and ends its watches for a while.
    DiscoveryDown,
    /// Open watches and calls of discovery get no more bytes for a while.
    DiscoverySilent,
    /// Discovery delays its responses by this much for a while.
    DiscoverySlow(Duration),
    /// All open watches are reset once.
    ResetWatches,
    /// System calls of nodes fail for a while.
    FailSystemCalls(Vec<NodeIndex>, SystemCallFault),
    /// Nodes pause at times between reading events and reacting to them, for a while.
    PauseNodes(Vec<NodeIndex>),
    /// The wall clock of nodes is set this many seconds ahead of the system's.
    StepWallClock(Vec<NodeIndex>, i64),
    /// Clients disconnect before their response, for a while.
    ImpatientClients,
    /// Peers that send no proper request come, for a while.
    MalformedPeers,
    /// A new process of these nodes takes over from the old one, which then gets SIGTERM.
    UpgradeNodes(Vec<NodeIndex>),
    /// Operators of these nodes take a backend out of use, and put it back after a while.
    Maintenance(Vec<NodeIndex>, BackendIndex),
    /// These nodes cannot write their operator state, for a while.
    FailStateWrites(Vec<NodeIndex>),
    /// Requests come at this multiple of the usual rate, for a while.
    Crowd(f64),
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When it begins, from the beginning of the traffic.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub duration: Duration,
    /// What goes wrong.
    pub fault: Fault,
}
