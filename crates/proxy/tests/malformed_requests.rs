//! Integration tests of clients that send malformed requests, incomplete ones or nothing, and of
//! their effect on other clients.

mod common;
use common::*;

/// Invalid requests are rejected as the client's error and must not disturb other connections.
#[tokio::test]
async fn invalid_requests_are_rejected() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let request_with =
        |class: &str, headers: &str| format!("POST /{class} HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    let valid_headers = "X-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: 0\r\n";
    let cases = [
        "\x01\x02\r\n\r\n".to_owned(),
        "GET\r\n\r\n".to_owned(),
        request_with("unheard-of", &format!("X-Timeout: 900m\r\n{valid_headers}")),
        request_with("", &format!("X-Timeout: 900m\r\n{valid_headers}")),
        request_with("unsafe", valid_headers),
        request_with("unsafe", &format!("X-Timeout: soon\r\n{valid_headers}")),
        request_with("unsafe", &format!("X-Timeout: 0m\r\n{valid_headers}")),
        request_with("unsafe", &format!("X-Timeout: -3m\r\n{valid_headers}")),
        request_with("unsafe", "X-Timeout: 900m\r\nX-Tenant-Id: one\r\nContent-Length: 0\r\n"),
        request_with("unsafe", "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: two\r\nContent-Length: 0\r\n"),
        request_with("keyed", &format!("X-Timeout: 900m\r\n{valid_headers}")),
        request_with(
            "unsafe",
            "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: 33554433\r\n",
        ),
        request_with("unsafe", "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: x\r\n"),
        format!("GET /unsafe HTTP/1.1\r\nX-Long: {}\r\n\r\n", "a".repeat(100_000)),
    ];
    for case in cases {
        let mut client = proxy.connect().await;
        client.write(&case).await;
        if case.contains("33554433") {
            client.write(&"x".repeat(70_000)).await;
        }
        // The process may close the connection before the client has written everything.
        let Some(response) = client.read().await else {
            continue;
        };
        let status = response.status();
        assert!(
            (400..500).contains(&status) && status != 429,
            "{status} for {case:.60}"
        );
    }
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// Beginning of a valid head, before its request id, its framing and the line that ends it.
const HEAD: &str = "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Timeout: 60000m\r\nX-Tenant-Id: one\r\n";

/// Writes `text` on a new connection, and asserts that the response has this status and announces
/// the end of the connection, which then ends.
async fn assert_rejected(proxy: &ProxyProcess, text: &str, status: u16) {
    let mut client = proxy.connect().await;
    client.write_until_closed(text).await;
    let response = client
        .read()
        .await
        .unwrap_or_else(|| panic!("no response to {text:.200}"));
    assert_eq!(response.status(), status, "{text:.200}");
    assert_eq!(response.header("connection"), Some("close"), "{text:.200}");
    client.drain_until_closed().await;
}

/// With both framing headers a proxy and a backend may disagree on where the body ends, and the
/// backend would take the rest of it for a request that the proxy has not checked. Such a request
/// must not be forwarded, whichever header comes first, and neither must one with two different
/// lengths.
#[tokio::test]
async fn no_request_is_smuggled_in_a_body() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let smuggled = format!("{HEAD}X-Request-ID: hidden\r\nContent-Length: 0\r\n\r\n");
    let body = format!("0\r\n\r\n{smuggled}");
    let length = format!("Content-Length: {}\r\n", body.len());
    let chunked = "Transfer-Encoding: chunked\r\n";
    for headers in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        assert_rejected(
            &proxy,
            &format!("{HEAD}X-Request-ID: r\r\n{headers}\r\n{body}"),
            400,
        )
        .await;
    }
    let differing = "Content-Length: 0\r\nContent-Length: 5\r\n";
    assert_rejected(
        &proxy,
        &format!("{HEAD}X-Request-ID: r\r\n{differing}\r\n{smuggled}"),
        400,
    )
    .await;
    assert!(
        backend.receives_no_connection().await,
        "a rejected request was forwarded"
    );
}

/// Bytes behind a chunked body must not be read as another request.
#[tokio::test]
async fn connection_closes_after_a_chunked_body() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    let chunked = "X-Request-ID: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    client
        .write(&format!(
            "{HEAD}{chunked}{HEAD}X-Request-ID: behind\r\n\r\n"
        ))
        .await;
    let (mut connection, request) = backend.accept_request().await;
    assert_eq!(request.body, b"abc");
    connection.respond("200 OK", "", "served").await;
    assert_eq!(client.read().await.expect("a response").body, b"served");
    client.drain_until_closed().await;
    assert!(
        backend.receives_no_connection().await,
        "the bytes that follow were read as another request"
    );
}

/// The response must come as soon as the head is complete, or is too long; the body need not be
/// sent.
#[tokio::test]
async fn invalid_content_lengths_are_rejected_at_once() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    for (length, status) in [
        ("-5", 400),
        ("5x", 400),
        ("99999999999999999999999", 400),
        ("60000000", 413),
    ] {
        let text = format!("{HEAD}X-Request-ID: r\r\nContent-Length: {length}\r\n\r\n");
        assert_rejected(&proxy, &text, status).await;
    }
    let text = format!("{HEAD}X-Request-ID: r\r\nContent-Length: 3\r\n\r\nabcdef");
    assert_rejected(&proxy, &text, 400).await;
    assert_rejected(
        &proxy,
        &format!("{HEAD}X-Long: {}", "a".repeat(1 << 20)),
        431,
    )
    .await;
    assert_rejected(
        &proxy,
        &format!("{HEAD}{}", "X-Many: 1\r\n".repeat(500)),
        431,
    )
    .await;
    assert!(
        backend.receives_no_connection().await,
        "a rejected request was forwarded"
    );
}

/// A backend would take a second request with the id of one in flight for its retry, or execute
/// both. The second is rejected, also if the first one's client has disconnected, and the first is
/// not disturbed.
#[tokio::test]
async fn request_id_in_flight_is_not_forwarded_twice() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut first = proxy.connect().await;
    first.send_with_id("same", "unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    let second = format!("{HEAD}X-Request-ID: same\r\nContent-Length: 0\r\n\r\n");
    assert_rejected(&proxy, &second, 409).await;
    connection.respond("200 OK", "", "first").await;
    assert_eq!(first.read().await.expect("a response").body, b"first");

    let mut disconnecting = proxy.connect().await;
    disconnecting.send_with_id("left", "unsafe", "20000m").await;
    let (mut connection, request) = next_request(&backend, connection).await;
    assert_eq!(request.header("x-request-id"), Some("left"));
    disconnecting.close().await;
    assert_rejected(&proxy, &second.replace("same", "left"), 409).await;
    connection.respond("200 OK", "", "").await;
}

/// Returns the next request and its connection, which is `pooled` or a new one: a pooled connection
/// may be reused or closed.
async fn next_request(backend: &ScriptedServer, mut pooled: Connection) -> (Connection, Message) {
    let accepted = backend.accept_request();
    tokio::pin!(accepted);
    let on_pooled = tokio::select! {
        new = &mut accepted => return new,
        request = pooled.read() => request,
    };
    match on_pooled {
        Some(request) => (pooled, request),
        None => accepted.await,
    }
}

/// Clients that send nothing, no further request, or only the beginning of a head or of a body must
/// not keep their connection.
#[tokio::test]
async fn clients_that_are_too_slow_are_closed() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut silent = proxy.connect().await;
    let mut kept = proxy.connect().await;
    kept.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    kept.expect_status(200).await;
    let body = format!("{HEAD}X-Request-ID: r\r\nContent-Length: 9\r\n\r\nhalf");
    tokio::join!(
        silent.expect_closed(),
        kept.expect_closed(),
        assert_rejected(&proxy, "POST /unsafe HTT", 408),
        assert_rejected(&proxy, &body, 408),
    );
}

/// Idle connections that fill all slots must neither delay clients with requests nor cost those
/// their kept connections.
#[tokio::test]
async fn idle_connections_do_not_evict_active_clients() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .configured_descriptors(64)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let backend_task = tokio::spawn(async move {
        let mut connection_tasks = tokio::task::JoinSet::new();
        loop {
            let mut connection = backend.accept().await;
            connection_tasks.spawn(async move {
                while connection.read().await.is_some() {
                    connection.respond("200 OK", "", "").await;
                }
            });
        }
    });
    // This connection is kept, since it was made before the idle ones. While those fill the slots,
    // a connection is closed after each response.
    let mut active_client = proxy.connect().await;
    let started_at = std::time::Instant::now();
    active_client.send("unsafe", "20000m").await;
    active_client.expect_status(200).await;
    let mut idle_clients = Vec::new();
    for k in 0..200 {
        idle_clients.push(proxy.connect().await);
        if k % 20 == 0 {
            assert_eq!(
                proxy
                    .connect()
                    .await
                    .request("unsafe")
                    .await
                    .expect("a response")
                    .status(),
                200
            );
        }
    }
    // On a machine too busy to get here before the connection may be evicted as idle, the check
    // would show nothing.
    if started_at.elapsed().as_millis() < 1500 {
        assert_eq!(
            active_client
                .request("unsafe")
                .await
                .expect("a response on the kept connection")
                .status(),
            200
        );
    }
    assert!(proxy.open_descriptors() <= 64);
    backend_task.abort();
}

/// Clients that keep their connection after a single request fill all slots, and for a while such a
/// connection may not be evicted. New clients must not have to wait that long.
#[tokio::test]
async fn clients_with_a_single_request_do_not_block_others() {
    let discovery = ScriptedServer::new().await;
    let proxy = ProxyBuilder::new(discovery.address())
        .configured_descriptors(64)
        .start()
        .await;
    let (mut watch, _) = discovery.accept_watch().await;
    watch.send_list(1, true, &[]).await;
    proxy.wait_for_revision(1).await;
    let mut kept = Vec::new();
    let started_at = std::time::Instant::now();
    for _ in 0..400 {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        client.expect_status(503).await;
        kept.push(client);
    }
    // If only connections that have been idle for two seconds were closed, 16 clients would get in
    // within that time: 50 s for all.
    assert!(started_at.elapsed().as_secs() < 25);
}

/// Pipelined requests get their responses in order. A malformed one among them ends the connection
/// after its response, and what follows it is not read.
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    let request = |id: &str| format!("{HEAD}X-Request-ID: {id}\r\nContent-Length: 2\r\n\r\n{id}");
    client
        .write(&format!(
            "{}{}GET nonsense\r\n\r\n{}",
            request("r1"),
            request("r2"),
            request("r3")
        ))
        .await;
    for id in ["r1", "r2"] {
        let (mut connection, request) = backend.accept_request().await;
        assert_eq!(request.header("x-request-id"), Some(id));
        connection
            .respond("200 OK", "Connection: close\r\n", id)
            .await;
        assert_eq!(client.read().await.expect("a response").body, id.as_bytes());
    }
    client.expect_status(400).await;
    client.drain_until_closed().await;
    assert!(
        backend.receives_no_connection().await,
        "the bytes that follow were read as another request"
    );
}

/// Covers repeated headers that may occur only once, malformed numbers, methods that do not fit the
/// class, and an unknown class.
#[tokio::test]
async fn ambiguous_heads_are_rejected() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    for (lines, status) in [
        ("X-Request-ID: a\r\nX-Request-ID: b\r\n", 400),
        ("X-Request-ID: a\r\nX-Timeout: 9m\r\n", 400),
        ("X-Request-ID: a\r\nX-Cost: much\r\n", 400),
        ("X-Request-ID: a\r\nX-Cost: -1\r\n", 400),
    ] {
        assert_rejected(&proxy, &format!("{HEAD}{lines}\r\n"), status).await;
    }
    for (from, to, status) in [
        ("POST", "GET", 405),
        ("POST", "DELETE", 405),
        ("unsafe", "safe", 405),
        ("unsafe", "none", 404),
    ] {
        assert_rejected(
            &proxy,
            &format!("{}X-Request-ID: a\r\n\r\n", HEAD.replacen(from, to, 1)),
            status,
        )
        .await;
    }
    assert!(
        backend.receives_no_connection().await,
        "a rejected request was forwarded"
    );
    let response = proxy.get("/health/live").await;
    assert_eq!(
        (response.status(), response.header("connection")),
        (200, None)
    );
}
