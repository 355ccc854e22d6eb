//! What is forwarded to backends, and what outcome their responses have.

mod common;
use common::*;
use std::time::Duration;

#[tokio::test]
async fn request_and_response_are_forwarded_unchanged() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client
        .write(
            "POST /keyed/a%20b;c?x=1&y=%2F HTTP/1.1\r\nHost: shop\r\nX-Request-ID: 9b1f\r\nX-Timeout: 9000m\r\n\
             X-Tenant-Id: one\r\nIdempotency-Key: 5c0f\r\nCookie: obj=7\r\nContent-Length: 5\r\n\r\nhello",
        )
        .await;
    let (mut connection, request) = backend.accept_request().await;
    assert_eq!(request.start, "POST /keyed/a%20b;c?x=1&y=%2F HTTP/1.1");
    assert_eq!(request.body, b"hello");
    for (name, value) in [
        ("x-request-id", "9b1f"),
        ("idempotency-key", "5c0f"),
        ("cookie", "obj=7"),
    ] {
        assert_eq!(request.header(name), Some(value));
    }
    let wait = request
        .header("x-timeout")
        .and_then(|v| v.strip_suffix('u'))
        .expect("microseconds");
    assert!(
        wait.parse::<u64>().expect("a number") < 9_000_000,
        "what remains is less than what there was"
    );
    connection.respond("200 OK", "X-More: 1\r\n", "bye").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, &b"bye"[..])
    );
}

/// A 503 without the header may come from behind the work.
#[tokio::test]
async fn non_idempotent_request_fails_on_503_without_not_processed() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
    for headers in ["", "X-Not-Processed: 0\r\n"] {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let ((mut connection, _), other) = tokio::select! {
            got = one.accept_request() => (got, &two),
            got = two.accept_request() => (got, &one),
        };
        connection
            .respond("503 Service Unavailable", headers, "")
            .await;
        let status = client.read().await.expect("an answer").status();
        assert!(
            ![200, 429, 503].contains(&status),
            "answered {status}, which promises that it did not run"
        );
        assert!(other.is_untouched().await, "sent again");
    }
}

#[tokio::test]
async fn non_idempotent_request_is_retried_if_not_executed() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let ((mut connection, first), other) = tokio::select! {
        got = one.accept_request() => (got, &two),
        got = two.accept_request() => (got, &one),
    };
    connection
        .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    let (mut connection, second) = other.accept_request().await;
    assert_eq!(first.header("x-request-id"), second.header("x-request-id"));
    connection.respond("200 OK", "", "done").await;
    assert_eq!(client.read().await.expect("an answer").body, b"done");
}

/// Also in the middle of the response.
#[tokio::test]
async fn reset_after_the_request_counts_as_possibly_executed() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
    for begun in ["", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"] {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let ((mut connection, _), other) = tokio::select! {
            got = one.accept_request() => (got, &two),
            got = two.accept_request() => (got, &one),
        };
        connection.write(begun).await;
        drop(connection);
        client.expect_status(504).await;
        assert!(other.is_untouched().await, "sent again");
    }
}

/// Without hedging there must never be two attempts in flight.
#[tokio::test]
async fn failed_attempt_is_closed_before_the_retry_is_written() {
    for spoilt in [
        "no HTTP\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab",
    ] {
        let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
        let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
        let mut client = proxy.connect().await;
        client.send("keyed", "20000m").await;
        let ((mut first, _), other) = tokio::select! {
            got = one.accept_request() => (got, &two),
            got = two.accept_request() => (got, &one),
        };
        first.write(spoilt).await;
        let (mut second, _) = other.accept_request().await;
        // Checked without waiting: a later close shows as open.
        assert!(first.is_closed(), "both are out after {spoilt:?}");
        second.respond("200 OK", "", "").await;
        client.expect_status(200).await;
    }
}

/// All of the body may have arrived although a part of the write failed.
#[tokio::test]
async fn non_idempotent_request_is_not_retried_after_a_reset_mid_response() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    for answered in [
        "",
        "HTTP/1.1 1",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ] {
        let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
        let mut client = proxy.connect().await;
        client.send_with_body("r", &"x".repeat(60_000)).await;
        let ((mut connection, _), other) = tokio::select! {
            got = one.accept_request() => (got, &two),
            got = two.accept_request() => (got, &one),
        };
        connection.write(answered).await;
        connection.reset();
        assert_eq!(
            client.read().await.expect("an answer").status(),
            504,
            "{answered:?}"
        );
        assert!(other.is_untouched().await, "sent again after {answered:?}");
    }
}

/// Even a non-idempotent request may then be rejected, so that its client tries again.
#[tokio::test]
async fn refused_connection_counts_as_not_executed() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    drop(backend);
    let answer = proxy
        .connect()
        .await
        .request("unsafe")
        .await
        .expect("an answer");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("retry-after"), Some("1.500"));
}

/// A request written to it would be lost.
#[tokio::test]
async fn connection_closed_while_idle_is_not_reused() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    for _ in 0..20 {
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection.respond("200 OK", "", "").await;
        client.expect_status(200).await;
        connection.close().await;
    }
}

/// The backend closes the connection, or sends more on it, as the next request arrives; the process
/// notices both in one turn.
#[tokio::test]
async fn connection_closed_as_the_next_request_arrives_is_not_reused() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    for late in ["", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"] {
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection.respond("200 OK", "", "").await;
        client.expect_status(200).await;
        tokio::time::sleep(Duration::from_millis(50)).await; // It rests first.
        proxy.signal("STOP").await;
        connection.write(late).await;
        if late.is_empty() {
            drop(connection);
        }
        client.send("unsafe", "20000m").await;
        proxy.signal("CONT").await;
        let (mut connection, _) = backend.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "own")
            .await;
        assert_eq!(client.read().await.expect("an answer").body, b"own");
    }
}

#[tokio::test]
async fn connection_is_reused() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    for _ in 0..3 {
        connection.respond("200 OK", "", "").await;
        client.expect_status(200).await;
        // It idles for a moment first, in case more than the response is on its way.
        tokio::time::sleep(Duration::from_millis(50)).await;
        client.send("unsafe", "20000m").await;
        connection
            .read()
            .await
            .expect("the next request on the same connection");
    }
}

/// They would be taken for the response to the next request on that connection.
#[tokio::test]
async fn bytes_after_a_response_end_the_connection() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    let answer = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    for (k, (with, later)) in [
        (answer("x"), ""),
        ("noise".into(), ""),
        (String::new(), "n"),
        (String::new(), "HTTP/1.1 2"),
    ]
    .into_iter()
    .enumerate()
    {
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection.write(&(answer(&k.to_string()) + &with)).await;
        assert_eq!(
            client.read().await.expect("an answer").body,
            k.to_string().as_bytes()
        );
        connection.write(later).await; // It is given back by then.
        connection.expect_closed().await;
    }
}

/// The request may have been executed. The connection is closed at once: an endless response would
/// go on growing.
#[tokio::test]
async fn malformed_responses_end_the_attempt() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let endless = |head: &str, part: &str| {
        format!(
            "HTTP/1.1 200 OK\r\n{head}{}",
            part.repeat(200_000 / part.len())
        )
    };
    let spoilt = [
        "no HTTP at all\r\n\r\n".to_owned(),
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            .to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n"
            .to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n".to_owned(),
        endless("Content-Length: 3000000000\r\n\r\n", "more "),
        endless("X-Long: ", "more "),
        endless("", "X-Many: 1\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(5000),
    ];
    for answer in spoilt {
        let mut client = proxy.connect().await;
        client.send("unsafe", "60000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection.write_until_closed(&answer).await;
        let status = client.read().await.expect("an answer").status();
        assert_eq!(status, 504, "{answer:.80}");
        connection.drain_until_closed().await;
    }
    assert!(proxy.peak_memory_kib() < MEMORY_MB << 10);
}

#[tokio::test]
async fn interim_responses_and_malformed_load_reports_are_tolerated() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        .await;
    connection
        .respond("200 OK", "X-Server-Load: {\"inflight\":[,\r\n", "served")
        .await;
    assert_eq!(client.read().await.expect("an answer").body, b"served");
}

/// The attempt's connection is closed.
#[tokio::test]
async fn request_to_a_hung_backend_fails_within_its_deadline() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "400m").await;
    let (mut connection, _) = backend.accept_request().await;
    client.expect_status(504).await;
    connection.expect_closed().await;
}

#[tokio::test]
async fn no_retry_after_the_client_disconnected() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let ((mut connection, first), other) = tokio::select! {
        got = one.accept_request() => (got, &two),
        got = two.accept_request() => (got, &one),
    };
    client.close().await;
    connection
        .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    assert!(other.is_untouched().await, "sent again");
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let next = tokio::select! {
        next = connection.read() => next.expect("a request"),
        (_, next) = other.accept_request() => next,
    };
    assert_ne!(first.header("x-request-id"), next.header("x-request-id"));
}

/// Load reports come under the names in the settings, beside fields that nobody asked for.
#[tokio::test]
async fn load_probes_select_the_idle_backend() {
    let (busy, idle) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    settings["report"] =
        serde_json::json!({"how": "pull", "fields": ["outstanding", "utilization"]});
    let proxy = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start()
        .await;
    let (mut watch, _) = discovery.accept_watch().await;
    let members = [
        endpoint("busy", busy.address(), "active"),
        endpoint("idle", idle.address(), "active"),
    ];
    watch.send_list(1, true, &members).await;
    proxy.wait_until_ready().await;
    let (served, mut by) = tokio::sync::mpsc::unbounded_channel();
    let reports = [
        (
            busy,
            "busy",
            r#"{"outstanding":9,"utilization":1.0,"spare":null}"#,
        ),
        (
            idle,
            "idle",
            r#"{"spare":"x","outstanding":0,"utilization":0.0}"#,
        ),
    ];
    for (backend, name, report) in reports {
        let served = served.clone();
        tokio::spawn(async move {
            loop {
                let (mut connection, served) = (backend.accept().await, served.clone());
                tokio::spawn(async move {
                    while let Some(request) = connection.read().await {
                        if request.start == "GET /stats HTTP/1.1" {
                            connection.respond("200 OK", "", report).await;
                        } else {
                            connection.respond("200 OK", "", "").await;
                            let _ = served.send(name);
                        }
                    }
                });
            }
        });
    }
    // On a busy machine a report may come too late to count. Without reports, so long a row has a
    // probability of 1e-6.
    let in_a_row = async {
        let mut row = 0;
        while row < 20 {
            let answer = proxy
                .connect()
                .await
                .request("unsafe")
                .await
                .expect("an answer");
            if answer.status() == 200 {
                row = if by.recv().await == Some("idle") {
                    row + 1
                } else {
                    0
                };
            }
        }
    };
    within("a row of requests at the idle server", in_a_row).await;
}
