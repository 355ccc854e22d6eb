//! Integration tests of backends' start times, with wall clocks that are stepped.

mod common;
use common::*;

/// Returns the available capacity of the backend with this id, from the next `stats` line of the
/// log.
async fn available_capacity(proxy: &mut ProxyProcess, backend: u32) -> f64 {
    let mut client = proxy.connect().await;
    // A line is written only if something has happened since the last one.
    client.send("safe", "1m").await;
    let line = proxy.wait_for_log("stats ").await;
    let (_, rest) = line
        .split_once(&format!(" {backend}:weight="))
        .expect("the backend's figures");
    let (_, rest) = rest
        .split_once("available_capacity=")
        .expect("its available capacity");
    rest.split(',')
        .next()
        .and_then(|figure| figure.parse().ok())
        .expect("a number")
}

/// The present Unix time plus `offset_seconds`, in milliseconds.
fn timestamp(offset_seconds: i64) -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a clock");
    u64::try_from(now.as_millis() as i64 + offset_seconds * 1000).expect("a time after 1970")
}

/// Steps by which a machine's wall clock is set forward or back, in seconds.
const CLOCK_STEPS_SECONDS: [i64; 4] = [3600, -3600, 7, -7];

/// Starts a proxy whose backends start with a tenth of their capacity and take long to warm up, and
/// sends it a list of `members`.
async fn start_with_long_slow_start(
    faults: &FaultInjection,
    members: &[serde_json::Value],
) -> (ProxyProcess, WatchStream) {
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    settings["rules"]["cold_from"] = serde_json::json!(0.1);
    settings["rules"]["warm_up_ns"] = serde_json::json!(1_000_000_000_000u64);
    let proxy = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .faults(faults)
        .start()
        .await;
    let (mut watch, _) = discovery.accept_watch().await;
    watch.send_list(1, true, members).await;
    proxy.wait_for_revision(1).await;
    (proxy, watch)
}

/// An active endpoint that was started at `timestamp`, in milliseconds of Unix time.
fn endpoint_started_at(backend: &ScriptedServer, timestamp: u64) -> serde_json::Value {
    let mut member = endpoint("s", backend.address(), "active");
    member["up_since_ms"] = serde_json::json!(timestamp);
    member
}

/// The wall clock of the proxy's machine was stepped before the process started, so a backend that
/// has just started looks older, or not started yet. It must warm up all the same.
#[tokio::test]
async fn young_backend_warms_up_despite_a_stepped_wall_clock() {
    let backend = ScriptedServer::new().await;
    for step in CLOCK_STEPS_SECONDS {
        let faults = FaultInjection::new();
        faults.control.set_wall_clock_offset(step);
        let (mut proxy, _watch) =
            start_with_long_slow_start(&faults, &[endpoint_started_at(&backend, timestamp(0))])
                .await;
        let available_capacity = available_capacity(&mut proxy, 0).await;
        assert!(
            (0.1..0.2).contains(&available_capacity),
            "{available_capacity} at a step of {step} s"
        );
    }
}

/// The clock behind a backend's timestamps may be stepped in either direction before the backend
/// restarts. The backend must warm up from the moment at which the change is observed, and for no
/// longer than after any other start.
#[tokio::test]
async fn restart_is_detected_whichever_way_its_timestamp_moves() {
    let backend = ScriptedServer::new().await;
    for step in CLOCK_STEPS_SECONDS {
        let faults = FaultInjection::new();
        let (mut proxy, mut watch) = start_with_long_slow_start(
            &faults,
            &[
                endpoint_started_at(&backend, timestamp(-20_000)),
                endpoint("t", backend.address(), "active"),
            ],
        )
        .await;
        faults.control.set_wall_clock_offset(step);
        watch
            .send_list(
                2,
                false,
                &[endpoint_started_at(&backend, timestamp(-20_000 + step))],
            )
            .await;
        proxy.wait_for_revision(2).await;
        let available_capacity = available_capacity(&mut proxy, 0).await;
        assert!(
            (0.1..0.2).contains(&available_capacity),
            "{available_capacity} at a step of {step} s"
        );
    }
}
