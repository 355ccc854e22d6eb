//! Attempts at backends: what is sent to them, which outcome their responses and failures have, and
//! when a request is retried.

mod common;
use common::*;
use std::time::Duration;

/// The request's target, headers and body and the response's body must arrive unchanged; only
/// `X-Timeout` is replaced by the time that remains, in microseconds.
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
    assert_eq!(request.start_line, "POST /keyed/a%20b;c?x=1&y=%2F HTTP/1.1");
    assert_eq!(request.body, b"hello");
    for (name, value) in [
        ("x-request-id", "9b1f"),
        ("idempotency-key", "5c0f"),
        ("cookie", "obj=7"),
    ] {
        assert_eq!(request.header(name), Some(value));
    }
    let remaining_timeout = request
        .header("x-timeout")
        .and_then(|v| v.strip_suffix('u'))
        .expect("an X-Timeout in microseconds");
    assert!(
        remaining_timeout
            .parse::<u64>()
            .expect("the timeout should be a number")
            < 9_000_000,
        "the remaining time should be less than the client's timeout"
    );
    connection.respond("200 OK", "X-More: 1\r\n", "bye").await;
    let response = client.read().await.expect("a response");
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"bye"[..])
    );
}

/// A 503 without `X-Not-Processed: 1` may have been sent after the request was executed. A retry
/// could execute a non-idempotent request twice, and so could a client that takes the status for a
/// promise that it was not executed.
#[tokio::test]
async fn non_idempotent_request_fails_on_503_without_not_processed() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
    for headers in ["", "X-Not-Processed: 0\r\n"] {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let ((mut connection, _), other) = accept_request_at_either(&one, &two).await;
        connection
            .respond("503 Service Unavailable", headers, "")
            .await;
        let status = client.read().await.expect("a response").status();
        assert!(
            ![200, 429, 503].contains(&status),
            "status {status} claims success or that the request was not executed"
        );
        assert!(
            other.receives_no_connection().await,
            "the request was sent again"
        );
    }
}

/// `X-Not-Processed: 1` proves that the request was not executed: it must be retried at the other
/// backend, with the same id, rather than fail.
#[tokio::test]
async fn non_idempotent_request_is_retried_if_not_executed() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let ((mut connection, first), other) = accept_request_at_either(&one, &two).await;
    connection
        .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    let (mut connection, second) = other.accept_request().await;
    assert_eq!(first.header("x-request-id"), second.header("x-request-id"));
    connection.respond("200 OK", "", "done").await;
    assert_eq!(client.read().await.expect("a response").body, b"done");
}

/// A backend that closes the connection after it has received the request, or in the middle of its
/// response, may have executed the request: a non-idempotent one must not be sent again.
#[tokio::test]
async fn connection_lost_after_the_request_counts_as_possibly_executed() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
    for partial_response in ["", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"] {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let ((mut connection, _), other) = accept_request_at_either(&one, &two).await;
        connection.write(partial_response).await;
        drop(connection);
        client.expect_status(504).await;
        assert!(
            other.receives_no_connection().await,
            "the request was sent again"
        );
    }
}

/// Without hedging there must never be two attempts of a request in flight: a malformed response
/// ends the first attempt, whose connection must be closed before the retry is written.
#[tokio::test]
async fn failed_attempt_is_closed_before_the_retry_is_written() {
    for malformed in [
        "no HTTP\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab",
    ] {
        let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
        let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
        let mut client = proxy.connect().await;
        client.send("keyed", "20000m").await;
        let ((mut first, _), other) = accept_request_at_either(&one, &two).await;
        first.write(malformed).await;
        let (mut second, _) = other.accept_request().await;
        // Checked without waiting, so that a connection closed only later counts as open.
        assert!(
            first.is_closed(),
            "the first attempt is still open after {malformed:?}"
        );
        second.respond("200 OK", "", "").await;
        client.expect_status(200).await;
    }
}

/// The backend may have received the whole body although writing a part of it failed: after a
/// reset, also one in the middle of the response, a non-idempotent request must not be sent again.
#[tokio::test]
async fn non_idempotent_request_is_not_retried_after_a_connection_reset() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    for partial_response in [
        "",
        "HTTP/1.1 1",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    ] {
        let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
        let mut client = proxy.connect().await;
        client.send_with_body("r", &"x".repeat(60_000)).await;
        let ((mut connection, _), other) = accept_request_at_either(&one, &two).await;
        connection.write(partial_response).await;
        connection.reset();
        assert_eq!(
            client.read().await.expect("a response").status(),
            504,
            "{partial_response:?}"
        );
        assert!(
            other.receives_no_connection().await,
            "the request was sent again after {partial_response:?}"
        );
    }
}

/// A backend that refuses the connection cannot have executed the request. Even a non-idempotent
/// request must then be rejected, with a `Retry-After`, rather than fail, so that its client tries
/// again.
#[tokio::test]
async fn refused_connection_counts_as_not_executed() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    drop(backend);
    let response = proxy
        .connect()
        .await
        .request("unsafe")
        .await
        .expect("a response");
    assert_eq!(response.status(), 503);
    assert_eq!(response.header("retry-after"), Some("1.500"));
}

/// A request written to a connection that the backend has closed while it was idle would be lost,
/// and a non-idempotent one could not be retried.
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

/// The backend closes an idle connection, or sends surplus bytes on it, just as the next request
/// arrives. The process is stopped meanwhile, so that it notices both in one turn of its event
/// loop. A request written to that connection would be lost, or get the surplus bytes as its
/// response.
#[tokio::test]
async fn connection_closed_as_the_next_request_arrives_is_not_reused() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    for late_bytes in ["", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"] {
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection.respond("200 OK", "", "").await;
        client.expect_status(200).await;
        tokio::time::sleep(Duration::from_millis(50)).await; // The connection is idle by then.
        proxy.signal("STOP").await;
        connection.write(late_bytes).await;
        if late_bytes.is_empty() {
            drop(connection);
        }
        client.send("unsafe", "20000m").await;
        proxy.signal("CONT").await;
        let (mut connection, _) = backend.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "own")
            .await;
        assert_eq!(client.read().await.expect("a response").body, b"own");
    }
}

/// A connection that stays open and quiet after its response must carry the next requests, also
/// non-idempotent ones, instead of a new connection.
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
        // The connection first stays unused for a moment, in case surplus bytes are on their way.
        tokio::time::sleep(Duration::from_millis(50)).await;
        client.send("unsafe", "20000m").await;
        connection
            .read()
            .await
            .expect("the next request on the same connection");
    }
}

/// Surplus bytes after a response, sent with it or a moment later, would be taken for the response
/// to the next request on that connection. The connection must be closed instead.
#[tokio::test]
async fn bytes_after_a_response_close_the_connection() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    let response = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    for (number, (surplus, late_bytes)) in [
        (response("x"), ""),
        ("noise".into(), ""),
        (String::new(), "n"),
        (String::new(), "HTTP/1.1 2"),
    ]
    .into_iter()
    .enumerate()
    {
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection
            .write(&(response(&number.to_string()) + &surplus))
            .await;
        assert_eq!(
            client.read().await.expect("a response").body,
            number.to_string().as_bytes()
        );
        connection.write(late_bytes).await; // The connection is back in the pool by then.
        connection.expect_closed().await;
    }
}

/// A malformed or oversized response must fail the attempt as possibly executed. The connection
/// must be closed immediately: what is kept of an endless response would grow without a bound.
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
    let malformed_responses = [
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
    for response in malformed_responses {
        let mut client = proxy.connect().await;
        client.send("unsafe", "60000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection.write_until_closed(&response).await;
        let status = client.read().await.expect("a response").status();
        assert_eq!(status, 504, "{response:.80}");
        connection.drain_until_closed().await;
    }
    assert!(proxy.peak_memory_kib() < MEMORY_MB << 10);
}

/// Interim responses must not be taken for the final one, and a load report that cannot be parsed
/// must not fail the response that carries it.
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
    assert_eq!(client.read().await.expect("a response").body, b"served");
}

/// A backend that never responds must not hold up its client beyond the deadline. The attempt's
/// connection must be closed.
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

/// A rejected request whose client has disconnected meanwhile must not be sent to another backend:
/// nobody waits for the response any more. The next request that a backend gets is another
/// client's.
#[tokio::test]
async fn no_retry_after_the_client_disconnected() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, _watch) = serve(&[("one", &one), ("two", &two)]).await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let ((mut connection, first), other) = accept_request_at_either(&one, &two).await;
    client.close().await;
    connection
        .respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "")
        .await;
    assert!(
        other.receives_no_connection().await,
        "the request was sent again"
    );
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let next = tokio::select! {
        next = connection.read() => next.expect("a request"),
        (_, next) = other.accept_request() => next,
    };
    assert_ne!(first.header("x-request-id"), next.header("x-request-id"));
}

/// Load reports carry their fields under the names in the settings, beside fields that were not
/// asked for. If the proxy did not probe the backends or read their reports, half of the requests
/// would go to the fully loaded backend.
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
    let endpoints = [
        endpoint("busy", busy.address(), "active"),
        endpoint("idle", idle.address(), "active"),
    ];
    watch.send_list(1, true, &endpoints).await;
    proxy.wait_until_ready().await;
    let (served_by, mut serving_backends) = tokio::sync::mpsc::unbounded_channel();
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
        let served_by = served_by.clone();
        tokio::spawn(async move {
            loop {
                let (mut connection, served_by) = (backend.accept().await, served_by.clone());
                tokio::spawn(async move {
                    while let Some(request) = connection.read().await {
                        if request.start_line == "GET /stats HTTP/1.1" {
                            connection.respond("200 OK", "", report).await;
                        } else {
                            connection.respond("200 OK", "", "").await;
                            let _ = served_by.send(name);
                        }
                    }
                });
            }
        });
    }
    // On a busy machine a report may arrive too late to be used, so the idle backend need not get
    // every request. Without reports, it would get 20 in a row with a probability of 1e-6.
    let idle_selected = async {
        let mut consecutive = 0;
        while consecutive < 20 {
            let response = proxy
                .connect()
                .await
                .request("unsafe")
                .await
                .expect("a response");
            if response.status() == 200 {
                consecutive = if serving_backends.recv().await == Some("idle") {
                    consecutive + 1
                } else {
                    0
                };
            }
        }
    };
    within("consecutive requests at the idle backend", idle_selected).await;
}
