//! The faults of a plan: what goes wrong in a run, when and for how long.

use super::{BackendIndex, NodeIndex};
use std::time::Duration;

/// How a backend responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendBehavior {
    /// Executes them and responds with 200.
    Normal,
    /// Executes them and never responds.
    Hang,
    /// Executes them and responds with 500.
    ServerError,
    /// Does not execute them, and says so in its response (503 with `X-Not-Processed`).
    Reject,
    /// Reads the whole request, executes it and resets the connection without a response.
    Reset,
    /// Executes them, responds with half a head and resets the connection.
    PartialResponse,
    /// Executes them, responds with bytes that are not HTTP and closes the connection.
    Garbage,
    /// Executes them, responds with 200, and closes the connection soon after without having
    /// announced it.
    CloseAfterResponse,
    /// Like [`Reject`](Self::Reject), but responds only after a delay.
    RejectLate,
}

/// The behaviors that a plan draws from for [`Fault::Misbehave`]. Their order decides what a seed
/// draws.
pub(super) const FAULTY_BEHAVIORS: [BackendBehavior; 7] = [
    BackendBehavior::Hang,
    BackendBehavior::ServerError,
    BackendBehavior::Reject,
    BackendBehavior::Reset,
    BackendBehavior::PartialResponse,
    BackendBehavior::Garbage,
    BackendBehavior::CloseAfterResponse,
];

/// A group of system calls of a node, and the way in which they fail at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCallFault {
    /// `accept` fails with errors that concern the one connection or the whole system.
    Accept,
    /// `socket` and `connect` fail with errors.
    Connect,
    /// `epoll_wait` and `poll` are interrupted (EINTR).
    InterruptedWaits,
    /// Reads and writes transfer only a few bytes.
    ShortIo,
    /// Reads from connections fail with ETIMEDOUT or EHOSTUNREACH.
    BrokenConnections,
}

/// All groups, which a plan draws from for [`Fault::FailSystemCalls`]. Their order decides what a
/// seed draws.
pub(super) const SYSTEM_CALL_FAULTS: [SystemCallFault; 5] = [
    SystemCallFault::Accept,
    SystemCallFault::Connect,
    SystemCallFault::InterruptedWaits,
    SystemCallFault::ShortIo,
    SystemCallFault::BrokenConnections,
];

/// A kind of fault, or an action of operators, and the nodes or backends that it affects. "For a
/// while" means for [`ScheduledFault::duration`].
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// These nodes get SIGTERM, and are started again once they have exited.
    TerminateNodes(Vec<NodeIndex>),
    /// These nodes get SIGKILL, and are started again immediately.
    KillNodes(Vec<NodeIndex>),
    /// These nodes get a configuration with another address of discovery, and SIGHUP to reload it.
    ReloadNodes(Vec<NodeIndex>),
    /// These backends begin to drain, and go on responding.
    DrainBackends(Vec<BackendIndex>),
    /// These backends are removed from the endpoint list, and go on responding.
    RemoveBackends(Vec<BackendIndex>),
    /// These backends restart under the same ids: their connections are reset and their slow start
    /// begins.
    RestartBackends(Vec<BackendIndex>),
    /// These backends, which were not listed before, start and are added to the endpoint list.
    JoinBackends(Vec<BackendIndex>),
    /// These backends behave in this way for a while.
    Misbehave(Vec<BackendIndex>, BackendBehavior),
    /// Discovery resets every call and watch for a while.
    DiscoveryDown,
    /// Discovery sends nothing on calls and watches for a while, but leaves their connections open.
    /// A call or watch on which something was due in that time stays silent afterwards.
    DiscoverySilent,
    /// Discovery delays its responses by this duration for a while.
    DiscoverySlow(Duration),
    /// All open watches are reset once.
    ResetWatches,
    /// System calls of these nodes fail at random for a while.
    FailSystemCalls(Vec<NodeIndex>, SystemCallFault),
    /// These nodes pause at random between reading events and reacting to them, for a while.
    PauseNodes(Vec<NodeIndex>),
    /// The wall clock of these nodes is set this many seconds ahead of the system's, or behind it
    /// if the number is negative.
    StepWallClock(Vec<NodeIndex>, i64),
    /// Some clients disconnect before their response, for a while.
    ImpatientClients,
    /// Some clients are replaced by peers that send a malformed or incomplete request, for a while.
    MalformedPeers,
    /// A new process of each of these nodes takes over from the old one, which then gets SIGTERM.
    UpgradeNodes(Vec<NodeIndex>),
    /// Operators put this backend into maintenance at these nodes, and make it ready again after a
    /// while.
    Maintenance(Vec<NodeIndex>, BackendIndex),
    /// The system calls by which these nodes store their operator state fail at random, for a
    /// while.
    FailStateWrites(Vec<NodeIndex>),
    /// A surge of traffic: requests come at this multiple of the usual rate, for a while.
    Crowd(f64),
}

/// A fault with its time and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When it begins, from the start of the traffic.
    pub at: Duration,
    /// How long it lasts. Ignored for faults that happen at one moment.
    pub duration: Duration,
    /// What goes wrong, and where.
    pub fault: Fault,
}
