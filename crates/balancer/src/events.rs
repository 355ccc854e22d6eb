//! Events that the embedding process reports to the balancer.

use crate::ids::{BackendId, CellId, ClassId, MachineTypeId, RequestId, TenantId, TimerId, ZoneId};
use crate::load_report::LoadReport;
use crate::time::Time;
use std::time::Duration;

/// What the endpoint list says of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Active,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
    /// Its weight, of use where
    /// [`Settings::endpoint_weights_given`](crate::Settings::endpoint_weights_given).
    pub weight: f64,
    /// The latest time at which it can have started; `None` for long ago.
    pub started_at: Option<Time>,
    /// When it has probably started: the same or earlier; `None` for long ago. They differ where the
    /// start is known by a clock that may have been stepped.
    pub likely_started_at: Option<Time>,
}

/// What an [`Event::EndpointList`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list as last known; it may be old.
    Cached,
    /// Changed entries.
    Delta,
    /// The whole list.
    Snapshot,
    /// A call failed or the watch broke; the list held stays valid.
    Failed,
}

/// How an attempt or a load probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A response without an error.
    Success,
    /// The backend answered with an error.
    ServerError,
    /// The backend rejected it without executing it.
    Rejected,
    /// No response in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke.
    ConnectionReset,
    /// Cancelled by the node.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt was never executed.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if the deployment has tenants.
    pub tenant: TenantId,
    /// Time until the client stops waiting.
    pub remaining: Duration,
    /// Expected work on a standard core, if known.
    pub work: Option<Duration>,
    /// More of its body is to come: its time and its attempts' begin with
    /// [`Event::RequestBodyReceived`].
    pub body_pending: bool,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// Its backend.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it started.
    pub latency: Duration,
    /// The request needs no response any more.
    pub request_closed: bool,
    /// The backend's load report, if one came along.
    pub load_report: Option<LoadReport>,
}

/// The end of a load probe.
#[derive(Clone, Copy, Debug)]
pub struct LoadProbeResult {
    /// The backend.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since it was sent.
    pub latency: Duration,
    /// The backend's load report, if one came along.
    pub load_report: Option<LoadReport>,
}

/// An event that the embedding process reports to the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list or changes to it.
    EndpointList {
        /// What it holds.
        update: ListUpdate,
        /// Its entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived.
    RequestArrived(RequestArrival),
    /// The last byte of a request's body has been received and forwarded.
    RequestBodyReceived {
        /// The request.
        request: RequestId,
    },
    /// A streamed response has begun.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Time since the attempt started.
        latency: Duration,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client disconnected; it is owed nothing.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer fired.
    TimerFired {
        /// Which.
        timer: TimerId,
    },
    /// A load probe ended.
    LoadProbeEnded(LoadProbeResult),
}
