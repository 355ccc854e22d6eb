//! Clients beyond the number of places: every request that is sent whole is answered or refused in time,
//! while slow uploads, half-written bodies and slow readers hold the places.

mod common;
use common::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Descriptors of the process. Half of those that are not reserved are places for clients.
const DESCRIPTORS: usize = 128;

/// Number of places that descriptors leave for clients.
const PLACES: usize = (DESCRIPTORS - 32) / 2;

/// Numbers of connections that hold places: so many that the whole requests find places besides, as many
/// as there are places, and twice as many.
const HOLDER_COUNTS: [usize; 3] = [PLACES / 4, PLACES, 2 * PLACES];

/// Time that clients give a request.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// When a request counts as lost: half a second after its time, with 50 ms of slack for sockets.
const LATEST_ANSWER: Duration = Duration::from_millis(1200 + 550);

/// Number of whole requests that are sent while the places are held.
const REQUESTS: usize = 20;

/// A process with few places, and its backends.
struct Scene {
    proxy: ProxyProcess,
    _discovery: ScriptedServer,
    _watch: WatchStream,
}

impl Scene {
    async fn new(memory_mb: u64) -> Self {
        let discovery = ScriptedServer::new().await;
        let backends = EchoBackends::start(12, Duration::from_millis(5)).await;
        let mut settings = settings();
        settings["tenants"][0]["quota_per_s"] = json!(100_000.0);
        let (proxy, watch) = ProxyBuilder::new(discovery.address())
            .settings(settings)
            .config(
                "limits",
                json!({"sockets": DESCRIPTORS, "memory_mb": memory_mb}),
            )
            .start_ready(&discovery, &backends.endpoints())
            .await;
        Scene {
            proxy,
            _discovery: discovery,
            _watch: watch,
        }
    }

    /// Sends whole requests, each on a connection of its own. Returns the statuses of the answers in time.
    async fn answers(&self) -> Vec<u16> {
        let mut clients = Vec::new();
        for number in 0..REQUESTS {
            let mut client = self.proxy.connect().await;
            let id = format!("whole-{number}");
            client
                .write(&Framing::Length.request(&id, "unsafe", TIMEOUT, "body"))
                .await;
            let answer = tokio::time::timeout(LATEST_ANSWER, async move { client.read().await });
            clients.push(tokio::spawn(answer));
        }
        let mut statuses = Vec::new();
        for client in clients {
            if let Ok(Some(answer)) = client.await.expect("the client") {
                statuses.push(answer.status());
            }
        }
        statuses
    }
}

/// Asserts that all requests were answered, all with 200 if the holders left free places.
fn check_answers(case: &str, statuses: &[u16], all_served: bool) {
    assert_eq!(statuses.len(), REQUESTS, "{case}: {statuses:?}");
    let allowed = |status: &u16| *status == 200 || (*status == 503 && !all_served);
    assert!(statuses.iter().all(allowed), "{case}: {statuses:?}");
}

/// Opens connections that hold half of a body, or of a head.
async fn hold_places(scene: &Scene, count: usize, is_body: bool) -> Vec<Connection> {
    let mut holders = Vec::new();
    for number in 0..count {
        let mut holder = scene.proxy.connect().await;
        let id = format!("half-{number}");
        let head = Framing::Length.head(&id, "unsafe", TIMEOUT, 200);
        let part = if is_body { &head } else { &head[..20] };
        holder.write_until_closed(part).await;
        holders.push(holder);
    }
    holders
}

/// Connections with half of a body held their places for 2.8 s, and kept whole requests unaccepted.
#[tokio::test]
async fn half_written_bodies_do_not_keep_whole_requests_out() {
    for count in HOLDER_COUNTS {
        for is_body in [false, true] {
            let scene = Scene::new(64).await;
            let _holders = hold_places(&scene, count, is_body).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
            let case = format!("{count} holders, half of a body: {is_body}");
            check_answers(&case, &scene.answers().await, count < PLACES);
        }
    }
}

/// Uploads that are slow, as the protocol allows, held every place, and other clients got neither an
/// answer nor a refusal.
#[tokio::test]
async fn slow_uploads_do_not_keep_whole_requests_unanswered() {
    for count in HOLDER_COUNTS {
        let scene = Scene::new(64).await;
        let mut uploads = tokio::task::JoinSet::new();
        for number in 0..count {
            let mut client = scene.proxy.connect().await;
            uploads.spawn(async move {
                let id = format!("upload-{number}");
                let head = Framing::Length.head(&id, "unsafe", TIMEOUT, 1_000_000);
                client.write_until_closed(&head).await;
                let end = Instant::now() + Duration::from_secs(4);
                while Instant::now() < end {
                    client.write_until_closed(&"x".repeat(6400)).await;
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let case = format!("{count} uploads");
        check_answers(&case, &scene.answers().await, count < PLACES);
    }
}

/// Responses that are read slowly hold places as uploads do.
#[tokio::test]
async fn slow_readers_do_not_keep_whole_requests_unanswered() {
    for count in HOLDER_COUNTS {
        let scene = Scene::new(64).await;
        let mut readers = Vec::new();
        for number in 0..count {
            let mut reader =
                Connection::connect_with_receive_buffer(scene.proxy.address, 4096).await;
            let id = format!("reader-{number}");
            let request = Framing::Length.request(&id, "unsafe", TIMEOUT, &"x".repeat(600_000));
            let writing = async move {
                let _ = tokio::time::timeout(TIMEOUT, reader.write_until_closed(&request)).await;
                reader
            };
            readers.push(tokio::spawn(writing));
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let case = format!("{count} readers");
        check_answers(&case, &scene.answers().await, count < PLACES);
    }
}

/// Fast clients, as many as the protocol lets send requests at a time, are all served.
#[tokio::test]
async fn fast_clients_are_served_while_there_are_places() {
    let scene = Scene::new(64).await;
    let clients = Clients {
        address: scene.proxy.address,
        count: DESCRIPTORS / 3,
        body_bytes: 1000,
        timeout: TIMEOUT,
    };
    let outcomes = clients
        .run_until(Instant::now() + Duration::from_secs(2))
        .await;
    assert_eq!(outcomes.broken(), 0, "{outcomes:?}");
    assert!(outcomes.served() > 1000, "{outcomes:?}");
}
