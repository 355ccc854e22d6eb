//! Every decision of the balancer. Its settings, events and actions are in `src/interface.rs`.
//!
//! Each node keeps a price per backend, moved by a projected dual step on reported load, and draws
//! backends from the shares that maximise speed-valued concave utility minus price
//! (`docs/design.md` has the symbols). Prices, shares and speeds are kept relative to the number n
//! of ready backends: price = φ/n, lambda = λ/n, speed = ζ/n (mean 1) and share = η·n (sum n), so
//! that no constant depends on the size of the fleet.

use crate::state::{Attempt, Backend, Balancer, Request, ShareInput};
use crate::{
    Action, AttemptOutcome, AttemptResult, BackendId, ClassId, Endpoint, EndpointState, Event,
    GiveUpReason, Idempotency, KeyScope, ListUpdate, LoadProbeResult, LoadReport, LoadReporting,
    RequestArrival, RequestClass, RequestId, TenantId, Time,
};
use std::time::Duration;

// Prices. Seconds are s, loads are in capacities, prices and speeds relative to the fleet's mean.
const TICK: f64 = 0.05; // s between price steps: well under the age of any report, finer changes nothing
const STALE: f64 = 0.2; // own sends for each ready backend after which shares are solved anew within a tick
const STEP: f64 = 0.15; // price per s and unit of excess load (ν): well damped at a second's delay
const LOAD_FACTOR: f64 = 0.7; // part of its capacity a backend advertises (ρ); lower in an idle fleet
pub(crate) const REPORT_LIFE: f64 = 0.5; // s for which a report moves the price, where reports are frequent
const REPORT_LONGEST: f64 = 4.0; // the same where they are rare: the mean time between them, at most this
const DRIFT: f64 = 6.0; // s in which an unreported price drifts to the going one, a speed to the mean
const FAILED_PRICE: f64 = 0.5; // price of one failure: it closes a backend of mean price and speed ...
const FAILURES: f64 = 16.0; // ... by the part of so many answers that failed: a sound backend errs too
const OWN: f64 = 0.5; // price of own attempts out at a backend, relative to those usual there
const PRICE_MOST: f64 = 1.0; // above the going price: so that no backend is avoided for long
const FLOOR: f64 = 0.1; // least price + lambda: keeps failing ones nearly closed when bounds leave no room
const LOAD_MOST: f64 = 4.0; // the highest that anything counts for
const OVERDUE: f64 = 2.5; // usual latencies after which an unanswered send counts as load
const SATURATED: f64 = 0.85; // busy part above which a report says only "at least" ...
const EXCESS: f64 = 0.5; // ... and the load beyond it that all busy, full or timed out counts for
const LEAST_BUSY: f64 = 0.05; // busy part from which a report tells capacity
const PRIOR: f64 = 8.0; // trust in the mean speed, in reports of capacity
const MEMORY: f64 = 16.0; // answers over which a backend's pace is smoothed ...
const KIND_MEMORY: f64 = 64.0; // ... and that of a machine kind, which all its backends tell
pub(crate) const KIND_PRIOR: f64 = 6.0; // trust in the kind's pace, in answers
const NEWS: f64 = 1.0; // s in which a node wants to hear, by answers, of each backend it deals with ...
const LEAST_OPEN: f64 = 5.0; // ... and the fewest that it deals with for a class
const CLOSED: f64 = 0.25; // price above the going one from which a backend doesn't count among these
const ADMIT: f64 = 0.72; // part of its measured capacity that a backend is asked for; reports miss the rest
const UNKNOWN: f64 = 0.4; // part of the mean capacity that a backend not heard of yet is trusted with
pub(crate) const RATE_WINDOW: f64 = 1.0; // s over which rates of arrivals and sends are measured
pub(crate) const TENANT_WINDOW: f64 = 5.0; // s for tenants: at low rates a shorter one is all chance
pub(crate) const PART_WINDOW: f64 = 10.0; // s over which this node's part of all traffic is learnt
const SHED: f64 = 1.0; // load met by a blind node's attempts, waits included, above which arrivals are shed
const SHED_UNTOLD: f64 = 0.2; // the same where no report tells load: an answer's time speaks late
const SHED_STEP: f64 = 2.0; // e-folds of what is let in, per s and unit of excess load
const SHED_TIME: f64 = 0.5; // s that one attempt speaks for, at most
const SHED_MOST: f64 = 0.98; // the rest goes on asking whether backends are well again
const RECOVER: f64 = 24.0; // s in which shedding drifts back by itself, for when nothing is sent
const WORTH_MOST: f64 = 8.0; // times its class's worth that a request of a tenant in want counts for
const WORTHS: usize = 64; // recent arrivals whose weights set the thresholds
const CLASS_PART: f64 = 2.0 / 3.0; // part of what is let in that goes to all classes alike
const COLD_PART: f64 = 0.3; // part of a cold backend's budget that all nodes spend; the rest is for chance
const FAST: f64 = 1.5; // times the mean speed that a cold backend is trusted with at most
const HEAVY_PART: f64 = 0.25; // part of it that one request may take
const RETRY_EARN: f64 = 0.2; // further attempts that each request earns (retry budget) ...
pub(crate) const RETRY_MOST: f64 = 10.0; // ... and the most saved up
const ASK_AGAIN: f64 = 0.25; // s within which a broken watch is opened anew, doubled by each failed call ...
const ASK_MOST: f64 = 2.0; // ... up to this: what calls miss counts as told 6 s later, and another may fail
const PROBES: usize = 5; // for one request: each adds to the chance of an idle backend, and to the bill
const IN_TIME: f64 = 0.85; // estimated over real waits at their worst: others' work and speeds vary
const FRESH: f64 = 0.3; // latencies for which a probe's answer, own sends since counted in, needs no other
const PROBE_WAIT: f64 = 4.0; // usual probes' times for which answers are waited for

impl Balancer {
    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList {
                update: kind,
                endpoints: entries,
            } => self.on_endpoint_list(now, kind, &entries, actions),
            Event::RequestArrived(arrival) => self.on_request_arrived(now, &arrival, actions),
            Event::RequestBodyReceived { request } => self.on_request_body_received(now, request),
            Event::ResponseStarted {
                request,
                attempt,
                latency,
            } => {
                if let Some((backend, class, work)) = self.on_response_started(request, attempt) {
                    let latency = latency.as_secs_f64();
                    self.record_response(now, backend, latency, work);
                    if self.capacity_unknown {
                        let load =
                            (latency / self.latency_objective(class, work)).min(1.0 + EXCESS);
                        self.update_shed_fraction(now, usize::from(class.0), load);
                    }
                }
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(now, &end, actions),
            Event::ClientDisconnected { request } => self.on_client_disconnected(request),
            Event::TimerFired { timer } if self.list_timer == Some(timer) => {
                self.list_timer = None;
                self.list_asked = now;
                actions.push(Action::RefreshEndpointList);
            }
            Event::TimerFired { timer } => {
                if let Some(c) = self.choosing.iter().find(|c| c.1 == timer) {
                    self.select_candidate(now, c.0, true, actions);
                }
            }
            Event::LoadProbeEnded(probed) => self.on_load_probe_ended(now, &probed, actions),
        }
    }

    // ---- the list ----
    fn on_endpoint_list(
        &mut self,
        now: Time,
        kind: ListUpdate,
        entries: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        // Where lists come on request, calls are spread at random: all nodes may have started
        // together, and calls that fail in a row mean that discovery is busy. A watch that has
        // served and broken is opened anew soon: what it misses counts as told. The last list stays
        // valid.
        if self.settings.polled_discovery && matches!(kind, ListUpdate::Cached | ListUpdate::Failed)
        {
            let known = entries.iter().any(|e| e.state == EndpointState::Active);
            let longest = if known { 30.0 } else { 5.0 * ASK_MOST };
            let spread = self
                .settings
                .protocol_limits
                .poll_interval_limit
                .as_secs_f64()
                .clamp(1.0, longest)
                / 5.0;
            let most = if kind == ListUpdate::Failed {
                self.backoff(now).min(spread)
            } else {
                spread
            };
            let wait = self.random() * most;
            self.list_failures = self
                .list_failures
                .saturating_add(u32::from(kind == ListUpdate::Failed));
            self.list_timer = Some(self.set_timer(now, wait, actions));
        } else {
            self.list_failures = 0;
        }
        if kind != ListUpdate::Failed {
            self.apply_endpoint_list(now, kind, entries);
            self.solved = None;
        }
    }

    /// The longest wait after a failed call for the list. Failures in a row double it, less the
    /// time that the latest took: a call that was given up for its silence has been a pause
    /// already.
    fn backoff(&self, now: Time) -> f64 {
        let most = (ASK_AGAIN * f64::from(1u32 << self.list_failures.min(16))).min(ASK_MOST);
        match self.list_failures {
            0 => most, // Not a call but a watch, maybe, that has lasted long.
            _ => (most - (now - self.list_asked).as_secs_f64()).max(ASK_AGAIN),
        }
    }

    // ---- prices and shares ----
    /// Moves a backend's price by the ticks since it was last looked at.
    fn update_price(&mut self, i: usize, now: Time) {
        let load_factor = LOAD_FACTOR.min(self.mean_load);
        let cold = self.backends[i].available_capacity(&self.settings.protocol_limits, now) < 1.0;
        let s = &mut self.backends[i];
        let ticks = ((now - s.stepped).as_secs_f64() / TICK).floor();
        if ticks < 1.0 {
            return;
        }
        let since = (s.stepped - s.reported).as_secs_f64();
        s.stepped = s.stepped + Duration::from_secs_f64(ticks * TICK);
        let mut live = s
            .load
            .map_or(0.0, |_| (self.report_life - since).clamp(0.0, ticks * TICK));
        let mut load = s.load.unwrap_or(0.0);
        // A hung backend reports nothing: its oldest unanswered send speaks for it.
        let overdue = s
            .in_flight
            .first()
            .map_or(0.0, |&t| (now - t).as_secs_f64() / (OVERDUE * self.latency));
        if overdue > 1.0 {
            (live, load) = (ticks * TICK, overdue.min(LOAD_MOST));
        }
        s.price = (s.price + STEP * live * (load - load_factor))
            .clamp(0.0, self.traffic_weighted_price + PRICE_MOST);
        // A backend that gets nothing reports nothing: without a way back it would be avoided for
        // ever.
        s.price +=
            (self.traffic_weighted_price - s.price) * ((ticks * TICK - live) / DRIFT).min(1.0);
        // A cold one is idle by its bound: cheap for that, it would be rushed as soon as it is
        // warm.
        if cold {
            s.price = s.price.max(self.traffic_weighted_price);
        }
    }

    /// Brings prices and shares up to date when a draw is due: once a tick, or after a few own
    /// sends.
    fn refresh_allocation(&mut self, now: Time) {
        let dt = self.solved.map_or(TICK, |at| (now - at).as_secs_f64());
        // What a node has out itself changes with each send: shares that rest on it are soon stale.
        let stale = self.capacity_unknown && self.sent_since > STALE * self.ready.len() as f64;
        if (dt < TICK && !stale) || self.ready.is_empty() {
            return;
        }
        self.solved = Some(now);
        self.sent_since = 0.0;
        self.connect_failure_fraction *= 1.0 - (dt / RECOVER).min(1.0);
        let n = self.ready.len() as f64;
        let [mut price, mut load, mut loads, mut speed, mut speeds, mut weight] = [0.0; 6];
        for k in 0..self.ready.len() {
            let i = self.ready[k];
            self.update_price(i, now);
            let s = &mut self.backends[i];
            price += s.price / n;
            weight += s.weight / n;
            // Old reports fade out of the fleet's mean load: a fleet that refuses much hears little
            // news.
            if let Some(l) = s.load {
                let trust = (self.report_life - (now - s.reported).as_secs_f64())
                    .min(0.0)
                    .exp();
                load += l * trust;
                loads += trust;
            }
            if (now - s.answered).as_secs_f64() > DRIFT / 2.0 {
                let kept = 1.0 - (dt / DRIFT).min(1.0);
                s.sample_weight *= kept;
                s.work_rate.count *= kept;
            }
            speed += s.speed * s.sample_weight;
            speeds += s.sample_weight;
        }
        self.mean_price = price;
        self.mean_load = if loads > 0.01 { load / loads } else { 0.0 };
        self.mean_speed = if speeds > 0.0 { speed / speeds } else { 1.0 };
        let flows: Vec<f64> = self
            .allocations
            .iter_mut()
            .map(|m| m.arrivals.add(now, 0.0))
            .collect();
        let asked = flows.iter().sum::<f64>().max(1e-9);
        let known = self.settings.throughput_reported && speeds > 0.0;
        let paces: f64 = self
            .ready
            .iter()
            .map(|&i| self.work_rate(&self.backends[i], KIND_PRIOR))
            .sum();
        self.mean_work_rate = paces / n;
        let own_price = if self.capacity_unknown { OWN } else { 0.0 };
        let own = self.ready.iter().map(|&i| &self.backends[i]);
        let (out, shares) = own.fold((0.0, 1e-9), |sum, s| {
            (sum.0 + s.in_flight.len() as f64, sum.1 + s.share)
        });
        let inputs = self.ready.iter().map(|&i| {
            let s = &self.backends[i];
            // A weight tells a backend's size, an answer the pace of one of its cores.
            let speed = match (
                self.settings.endpoint_weights_given,
                self.settings.throughput_reported,
            ) {
                (true, true) => s.weight / weight,
                (true, false) => {
                    s.weight / weight * self.work_rate(s, KIND_PRIOR) / self.mean_work_rate
                }
                (false, true) => {
                    (s.speed / self.mean_speed * s.sample_weight + PRIOR)
                        / (s.sample_weight + PRIOR)
                }
                (false, false) => self.work_rate(s, KIND_PRIOR) / self.mean_work_rate,
            };
            // No node asks more of a backend than its part of what that can do (the paper's local
            // constraint, eq. 10): else shares gather on one cheap backend and break it.
            let mut most = f64::INFINITY;
            if known {
                let capacity = if s.sample_weight > 0.0 {
                    s.speed
                } else {
                    self.mean_speed * UNKNOWN
                };
                most = ADMIT * capacity * self.traffic_fraction * n / asked;
            }
            // A cold backend falls over when all nodes together rush it: its share stays within a
            // part of what the rule allows it, measured by what a warm peer of its speed takes.
            let available_capacity = s.available_capacity(&self.settings.protocol_limits, now);
            if available_capacity < 1.0 {
                most = most.min(
                    speed.min(FAST)
                        * available_capacity
                        * self.settings.protocol_limits.overload_multiple
                        * COLD_PART,
                );
            }
            // Reports lag; what this node itself has out beyond the usual is known at once.
            let usual = out * s.share / shares;
            let price = s.price + own_price * (s.in_flight.len() as f64 - usual) / (usual + 1.0);
            // Where new connections fail, a backend without an open one is dearer.
            let shut = if known || s.connected(now, self.settings.idle_timeout) {
                0.0
            } else {
                self.connect_failure_fraction
            };
            ShareInput {
                price: price + shut,
                speed: speed.max(0.01),
                max_share: most,
            }
        });
        let inputs: Vec<ShareInput> = inputs.collect();
        let floor = if known { FLOOR } else { 0.0 };
        self.allocate_shares(&inputs, &flows, floor, now, dt.min(1.0));
        if known {
            self.update_traffic_fraction(now, dt);
        }
    }

    /// Solves each class's shares over its open backends. Bounds are on a backend's whole flow: a
    /// class gets as much of them as of the flow that equal shares would bring there.
    fn allocate_shares(
        &mut self,
        inputs: &[ShareInput],
        flows: &[f64],
        floor: f64,
        now: Time,
        dt: f64,
    ) {
        let (n, asked) = (inputs.len() as f64, flows.iter().sum::<f64>().max(1e-9));
        let mut open = self.allowed();
        let (mut density, mut taken) = (
            vec![0.0; inputs.len()],
            vec![vec![0.0; inputs.len()]; flows.len()],
        );
        let works: Vec<f64> = self
            .allocations
            .iter()
            .zip(flows)
            .map(|(m, flow)| m.work * flow)
            .collect();
        for (c, allowed) in open.iter().enumerate() {
            let count = allowed.len() as f64;
            allowed
                .iter()
                .for_each(|&k| density[k] += flows[c] / asked * n / count);
            // What more tightly allowed classes bring to a backend is no longer there for the
            // others.
            for (g, tight) in open
                .iter()
                .enumerate()
                .filter(|g| g.1.len() < allowed.len() && works[c] > 0.0)
            {
                let speeds: f64 = tight.iter().map(|&k| inputs[k].speed).sum();
                let brought = works[g] / works[c] * count / speeds;
                tight
                    .iter()
                    .for_each(|&k| taken[c][k] += brought * inputs[k].speed);
            }
        }
        // A blind node deals with as many backends as it can hear of in time. Without reports
        // closed ones, and what cold ones can't take, make room: else all that would fall on the
        // few that are well.
        let untold = self.settings.load_reporting == LoadReporting::Absent;
        let few: Vec<f64> = self
            .allocations
            .iter_mut()
            .map(|m| (NEWS * m.steady.young(now)).max(LEAST_OPEN).ceil())
            .collect();
        for (open, few) in open.iter_mut().zip(few).filter(|_| self.capacity_unknown) {
            let mut sum = 0.0;
            let takes = |k: usize| match self.backends[self.ready[k]].price
                > self.traffic_weighted_price + CLOSED
            {
                _ if !untold => 1.0,
                true => 0.0,
                false => inputs[k].max_share.min(1.0),
            };
            open.retain(|&k| {
                let before = sum;
                sum += takes(k);
                before < few
            });
        }
        let kept = 0.95f64.powf(dt / TICK);
        self.ready
            .iter()
            .for_each(|&i| self.backends[i].share *= kept);
        let (mut going, mut sums) = (0.0, vec![(0.0, 0.0); flows.len()]);
        for (c, open) in open.iter().enumerate() {
            let m = &mut self.allocations[c];
            m.eligible_backends = open.len() as f64;
            m.shares.clear();
            m.shares.resize(inputs.len(), 0.0);
            let left = |k: usize| inputs[k].speed / (1.0 + taken[c][k]);
            let mean = open.iter().map(|&k| left(k)).sum::<f64>() / m.eligible_backends;
            let most = |k: usize| inputs[k].max_share / density[k].max(1e-9);
            let own = |&k: &usize| ShareInput {
                price: inputs[k].price,
                speed: left(k) / mean,
                max_share: most(k),
            };
            let own: Vec<ShareInput> = open.iter().map(own).collect();
            let mut shares = Vec::new();
            m.lambda = solve_shares(&own, floor, m.lambda, &mut shares);
            let part = flows[c] / asked;
            for (k, share) in open.iter().zip(&shares) {
                m.shares[*k] = *share;
                self.backends[self.ready[*k]].share +=
                    part * share / m.eligible_backends * dt / TICK;
                going += part * self.backends[self.ready[*k]].price * share / m.eligible_backends;
            }
            let placement_group = &mut sums[m.placement_group];
            placement_group.0 +=
                part * (1.0 - shares.iter().sum::<f64>() / m.eligible_backends.max(1.0));
            placement_group.1 += part;
        }
        self.traffic_weighted_price = going;
        for (c, (refused, part)) in sums.into_iter().enumerate() {
            let m = &mut self.allocations[c];
            if c == m.placement_group {
                m.shed_fraction *= 1.0 - (dt / RECOVER).min(1.0);
                let refused = m.shed_fraction.max(refused / part.max(1e-9));
                self.set_thresholds(c, refused);
            }
        }
    }

    /// Sets the thresholds that turn away a part of recent arrivals: over all of a placement, and
    /// by class.
    fn set_thresholds(&mut self, placement_group: usize, refused: f64) {
        let recent_weights = &self.allocations[placement_group].recent_weights;
        let all = threshold(recent_weights.iter().map(|w| w.1), refused);
        let own = |c: usize| {
            threshold(
                recent_weights
                    .iter()
                    .filter(|w| usize::from(w.0 .0) == c)
                    .map(|w| w.1),
                refused,
            )
        };
        let own: Vec<f64> = (0..self.allocations.len()).map(own).collect();
        self.allocations[placement_group].shed_threshold = all;
        for (m, own) in self
            .allocations
            .iter_mut()
            .zip(own)
            .filter(|m| m.0.placement_group == placement_group)
        {
            m.class_shed_threshold = own;
        }
    }

    /// Chance that an arrival is turned away. Of what is let in, a part goes to all classes alike;
    /// over the rest worth decides between them too. Where it alone did, a class of little worth
    /// got hardly anything.
    fn shed_chance(&self, class: ClassId, worth: f64) -> f64 {
        let m = &self.allocations[usize::from(class.0)];
        let chance = |threshold: f64| (threshold / worth.max(1e-9)).min(1.0);
        CLASS_PART * chance(m.class_shed_threshold)
            + (1.0 - CLASS_PART) * chance(self.allocations[m.placement_group].shed_threshold)
    }

    /// Takes in a backend's word on its load.
    fn record_load_report(&mut self, now: Time, backend: BackendId, report: &LoadReport) {
        let Some(&i) = self.index.get(&backend) else {
            return;
        };
        let usable = |v: Option<f64>| v.filter(|v| v.is_finite() && *v >= 0.0);
        let Some(busy) = usable(report.utilization).map(|b| b.min(LOAD_MOST)) else {
            return;
        };
        self.update_price(i, now);
        let aims = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_objective.as_secs_f64());
        let aim = aims.fold(f64::INFINITY, f64::min);
        let s = &mut self.backends[i];
        s.report = *report;
        let waiting = usable(report.queue_depth).unwrap_or(0.0);
        let held = usable(report.in_flight).filter(|_| report.queue_depth.is_none());
        // A count is no part of capacity: what waits counts by the part of the aim that it takes.
        let mut load = busy + waiting * self.latency / aim;
        // Held beyond what goes with its busy part waits.
        if let Some(held) = held {
            self.in_flight_baseline
                .learn(busy > LEAST_BUSY && busy < SATURATED, held, busy);
            load = load.max(self.in_flight_baseline.load(held));
        }
        // Where a report tells what waits, nothing beyond the busy part is left to guess.
        let full = if report.queue_depth.is_some() {
            0.0
        } else {
            (busy - SATURATED) / (1.0 - SATURATED)
        };
        s.load = Some((load + EXCESS * full.clamp(0.0, 1.0)).min(LOAD_MOST));
        s.rate = usable(report.throughput).unwrap_or(0.0);
        if s.rate > 0.0 && busy > LEAST_BUSY {
            s.learn(now, s.rate / busy, 1.0); // The latest says more than all before it.
        }
        let gap = (now - std::mem::replace(&mut s.reported, now)).as_secs_f64();
        if self.capacity_unknown {
            self.report_life += (gap.clamp(REPORT_LIFE, REPORT_LONGEST) - self.report_life) / 64.0;
        }
    }

    fn record_response(&mut self, now: Time, backend: BackendId, latency: f64, work: Option<f64>) {
        let latency = latency.max(1e-6);
        // A quantile, not a mean: answers of backends in trouble must not pass for usual.
        self.latency *= if latency > self.latency { 1.012 } else { 0.992 };
        let Some(&i) = self.index.get(&backend) else {
            return;
        };
        let s = &mut self.backends[i];
        s.note_answer(false, FAILURES);
        if !self.settings.throughput_reported {
            let work = work.unwrap_or(if self.mean_work > 0.0 {
                self.mean_work
            } else {
                1.0
            });
            s.work_rate.learn(work, latency, MEMORY);
            s.answered = now;
            // A cold backend's answers tell its age, not its kind.
            if s.available_capacity(&self.settings.protocol_limits, now) >= 1.0 {
                self.machine_type_rates.entry(s.kind).or_default().learn(
                    work,
                    latency,
                    KIND_MEMORY,
                );
            }
        }
    }

    /// Failures cost: failing fast would look idle. To a blind node full or timed out is at the
    /// limit.
    fn record_failure(&mut self, now: Time, backend: BackendId, outcome: AttemptOutcome) {
        let Some(&i) = self.index.get(&backend) else {
            return;
        };
        self.update_price(i, now);
        let s = &mut self.backends[i];
        let full = self.capacity_unknown && outcome == AttemptOutcome::Rejected;
        let answer = matches!(
            outcome,
            AttemptOutcome::ServerError | AttemptOutcome::ConnectionReset
        );
        let failing = if answer {
            s.note_answer(true, FAILURES)
        } else {
            1.0
        };
        if !full {
            s.price =
                (s.price + FAILED_PRICE * failing).min(self.traffic_weighted_price + PRICE_MOST);
            self.solved = None;
        }
        // One that answers well for the most part goes on by its load.
        if failing < 0.5 {
            return;
        }
        let spent = full || self.capacity_unknown && outcome == AttemptOutcome::TimedOut;
        s.load = spent.then(|| s.load.unwrap_or(0.0).max(1.0 + EXCESS));
        s.reported = if spent { now } else { s.reported };
    }

    /// Moves the shed part of a class's arrivals by what one attempt met; without news it drifts
    /// back slowly.
    fn update_shed_fraction(&mut self, now: Time, class: usize, load: f64) {
        let placement_group = self.allocations[class].placement_group;
        let untold = self.settings.load_reporting == LoadReporting::Absent;
        let most = if untold { SHED_UNTOLD } else { SHED };
        let m = &mut self.allocations[placement_group];
        let time = (now - m.shed_updated).as_secs_f64().min(SHED_TIME);
        m.shed_updated = now;
        m.shed_fraction = 1.0 - (1.0 - m.shed_fraction) * (-SHED_STEP * time * (load - most)).exp();
        m.shed_fraction = m.shed_fraction.clamp(0.0, SHED_MOST);
    }

    // ---- requests ----
    fn on_request_arrived(&mut self, now: Time, a: &RequestArrival, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&a.request) {
            return;
        }
        let class = ClassId(a.class.0.min(self.settings.classes.len() as u8 - 1));
        let work = a.work.map(|w| w.as_secs_f64());
        let (attempts, asked) = (Vec::new(), Vec::new());
        let ends = now + a.remaining;
        let r = Request {
            class,
            arrived: now,
            ends,
            work,
            body_pending: a.body_pending,
            open: true,
            begun: false,
            attempts,
            candidates: asked,
        };
        self.requests.insert(a.request, r);
        self.retry_budget = (self.retry_budget + RETRY_EARN).min(RETRY_MOST);
        self.allocations[usize::from(class.0)]
            .arrivals
            .add(now, 1.0);
        let worth = self.worth(now, class, a.tenant);
        self.refresh_allocation(now);
        let shed = self.shed_chance(class, worth);
        // Work beyond the aim can only be late, and takes room from work that can be in time.
        let hopeless = work.is_some_and(|w| w > self.latency_objective(class, work));
        if let (Some(w), false) = (work, hopeless) {
            self.allocations[usize::from(class.0)].learn_work(w);
            self.mean_work += (w - self.mean_work)
                * if self.mean_work > 0.0 {
                    1.0 / 32.0
                } else {
                    1.0
                };
        }
        // The mark is drawn for these alone: the others need none.
        let reason = match hopeless {
            true => Some(GiveUpReason::ObjectiveUnreachable),
            false if a.remaining.is_zero() => Some(GiveUpReason::DeadlineExceeded),
            false => (self.random() < shed).then_some(GiveUpReason::LoadShed),
        };
        if let Some(reason) = reason {
            self.give_up(a.request, reason, actions);
        } else {
            if let Some(rate) = self.tenants.get_mut(usize::from(a.tenant.0)) {
                rate.add(now, 1.0);
            }
            self.dispatch(now, a.request, actions);
        }
    }

    /// Worth of a request by the part of its quota that its tenant is let in for: the less, the
    /// more. What is turned away doesn't count. It comes again, and for each refusal its tenant
    /// would be refused the more.
    fn worth(&mut self, now: Time, class: ClassId, tenant: TenantId) -> f64 {
        let mut worth = self.settings.classes[usize::from(class.0)].priority_weight;
        if let Some(rate) = self.tenants.get_mut(usize::from(tenant.0)) {
            let rate = rate.add(now, 0.0) * f64::from(self.settings.nodes);
            let within =
                self.settings.tenants[usize::from(tenant.0)].quota_per_second / rate.max(1e-9);
            worth *=
                within.min(WORTH_MOST) + (1.0 - within).max(0.0) * self.settings.over_quota_weight;
        }
        let placement_group = self.allocations[usize::from(class.0)].placement_group;
        self.allocations[placement_group].note_worth(class, worth, WORTHS);
        worth
    }

    /// Whether a request's next attempt may go to this backend, by any rule; every send passes
    /// here.
    fn is_eligible(&self, now: Time, r: &Request, s: &Backend) -> bool {
        let class = &self.settings.classes[usize::from(r.class.0)];
        let rules = &self.settings.protocol_limits;
        let available_capacity = s.available_capacity(rules, now);
        // One heavy request can spend a cold backend's whole budget. Without a time for it there is
        // none.
        let within = if rules.overload_duration.is_zero() {
            f64::INFINITY
        } else {
            rules.overload_duration.as_secs_f64()
        };
        let budget = HEAVY_PART * rules.overload_multiple * within * available_capacity;
        if s.state != EndpointState::Active
            || !allowed(class, s)
            || r.attempts.iter().any(|a| a.backend == s.id)
            || (!self.settings.hedging_allowed && !r.idle())
            || (available_capacity < 1.0 && r.work.unwrap_or(0.0) >= budget)
        {
            return false;
        }
        let Some(risky) = r.attempts.iter().find(|a| a.may_have_executed()) else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { window, .. } if now - risky.sent >= window => false,
            Idempotency::Keyed {
                scope: KeyScope::All,
                ..
            } => true,
            Idempotency::Keyed {
                scope: KeyScope::Zone,
                ..
            } => s.zone == risky.zone,
            Idempotency::Keyed {
                scope: KeyScope::Cell,
                ..
            } => s.cell == risky.cell,
        }
    }

    /// Draws a backend by share among those open to this request. What closed backends leave goes
    /// to warm ones: a cold backend keeps its share and no more, since its bound holds for that.
    fn pick_backend(&mut self, now: Time, id: RequestId, warm_only: bool) -> Option<usize> {
        self.refresh_allocation(now);
        let mark = self.random();
        let r = self.requests.get(&id)?;
        let m = &self.allocations[usize::from(r.class.0)];
        let (mut cold, mut warm, mut cold_sum, mut warm_sum) = (Vec::new(), Vec::new(), 0.0, 0.0);
        for (&i, &share) in self.ready.iter().zip(&m.shares) {
            let s = &self.backends[i];
            if share <= 0.0
                || r.candidates.iter().any(|a| a.0 == s.id)
                || !self.is_eligible(now, r, s)
            {
                continue;
            }
            let (list, sum) = match s.available_capacity(&self.settings.protocol_limits, now) < 1.0
            {
                true if warm_only => continue,
                true => (&mut cold, &mut cold_sum),
                false => (&mut warm, &mut warm_sum),
            };
            *sum += share;
            list.push((i, *sum));
        }
        // The threshold has turned away already what bounds leave without a place on a first try.
        let first = r.attempts.is_empty() && r.candidates.is_empty();
        let whole = if first {
            m.shares.iter().sum()
        } else {
            m.eligible_backends
        };
        type Marks = [(usize, f64)];
        let pick = |l: &Marks, at: f64| l.iter().find(|m| m.1 > at).or(l.last()).map(|m| m.0);
        match mark * whole {
            at if at < cold_sum => pick(&cold, at),
            at => pick(&warm, (at - cold_sum) / (whole - cold_sum) * warm_sum),
        }
    }

    /// Finds a backend for a request's next attempt: by probes where load is told only to them.
    fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        if self.settings.load_reporting == LoadReporting::OnProbe
            && self.settings.load_probes_allowed
        {
            return self.probe_candidates(now, id, actions);
        }
        let backend = self.pick_backend(now, id, false);
        self.start_attempt(now, id, backend, actions);
        backend.is_some()
    }

    /// How long an attempt may take. Where no report tells load, that it takes the whole aim does:
    /// if it can earn nothing any more, it ends, and its backend is known to be past what it can
    /// do.
    fn patience(&self, now: Time, r: &Request) -> Duration {
        let untold = self.settings.load_reporting == LoadReporting::Absent;
        if untold && self.settings.classes[usize::from(r.class.0)].late_weight == 0.0 {
            r.ends
                .min(r.arrived + Duration::from_secs_f64(self.latency_objective(r.class, r.work)))
                - now
        } else {
            r.ends - now
        }
    }

    fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        backend: Option<usize>,
        actions: &mut Vec<Action>,
    ) {
        let fits = |i: &usize| {
            self.requests
                .get(&id)
                .is_some_and(|r| self.is_eligible(now, r, &self.backends[*i]))
        };
        let Some(i) = backend.filter(fits) else {
            return self.give_up(id, GiveUpReason::NoEligibleBackend, actions);
        };
        let Some(limit) = self.requests.get(&id).map(|r| self.patience(now, r)) else {
            return;
        };
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let s = &mut self.backends[i];
        let new_connection = !s.connected(now, self.settings.idle_timeout);
        // Until the request is whole the backend has nothing to work on.
        if !r.body_pending {
            s.in_flight.push(now);
        }
        s.held = s.held.map(|held| held + 1.0);
        self.sends.add(now, 1.0);
        self.sent_since += 1.0;
        self.allocations[usize::from(r.class.0)]
            .steady
            .add(now, 1.0);
        let (backend, zone, cell) = (s.id, s.zone, s.cell);
        r.attempts.push(Attempt {
            backend,
            zone,
            cell,
            sent: now,
            ended: false,
            may_have_run: false,
            new_connection,
        });
        actions.push(Action::StartAttempt {
            request: id,
            backend,
            timeout: Some(limit),
        });
    }

    fn on_attempt_ended(&mut self, now: Time, end: &AttemptResult, actions: &mut Vec<Action>) {
        end.load_report
            .iter()
            .for_each(|report| self.record_load_report(now, end.backend, report));
        let Some(r) = self.requests.get_mut(&end.request) else {
            return;
        };
        let Some(a) = r
            .attempts
            .get_mut(end.attempt as usize)
            .filter(|a| !a.ended)
        else {
            return;
        };
        a.ended = true;
        a.may_have_run = !end.outcome.never_executed();
        let (backend, sent, new_connection) = (a.backend, a.sent, a.new_connection);
        r.open &= !end.request_closed;
        let (streamed, over) = (r.begun, !r.open || !r.idle());
        let (class, work) = (usize::from(r.class.0), r.work);
        self.release_in_flight(backend, sent);
        self.learn_connection(now, backend, new_connection, end.outcome);
        if let (AttemptOutcome::Success, None, false) = (end.outcome, work, streamed) {
            self.allocations[class].learn_work(end.latency.as_secs_f64());
        }
        let aim = self.latency_objective(ClassId(class as u8), work);
        let load = end
            .load_report
            .and(self.index.get(&backend))
            .and_then(|&i| self.backends[i].load);
        let latency = end.latency.as_secs_f64();
        let load = match end.outcome {
            AttemptOutcome::Rejected => Some(1.0 + EXCESS),
            AttemptOutcome::TimedOut if latency > OVERDUE * self.latency => Some(1.0 + EXCESS),
            // How long a large answer takes to pass on is its client's doing: its first bytes have
            // counted.
            AttemptOutcome::Success if streamed => load,
            AttemptOutcome::Success => {
                Some(load.unwrap_or(0.0).max((latency / aim).min(1.0 + EXCESS)))
            }
            _ => load,
        };
        if let (Some(load), true) = (load, self.capacity_unknown) {
            self.update_shed_fraction(now, class, load);
        }
        match end.outcome {
            AttemptOutcome::Success if !streamed => {
                self.record_response(now, backend, latency, work)
            }
            AttemptOutcome::Success | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            outcome => self.record_failure(now, backend, outcome),
        }
        if over {
            return self.remove_if_finished(end.request);
        }
        // Another attempt where class, time and the retry budget allow; the budget keeps collapses
        // unfed.
        let Some(r) = self.requests.get(&end.request) else {
            return;
        };
        let left = self.latency_objective(r.class, r.work) - (now - r.arrived).as_secs_f64();
        let tries = (r.attempts.len() as u32) < self.settings.max_attempts;
        let reason = match () {
            () if left < 0.5 * self.latency || r.ends <= now => {
                Some(GiveUpReason::InsufficientTime)
            }
            () if !tries => Some(GiveUpReason::AttemptsExhausted),
            () => (self.retry_budget < 1.0).then_some(GiveUpReason::RetryBudgetExhausted),
        };
        if let Some(reason) = reason {
            self.give_up(end.request, reason, actions);
        } else if self.dispatch(now, end.request, actions) {
            self.retry_budget -= 1.0;
        }
    }

    /// The final answer of a request that is given up: refused where that is true to its class,
    /// else failed.
    fn give_up(&mut self, id: RequestId, reason: GiveUpReason, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.open && !r.begun) else {
            return;
        };
        r.open = false;
        let class = usize::from(r.class.0);
        let harmless = match self.settings.classes[usize::from(r.class.0)].idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: KeyScope::All,
                ..
            } => true,
            _ => !r.attempts.iter().any(Attempt::may_have_executed),
        };
        // Back once a place is free and while its answer still counts, the later the more is shed.
        let shed = self.allocations[self.allocations[class].placement_group].shed_fraction;
        let back = self.settings.classes[class].latency_objective.mul_f64(shed);
        let back = back.max(Duration::from_secs_f64(self.latency));
        let wait = self.settings.max_retry_after.map(|most| most.min(back));
        actions.push(if harmless {
            Action::Reject {
                request: id,
                retry_after: wait,
                reason,
            }
        } else {
            Action::Fail {
                request: id,
                reason,
            }
        });
        self.remove_if_finished(id);
    }

    // ---- probes ----
    /// Probes a few backends drawn by share; only the first may be cold, lest the best-of draw rush
    /// it. What was heard a moment ago, or is being asked already, is not asked again.
    fn probe_candidates(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let wait = PROBE_WAIT * self.probe_latency;
        for k in 0..PROBES {
            let Some(i) = self.pick_backend(now, id, k > 0) else {
                break;
            };
            let s = &mut self.backends[i];
            let Some(r) = self.requests.get_mut(&id) else {
                break;
            };
            let new_connection = s
                .held
                .filter(|_| (now - s.heard).as_secs_f64() < FRESH * self.latency);
            r.candidates.push((s.id, new_connection));
            if new_connection.is_none()
                && s.probing.is_none_or(|at| (now - at).as_secs_f64() >= wait)
            {
                s.probing = Some(now);
                actions.push(Action::SendLoadProbe { backend: s.id });
            }
        }
        let Some(r) = self.requests.get(&id).filter(|r| !r.candidates.is_empty()) else {
            self.give_up(id, GiveUpReason::NoEligibleBackend, actions);
            return false;
        };
        if r.candidates.iter().all(|a| a.1.is_some()) {
            self.select_candidate(now, id, true, actions);
            return true;
        }
        let wait = wait.min((r.ends - now).as_secs_f64());
        let timer = self.set_timer(now, wait, actions);
        self.choosing.push((id, timer));
        true
    }

    fn on_load_probe_ended(&mut self, now: Time, p: &LoadProbeResult, actions: &mut Vec<Action>) {
        let mut load = f64::INFINITY;
        if let Some(&i) = self.index.get(&p.backend) {
            self.backends[i].probing = None;
        }
        match p.outcome {
            AttemptOutcome::Success => {
                self.probe_latency += (p.latency.as_secs_f64() - self.probe_latency) / 32.0;
                let report = p.load_report.unwrap_or_default();
                self.record_load_report(now, p.backend, &report);
                load = report
                    .in_flight
                    .or(report.utilization)
                    .filter(|h| h.is_finite() && *h >= 0.0)
                    .unwrap_or(load);
                if let (Some(&i), true) = (self.index.get(&p.backend), load.is_finite()) {
                    (self.backends[i].held, self.backends[i].heard) = (Some(load), now);
                }
            }
            AttemptOutcome::NotSent => {} // The node's own shortage says nothing of the backend.
            outcome => self.record_failure(now, p.backend, outcome),
        }
        for k in (0..self.choosing.len()).rev() {
            let id = self.choosing[k].0;
            let Some(r) = self.requests.get_mut(&id) else {
                continue;
            };
            if let Some(a) = r
                .candidates
                .iter_mut()
                .find(|a| a.0 == p.backend && a.1.is_none())
            {
                a.1 = Some(load);
                self.select_candidate(now, id, false, actions);
            }
        }
    }

    /// Sends to the best of the backends asked, once all have answered or the wait is over.
    fn select_candidate(
        &mut self,
        now: Time,
        id: RequestId,
        late: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if !late && r.candidates.iter().any(|a| a.1.is_none()) {
            return;
        }
        let asked = std::mem::take(&mut r.candidates);
        let (work, class, left) = (r.work.unwrap_or(self.mean_work), r.class, r.ends - now);
        self.choosing.retain(|c| c.0 != id);
        // Other requests of this node may have gone there since.
        let answers = asked.iter().filter_map(|a| {
            let (load, &i) = (a.1.filter(|l| l.is_finite())?, self.index.get(&a.0)?);
            Some((self.backends[i].held.unwrap_or(load), i))
        });
        let shut = self.connect_failure_fraction * self.settings.connect_timeout.as_secs_f64();
        let best = answers
            .filter(|b| self.backends[b.1].state == EndpointState::Active)
            .map(|(load, i)| {
                let open = self.backends[i].connected(now, self.settings.idle_timeout);
                (load * self.mean_work + if open { 0.0 } else { shut }, i)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let backend = match best {
            // What would be answered too late only takes room from work that can still be in time.
            Some(b) if b.0 / IN_TIME + work > self.latency_objective(class, Some(work)) => None,
            Some(b) => Some(b.1),
            None => self.pick_backend(now, id, false),
        };
        self.start_attempt(now, id, backend.filter(|_| !left.is_zero()), actions);
    }
}

/// Whether a class may ever go to a backend: its placement, by zone and kind.
pub(crate) fn allowed(class: &RequestClass, s: &Backend) -> bool {
    class
        .allowed_zones
        .as_ref()
        .is_none_or(|open| open.contains(&s.zone))
        && class
            .allowed_machine_types
            .as_ref()
            .is_none_or(|open| open.contains(&s.kind))
}

/// The worth below which arrivals are turned away in part, so that of those like these such a part
/// is.
fn threshold(recent_weights: impl Iterator<Item = f64> + Clone, refused: f64) -> f64 {
    if refused <= 1e-3 {
        return 0.0;
    }
    let wanted = refused * recent_weights.clone().count() as f64;
    let (mut low, mut high) = (0.0, 2.0 * recent_weights.clone().fold(0.0, f64::max));
    while high - low > 1e-3 * high {
        let middle = f64::midpoint(low, high);
        let turned: f64 = recent_weights
            .clone()
            .map(|w| (middle / w.max(1e-9)).min(1.0))
            .sum();
        *(if turned < wanted { &mut low } else { &mut high }) = middle;
    }
    high
}

/// share = [1/(price + lambda) − 1/speed]₊, at most `max_share`, of sum n: the maximum of Σ ln(1 +
/// share·speed) − price·share. Newton steps on lambda, kept inside a shrinking bracket. Returns
/// lambda.
fn solve_shares(inputs: &[ShareInput], floor: f64, start: f64, shares: &mut Vec<f64>) -> f64 {
    let n = inputs.len() as f64;
    let share = |l: &ShareInput, lambda: f64| match l.price + lambda {
        dear if dear > 0.0 => (1.0 / dear - 1.0 / l.speed).clamp(0.0, l.max_share),
        _ => l.max_share, // Cheaper than any share can make it: its bound alone holds.
    };
    // Where the bounds leave no room for n the rest is refused: lower, even dear backends would
    // fill up. A bounded backend that stays cheap, as an idle cold one does, doesn't count: it
    // would close the others.
    let least = |bounded: bool| {
        inputs
            .iter()
            .filter(move |l| l.max_share.is_finite() == bounded)
            .map(|l| l.price)
    };
    let least = |bounded| least(bounded).fold(f64::INFINITY, f64::min);
    let cheapest = if least(false).is_finite() {
        least(false)
    } else {
        least(true)
    };
    let mut low = floor - cheapest;
    let mut high = inputs.iter().map(|l| l.speed - l.price).fold(low, f64::max);
    let mut lambda = if start > low && start < high {
        start
    } else {
        f64::midpoint(low, high)
    };
    for _ in 0..60 {
        let (mut sum, mut slope) = (0.0, 0.0);
        for l in inputs {
            let s = share(l, lambda);
            sum += s;
            if s > 0.0 && s < l.max_share {
                slope -= 1.0 / (l.price + lambda).powi(2);
            }
        }
        if (sum - n).abs() < 1e-6 * n || high - low < 1e-9 {
            break;
        }
        *(if sum > n { &mut low } else { &mut high }) = lambda;
        let newton = lambda - (sum - n) / slope;
        lambda = if newton > low && newton < high {
            newton
        } else {
            f64::midpoint(low, high)
        };
    }
    shares.clear();
    shares.extend(inputs.iter().map(|l| share(l, lambda)));
    lambda
}

#[cfg(test)]
#[path = "logic_tests.rs"]
mod tests;
