//! The state that the balancer keeps of one backend.

use crate::estimators::{FailureFraction, SpeedEstimate, WorkRate};
use crate::events::{Endpoint, EndpointState};
use crate::ids::{BackendId, CellId, MachineTypeId, ZoneId};
use crate::load_report::LoadReport;
use crate::random::Random;
use crate::settings::{ProtocolLimits, RequestClass};
use crate::slow_start;
use crate::time::Time;
use std::time::Duration;

/// Weight of a backend for which the endpoint list gives no usable one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// What a backend has reported of its load.
pub struct ReportedLoad {
    /// The latest report.
    pub report: LoadReport,
    /// Load in units of the backend's capacity, by that report or by an overloaded attempt since.
    pub load: Option<f64>,
    /// When `load` was set.
    pub reported_at: Time,
    /// Requests per second by the latest report, 0 where it gave none.
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

/// The load of a backend by its answers to load probes.
pub struct LoadProbeState {
    /// Requests in flight by the latest answer, with what this node has sent and got back since.
    pub in_flight: Option<f64>,
    /// When that answer came.
    pub answered_at: Time,
    /// When the probe that is not answered yet was sent.
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

    /// Requests in flight by an answer younger than `max_age` seconds.
    pub fn recent_in_flight(&self, now: Time, max_age: f64) -> Option<f64> {
        self.in_flight
            .filter(|_| (now - self.answered_at).as_secs_f64() < max_age)
    }

    /// Whether a probe that was sent less than `timeout` seconds ago is not answered yet.
    pub fn is_awaited(&self, now: Time, timeout: f64) -> bool {
        self.sent_at
            .is_some_and(|sent_at| (now - sent_at).as_secs_f64() < timeout)
    }
}

/// The state kept of one backend.
pub struct Backend {
    /// Its id.
    pub id: BackendId,
    /// Its position in this node's own order of backends.
    pub rank: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: CellId,
    /// What the endpoint list says of it.
    pub state: EndpointState,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// The latest time at which its process can have started, if that is recent.
    pub started_at: Option<Time>,
    /// When its process has probably started, if that is recent.
    likely_started_at: Option<Time>,
    /// It is used like a warm backend although a slow start cannot be ruled out.
    pub counts_as_warm: bool,
    /// Its price, relative to the number of active backends.
    pub price: f64,
    /// The time up to which the price is updated.
    pub price_updated_at: Time,
    /// Its load reports.
    pub reported: ReportedLoad,
    /// Its capacity, where throughput is reported.
    pub speed: SpeedEstimate,
    /// Work and latency of its latest responses, where throughput is not reported.
    pub work_rate: WorkRate,
    /// When the speed or the work rate was last sampled.
    pub sampled_at: Time,
    /// Its latest failures.
    pub failures: FailureFraction,
    /// Fraction of this node's recent attempts that were due there, up to a common factor.
    pub recent_share: f64,
    /// When this node last had a connection to it.
    pub connected_at: Option<Time>,
    /// Start times of the attempts in flight there.
    pub in_flight: Vec<Time>,
    /// Its load probes.
    pub probe: LoadProbeState,
}

impl Backend {
    /// A backend that was just listed. `rank_seed` sets this node's order of backends apart from
    /// those of other nodes.
    pub fn new(now: Time, endpoint: &Endpoint, rank_seed: u64, price: f64) -> Self {
        let has_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        Backend {
            id: endpoint.backend,
            rank: Random::new(rank_seed ^ u64::from(endpoint.backend.0)).bits(),
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

    /// Takes in a changed entry of the endpoint list.
    ///
    /// Of a process that was restarted nothing is known but the attempts still in flight.
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

    /// Whether the endpoint list has it as active.
    pub fn is_active(&self) -> bool {
        self.state == EndpointState::Active
    }

    /// Whether requests of a class may go there at all, by zone and machine type.
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

    /// Fraction of its full capacity that it has for certain (slow start).
    pub fn available_capacity(&self, limits: &ProtocolLimits, now: Time) -> f64 {
        slow_start::available_capacity(limits, self.started_at, now)
    }

    /// Fraction of its full capacity that may be used.
    pub fn usable_capacity(&self, limits: &ProtocolLimits, now: Time) -> f64 {
        if self.counts_as_warm {
            1.0
        } else {
            self.available_capacity(limits, now)
        }
    }

    /// Whether its slow start is probably over, without that being certain.
    pub fn is_probably_warm(&self, limits: &ProtocolLimits, now: Time) -> bool {
        self.is_warming_up(limits, now)
            && slow_start::available_capacity(limits, self.likely_started_at, now) >= 1.0
    }

    /// Whether it may have less than its full capacity still.
    pub fn is_warming_up(&self, limits: &ProtocolLimits, now: Time) -> bool {
        self.available_capacity(limits, now) < 1.0
    }

    /// Whether a connection to it is certain to be open still.
    pub fn is_connected(&self, now: Time, idle_timeout: Duration) -> bool {
        self.connected_at
            .is_some_and(|connected_at| now < connected_at + idle_timeout)
    }

    /// Seconds for which the oldest attempt in flight there has been unanswered.
    pub fn longest_unanswered(&self, now: Time) -> Option<f64> {
        self.in_flight
            .first()
            .map(|&started_at| (now - started_at).as_secs_f64())
    }

    /// Removes the attempt that started at `started_at` from those in flight: it is answered or has
    /// ended.
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
