//! Clients that disconnect while their request is in flight: nothing more may be sent to backends
//! for them.

mod common;
use common::*;

/// One request class of each kind; see [`settings`].
const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];

/// The header line by which a backend states that it has not executed the request.
const NOT_PROCESSED: &str = "X-Not-Processed: 1\r\n";

/// Returns what a client may send between a request and the end of its connection: nothing, another
/// request, a part of one, a malformed one, or more than the process buffers.
fn trailing_bytes() -> [String; 5] {
    let request = "GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: behind\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n";
    let (partial_request, malformed) = (request[..20].to_owned(), "no request\r\n\r\n".to_owned());
    [
        String::new(),
        request.to_owned(),
        partial_request,
        malformed,
        "much ".repeat(20_000),
    ]
}

/// Returns the same, cut to a length that the kernel buffers while the process reads nothing.
fn trailing_bytes_that_fit() -> [String; 5] {
    trailing_bytes().map(|bytes| bytes.chars().take(24_000).collect())
}

/// The connection to the backend is established only after the client has disconnected, because the
/// backend's accept queue was full. The request is over by then: it must not be written to that
/// connection, and its id may be used again.
#[tokio::test]
async fn late_upstream_connection_carries_nothing_for_a_disconnected_client() {
    for class in CLASSES {
        let listener = FullListener::new().await;
        let discovery = ScriptedServer::new().await;
        let (mut proxy, _watch) = ProxyBuilder::new(discovery.address())
            .start_ready(&discovery, &[endpoint("s", listener.address(), "active")])
            .await;
        let mut client = proxy.connect().await;
        client.send_with_id("left", class, "20000m").await;
        // Afterwards the request has been read, and its connection is being established.
        proxy.get("/health/live").await;
        client.close().await;
        listener.make_room().await;
        let sent = async { while listener.accept().await.read_bytes(1).await.is_none() {} };
        tokio::select! {
            () = sent => panic!("a request of class {class} was sent to the backend"),
            line = proxy.wait_for_log("stats ") => assert!(line.contains(" client_disconnected=1 ") && line.contains(" in_flight=0 "), "{line}"),
        }
        let mut client = proxy.connect().await;
        client.send_with_id("left", class, "20000m").await;
        let mut connection = listener.accept().await;
        connection.read_bytes(1).await.expect("a request");
    }
}

/// A client sends further bytes after its request and closes its sending half, or its connection is
/// reset with unread bytes. The process must detect the disconnect behind these bytes; otherwise it
/// retries the rejected request although nobody waits for the response.
#[tokio::test]
async fn no_retry_for_a_client_that_disconnects_after_trailing_bytes() {
    for (class, chunked) in [
        ("safe", false),
        ("keyed", false),
        ("unsafe", false),
        ("unsafe", true),
    ] {
        for bytes in trailing_bytes() {
            // Each case needs a new process, since rejected attempts make a process shed load.
            let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
            let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
            let mut client = proxy.connect().await;
            if chunked {
                client.send_chunked(&format!("c{}", bytes.len())).await;
            } else {
                client.send(class, "60000m").await;
            }
            let ((mut connection, _), other) = accept_request_at_either(&one, &two).await;
            client.write_until_closed(&bytes).await;
            client.half_close().await;
            connection
                .respond(
                    "503 Service Unavailable",
                    &format!("{NOT_PROCESSED}Connection: close\r\n"),
                    "",
                )
                .await;
            assert!(
                other.receives_no_connection().await,
                "a request of class {class} was sent again, with {} trailing bytes",
                bytes.len()
            );
        }
    }
}

/// The process is stopped while a request and its client's disconnect arrive, so it reads both in
/// one turn of its event loop. The client may close or reset its connection, with trailing bytes
/// before that. The request must not be sent to the backend, although a connection is ready for it.
#[tokio::test]
async fn request_read_together_with_its_disconnect_is_not_sent() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut first = proxy.connect().await;
    first.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    first.expect_status(200).await;
    // Afterwards the connection to the backend can be reused.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    for class in CLASSES {
        for bytes in &trailing_bytes()[..3] {
            for body in [0, 100, 60_000] {
                for reset in [false, true] {
                    let mut client = proxy.connect().await;
                    proxy.signal("STOP").await;
                    match body {
                        0 => client.send_with_id("left", class, "20000m").await,
                        _ => client.send_with_body("left", &"x".repeat(body)).await,
                    }
                    client.write(bytes).await;
                    if reset {
                        client.reset();
                    } else {
                        drop(client);
                    }
                    proxy.signal("CONT").await;
                    let mut next_client = proxy.connect().await;
                    next_client.send_with_id("next", "safe", "20000m").await;
                    let request = connection.read().await.expect("a request");
                    let case = format!(
                        "{class}, body {body}, {} trailing bytes, reset {reset}",
                        bytes.len()
                    );
                    assert_eq!(request.header("x-request-id"), Some("next"), "{case}");
                    connection.respond("200 OK", "", "").await;
                    assert_eq!(
                        next_client.read().await.expect("a response").status(),
                        200,
                        "{case}"
                    );
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            }
        }
    }
}

/// The process is stopped while a backend's rejection and the client's disconnect arrive, so it
/// reads both in one turn of its event loop. The bytes before the disconnect may be more than it
/// buffers. The request must not be retried.
#[tokio::test]
async fn no_retry_for_a_client_that_disconnects_as_its_attempt_ends() {
    for (class, body) in [("safe", 0), ("keyed", 0), ("unsafe", 0), ("unsafe", 60_000)] {
        for bytes in trailing_bytes_that_fit() {
            for reset in [false, true] {
                let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
                let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
                let mut client = proxy.connect().await;
                match body {
                    0 => client.send(class, "60000m").await,
                    _ => {
                        client
                            .send_with_body(&format!("b{}", bytes.len()), &"x".repeat(body))
                            .await;
                    }
                }
                let ((mut connection, _), other) = accept_request_at_either(&one, &two).await;
                proxy.signal("STOP").await;
                connection
                    .respond(
                        "503 Service Unavailable",
                        &format!("{NOT_PROCESSED}Connection: close\r\n"),
                        "",
                    )
                    .await;
                client.write(&bytes).await;
                if reset {
                    client.reset();
                } else {
                    drop(client);
                }
                proxy.signal("CONT").await;
                let case = format!(
                    "{class}, body {body}, {} trailing bytes, reset {reset}",
                    bytes.len()
                );
                assert!(
                    other.receives_no_connection().await,
                    "the request was sent again: {case}"
                );
            }
        }
    }
}

/// The client sends more than the kernel buffers for the process, so its FIN arrives only behind
/// all that. A process that stops reading while a request is in flight would not notice the
/// disconnect.
#[tokio::test]
async fn disconnect_after_endless_sending_is_detected() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "60000m").await;
    let (_connection, _) = backend.accept_request().await;
    client.write_until_closed(&"much ".repeat(2_000_000)).await;
    drop(client);
    while !within(
        "a stats line that counts the disconnect",
        proxy.wait_for_log("stats "),
    )
    .await
    .contains(" client_disconnected=1 ")
    {}
}
