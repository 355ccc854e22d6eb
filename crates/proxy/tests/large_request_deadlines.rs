//! Requests whose body is about as large as what a node buffers, at backends that hang or accept no
//! connection: when they end.

mod common;
use common::*;
use std::time::{Duration, Instant};

/// Time that clients give a request whose backends never answer.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that clients give a request whose backend accepts the connection late: more than the
/// system's pause before it repeats a connection's first packet, a second.
const LATE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// How long after its time a request counts as lost.
const LATE_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);

/// When a request with [`SHORT_TIMEOUT`] counts as lost.
const LATEST_RESPONSE: Duration = SHORT_TIMEOUT.saturating_add(LATE_RESPONSE_ALLOWANCE);

/// Returns the status of the next response, and how long it took.
async fn timed_status(mut client: Connection) -> (u16, Duration) {
    let started_at = Instant::now();
    let response = client.read().await.expect("a response");
    (response.status(), started_at.elapsed())
}

/// A request whose backend never answers must fail at its deadline, which counts from its last byte.
/// A body that counted as incomplete had no deadline: its client got a rejection after 10 s.
#[tokio::test]
async fn request_at_a_hanging_backend_fails_at_its_deadline() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut waiting = Vec::new();
    for framing in FRAMINGS {
        for size in BODY_SIZES {
            let case = format!("{framing:?} {size}");
            let body = numbered_text(size);
            let mut client = proxy.connect().await;
            let request = framing.request(&case.replace(' ', "-"), "unsafe", SHORT_TIMEOUT, &body);
            let receiving = async {
                let mut connection = backend.accept().await;
                let received = connection.read_streamed().await.1;
                assert!(received.as_deref() == Some(body.as_bytes()), "{case}");
                connection
            };
            let ((), connection) = tokio::join!(client.write(&request), receiving);
            waiting.push((case, tokio::spawn(timed_status(client)), connection));
        }
    }
    for (case, response, _connection) in waiting {
        let (status, elapsed) = response.await.expect("a response");
        assert_eq!(status, 504, "{case}");
        assert!(elapsed < LATEST_RESPONSE, "{case}: {elapsed:?}");
    }
}

/// A request whose backend accepts no connection must be rejected at its deadline. While an attempt
/// connects, nobody reads the rest of a large body, whose last byte may have been sent long before:
/// the client got its rejection only when the connect timeout was over.
#[tokio::test]
async fn request_whose_backend_accepts_no_connection_is_rejected_in_time() {
    let listener = FullListener::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &[endpoint("s", listener.address(), "active")])
        .await;
    let mut waiting = Vec::new();
    for framing in FRAMINGS {
        for size in BODY_SIZES {
            let case = format!("{framing:?} {size}");
            let id = case.replace(' ', "-");
            let request = framing.request(&id, "unsafe", SHORT_TIMEOUT, &numbered_text(size));
            let mut client = proxy.connect().await;
            client.write(&request).await;
            waiting.push((case, tokio::spawn(timed_status(client))));
        }
    }
    for (case, response) in waiting {
        let (status, elapsed) = response.await.expect("a response");
        assert_eq!(status, 503, "{case}");
        assert!(elapsed < LATEST_RESPONSE, "{case}: {elapsed:?}");
    }
}

/// A request that was rejected by one backend and finds no connection to the other was not executed,
/// also if its chunked body was complete before: it must be rejected rather than fail.
#[tokio::test]
async fn request_whose_retry_finds_no_connection_is_rejected_in_time() {
    for framing in FRAMINGS {
        for size in REPEATABLE_SIZES {
            let case = format!("{framing:?} {size}");
            let backend = ScriptedServer::new().await;
            let listener = FullListener::new().await;
            let discovery = ScriptedServer::new().await;
            let (proxy, mut watch) = ProxyBuilder::new(discovery.address())
                .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
                .await;
            let mut client = proxy.connect().await;
            let request = framing.request("r", "unsafe", SHORT_TIMEOUT, &numbered_text(size));
            let rejecting = async {
                let mut connection = backend.accept().await;
                assert!(connection.read_streamed().await.1.is_some(), "{case}");
                watch
                    .send_list(2, false, &[endpoint("full", listener.address(), "active")])
                    .await;
                proxy.wait_for_revision(2).await;
                connection
                    .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
                    .await;
            };
            tokio::join!(client.write(&request), rejecting);
            let (status, elapsed) = timed_status(client).await;
            assert_eq!(status, 503, "{case}");
            assert!(elapsed < LATEST_RESPONSE, "{case}: {elapsed:?}");
        }
    }
}

/// A connection that comes up late, but in the request's time, must carry a large request to its
/// end, also if the client goes on sending for longer than the request's time.
#[tokio::test]
async fn large_request_on_a_late_connection_is_served() {
    for framing in FRAMINGS {
        let listener = FullListener::new().await;
        let discovery = ScriptedServer::new().await;
        let (proxy, _watch) = ProxyBuilder::new(discovery.address())
            .start_ready(&discovery, &[endpoint("s", listener.address(), "active")])
            .await;
        let body = numbered_text(100_000);
        let (first_part, rest) = body.split_at(BUFFER_LIMIT + 1);
        let mut client = proxy.connect().await;
        let head = framing.head("r", "unsafe", LATE_CONNECTION_TIMEOUT, body.len());
        let sent_at = Instant::now();
        client.write(&(head + first_part)).await;
        // The attempt is connecting by then; on a slower machine the test may detect less.
        tokio::time::sleep(Duration::from_millis(200)).await;
        listener.make_room().await;
        let connection = listener.accept().await;
        let sending = async {
            for part in rest.as_bytes().chunks(10_000) {
                tokio::time::sleep(LATE_CONNECTION_TIMEOUT / 4).await;
                client
                    .write(std::str::from_utf8(part).expect("the text is ASCII"))
                    .await;
            }
            client.write(framing.end()).await;
        };
        let case = format!("{framing:?}");
        let serving = serve_whole_request(connection, &body, &case);
        tokio::join!(sending, serving);
        assert!(sent_at.elapsed() > LATE_CONNECTION_TIMEOUT);
        client.expect_status(200).await;
    }
}

/// The time that an attempt spends connecting must not extend the deadline of a request whose body
/// the client has sent whole by then: the response of a backend that hangs would be awaited beyond
/// the request's time.
#[tokio::test]
async fn request_at_a_hanging_backend_with_a_late_connection_fails_at_its_deadline() {
    for framing in FRAMINGS {
        let listener = FullListener::new().await;
        let discovery = ScriptedServer::new().await;
        let (proxy, _watch) = ProxyBuilder::new(discovery.address())
            .start_ready(&discovery, &[endpoint("s", listener.address(), "active")])
            .await;
        let body = numbered_text(100_000);
        let mut client = proxy.connect().await;
        let request = framing.request("r", "unsafe", LATE_CONNECTION_TIMEOUT, &body);
        client.write(&request).await;
        let response = tokio::spawn(timed_status(client));
        // The attempt is connecting by then; on a slower machine the test may detect less.
        tokio::time::sleep(Duration::from_millis(200)).await;
        listener.make_room().await;
        let mut connection = listener.accept().await;
        assert!(connection.read_streamed().await.1.as_deref() == Some(body.as_bytes()));
        let (status, elapsed) = response.await.expect("a response");
        assert_eq!(status, 504, "{framing:?}");
        let latest = LATE_CONNECTION_TIMEOUT + LATE_RESPONSE_ALLOWANCE;
        assert!(elapsed < latest, "{framing:?}: {elapsed:?}");
    }
}
