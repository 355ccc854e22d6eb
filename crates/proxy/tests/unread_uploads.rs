//! Large requests whose end the node's system has received while the backend takes no more: their time
//! counts from then, although nobody has read that end.

mod common;
use common::*;
use std::time::{Duration, Instant};

/// Time that clients give a request.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// When a request counts as lost: half a second after its time, with 50 ms of slack for sockets.
const LATEST_ANSWER: Duration = Duration::from_millis(1200 + 550);

/// How long a client watches for an answer that does not come in time.
const LONGEST_WATCH: Duration = Duration::from_millis(2500);

/// Sizes of bodies in bytes on both sides of what the buffers between a client and a backend hold.
fn body_sizes() -> impl Iterator<Item = usize> {
    (1..=22).map(|step| step * 200_000)
}

/// Receive buffers of the backends, in bytes; `None` is the system's own size.
const RECEIVE_BUFFERS: [Option<u32>; 2] = [Some(8 << 10), None];

/// How a backend treats a request.
#[derive(Clone, Copy, Debug)]
enum Reading {
    /// It reads this many bytes, then none.
    StopsAfter(usize),
    /// It reads nothing for this long, then everything, and answers.
    GoesOnAfter(Duration),
}

/// Lets every connection of a backend read as told, for as long as the test runs.
fn run_backend(server: ScriptedServer, reading: Reading) {
    tokio::spawn(async move {
        let mut tasks = tokio::task::JoinSet::new();
        loop {
            let mut connection = server.accept_without_timeout().await;
            tasks.spawn(async move {
                match reading {
                    Reading::StopsAfter(bytes) => {
                        connection.read_bytes(bytes).await;
                        std::future::pending::<()>().await;
                    }
                    Reading::GoesOnAfter(pause) => {
                        tokio::time::sleep(pause).await;
                        if connection.read_streamed().await.1.is_some() {
                            connection.respond("200 OK", "", "done").await;
                        }
                    }
                }
            });
        }
    });
}

/// What became of a request.
#[derive(Debug)]
struct Outcome {
    case: String,
    /// Status of the answer, if there was one.
    status: Option<u16>,
    /// Time from when the node's system had received all of it until the answer; `None` if it never had.
    waited: Option<Duration>,
}

/// Sends a request, and watches when the node's system has received it.
async fn send(mut client: Connection, case: String, request: String) -> Outcome {
    let writing = tokio::time::timeout(LONGEST_WATCH, client.write_until_closed(&request));
    let is_written = writing.await.is_ok();
    let deadline = Instant::now() + LONGEST_WATCH;
    while is_written && client.unacknowledged_bytes() > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let is_received = is_written && client.unacknowledged_bytes() == 0;
    let received_at = Instant::now();
    let answer = tokio::time::timeout(LONGEST_WATCH, client.read()).await;
    Outcome {
        case,
        status: answer.ok().flatten().map(|answer| answer.status()),
        waited: is_received.then(|| received_at.elapsed()),
    }
}

/// Sends requests of all sizes at once to backends that read as told.
async fn outcomes(reading: Reading, framing: Framing, receive_buffer: Option<u32>) -> Vec<Outcome> {
    let server = ScriptedServer::with_receive_buffer(receive_buffer).await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
    run_backend(server, reading);
    let mut clients = tokio::task::JoinSet::new();
    for size in body_sizes() {
        let case = format!("{reading:?} {framing:?} {receive_buffer:?} {size}");
        let id = format!("r{size}");
        let request = framing.request(&id, "unsafe", TIMEOUT, &"x".repeat(size));
        clients.spawn(send(proxy.connect().await, case, request));
    }
    clients.join_all().await
}

/// A request whose end lay unread in the system's buffer was answered 10 s late: its time counted from
/// when the node read its last byte, and it read nothing while the backend took nothing.
#[tokio::test]
async fn unread_request_at_a_hanging_backend_is_answered_in_time() {
    for receive_buffer in RECEIVE_BUFFERS {
        for framing in FRAMINGS {
            for bytes in [0, 100_000] {
                let outcomes = outcomes(Reading::StopsAfter(bytes), framing, receive_buffer).await;
                let mut received = 0;
                for outcome in outcomes {
                    let Some(waited) = outcome.waited else {
                        continue;
                    };
                    received += 1;
                    assert!(outcome.status.is_some(), "{}: {outcome:?}", outcome.case);
                    assert!(waited < LATEST_ANSWER, "{}: {outcome:?}", outcome.case);
                }
                assert!(received > 0, "no request was received whole");
            }
        }
    }
}

/// A backend that goes on reading in time serves the same requests.
#[tokio::test]
async fn request_at_a_backend_that_goes_on_reading_is_served() {
    for framing in FRAMINGS {
        let reading = Reading::GoesOnAfter(TIMEOUT / 3);
        for outcome in outcomes(reading, framing, Some(8 << 10)).await {
            assert_eq!(outcome.status, Some(200), "{}: {outcome:?}", outcome.case);
        }
    }
}
