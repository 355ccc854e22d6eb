//! The first seconds of a node that starts while its backends are long up.

mod common;
use common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep};

/// Backends of the fleet.
const BACKENDS: usize = 6;
/// Time between two requests of the clients together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Requests that the clients send; the slow start outlasts them.
const REQUESTS: usize = 360;
/// Time in which a warm backend serves a request.
const SERVICE_TIME: Duration = Duration::from_millis(21);
/// Requests per second that a backend can do once it is warm, where it is limited.
const WARM_RATE: f64 = 40.0;
const OVERLOAD_DURATION: Duration = Duration::from_secs(1);

const SECOND: i64 = 1;
const MINUTE: i64 = 60;
const HOUR: i64 = 3600;

/// What the settings say of slow start.
#[derive(Clone, Copy)]
struct SlowStart {
    initial_capacity: f64,
    duration: Duration,
    overload_multiple: f64,
}

const USUAL_SLOW_START: SlowStart = SlowStart {
    initial_capacity: 0.25,
    duration: Duration::from_secs(8),
    overload_multiple: 3.0,
};

/// Backends that bear much less at first than the clients send.
const COLD_SLOW_START: SlowStart = SlowStart {
    initial_capacity: 0.05,
    duration: Duration::from_secs(20),
    overload_multiple: 2.0,
};

impl SlowStart {
    /// Requests per second that a backend can do at this age.
    fn rate(self, age: Duration) -> f64 {
        let warmed = age.as_secs_f64() / self.duration.as_secs_f64();
        WARM_RATE * (self.initial_capacity + (1.0 - self.initial_capacity) * warmed).min(1.0)
    }

    /// Requests within one overload duration that a backend bears from this age on, with what chance
    /// may add.
    fn allowed_requests(self, age: Duration) -> f64 {
        let limit = self.overload_multiple * self.rate(age) * OVERLOAD_DURATION.as_secs_f64();
        limit + 3.0 * limit.sqrt() + 3.0
    }

    fn settings(self) -> Value {
        let mut settings = settings();
        let nanoseconds = |duration: Duration| json!(duration.as_nanos() as u64);
        settings["rules"]["cold_from"] = json!(self.initial_capacity);
        settings["rules"]["fall_multiple"] = json!(self.overload_multiple);
        settings["rules"]["overload_for_ns"] = nanoseconds(OVERLOAD_DURATION);
        settings["rules"]["warm_up_ns"] = nanoseconds(self.duration);
        settings
    }
}

/// How fast a backend serves.
#[derive(Clone, Copy)]
enum Service {
    /// Any number of requests at a time.
    Warm,
    /// One after the other, at the rate of a backend that has just started.
    Warming(SlowStart),
}

/// A backend that serves every request.
struct ServingBackend {
    service: Service,
    started_at: Instant,
    /// Held by the request in work, where there is one at a time.
    core: tokio::sync::Mutex<()>,
    /// When each request arrived.
    arrivals: Mutex<Vec<Instant>>,
}

impl ServingBackend {
    /// Returns the backend and its address; it serves until the test ends.
    async fn start(service: Service) -> (Arc<Self>, SocketAddr) {
        let server = ScriptedServer::new().await;
        let address = server.address();
        let backend = Arc::new(ServingBackend {
            service,
            started_at: Instant::now(),
            core: tokio::sync::Mutex::default(),
            arrivals: Mutex::default(),
        });
        let serving = backend.clone();
        tokio::spawn(async move {
            loop {
                let connection = server.accept_when_it_comes().await;
                tokio::spawn(serving.clone().serve_connection(connection));
            }
        });
        (backend, address)
    }

    async fn serve_connection(self: Arc<Self>, mut connection: Connection) {
        while connection.read().await.is_some() {
            let arrivals = self.arrivals.lock();
            arrivals.expect("no panic").push(Instant::now());
            self.work().await;
            connection.respond("200 OK", "", "").await;
        }
    }

    async fn work(&self) {
        match self.service {
            Service::Warm => sleep(SERVICE_TIME).await,
            Service::Warming(slow_start) => {
                let _core = self.core.lock().await;
                let rate = slow_start.rate(self.started_at.elapsed());
                sleep(Duration::from_secs_f64(1.0 / rate)).await;
            }
        }
    }

    fn requests(&self) -> usize {
        self.arrivals.lock().expect("no panic").len()
    }

    /// Asserts that no overload duration brought more requests than the slow start allows.
    fn assert_not_overloaded(&self, slow_start: SlowStart) {
        let arrivals = self.arrivals.lock().expect("no panic");
        for (position, &from) in arrivals.iter().enumerate() {
            let later = arrivals[position..].iter();
            let window = later.take_while(|&&at| at - from < OVERLOAD_DURATION);
            let requests = window.count();
            let age = from - self.started_at;
            let allowed = slow_start.allowed_requests(age);
            assert!(
                requests as f64 <= allowed,
                "{requests} of {allowed:.1} at an age of {age:?}"
            );
        }
    }
}

/// A backend's last start.
#[derive(Clone, Copy)]
enum Start {
    /// No timestamp: long ago.
    LongAgo,
    /// Seconds ago, by a timestamp.
    Ago(i64),
}

impl Start {
    fn timestamp(self) -> u64 {
        match self {
            Start::LongAgo => 0,
            Start::Ago(seconds) => {
                let now = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .expect("a clock");
                u64::try_from(now.as_millis() as i64 - seconds * 1000).expect("a time after 1970")
            }
        }
    }
}

/// A node's first seconds beside a fleet.
#[derive(Clone, Copy)]
struct Scenario {
    starts: [Start; BACKENDS],
    service: Service,
    slow_start: SlowStart,
    /// Seconds by which the node's wall clock is off.
    clock_step: i64,
}

/// What came of a scenario.
struct FirstSeconds {
    /// Requests that were not served.
    unserved: usize,
    backends: Vec<Arc<ServingBackend>>,
}

impl Scenario {
    async fn run(self) -> FirstSeconds {
        let faults = FaultInjection::new();
        faults.control.step_wall_clock(self.clock_step);
        let mut backends = Vec::new();
        let mut endpoints = Vec::new();
        for (number, start) in self.starts.into_iter().enumerate() {
            let (backend, address) = ServingBackend::start(self.service).await;
            let mut entry = endpoint(&format!("s{number}"), address, "active");
            entry["up_since_ms"] = json!(start.timestamp());
            endpoints.push(entry);
            backends.push(backend);
        }
        let discovery = ScriptedServer::new().await;
        let (proxy, _watch) = ProxyBuilder::new(discovery.address())
            .settings(self.slow_start.settings())
            .faults(&faults)
            .start_ready(&discovery, &endpoints)
            .await;
        FirstSeconds {
            unserved: unserved_requests(&proxy).await,
            backends,
        }
    }
}

/// Sends requests at a steady rate, and counts those that are not served.
async fn unserved_requests(proxy: &ProxyProcess) -> usize {
    let mut ticks = interval(REQUEST_INTERVAL);
    let mut responses: Vec<JoinHandle<u16>> = Vec::new();
    for _ in 0..REQUESTS {
        ticks.tick().await;
        let address = proxy.address;
        responses.push(tokio::spawn(async move {
            let mut client = Connection::connect(address).await;
            client.request("safe").await.expect("a response").status()
        }));
    }
    let mut unserved = 0;
    for response in responses {
        if response.await.expect("a client") != 200 {
            unserved += 1;
        }
    }
    unserved
}

async fn expect_all_served(starts: [Start; BACKENDS], clock_step: i64) {
    let scenario = Scenario {
        starts,
        service: Service::Warm,
        slow_start: USUAL_SLOW_START,
        clock_step,
    };
    let outcome = scenario.run().await;
    assert_eq!(
        outcome.unserved, 0,
        "of {REQUESTS} requests, at a clock step of {clock_step} s"
    );
}

/// They used to count as just started, and the node shed load for as long as a slow start takes.
#[tokio::test]
async fn backends_of_one_old_timestamp_are_used_in_full() {
    expect_all_served([Start::Ago(2 * HOUR); BACKENDS], 0).await;
}

/// A clock that may have been stepped cannot tell these from backends that have just started.
#[tokio::test]
async fn backends_that_started_together_minutes_ago_are_used_in_full() {
    expect_all_served([Start::Ago(10 * MINUTE); BACKENDS], 0).await;
}

#[tokio::test]
async fn old_backends_are_used_in_full_under_a_clock_that_is_behind() {
    expect_all_served([Start::Ago(2 * HOUR); BACKENDS], -HOUR).await;
}

#[tokio::test]
async fn old_backends_are_used_in_full_under_a_clock_that_is_ahead() {
    expect_all_served([Start::Ago(2 * HOUR); BACKENDS], HOUR).await;
}

/// This machine's clock has not reached their timestamps yet.
#[tokio::test]
async fn backends_with_timestamps_in_the_future_are_used_in_full() {
    expect_all_served([Start::Ago(10 * MINUTE); BACKENDS], -HOUR).await;
}

#[tokio::test]
async fn backends_of_mixed_old_timestamps_are_used_in_full() {
    let starts = [
        Start::Ago(2 * HOUR),
        Start::Ago(90 * MINUTE),
        Start::Ago(20 * MINUTE),
        Start::Ago(20 * MINUTE - 2 * SECOND),
        Start::Ago(5 * MINUTE),
        Start::LongAgo,
    ];
    expect_all_served(starts, 0).await;
}

#[tokio::test]
async fn backends_without_timestamps_are_used_in_full() {
    expect_all_served([Start::LongAgo; BACKENDS], 0).await;
}

/// Old ones take what young ones may not.
#[tokio::test]
async fn young_backend_is_held_back_beside_old_ones() {
    for clock_step in [0, HOUR, -HOUR] {
        let mut starts = [Start::Ago(2 * HOUR); BACKENDS];
        starts[0] = Start::Ago(0);
        let scenario = Scenario {
            starts,
            service: Service::Warm,
            slow_start: USUAL_SLOW_START,
            clock_step,
        };
        let outcome = scenario.run().await;
        assert_eq!(outcome.unserved, 0, "at a clock step of {clock_step} s");
        let at_young = outcome.backends[0].requests();
        let mean_of_old = (REQUESTS - at_young) / (BACKENDS - 1);
        assert!(
            2 * at_young < mean_of_old,
            "{at_young} of {mean_of_old} at a clock step of {clock_step} s"
        );
    }
}

/// The node may shed load here, and keeps to what the backends bear.
#[tokio::test]
async fn fleet_that_has_just_started_is_not_overloaded() {
    for clock_step in [0, HOUR, -HOUR] {
        let scenario = Scenario {
            starts: [Start::Ago(0); BACKENDS],
            service: Service::Warming(COLD_SLOW_START),
            slow_start: COLD_SLOW_START,
            clock_step,
        };
        for backend in scenario.run().await.backends {
            backend.assert_not_overloaded(COLD_SLOW_START);
        }
    }
}
