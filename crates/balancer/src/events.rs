//! The events that the embedding process reports to the balancer, and the data that they carry.

use crate::ids::{BackendId, CellId, ClassId, MachineTypeId, RequestId, TenantId, TimerId, ZoneId};
use crate::load_report::LoadReport;
use crate::time::Time;
use std::time::Duration;

/// The state of a backend according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new requests.
    Active,
    /// It finishes the requests that it has and takes no new ones.
    Draining,
    /// It is no longer listed. Attempts may still be in flight there.
    Removed,
}

/// One entry of the endpoint list: a backend's placement, state, weight and start time.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The backend that the entry describes.
    pub backend: BackendId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The type of the machine that it runs on.
    pub machine_type: MachineTypeId,
    /// The cell of backends with which it shares seen idempotency keys.
    pub cell: CellId,
    /// Whether it takes requests, drains or is removed.
    pub state: EndpointState,
    /// Its size relative to other backends. It is used only if
    /// [`Settings::endpoint_weights_given`](crate::Settings::endpoint_weights_given) is set.
    pub weight: f64,
    /// The latest time at which its process can have started; `None` if that is long ago.
    pub started_at: Option<Time>,
    /// When its process has probably started; `None` if that is long ago. It equals `started_at` or
    /// is earlier, which happens where the start was measured by a clock that may have been
    /// stepped.
    pub likely_started_at: Option<Time>,
}

/// The kind of an [`Event::EndpointList`]: what its entries mean, and whether discovery was
/// reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The complete list as last known, which may be out of date.
    Cached,
    /// Only the entries that changed.
    Delta,
    /// The complete current list; backends that it does not name are removed.
    Snapshot,
    /// A call to discovery failed or the watch broke. The entries are not applied: the list known
    /// so far stays valid.
    Failed,
}

/// How an attempt or a load probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend answered without an error.
    Success,
    /// The backend answered with an error.
    ServerError,
    /// The backend rejected the attempt without executing it.
    Rejected,
    /// No response came in time. The attempt may have been executed.
    TimedOut,
    /// No connection could be established, so the attempt was never executed.
    ConnectFailed,
    /// The connection broke. The attempt may have been executed.
    ConnectionReset,
    /// The node cancelled the attempt, which may have been executed.
    Cancelled,
    /// The node did not send the attempt, so this says nothing about the backend.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the backend never executed the attempt.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// A client request that has arrived at this node.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// The request's id, which must not be reused at this node.
    pub request: RequestId,
    /// Its request class. A position beyond the settings' list counts as the last class.
    pub class: ClassId,
    /// Its tenant. Without such a tenant in the settings, no quota applies to the request.
    pub tenant: TenantId,
    /// Time until the client stops waiting, which sets the deadline.
    pub remaining: Duration,
    /// Expected service time on a standard core, or `None` if it is not known.
    pub work: Option<Duration>,
    /// Whether part of its body has not been received yet. If so, its time and that of its attempts
    /// count from [`Event::RequestBodyReceived`].
    pub body_pending: bool,
}

/// The result of an attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request that the attempt served.
    pub request: RequestId,
    /// Number of the attempt within the request, counted from 0.
    pub attempt: u32,
    /// The backend at which it was made.
    pub backend: BackendId,
    /// How the attempt ended, and so whether it may have been executed.
    pub outcome: AttemptOutcome,
    /// Time from the attempt's start to its end.
    pub latency: Duration,
    /// Whether the client no longer waits for a response, so that the request is not retried.
    pub request_closed: bool,
    /// The load report that the backend sent with its response, if any.
    pub load_report: Option<LoadReport>,
}

/// The result of a load probe that has ended.
#[derive(Clone, Copy, Debug)]
pub struct LoadProbeResult {
    /// The backend that was probed.
    pub backend: BackendId,
    /// How the probe ended; the load report counts only after a success.
    pub outcome: AttemptOutcome,
    /// Time from sending the probe to its end.
    pub latency: Duration,
    /// The load report in the backend's answer, if any.
    pub load_report: Option<LoadReport>,
}

/// An event that the embedding process reports to the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list or a delta arrived, or the attempt to get one failed.
    EndpointList {
        /// What the entries are: a complete list or changes to it.
        update: ListUpdate,
        /// The entries of the complete list, or those that changed.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived; it expects a final response.
    RequestArrived(RequestArrival),
    /// The last byte of a request's body has been received and forwarded.
    RequestBodyReceived {
        /// The request whose body is complete.
        request: RequestId,
    },
    /// A backend's response has started and is being streamed to the client.
    ResponseStarted {
        /// The request that is answered.
        request: RequestId,
        /// Number of the attempt within the request, counted from 0.
        attempt: u32,
        /// Time from the attempt's start to the start of the response.
        latency: Duration,
    },
    /// An attempt ended, with or without a response.
    AttemptEnded(AttemptResult),
    /// The client disconnected and no longer waits for a response.
    ClientDisconnected {
        /// The request that it had sent.
        request: RequestId,
    },
    /// A timer that [`Action::SetTimer`](crate::Action::SetTimer) asked for fired.
    TimerFired {
        /// The timer's id from that action.
        timer: TimerId,
    },
    /// A load probe ended, with or without an answer.
    LoadProbeEnded(LoadProbeResult),
}
