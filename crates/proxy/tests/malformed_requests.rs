//! Clients that send malformed requests, incomplete ones or nothing, and what that costs others.

mod common;
use common::*;

/// They do not disturb other connections.
#[tokio::test]
async fn invalid_requests_are_rejected() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let with =
        |class: &str, headers: &str| format!("POST /{class} HTTP/1.1\r\nHost: a\r\n{headers}\r\n");
    let fine = "X-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: 0\r\n";
    let cases = [
        "\x01\x02\r\n\r\n".to_owned(),
        "GET\r\n\r\n".to_owned(),
        with("unheard-of", &format!("X-Timeout: 900m\r\n{fine}")),
        with("", &format!("X-Timeout: 900m\r\n{fine}")),
        with("unsafe", fine),
        with("unsafe", &format!("X-Timeout: soon\r\n{fine}")),
        with("unsafe", &format!("X-Timeout: 0m\r\n{fine}")),
        with("unsafe", &format!("X-Timeout: -3m\r\n{fine}")),
        with("unsafe", "X-Timeout: 900m\r\nX-Tenant-Id: one\r\nContent-Length: 0\r\n"),
        with("unsafe", "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: two\r\nContent-Length: 0\r\n"),
        with("keyed", &format!("X-Timeout: 900m\r\n{fine}")),
        with(
            "unsafe",
            "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: 33554433\r\n",
        ),
        with("unsafe", "X-Timeout: 900m\r\nX-Request-ID: r\r\nX-Tenant-Id: one\r\nContent-Length: x\r\n"),
        format!("GET /unsafe HTTP/1.1\r\nX-Long: {}\r\n\r\n", "a".repeat(100_000)),
    ];
    for case in cases {
        let mut client = proxy.connect().await;
        client.write(&case).await;
        if case.contains("33554433") {
            client.write(&"x".repeat(70_000)).await;
        }
        // The process may close before the client has written everything.
        let Some(answer) = client.read().await else {
            continue;
        };
        let status = answer.status();
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

const HEAD: &str = "POST /unsafe HTTP/1.1\r\nHost: a\r\nX-Timeout: 60000m\r\nX-Tenant-Id: one\r\n";

/// Writes this text, and expects this status and then the connection's end.
async fn assert_rejected(proxy: &ProxyProcess, text: &str, status: u16) {
    let mut client = proxy.connect().await;
    client.write_until_closed(text).await;
    let answer = client
        .read()
        .await
        .unwrap_or_else(|| panic!("no answer to {text:.200}"));
    assert_eq!(answer.status(), status, "{text:.200}");
    assert_eq!(answer.header("connection"), Some("close"), "{text:.200}");
    client.drain_until_closed().await;
}

/// With both framing headers a proxy and a backend may disagree on where the body ends, and the rest
/// of it would be a request that nobody has checked. Neither may be forwarded, in either order.
#[tokio::test]
async fn no_request_is_smuggled_in_a_body() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let hidden = format!("{HEAD}X-Request-ID: hidden\r\nContent-Length: 0\r\n\r\n");
    let body = format!("0\r\n\r\n{hidden}");
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
        &format!("{HEAD}X-Request-ID: r\r\n{differing}\r\n{hidden}"),
        400,
    )
    .await;
    assert!(backend.is_untouched().await, "passed on");
}

/// Bytes behind a chunked body are not read as a request.
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
    assert_eq!(client.read().await.expect("an answer").body, b"served");
    client.drain_until_closed().await;
    assert!(backend.is_untouched().await, "read on");
}

/// The response comes as soon as the head is complete; the body need not be sent.
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
    assert!(backend.is_untouched().await, "passed on");
}

/// A backend would take the second for a retry, or execute it twice. The first is not disturbed.
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
    assert_eq!(first.read().await.expect("an answer").body, b"first");

    let mut leaving = proxy.connect().await;
    leaving.send_with_id("left", "unsafe", "20000m").await;
    let (mut connection, request) = next_request(&backend, connection).await;
    assert_eq!(request.header("x-request-id"), Some("left"));
    leaving.close().await;
    assert_rejected(&proxy, &second.replace("same", "left"), 409).await;
    connection.respond("200 OK", "", "").await;
}

/// The next request, on this connection or on a new one: a pooled connection may be reused or closed.
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

/// Clients that send nothing, begin a head or begin a body.
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

/// They neither delay clients with requests nor cost them their kept connections.
#[tokio::test]
async fn idle_connections_do_not_evict_active_clients() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .descriptors(64)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let serving = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let mut connection = backend.accept().await;
            connections.spawn(async move {
                while connection.read().await.is_some() {
                    connection.respond("200 OK", "", "").await;
                }
            });
        }
    });
    // Kept from before the idle connections; among them a connection is closed after each response.
    let mut usual = proxy.connect().await;
    let began = std::time::Instant::now();
    usual.send("unsafe", "20000m").await;
    usual.expect_status(200).await;
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
                    .expect("an answer")
                    .status(),
                200
            );
        }
    }
    // A machine too busy to get here before the idle timeout shows nothing.
    if began.elapsed().as_millis() < 1500 {
        assert_eq!(
            usual
                .request("unsafe")
                .await
                .expect("its connection is kept")
                .status(),
            200
        );
    }
    assert!(proxy.open_descriptors() <= 64);
    serving.abort();
}

/// They keep their connection after the response and fill all slots; for a moment they may not be
/// closed.
#[tokio::test]
async fn clients_with_a_single_request_do_not_block_others() {
    let discovery = ScriptedServer::new().await;
    let proxy = ProxyBuilder::new(discovery.address())
        .descriptors(64)
        .start()
        .await;
    let (mut watch, _) = discovery.accept_watch().await;
    watch.send_list(1, true, &[]).await;
    proxy.wait_for_revision(1).await;
    let mut kept = Vec::new();
    let began = std::time::Instant::now();
    for _ in 0..400 {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        client.expect_status(503).await;
        kept.push(client);
    }
    // Closing only what has been idle for two seconds would let in 16 in that time: 50 s for all.
    assert!(began.elapsed().as_secs() < 25);
}

/// A malformed one among them ends the connection.
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
        assert_eq!(client.read().await.expect("an answer").body, id.as_bytes());
    }
    client.expect_status(400).await;
    client.drain_until_closed().await;
    assert!(backend.is_untouched().await, "read on");
}

/// Repeated headers that may occur once, malformed numbers, and methods that do not fit the class.
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
    assert!(backend.is_untouched().await, "passed on");
    let answer = proxy.get("/health/live").await;
    assert_eq!((answer.status(), answer.header("connection")), (200, None));
}
