//! What the decision module remembers: plain data, no decisions.

use crate::logic::{
    allowed, KIND_PRIOR, PART_WINDOW, RATE_WINDOW, REPORT_LIFE, RETRY_MOST, TENANT_WINDOW,
};
use crate::{
    Action, AttemptOutcome, BackendId, BackendSnapshot, BalancerSnapshot, CellId, ClassId,
    Endpoint, EndpointState, ListUpdate, LoadReport, LoadReporting, MachineTypeId, ProtocolLimits,
    RequestClass, RequestId, Settings, SettingsError, Time, TimerId, ZoneId,
};
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// A rate that forgets with time.
pub(crate) struct Rate {
    count: f64,
    began: Time,
    at: Time,
    window: f64,
}

impl Rate {
    pub(crate) fn new(now: Time, window: f64) -> Self {
        Rate {
            count: 0.0,
            began: now,
            at: now,
            window,
        }
    }

    /// The same for a rate that is still young.
    pub(crate) fn young(&mut self, now: Time) -> f64 {
        let rate = self.add(now, 0.0);
        let seen = (now - self.began).as_secs_f64().max(1.0) / self.window;
        rate / (1.0 - (-seen).exp())
    }

    /// The rate a second, left as it is.
    pub(crate) fn read(&self, now: Time) -> f64 {
        self.count * (-(now - self.at).as_secs_f64() / self.window).exp() / self.window
    }

    /// Counts `amount` and returns the rate a second.
    pub(crate) fn add(&mut self, now: Time, amount: f64) -> f64 {
        self.count = self.count * (-(now - self.at).as_secs_f64() / self.window).exp() + amount;
        self.at = now;
        self.count / self.window
    }
}

pub(crate) struct Backend {
    pub id: BackendId,
    /// Place in this node's own order of backends.
    pub rank: u64,
    pub zone: ZoneId,
    pub kind: MachineTypeId,
    pub cell: CellId,
    pub state: EndpointState,
    pub weight: f64,
    pub started: Option<Time>,
    /// Price over the number of ready backends.
    pub price: f64,
    /// Prices are stepped up to here.
    pub stepped: Time,
    /// The latest report ...
    pub report: LoadReport,
    /// ... and the load by it, or by an attempt that met more.
    pub load: Option<f64>,
    /// When that report came.
    pub reported: Time,
    /// Requests a second by that report.
    pub rate: f64,
    /// Smoothed capacity in requests a second, or inverse latency where no rates are reported.
    pub speed: f64,
    /// Samples that `speed` rests on.
    pub sample_weight: f64,
    /// Work on a standard core and time of its latest answers, where no rates are reported.
    pub work_rate: WorkRate,
    /// When the last of them came.
    pub answered: Time,
    /// Part of its latest answers that failed, and how many it is of.
    pub failing: (f64, f64),
    /// Part of this node's sends that went there of late, up to a factor.
    pub share: f64,
    /// When this node last had a connection to it.
    pub connected: Option<Time>,
    /// Send times of the attempts that are out.
    pub in_flight: Vec<Time>,
    /// Requests held by the latest answer to a probe, with what this node has sent and got back
    /// since.
    pub held: Option<f64>,
    /// When that answer came.
    pub heard: Time,
    /// When the probe that is out was sent.
    pub probing: Option<Time>,
}

impl Backend {
    pub(crate) fn new(entry: &Endpoint, salt: u64, price: f64, now: Time) -> Self {
        Backend {
            id: entry.backend,
            rank: Xoshiro256PlusPlus::seed_from_u64(salt ^ u64::from(entry.backend.0)).next_u64(),
            zone: entry.zone,
            kind: entry.machine_type,
            cell: entry.cell,
            state: entry.state,
            weight: if entry.weight.is_finite() && entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            },
            started: entry.started_at,
            price,
            stepped: now,
            report: LoadReport::default(),
            load: None,
            reported: now,
            rate: 0.0,
            speed: 0.0,
            sample_weight: 0.0,
            work_rate: WorkRate::default(),
            answered: now,
            failing: (0.0, 0.0),
            share: 0.0,
            connected: None,
            in_flight: Vec::new(),
            held: None,
            heard: now,
            probing: None,
        }
    }

    /// Part of its capacity that it surely has by now.
    pub(crate) fn available_capacity(&self, rules: &ProtocolLimits, now: Time) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let age = (now - started).as_secs_f64() / rules.slow_start_duration.as_secs_f64().max(1e-9);
        (rules.slow_start_initial_capacity + (1.0 - rules.slow_start_initial_capacity) * age)
            .min(1.0)
    }

    /// Whether a connection is surely open still.
    pub(crate) fn connected(&self, now: Time, idle: Duration) -> bool {
        self.connected.is_some_and(|at| now < at + idle)
    }

    /// Counts an answer among the latest few and returns the part of them that failed.
    pub(crate) fn note_answer(&mut self, failed: bool, memory: f64) -> f64 {
        let (part, count) = &mut self.failing;
        *count = (*count + 1.0).min(memory);
        *part += (f64::from(u8::from(failed)) - *part) / *count;
        *part
    }

    pub(crate) fn learn(&mut self, now: Time, sample: f64, memory: f64) {
        self.sample_weight = (self.sample_weight + 1.0).min(memory);
        self.speed += (sample - self.speed) / self.sample_weight;
        self.answered = now;
    }
}

/// How fast answers come for their work: means of both over the latest ones, so that long answers
/// count by their length.
#[derive(Clone, Copy, Default)]
pub(crate) struct WorkRate {
    work: f64,
    time: f64,
    pub count: f64,
}

impl WorkRate {
    pub(crate) fn learn(&mut self, work: f64, time: f64, memory: f64) {
        self.count = (self.count + 1.0).min(memory);
        self.work += (work - self.work) / self.count;
        self.time += (time - self.time) / self.count;
    }

    /// Work done a second, once anything is known.
    pub(crate) fn speed(&self) -> Option<f64> {
        (self.work > 0.0 && self.time > 0.0).then(|| self.work / self.time)
    }
}

/// Mean requests held and busy part of backends that are not saturated.
#[derive(Default)]
pub(crate) struct InFlightBaseline {
    held: f64,
    busy: f64,
}

impl InFlightBaseline {
    pub(crate) fn learn(&mut self, usual: bool, held: f64, busy: f64) {
        if usual {
            self.held += (held - self.held) / 64.0;
            self.busy += (busy - self.busy) / 64.0;
        }
    }

    /// The busy part that usually goes with so many held.
    pub(crate) fn load(&self, held: f64) -> f64 {
        held * self.busy / self.held.max(1.0)
    }
}

pub(crate) struct Attempt {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Time,
    pub ended: bool,
    pub may_have_run: bool,
    /// It needed a new connection.
    pub new_connection: bool,
}

impl Attempt {
    /// Whether it may have run, or may yet.
    pub(crate) fn may_have_executed(&self) -> bool {
        !self.ended || self.may_have_run
    }
}

pub(crate) struct Request {
    pub class: ClassId,
    pub arrived: Time,
    pub ends: Time,
    pub work: Option<f64>,
    /// More of its body is to come.
    pub body_pending: bool,
    /// A final answer is owed.
    pub open: bool,
    /// A streamed answer has begun.
    pub begun: bool,
    pub attempts: Vec<Attempt>,
    /// Servers probed for it, with the load each has answered.
    pub candidates: Vec<(BackendId, Option<f64>)>,
}

impl Request {
    pub(crate) fn idle(&self) -> bool {
        self.attempts.iter().all(|a| a.ended)
    }
}

/// What the share solution needs of a backend: `max_share` bounds its share.
pub(crate) struct ShareInput {
    pub price: f64,
    pub speed: f64,
    pub max_share: f64,
}

/// What a node keeps for each class: it draws from shares over the backends open to the class.
pub(crate) struct ClassAllocation {
    /// Shares of the ready backends, of sum at most `open`; 0 where the class may not go.
    pub shares: Vec<f64>,
    /// Ready backends open to the class.
    pub eligible_backends: f64,
    pub lambda: f64,
    /// When that was last moved.
    pub shed_updated: Time,
    /// Mean work of a request.
    pub work: f64,
    /// Part of the arrivals that is shed for the load of these backends.
    pub shed_fraction: f64,
    /// Worth below which arrivals of all classes of one placement are turned away, in part; kept
    /// like `recent_weights`.
    pub shed_threshold: f64,
    /// The same for the class by itself: it turns away as much of each class.
    pub class_shed_threshold: f64,
    /// Classes and weights of recent arrivals, kept for all classes of one placement by the
    /// first of them.
    pub recent_weights: VecDeque<(ClassId, f64)>,
    /// The first class of the same placement.
    pub placement_group: usize,
    pub arrivals: Rate,
    /// The same over a longer time.
    pub steady: Rate,
}

impl ClassAllocation {
    fn new(now: Time, placement_group: usize) -> Self {
        let (shares, recent_weights, arrivals) =
            (Vec::new(), VecDeque::new(), Rate::new(now, RATE_WINDOW));
        ClassAllocation {
            shares,
            eligible_backends: 0.0,
            lambda: 0.5,
            shed_updated: now,
            work: 0.0,
            shed_fraction: 0.0,
            shed_threshold: 0.0,
            class_shed_threshold: 0.0,
            recent_weights,
            placement_group,
            arrivals,
            steady: Rate::new(now, PART_WINDOW),
        }
    }

    /// Keeps the mean work of a request: the hinted one or, without hints, the time of an answer.
    pub(crate) fn learn_work(&mut self, sample: f64) {
        self.work += (sample - self.work) * if self.work > 0.0 { 1.0 / 64.0 } else { 1.0 };
    }

    /// Keeps the weights of the last `most` arrivals.
    pub(crate) fn note_worth(&mut self, class: ClassId, worth: f64, most: usize) {
        if self.recent_weights.len() == most {
            self.recent_weights.pop_front();
        }
        self.recent_weights.push_back((class, worth));
    }
}

/// The balancer of one node.
pub struct Balancer {
    pub(crate) settings: Settings,
    /// Sets this node's order of backends apart from other nodes'.
    pub(crate) salt: u64,
    pub(crate) rng: Xoshiro256PlusPlus,
    pub(crate) backends: Vec<Backend>,
    pub(crate) index: FxHashMap<BackendId, usize>,
    pub(crate) ready: Vec<usize>,
    pub(crate) allocations: Vec<ClassAllocation>,
    pub(crate) mean_price: f64,
    pub(crate) traffic_weighted_price: f64,
    pub(crate) mean_load: f64,
    pub(crate) mean_speed: f64,
    /// Paces of the machine kinds, from the answers of their warm backends.
    pub(crate) machine_type_rates: FxHashMap<MachineTypeId, WorkRate>,
    /// Mean pace of the ready backends.
    pub(crate) mean_work_rate: f64,
    pub(crate) solved: Option<Time>,
    /// Sends since shares were solved.
    pub(crate) sent_since: f64,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) choosing: Vec<(RequestId, TimerId)>,
    pub(crate) next_timer: u32,
    pub(crate) list_timer: Option<TimerId>,
    /// When the latest call for a list began.
    pub(crate) list_asked: Time,
    /// Calls for lists that failed since one last came.
    pub(crate) list_failures: u32,
    pub(crate) latency: f64,
    pub(crate) probe_latency: f64,
    /// Part of the new connections that fail, of late.
    pub(crate) connect_failure_fraction: f64,
    /// Seconds for which a report counts as news.
    pub(crate) report_life: f64,
    /// Mean requests held and busy part, of backends that are not saturated.
    pub(crate) in_flight_baseline: InFlightBaseline,
    /// Neither probes nor measured capacity tell how much the backends can still take.
    pub(crate) capacity_unknown: bool,
    pub(crate) mean_work: f64,
    pub(crate) sends: Rate,
    pub(crate) traffic_fraction: f64,
    pub(crate) began: Time,
    pub(crate) retry_budget: f64,
    pub(crate) tenants: Vec<Rate>,
}

impl Balancer {
    /// Starts with no backends and no requests.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.check()?;
        let aims = settings
            .classes
            .iter()
            .map(|c| c.latency_objective.as_secs_f64());
        let same = |a: &RequestClass, b: &RequestClass| {
            a.allowed_zones == b.allowed_zones && a.allowed_machine_types == b.allowed_machine_types
        };
        let placement_group = |c: &RequestClass| {
            settings
                .classes
                .iter()
                .position(|other| same(other, c))
                .unwrap_or(0)
        };
        Ok(Balancer {
            salt: seed.rotate_left(32),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            backends: Vec::new(),
            index: FxHashMap::default(),
            ready: Vec::new(),
            allocations: settings
                .classes
                .iter()
                .map(|c| ClassAllocation::new(now, placement_group(c)))
                .collect(),
            mean_price: 0.0,
            traffic_weighted_price: 0.0,
            mean_load: 0.0,
            mean_speed: 1.0,
            machine_type_rates: FxHashMap::default(),
            mean_work_rate: 1.0,
            solved: None,
            sent_since: 0.0,
            requests: FxHashMap::default(),
            choosing: Vec::new(),
            next_timer: 0,
            list_timer: None,
            list_asked: now,
            list_failures: 0,
            latency: (aims.fold(f64::MAX, f64::min) / 2.0).max(1e-3),
            probe_latency: 0.003,
            connect_failure_fraction: 0.0,
            report_life: REPORT_LIFE,
            in_flight_baseline: InFlightBaseline::default(),
            capacity_unknown: !settings.throughput_reported
                && settings.load_reporting != LoadReporting::OnProbe,
            mean_work: 0.0,
            sends: Rate::new(now, RATE_WINDOW),
            traffic_fraction: 1.0 / f64::from(settings.nodes),
            began: now,
            retry_budget: RETRY_MOST,
            tenants: settings
                .tenants
                .iter()
                .map(|_| Rate::new(now, TENANT_WINDOW))
                .collect(),
            settings,
        })
    }

    /// Brings the backends in line with a list or with changes to it.
    pub(crate) fn apply_endpoint_list(
        &mut self,
        now: Time,
        kind: ListUpdate,
        entries: &[Endpoint],
    ) {
        if kind != ListUpdate::Delta {
            self.backends
                .iter_mut()
                .for_each(|s| s.state = EndpointState::Removed);
        }
        for e in entries {
            let new_connection = Backend::new(e, self.salt, self.mean_price, now);
            match self.index.get(&e.backend) {
                None => {
                    self.index.insert(e.backend, self.backends.len());
                    self.backends.push(new_connection);
                }
                Some(&i) => {
                    // Of a restarted process nothing is known but what is still out; of others all
                    // stays.
                    let s = &mut self.backends[i];
                    if e.started_at.is_some() && e.started_at != s.started {
                        *s = Backend {
                            in_flight: std::mem::take(&mut s.in_flight),
                            ..new_connection
                        };
                    } else {
                        (s.state, s.weight) = (e.state, new_connection.weight);
                        (s.zone, s.kind, s.cell) = (e.zone, e.machine_type, e.cell);
                    }
                }
            }
        }
        self.backends
            .retain(|s| s.state != EndpointState::Removed || !s.in_flight.is_empty());
        self.index = self
            .backends
            .iter()
            .enumerate()
            .map(|(i, s)| (s.id, i))
            .collect();
        self.ready = (0..self.backends.len())
            .filter(|&i| self.backends[i].state == EndpointState::Active)
            .collect();
        self.ready.sort_by_key(|&i| self.backends[i].rank);
    }

    /// Rate of work expected of a backend: its own answers', as far as there are any, beside those of
    /// its kind. A node of a large fleet meets a single backend seldom, its kind often.
    pub(crate) fn work_rate(&self, s: &Backend, prior: f64) -> f64 {
        let kind = self
            .machine_type_rates
            .get(&s.kind)
            .and_then(WorkRate::speed)
            .unwrap_or(self.mean_work_rate);
        let own = s.work_rate.speed().unwrap_or(kind);
        (own * s.work_rate.count + kind * prior) / (s.work_rate.count + prior)
    }

    /// Learns this node's part of all traffic from its own sends and the rates that backends
    /// report.
    pub(crate) fn update_traffic_fraction(&mut self, now: Time, dt: f64) {
        let usual = self.mean_speed * self.mean_load.min(1.0);
        let rates = self.ready.iter().map(|&i| self.backends[i].rate);
        let taken: f64 = rates.map(|r| if r > 0.0 { r } else { usual }).sum();
        let sent = self.sends.add(now, 0.0);
        // Only while nothing is refused do sends and reported rates describe the same traffic.
        if self.allocations.iter().all(|m| m.shed_threshold == 0.0)
            && taken > 0.0
            && (now - self.began).as_secs_f64() > 4.0 * RATE_WINDOW
        {
            self.traffic_fraction +=
                (sent / taken - self.traffic_fraction) * (dt / PART_WINDOW).min(1.0);
        }
    }

    /// Ready backends open to each class, as positions in `ready`, in this node's order.
    pub(crate) fn allowed(&self) -> Vec<Vec<usize>> {
        let open = |c| {
            (0..self.ready.len())
                .filter(|&k| allowed(c, &self.backends[self.ready[k]]))
                .collect()
        };
        self.settings.classes.iter().map(open).collect()
    }

    /// The request is whole from now on: its time begins, and so does that of the attempt that is
    /// out.
    pub(crate) fn on_request_body_received(&mut self, now: Time, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.body_pending) else {
            return;
        };
        r.body_pending = false;
        r.ends = now + (r.ends - r.arrived);
        r.arrived = now;
        for a in r.attempts.iter_mut().filter(|a| !a.ended) {
            a.sent = now;
            let Some(&i) = self.index.get(&a.backend) else {
                continue;
            };
            self.backends[i].in_flight.push(now);
        }
    }

    /// Takes in that a streamed answer has begun, and says from where, and of which class and work.
    /// Of a class that is streamed always the work tells nothing of the first bytes.
    pub(crate) fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: u32,
    ) -> Option<(BackendId, ClassId, Option<f64>)> {
        let r = self.requests.get_mut(&id)?;
        let (backend, sent) = r
            .attempts
            .get(attempt as usize)
            .map(|a| (a.backend, a.sent))?;
        r.begun = true;
        let (class, work) = (r.class, r.work);
        self.release_in_flight(backend, sent);
        Some((
            backend,
            class,
            work.filter(|_| !self.settings.classes[usize::from(class.0)].streaming),
        ))
    }

    /// Learns from an attempt which backends it has connections to, and how often new ones fail.
    pub(crate) fn learn_connection(
        &mut self,
        now: Time,
        backend: BackendId,
        new_connection: bool,
        outcome: AttemptOutcome,
    ) {
        if outcome == AttemptOutcome::NotSent {
            return;
        }
        if new_connection {
            let failed = f64::from(u8::from(outcome == AttemptOutcome::ConnectFailed));
            self.connect_failure_fraction += (failed - self.connect_failure_fraction) / 8.0;
        }
        let Some(&i) = self.index.get(&backend) else {
            return;
        };
        let held = !matches!(
            outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionReset
        );
        self.backends[i].connected = held.then_some(now).or(self.backends[i].connected);
    }

    /// One send less is out.
    pub(crate) fn release_in_flight(&mut self, backend: BackendId, sent: Time) {
        let Some(&i) = self.index.get(&backend) else {
            return;
        };
        let s = &mut self.backends[i];
        if let Some(at) = s.in_flight.iter().position(|t| *t == sent) {
            s.in_flight.remove(at);
            s.held = s.held.map(|held| (held - 1.0).max(0.0));
        }
    }

    /// Drops a request that is answered and has nothing out.
    pub(crate) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.open && r.idle()) {
            self.requests.remove(&id);
            self.choosing.retain(|c| c.0 != id);
        }
    }

    /// Nothing is owed to a client that has left.
    pub(crate) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.open = false;
            self.remove_if_finished(id);
        }
    }

    /// Seconds in which an answer earns the full worth.
    pub(crate) fn latency_objective(&self, class: ClassId, work: Option<f64>) -> f64 {
        let class = &self.settings.classes[usize::from(class.0)];
        class.latency_objective.as_secs_f64() + class.objective_work_factor * work.unwrap_or(0.0)
    }

    /// What it goes by at present.
    pub fn snapshot(&self, now: Time) -> BalancerSnapshot {
        let nodes = f64::from(self.settings.nodes);
        let tenants = self.tenants.iter().zip(&self.settings.tenants);
        let tenants = tenants
            .map(|(rate, t)| rate.read(now) * nodes / t.quota_per_second)
            .collect();
        let shares = self.allocations.first().map_or(&[][..], |m| &m.shares);
        let backends = self.ready.iter().enumerate().map(|(k, &i)| {
            let s = &self.backends[i];
            let speed = match self.settings.throughput_reported {
                true if s.sample_weight > 0.0 => s.speed / self.mean_speed,
                true => 1.0,
                false => self.work_rate(s, KIND_PRIOR) / self.mean_work_rate,
            };
            let share = shares.get(k).copied().unwrap_or(0.0);
            let (load, out, available_capacity) = (
                s.load,
                s.in_flight.len(),
                s.available_capacity(&self.settings.protocol_limits, now),
            );
            let (backend, weight, price, report) = (s.id, s.weight, s.price, s.report);
            BackendSnapshot {
                backend,
                weight,
                price,
                load,
                load_report: report,
                available_capacity: available_capacity,
                speed,
                share,
                in_flight: out,
            }
        });
        BalancerSnapshot {
            shed_fraction: self.allocations.first().map_or(0.0, |m| m.shed_fraction),
            mean_load: self.mean_load,
            typical_latency: self.latency,
            retry_budget: self.retry_budget,
            quota_usage: tenants,
            backends: backends.collect(),
        }
    }

    /// Asks for a timer after `wait` seconds.
    pub(crate) fn set_timer(&mut self, now: Time, wait: f64, actions: &mut Vec<Action>) -> TimerId {
        self.next_timer = self.next_timer.wrapping_add(1);
        let timer = TimerId(self.next_timer);
        actions.push(Action::SetTimer {
            at: now + Duration::from_secs_f64(wait),
            timer,
        });
        timer
    }

    /// Uniform in [0, 1).
    pub(crate) fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
