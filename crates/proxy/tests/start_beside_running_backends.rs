//! Integration tests of a node's first seconds, above all of one that starts while its backends
//! have been running for a long time.

mod common;
use common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep};

/// Number of backends.
const BACKENDS: usize = 6;
/// Time between two requests, those of all clients taken together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Number of requests that the clients send. Sending them takes less time than the slow start.
const REQUESTS: usize = 360;
/// Service time of a warm backend.
const SERVICE_TIME: Duration = Duration::from_millis(21);
/// Requests per second that a warm backend counts as able to serve. Only [`Service::Warming`]
/// enforces a rate derived from it.
const WARM_RATE: f64 = 40.0;
/// Length of the intervals over which the requests to a backend are compared with what it can
/// serve; `overload_for_ns` in the settings.
const OVERLOAD_DURATION: Duration = Duration::from_secs(1);

const SECOND: i64 = 1;
const MINUTE: i64 = 60;
const HOUR: i64 = 3600;

/// The settings of slow start.
#[derive(Clone, Copy)]
struct SlowStart {
    /// Fraction of its full capacity that a backend has when it starts.
    initial_capacity: f64,
    /// Time from its start until a backend has its full capacity.
    duration: Duration,
    /// Multiple of its available capacity above which a backend is overloaded.
    overload_multiple: f64,
}

/// The slow start of most tests.
const USUAL_SLOW_START: SlowStart = SlowStart {
    initial_capacity: 0.25,
    duration: Duration::from_secs(8),
    overload_multiple: 3.0,
};

/// A slow start under which backends can at first serve far fewer requests than the clients send.
const COLD_SLOW_START: SlowStart = SlowStart {
    initial_capacity: 0.05,
    duration: Duration::from_secs(20),
    overload_multiple: 2.0,
};

impl SlowStart {
    /// Requests per second that a backend of this age can serve.
    fn rate(self, age: Duration) -> f64 {
        let warmed_up_fraction = age.as_secs_f64() / self.duration.as_secs_f64();
        WARM_RATE
            * (self.initial_capacity + (1.0 - self.initial_capacity) * warmed_up_fraction).min(1.0)
    }

    /// The most requests that a backend can take within one overload duration from this age on,
    /// with a margin for random variation.
    fn allowed_requests(self, age: Duration) -> f64 {
        let limit = self.overload_multiple * self.rate(age) * OVERLOAD_DURATION.as_secs_f64();
        limit + 3.0 * limit.sqrt() + 3.0
    }

    /// The default settings with this slow start.
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

/// How a backend serves requests.
#[derive(Clone, Copy)]
enum Service {
    /// Any number of requests at a time, each in [`SERVICE_TIME`].
    Warm,
    /// One request at a time, at the rate of a backend in slow start that started with the test.
    Warming(SlowStart),
}

/// A backend that serves every request, and records when it arrived.
struct ServingBackend {
    service: Service,
    started_at: Instant,
    /// Held by the request that is being processed; used only under [`Service::Warming`].
    core: tokio::sync::Mutex<()>,
    /// When each request arrived.
    arrivals: Mutex<Vec<Instant>>,
}

impl ServingBackend {
    /// Starts a backend and returns it with its address. It serves until the test ends.
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
                let connection = server.accept_without_timeout().await;
                tokio::spawn(serving.clone().serve_connection(connection));
            }
        });
        (backend, address)
    }

    /// Serves the requests of one connection until it ends.
    async fn serve_connection(self: Arc<Self>, mut connection: Connection) {
        while connection.read().await.is_some() {
            let arrivals = self.arrivals.lock();
            arrivals.expect("no panic").push(Instant::now());
            self.work().await;
            connection.respond("200 OK", "", "").await;
        }
    }

    /// Waits as long as the service of one request takes.
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

    /// Number of requests received so far.
    fn requests(&self) -> usize {
        self.arrivals.lock().expect("no panic").len()
    }

    /// Asserts that the backend did not receive more requests within any overload duration than the
    /// slow start allows.
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
                "{requests} requests, {allowed:.1} allowed, at an age of {age:?}"
            );
        }
    }
}

/// When a backend was last started.
#[derive(Clone, Copy)]
enum Start {
    /// Long ago: its endpoint's timestamp is 0, which counts as none.
    LongAgo,
    /// This many seconds ago, by its endpoint's timestamp.
    Ago(i64),
}

impl Start {
    /// The start in milliseconds of Unix time, as the endpoint list gives it.
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

/// The conditions under which a node starts.
#[derive(Clone, Copy)]
struct Scenario {
    starts: [Start; BACKENDS],
    service: Service,
    slow_start: SlowStart,
    /// How far the node's wall clock is ahead of the clock of the backends' timestamps, in seconds;
    /// negative if it is behind.
    clock_offset: i64,
}

/// The outcome of a scenario.
struct ScenarioOutcome {
    /// Requests that were not served.
    unserved: usize,
    backends: Vec<Arc<ServingBackend>>,
}

impl Scenario {
    /// Starts the backends and the node, and sends the requests.
    async fn run(self) -> ScenarioOutcome {
        let faults = FaultInjection::new();
        faults.control.set_wall_clock_offset(self.clock_offset);
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
        ScenarioOutcome {
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

/// Runs a scenario with warm backends and the usual slow start, and asserts that every request was
/// served.
async fn expect_all_served(starts: [Start; BACKENDS], clock_offset: i64) {
    let scenario = Scenario {
        starts,
        service: Service::Warm,
        slow_start: USUAL_SLOW_START,
        clock_offset,
    };
    let outcome = scenario.run().await;
    assert_eq!(
        outcome.unserved, 0,
        "of {REQUESTS} requests, at a clock offset of {clock_offset} s"
    );
}

/// Backends that all have the same old timestamp used to count as just started, and the node shed
/// load for as long as a slow start takes.
#[tokio::test]
async fn backends_of_one_old_timestamp_are_used_in_full() {
    expect_all_served([Start::Ago(2 * HOUR); BACKENDS], 0).await;
}

/// Since wall clocks may have been stepped, the node cannot tell these backends from ones that have
/// just started. It must not shed load for that reason.
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

/// The node's wall clock has not reached the backends' timestamps yet.
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

/// A backend that has just started must get far fewer requests than the old ones. Those take the
/// rest, so that every request is still served.
#[tokio::test]
async fn young_backend_is_held_back_beside_old_ones() {
    for clock_offset in [0, HOUR, -HOUR] {
        let mut starts = [Start::Ago(2 * HOUR); BACKENDS];
        starts[0] = Start::Ago(0);
        let scenario = Scenario {
            starts,
            service: Service::Warm,
            slow_start: USUAL_SLOW_START,
            clock_offset,
        };
        let outcome = scenario.run().await;
        assert_eq!(outcome.unserved, 0, "at a clock offset of {clock_offset} s");
        let at_young = outcome.backends[0].requests();
        let mean_of_old = (REQUESTS - at_young) / (BACKENDS - 1);
        assert!(
            2 * at_young < mean_of_old,
            "{at_young} requests, {mean_of_old} at an old one, at a clock offset of {clock_offset} s"
        );
    }
}

/// All backends have just started. The node may shed load then, and must not send the backends more
/// requests than they can take.
#[tokio::test]
async fn fleet_that_has_just_started_is_not_overloaded() {
    for clock_offset in [0, HOUR, -HOUR] {
        let scenario = Scenario {
            starts: [Start::Ago(0); BACKENDS],
            service: Service::Warming(COLD_SLOW_START),
            slow_start: COLD_SLOW_START,
            clock_offset,
        };
        for backend in scenario.run().await.backends {
            backend.assert_not_overloaded(COLD_SLOW_START);
        }
    }
}
