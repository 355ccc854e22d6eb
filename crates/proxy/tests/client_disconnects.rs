//! Clients that disconnect while their request waits: nothing more is sent for them.

mod common;
use common::*;

const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];

const NOT_PROCESSED: &str = "X-Not-Processed: 1\r\n";

/// Bytes that may stand between a request and the end of its connection.
fn trailing_bytes() -> [String; 5] {
    let head = "GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: behind\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n";
    let (part, junk) = (head[..20].to_owned(), "no request\r\n\r\n".to_owned());
    [
        String::new(),
        head.to_owned(),
        part,
        junk,
        "much ".repeat(20_000),
    ]
}

/// The same, short enough for the kernel to buffer while the process reads nothing.
fn trailing_bytes_that_fit() -> [String; 5] {
    trailing_bytes().map(|bytes| bytes.chars().take(24_000).collect())
}

/// The request is over by then, and its id may be used again.
#[tokio::test]
async fn late_upstream_connection_carries_nothing_for_a_disconnected_client() {
    for class in CLASSES {
        let (listener, address, filling) = full_listener().await;
        let discovery = ScriptedServer::new().await;
        let (mut proxy, _watch) = ProxyBuilder::new(discovery.address())
            .start_ready(&discovery, &[endpoint("s", address, "active")])
            .await;
        let mut client = proxy.connect().await;
        client.send_with_id("left", class, "20000m").await;
        proxy.get("/health/live").await; // The request has been read, and its connection is under way.
        client.close().await;
        for _ in 0..filling.len() {
            within("a connection", listener.accept())
                .await
                .expect("a connection");
        }
        let sent = async {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut byte = [0];
                if tokio::io::AsyncReadExt::read(&mut stream, &mut byte)
                    .await
                    .is_ok_and(|n| n > 0)
                {
                    return;
                }
            }
        };
        tokio::select! {
            () = sent => panic!("{class} was sent on"),
            line = proxy.wait_for_log("stats ") => assert!(line.contains(" client_disconnected=1 ") && line.contains(" in_flight=0 "), "{line}"),
        }
        let mut client = proxy.connect().await;
        client.send_with_id("left", class, "20000m").await;
        let (mut stream, _) = within("the proxy's connection", listener.accept())
            .await
            .expect("a connection");
        let mut byte = [0];
        within(
            "a request",
            tokio::io::AsyncReadExt::read_exact(&mut stream, &mut byte),
        )
        .await
        .expect("a byte");
    }
}

/// The client may close or reset its connection, with unread bytes before that.
#[tokio::test]
async fn no_retry_for_a_client_that_closed_after_further_bytes() {
    for (class, chunked) in [
        ("safe", false),
        ("keyed", false),
        ("unsafe", false),
        ("unsafe", true),
    ] {
        for bytes in trailing_bytes() {
            // A process of its own: rejected attempts make a process shed load.
            let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
            let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
            let mut client = proxy.connect().await;
            if chunked {
                client.send_chunked(&format!("c{}", bytes.len())).await;
            } else {
                client.send(class, "60000m").await;
            }
            let ((mut connection, _), other) = tokio::select! {
                got = one.accept_request() => (got, &two),
                got = two.accept_request() => (got, &one),
            };
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
                other.is_untouched().await,
                "{class} was sent again, {} bytes before the close",
                bytes.len()
            );
        }
    }
}

/// The process was stopped while the request and its disconnect arrived, so it reads both in one
/// turn.
#[tokio::test]
async fn request_read_together_with_its_disconnect_is_not_sent() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut first = proxy.connect().await;
    first.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    first.expect_status(200).await;
    tokio::time::sleep(std::time::Duration::from_millis(50)).await; // The connection is ready for the next.
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
                    let mut fence = proxy.connect().await;
                    fence.send_with_id("fence", "safe", "20000m").await;
                    let request = connection.read().await.expect("a request");
                    let case = format!(
                        "{class}, body {body}, {} trailing bytes, reset {reset}",
                        bytes.len()
                    );
                    assert_eq!(request.header("x-request-id"), Some("fence"), "{case}");
                    connection.respond("200 OK", "", "").await;
                    assert_eq!(
                        fence.read().await.expect("an answer").status(),
                        200,
                        "{case}"
                    );
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            }
        }
    }
}

/// The process reads the rejection and the disconnect in one turn, and the bytes before the
/// disconnect may be more than it buffers.
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
                let ((mut connection, _), other) = tokio::select! {
                    got = one.accept_request() => (got, &two),
                    got = two.accept_request() => (got, &one),
                };
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
                assert!(other.is_untouched().await, "sent again: {case}");
            }
        }
    }
}

/// The client sends more than the kernel buffers for the process, so its FIN comes behind all that.
#[tokio::test]
async fn disconnect_after_endless_sending_is_detected() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "60000m").await;
    let (_wire, _) = backend.accept_request().await;
    client.write_until_closed(&"much ".repeat(2_000_000)).await;
    drop(client);
    while !within("the leaving to be counted", proxy.wait_for_log("stats "))
        .await
        .contains(" client_disconnected=1 ")
    {}
}
