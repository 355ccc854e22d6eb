//! Start times of backends against wall clocks that are stepped.

mod common;
use common::*;

/// The available capacity of a backend, as the `stats` line logs it.
async fn available_capacity(proxy: &mut ProxyProcess, backend: u32) -> f64 {
    let mut client = proxy.connect().await;
    client.send("safe", "1m").await; // A line is written only where something has happened.
    let line = proxy.wait_for_log("stats ").await;
    let (_, rest) = line
        .split_once(&format!(" {backend}:weight="))
        .expect("the server's figures");
    let (_, rest) = rest.split_once("available_capacity=").expect("its warmth");
    rest.split(',')
        .next()
        .and_then(|figure| figure.parse().ok())
        .expect("a number")
}

/// Unix time in milliseconds, off by this many seconds.
fn timestamp(off: i64) -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a clock");
    u64::try_from(now.as_millis() as i64 + off * 1000).expect("a time after 1970")
}

/// Steps of a machine's wall clock, in seconds.
const CLOCK_STEPS_SECONDS: [i64; 4] = [3600, -3600, 7, -7];

/// A proxy whose backends take long to warm up, and warm up from a tenth.
async fn slow_to_warm(
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

fn endpoint_started_at(backend: &ScriptedServer, timestamp: u64) -> serde_json::Value {
    let mut member = endpoint("s", backend.address(), "active");
    member["up_since_ms"] = serde_json::json!(timestamp);
    member
}

/// The clock of this machine was stepped before the process started.
#[tokio::test]
async fn young_backend_warms_up_despite_a_stepped_wall_clock() {
    let backend = ScriptedServer::new().await;
    for step in CLOCK_STEPS_SECONDS {
        let faults = FaultInjection::new();
        faults.control.step_wall_clock(step);
        let (mut proxy, _watch) =
            slow_to_warm(&faults, &[endpoint_started_at(&backend, timestamp(0))]).await;
        let available_capacity = available_capacity(&mut proxy, 0).await;
        assert!(
            (0.1..0.2).contains(&available_capacity),
            "{available_capacity} at a step of {step} s"
        );
    }
}

/// The backend warms up from then on and no longer, however the clock behind its timestamps was
/// stepped.
#[tokio::test]
async fn restart_is_detected_whichever_way_its_timestamp_moves() {
    let backend = ScriptedServer::new().await;
    for step in CLOCK_STEPS_SECONDS {
        let faults = FaultInjection::new();
        let (mut proxy, mut watch) = slow_to_warm(
            &faults,
            &[
                endpoint_started_at(&backend, timestamp(-20_000)),
                endpoint("t", backend.address(), "active"),
            ],
        )
        .await;
        faults.control.step_wall_clock(step);
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
