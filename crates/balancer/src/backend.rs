//! The state that the balancer keeps about one backend: its endpoint entry, price, load, speed and
//! this node's attempts in flight.

use crate::estimators::{FailureFraction, SpeedEstimate, WorkRate};
use crate::events::{Endpoint, EndpointState};
use crate::ids::{BackendId, CellId, MachineTypeId, ZoneId};
use crate::load_report::LoadReport;
use crate::random::Random;
use crate::settings::{ProtocolLimits, RequestClass};
use crate::slow_start;
use crate::time::Time;
use std::time::Duration;

/// Weight of a backend whose weight in the endpoint list is not a positive finite number.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The load of a backend according to its load reports and to attempts that indicated an overload.
pub struct ReportedLoad {
    /// The latest report whose utilization is finite and not negative; empty before the first.
    pub report: LoadReport,
    /// Load in units of the backend's capacity, according to that report or to a later attempt that
    /// indicated an overload. `None` before the first report, and once failures that indicate no
    /// overload have discarded it.
    pub load: Option<f64>,
    /// When `load` was last set to a value; before that, when the backend was listed.
    pub reported_at: Time,
    /// Requests served per second by the latest report, 0 if it gave none.
    pub throughput: f64,
}

impl ReportedLoad {
    fn new(now: Time) -> Self {
        ReportedLoad {
            report: LoadReport::default(),
            load: None,
            reported_at: now,
            throughput: 0.0,
        }
    }
}

/// The load of a backend according to its answers to load probes.
pub struct LoadProbeState {
    /// Requests in flight by the latest answer, corrected by this node's own attempts that have
    /// since started there, ended, or begun to respond. `None` before the first answer that gives a
    /// load.
    pub in_flight: Option<f64>,
    /// When that answer arrived; before that, when the backend was listed.
    pub answered_at: Time,
    /// When the probe in flight was sent; `None` if none is in flight.
    pub sent_at: Option<Time>,
}

impl LoadProbeState {
    fn new(now: Time) -> Self {
        LoadProbeState {
            in_flight: None,
            answered_at: now,
            sent_at: None,
        }
    }

    /// Returns the requests in flight if the latest answer is younger than `max_age` seconds.
    pub fn recent_in_flight(&self, now: Time, max_age: f64) -> Option<f64> {
        self.in_flight
            .filter(|_| (now - self.answered_at).as_secs_f64() < max_age)
    }

    /// Whether a probe is in flight that was sent less than `timeout` seconds ago.
    pub fn is_awaited(&self, now: Time, timeout: f64) -> bool {
        self.sent_at
            .is_some_and(|sent_at| (now - sent_at).as_secs_f64() < timeout)
    }
}

/// The state kept about one backend, from its first listing until it is removed from the list and
/// has no attempt in flight.
pub struct Backend {
    /// The backend's id, which stays the same when its process restarts.
    pub id: BackendId,
    /// Sort key of the backend in this node's order, a pseudo-random number from the node's seed
    /// and the backend's id.
    pub rank: u64,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The type of the machine that it runs on.
    pub machine_type: MachineTypeId,
    /// The cell of backends with which it shares seen idempotency keys.
    pub cell: CellId,
    /// Its state in the endpoint list; `Removed` once it is no longer listed.
    pub state: EndpointState,
    /// Its weight in the endpoint list, or the default weight if that is not a positive finite
    /// number.
    pub weight: f64,
    /// The latest time at which its process can have started; `None` for long ago. Slow start
    /// counts from it.
    pub started_at: Option<Time>,
    /// When its process has probably started: the same or earlier; `None` for long ago.
    likely_started_at: Option<Time>,
    /// Whether it is used like a warm backend although it may still be in slow start.
    pub counts_as_warm: bool,
    /// Its price, at least 0, relative to the number of active backends (φ/n).
    pub price: f64,
    /// The time up to which price steps have been applied.
    pub price_updated_at: Time,
    /// Its load according to its load reports.
    pub reported: ReportedLoad,
    /// Its capacity in requests per second, where throughput is reported.
    pub speed: SpeedEstimate,
    /// Work and latency of its latest responses, where throughput is not reported.
    pub work_rate: WorkRate,
    /// When the speed or the work rate last received a sample.
    pub sampled_at: Time,
    /// Fraction of its latest responses that failed.
    pub failures: FailureFraction,
    /// Fraction of this node's recent attempts that it was due by its share, up to a factor common
    /// to all backends.
    pub recent_share: f64,
    /// When an attempt last ended there without a failure of its connection; `None` before that.
    pub connected_at: Option<Time>,
    /// Start times of this node's attempts in flight there, except those that still wait for the
    /// request's body or whose response has started.
    pub in_flight: Vec<Time>,
    /// Its load according to its answers to load probes.
    pub probe: LoadProbeState,
}

impl Backend {
    /// Creates the state of a backend that has just been listed, with the initial `price`.
    /// `rank_seed` makes this node's order of backends differ from that of other nodes.
    pub fn new(now: Time, endpoint: &Endpoint, rank_seed: u64, price: f64) -> Self {
        let has_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        Backend {
            id: endpoint.backend,
            rank: Random::new(rank_seed ^ u64::from(endpoint.backend.0)).next_u64(),
            zone: endpoint.zone,
            machine_type: endpoint.machine_type,
            cell: endpoint.cell,
            state: endpoint.state,
            weight: if has_weight {
                endpoint.weight
            } else {
                DEFAULT_WEIGHT
            },
            started_at: endpoint.started_at,
            likely_started_at: endpoint.likely_started_at,
            counts_as_warm: false,
            price,
            price_updated_at: now,
            reported: ReportedLoad::new(now),
            speed: SpeedEstimate::default(),
            work_rate: WorkRate::default(),
            sampled_at: now,
            failures: FailureFraction::default(),
            recent_share: 0.0,
            connected_at: None,
            in_flight: Vec::new(),
            probe: LoadProbeState::new(now),
        }
    }

    /// Applies an entry of the endpoint list to a known backend.
    ///
    /// An entry with another start time means that the process was restarted: only the attempts in
    /// flight are kept, everything else is reset, and the price starts at `price` again.
    pub fn apply(&mut self, now: Time, endpoint: &Endpoint, rank_seed: u64, price: f64) {
        let mut listed = Backend::new(now, endpoint, rank_seed, price);
        if endpoint.started_at.is_some() && endpoint.started_at != self.started_at {
            listed.in_flight = std::mem::take(&mut self.in_flight);
            *self = listed;
        } else {
            self.state = listed.state;
            self.weight = listed.weight;
            self.zone = listed.zone;
            self.machine_type = listed.machine_type;
            self.cell = listed.cell;
            self.likely_started_at = listed.likely_started_at;
        }
    }

    /// Whether its state in the endpoint list is active, so that it may receive attempts.
    pub fn is_active(&self) -> bool {
        self.state == EndpointState::Active
    }

    /// Whether the class's allowed zones and machine types include this backend's.
    pub fn is_allowed_for(&self, class: &RequestClass) -> bool {
        let allows_zone = class
            .allowed_zones
            .as_ref()
            .is_none_or(|zones| zones.contains(&self.zone));
        let allows_machine_type = class
            .allowed_machine_types
            .as_ref()
            .is_none_or(|machine_types| machine_types.contains(&self.machine_type));
        allows_zone && allows_machine_type
    }

    /// Returns the fraction of its full capacity that it certainly has under slow start, up to 1.
    pub fn available_capacity(&self, limits: &ProtocolLimits, now: Time) -> f64 {
        slow_start::available_capacity(limits, self.started_at, now)
    }

    /// Returns the fraction of its full capacity that may be used: the available capacity, or 1 if
    /// the backend counts as warm.
    pub fn usable_capacity(&self, limits: &ProtocolLimits, now: Time) -> f64 {
        if self.counts_as_warm {
            1.0
        } else {
            self.available_capacity(limits, now)
        }
    }

    /// Whether its slow start is probably over, by its likely start time, but not certainly.
    pub fn is_probably_warm(&self, limits: &ProtocolLimits, now: Time) -> bool {
        self.is_warming_up(limits, now)
            && slow_start::available_capacity(limits, self.likely_started_at, now) >= 1.0
    }

    /// Whether it may still be in slow start, with less than its full capacity.
    pub fn is_warming_up(&self, limits: &ProtocolLimits, now: Time) -> bool {
        self.available_capacity(limits, now) < 1.0
    }

    /// Whether a connection to it is certain to be open: one was in use less than `idle_timeout`
    /// ago.
    pub fn is_connected(&self, now: Time, idle_timeout: Duration) -> bool {
        self.connected_at
            .is_some_and(|connected_at| now < connected_at + idle_timeout)
    }

    /// Returns for how long, in seconds, the oldest attempt in flight there has been unanswered, or
    /// `None` if none is in flight.
    pub fn oldest_unanswered_seconds(&self, now: Time) -> Option<f64> {
        self.in_flight
            .first()
            .map(|&started_at| (now - started_at).as_secs_f64())
    }

    /// Removes the attempt that started at `started_at`, because its response has started or it has
    /// ended: from this node's attempts in flight, and from the requests in flight that the latest
    /// answer to a load probe gave. Does nothing if there is no such attempt.
    pub fn release_in_flight(&mut self, started_at: Time) {
        let Some(position) = self.in_flight.iter().position(|&at| at == started_at) else {
            return;
        };
        self.in_flight.remove(position);
        self.probe.in_flight = self
            .probe
            .in_flight
            .map(|in_flight| (in_flight - 1.0).max(0.0));
    }
}
