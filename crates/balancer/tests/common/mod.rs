//! Settings for tests, and an observer of rules one to three and of legal actions. It checks; it
//! simulates nothing.
//!
//! Integration tests and unit tests both include this file: the balancer's public items have to be
//! at their crate's root.

#![allow(dead_code)]

use crate::{
    Action, AttemptOutcome, AttemptResult, BackendId, Balancer, CellId, ClassId, Endpoint,
    EndpointState, Event, Idempotency, KeyScope, ListUpdate, LoadReport, LoadReporting,
    MachineTypeId, ProtocolLimits, RequestArrival, RequestClass, RequestId, Settings, TenantId,
    Time, TimerId, ZoneId,
};
use std::collections::BTreeMap;
use std::time::Duration;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn at(n: u64) -> Time {
    Time(1_000_000_000 + n * 1_000_000)
}

pub fn class(effect: Idempotency) -> RequestClass {
    RequestClass {
        idempotency: effect,
        latency_objective: ms(400),
        objective_work_factor: 0.0,
        deadline: ms(1000),
        priority_weight: 3.0,
        late_weight: 0.0,
        streaming: false,
        allowed_zones: None,
        allowed_machine_types: None,
    }
}

/// Safe, unsafe, and keyed with each group.
pub fn settings() -> Settings {
    let keyed = |group| Idempotency::Keyed {
        scope: group,
        window: ms(500),
    };
    Settings {
        nodes: 4,
        zone: ZoneId(0),
        zones: 2,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(keyed(KeyScope::All)),
            class(keyed(KeyScope::Zone)),
            class(keyed(KeyScope::Cell)),
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        weight_per_work: false,
        endpoint_weights_given: false,
        load_reporting: LoadReporting::WithResponses,
        throughput_reported: true,
        polled_discovery: false,
        max_attempts: 3,
        cancellation_allowed: true,
        load_probes_allowed: false,
        hedging_allowed: false,
        idle_timeout: ms(60_000),
        connect_timeout: ms(250),
        max_retry_after: Some(ms(1000)),
        protocol_limits: ProtocolLimits {
            drain_grace: ms(250),
            slow_start_initial_capacity: 0.13,
            slow_start_duration: ms(20_000),
            overload_multiple: 3.0,
            overload_duration: ms(1000),
            poll_interval_limit: ms(10_000),
        },
    }
}

pub fn endpoint(server: u32, state: EndpointState, started: Option<Time>) -> Endpoint {
    Endpoint {
        backend: BackendId(server),
        zone: ZoneId((server % 2) as u8),
        machine_type: MachineTypeId((server % 3) as u8),
        cell: CellId((server % 4) as u16),
        state,
        weight: 1.0,
        started_at: started,
    }
}

pub fn endpoint_snapshot(count: u32) -> Event {
    let entries = (0..count)
        .map(|s| endpoint(s, EndpointState::Active, None))
        .collect();
    Event::EndpointList {
        update: ListUpdate::Snapshot,
        endpoints: entries,
    }
}

/// An endpoint list, or changes to it.
pub fn endpoint_list(update: ListUpdate, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { update, endpoints }
}

/// A request that its client waits a second for.
pub fn request(id: u64, class: u8) -> RequestArrival {
    RequestArrival {
        request: RequestId(id),
        class: ClassId(class),
        tenant: TenantId(0),
        remaining: ms(1000),
        work: None,
        body_pending: false,
    }
}

pub fn request_arrived(id: u64, class: u8) -> Event {
    Event::RequestArrived(request(id, class))
}

/// Feeds an event and returns what is to be done about it.
pub fn handle(balancer: &mut Balancer, now: Time, event: Event) -> Vec<Action> {
    let mut actions = vec![];
    balancer.handle(now, event, &mut actions);
    actions
}

pub fn load_report(busy: f64, rate: f64) -> LoadReport {
    LoadReport {
        utilization: Some(busy),
        throughput: Some(rate),
        ..LoadReport::default()
    }
}

pub fn attempt_ended(
    request: u64,
    attempt: u32,
    server: BackendId,
    outcome: AttemptOutcome,
    report: Option<LoadReport>,
) -> Event {
    Event::AttemptEnded(AttemptResult {
        request: RequestId(request),
        attempt,
        backend: server,
        outcome,
        latency: ms(100),
        request_closed: outcome == AttemptOutcome::Success,
        load_report: report,
    })
}

pub struct Try {
    pub server: BackendId,
    pub sent: Time,
    pub limit: Time,
    pub outcome: Option<AttemptOutcome>,
}

pub struct Seen {
    pub class: ClassId,
    pub ends: Time,
    pub open: bool,
    pub tries: Vec<Try>,
}

/// The same with classes bound to a zone, to kinds, to both, and to nothing that exists.
pub fn placed_settings() -> Settings {
    let mut bound = settings();
    bound.classes[0].allowed_zones = Some(vec![ZoneId(1)]);
    bound.classes[1].allowed_machine_types = Some(vec![MachineTypeId(0), MachineTypeId(2)]);
    bound.classes[2].allowed_zones = Some(vec![ZoneId(0)]);
    bound.classes[2].allowed_machine_types = Some(vec![MachineTypeId(1)]);
    bound.classes[3].allowed_machine_types = Some(vec![MachineTypeId(9)]);
    bound
}

/// Watches events and actions and says which rule an action breaks.
pub struct Observer {
    settings: Settings,
    pub requests: BTreeMap<RequestId, Seen>,
    /// Each server's place, since when it takes nothing new, and its kind.
    servers: BTreeMap<BackendId, (ZoneId, CellId, Option<Time>, MachineTypeId)>,
    pub timers: Vec<(Time, TimerId)>,
    pub probes: Vec<BackendId>,
}

impl Observer {
    pub fn new(settings: Settings) -> Self {
        Observer {
            settings,
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            timers: vec![],
            probes: vec![],
        }
    }

    pub fn event(&mut self, now: Time, event: &Event) {
        match event {
            Event::EndpointList {
                update: kind,
                endpoints: entries,
            } => {
                if matches!(kind, ListUpdate::Snapshot | ListUpdate::Cached) {
                    for s in self.servers.values_mut() {
                        s.2.get_or_insert(now);
                    }
                }
                for e in entries {
                    let held = self.servers.get(&e.backend).and_then(|s| s.2);
                    let stop = (e.state != EndpointState::Active).then(|| held.unwrap_or(now));
                    self.servers
                        .insert(e.backend, (e.zone, e.cell, stop, e.machine_type));
                }
            }
            Event::RequestArrived(a) => {
                let (class, ends) = (a.class, now + a.remaining);
                self.requests.insert(
                    a.request,
                    Seen {
                        class,
                        ends,
                        open: true,
                        tries: vec![],
                    },
                );
            }
            Event::AttemptEnded(e) => {
                let Some(r) = self.requests.get_mut(&e.request) else {
                    return;
                };
                if let Some(t) = r.tries.get_mut(e.attempt as usize) {
                    t.outcome = Some(e.outcome);
                }
                r.open &= !e.request_closed;
            }
            Event::ClientDisconnected { request } => {
                if let Some(r) = self.requests.get_mut(request) {
                    r.open = false;
                }
            }
            Event::RequestBodyReceived { .. }
            | Event::ResponseStarted { .. }
            | Event::TimerFired { .. }
            | Event::LoadProbeEnded(_) => {}
        }
    }

    pub fn action(&mut self, now: Time, action: &Action) -> Result<(), String> {
        let broken = |what: &str| Err(format!("{what}: {action:?} at {now:?}"));
        match action {
            Action::StartAttempt {
                request,
                backend: server,
                timeout: limit,
            } => {
                let Some(r) = self.requests.get_mut(request) else {
                    return broken("unknown request");
                };
                if !r.open || now > r.ends {
                    return broken("rule 1, sent after the end");
                }
                let Some(place) = self.servers.get(server) else {
                    return broken("unknown server");
                };
                if place
                    .2
                    .is_some_and(|stop| now - stop > self.settings.protocol_limits.drain_grace)
                {
                    return broken("rule 3, sent to a server that drains");
                }
                let class = &self.settings.classes[usize::from(r.class.0)];
                if class
                    .allowed_zones
                    .as_ref()
                    .is_some_and(|open| !open.contains(&place.0))
                    || class
                        .allowed_machine_types
                        .as_ref()
                        .is_some_and(|open| !open.contains(&place.3))
                {
                    return broken("rule 5, sent where its class may not go");
                }
                if r.tries.len() as u32 >= self.settings.max_attempts {
                    return broken("too many attempts");
                }
                if !self.settings.hedging_allowed && r.tries.iter().any(|t| t.outcome.is_none()) {
                    return broken("two copies out");
                }
                let risky = r
                    .tries
                    .iter()
                    .find(|t| t.outcome.is_none_or(|o| !o.never_executed()));
                if let Some(t) = risky {
                    let first = self.servers[&t.server];
                    let fine = match self.settings.classes[usize::from(r.class.0)].idempotency {
                        Idempotency::Idempotent => true,
                        Idempotency::NonIdempotent => false,
                        Idempotency::Keyed {
                            scope: group,
                            window,
                        } => {
                            now - t.sent <= window
                                && match group {
                                    KeyScope::All => true,
                                    KeyScope::Zone => first.0 == place.0,
                                    KeyScope::Cell => first.1 == place.1,
                                }
                        }
                    };
                    if !fine {
                        return broken("rule 2, sent again");
                    }
                }
                let limit = limit.map_or(r.ends, |l| (now + l).min(r.ends));
                r.tries.push(Try {
                    server: *server,
                    sent: now,
                    limit,
                    outcome: None,
                });
            }
            Action::Reject { request, .. } => {
                let Some(r) = self.requests.get_mut(request) else {
                    return broken("unknown request");
                };
                let risky = r
                    .tries
                    .iter()
                    .any(|t| t.outcome.is_none_or(|o| !o.never_executed()));
                let fine = match self.settings.classes[usize::from(r.class.0)].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::Keyed {
                        scope: KeyScope::All,
                        ..
                    } => true,
                    _ => !risky,
                };
                if !fine {
                    return broken("rule 2, refused though it may have run");
                }
                if !std::mem::take(&mut r.open) {
                    return broken("rule 1, a second answer");
                }
            }
            Action::Fail { request, .. } => {
                let Some(r) = self.requests.get_mut(request) else {
                    return broken("unknown request");
                };
                if !std::mem::take(&mut r.open) {
                    return broken("rule 1, a second answer");
                }
            }
            Action::CancelAttempt { request, attempt } => {
                let tries = self.requests.get(request).map_or(0, |r| r.tries.len());
                if !self.settings.cancellation_allowed || *attempt as usize >= tries {
                    return broken("cancels what was never sent");
                }
            }
            Action::SetTimer { at, timer } => self.timers.push((*at, *timer)),
            Action::SendLoadProbe { backend: server } => {
                if !self.settings.load_probes_allowed || !self.servers.contains_key(server) {
                    return broken("probe not allowed");
                }
                self.probes.push(*server);
            }
            Action::RefreshEndpointList => {
                if !self.settings.polled_discovery {
                    return broken("asks for a list that comes by itself");
                }
            }
            Action::Log(_) => {}
        }
        Ok(())
    }

    /// Rule 1 from the other side: what is owed when the client's time is over.
    pub fn overdue(&self, now: Time) -> Option<RequestId> {
        self.requests
            .iter()
            .find(|(_, r)| r.open && now >= r.ends + ms(20))
            .map(|(id, _)| *id)
    }
}

/// A balancer under observation.
pub struct Watched {
    pub balancer: Balancer,
    pub observer: Observer,
    pub now: Time,
    pub log: Vec<Action>,
}

impl Watched {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings.clone(), seed, at(0)).expect("sound settings");
        Watched {
            balancer,
            observer: Observer::new(settings),
            now: at(0),
            log: vec![],
        }
    }

    pub fn feed(&mut self, event: Event) -> Result<Vec<Action>, String> {
        self.observer.event(self.now, &event);
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.observer.action(self.now, action)?;
        }
        self.log.extend(actions.iter().cloned());
        Ok(actions)
    }

    /// Lets time pass; timers and time-outs that fall due are delivered.
    pub fn wait(&mut self, d: Duration) -> Result<(), String> {
        let until = self.now + d;
        loop {
            let timer = self.observer.timers.iter().map(|t| t.0).min();
            let open = self.observer.requests.iter();
            let out = open.flat_map(|(id, r)| {
                r.tries
                    .iter()
                    .enumerate()
                    .filter(|t| t.1.outcome.is_none())
                    .map(|(n, t)| (t.limit, *id, n, t.server))
            });
            let out = out.min();
            match (timer, out) {
                (Some(t), o) if t <= until && o.is_none_or(|o| t <= o.0) => {
                    self.now = self.now.max(t);
                    let k = self
                        .observer
                        .timers
                        .iter()
                        .position(|x| x.0 == t)
                        .expect("just found");
                    let timer = self.observer.timers.remove(k).1;
                    self.feed(Event::TimerFired { timer })?;
                }
                (_, Some(o)) if o.0 <= until => {
                    self.now = self.now.max(o.0);
                    self.feed(attempt_ended(
                        o.1 .0,
                        o.2 as u32,
                        o.3,
                        AttemptOutcome::TimedOut,
                        None,
                    ))?;
                }
                _ => break,
            }
            if let Some(id) = self.observer.overdue(self.now) {
                return Err(format!("rule 1, request {id} is owed an answer"));
            }
        }
        self.now = until;
        self.observer.overdue(self.now).map_or(Ok(()), |id| {
            Err(format!("rule 1, request {id} is owed an answer"))
        })
    }
}
