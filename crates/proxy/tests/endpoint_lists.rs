//! Integration tests of the endpoint list: the effect of its updates on connections and requests,
//! invalid and large lists, and the list of the configuration.

mod common;
use common::*;
use serde_json::json;

/// A snapshot removes the backends that it does not name, a delta those that it names as removed,
/// and the address of a backend may change under the same id. Each request must be sent according
/// to the list that is current at the time.
#[tokio::test]
async fn requests_follow_the_endpoint_list() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, mut watch) = serve(&[("one", &one)]).await;
    let mut client = proxy.connect().await;
    let (mut at_one, mut at_two);

    client.send("unsafe", "20000m").await;
    (at_one, _) = one.accept_request().await;
    at_one.respond("200 OK", "", "").await;
    client.expect_status(200).await;

    watch
        .send_list(2, true, &[endpoint("two", two.address(), "active")])
        .await;
    at_one.expect_closed().await; // A removed backend receives no more requests.
    client.send("unsafe", "20000m").await;
    (at_two, _) = two.accept_request().await;
    at_two.respond("200 OK", "", "").await;
    client.expect_status(200).await;

    watch
        .send_list(3, false, &[endpoint("two", one.address(), "active")])
        .await;
    at_two.expect_closed().await;
    client.send("unsafe", "20000m").await;
    (at_one, _) = one.accept_request().await;
    at_one.respond("200 OK", "", "").await;
    client.expect_status(200).await;

    watch
        .send_list(4, false, &[json!({"id": "two", "phase": "left"})])
        .await;
    at_one.expect_closed().await;
    client.send("unsafe", "20000m").await;
    client.expect_status(503).await;
}

/// Connections to a machine that has died still look open. Once the list gives a backend's new
/// start time, requests must not go to connections of its earlier process.
#[tokio::test]
async fn backend_restart_abandons_its_connections() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, mut watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut old, _) = backend.accept_request().await;
    old.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    let mut entry = endpoint("s", backend.address(), "active");
    entry["up_since_ms"] = json!(1_700_000_000_000u64);
    watch.send_list(2, false, &[entry.clone()]).await;
    old.expect_closed().await;
    client.send("unsafe", "20000m").await;
    let (mut new, _) = backend.accept_request().await;
    new.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    // A list that repeats the start time is not a restart.
    watch.send_list(3, true, &[entry]).await;
    proxy.wait_for_revision(3).await;
    // A connection is reused only some time after its response.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    client.send("unsafe", "20000m").await;
    new.read()
        .await
        .expect("the next request on the same connection");
}

/// The list names a backend as draining while a connection to it is being opened. Nothing may be
/// sent on that connection. Since no backend has received the request, it may be rejected with
/// status 503 although it is non-idempotent.
#[tokio::test]
async fn drain_received_while_connecting_prevents_the_attempt() {
    let listener = FullListener::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, mut watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &[endpoint("s", listener.address(), "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    // Once this call is answered, the request has been read and a connection for it is being
    // opened.
    proxy.get("/health/live").await;
    watch
        .send_list(2, false, &[endpoint("s", listener.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
    listener.make_room().await;
    let response = client.read().await.expect("a response");
    assert_eq!(response.status(), 503);
    let mut connection = listener.accept().await;
    drop(client);
    drop(proxy);
    connection.expect_closed().await;
}

/// The list gives a new address for a backend while a connection to the old one is being opened.
/// Whatever listens at the old address is no longer that backend, so nothing may be sent there.
#[tokio::test]
async fn address_change_received_while_connecting_prevents_the_attempt() {
    let new = ScriptedServer::new().await;
    let listener = FullListener::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, mut watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &[endpoint("s", listener.address(), "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    // Once this call is answered, the request has been read and a connection for it is being
    // opened.
    proxy.get("/health/live").await;
    watch
        .send_list(2, false, &[endpoint("s", new.address(), "active")])
        .await;
    proxy.wait_for_revision(2).await;
    listener.make_room().await;
    let mut connection = listener.accept().await;
    // The balancer decides whether the request goes to the new address or is rejected.
    let response = tokio::select! {
        response = client.read() => response,
        (mut connection, _) = new.accept_request() => {
            connection.respond("200 OK", "", "").await;
            client.read().await
        }
    };
    assert!([200, 503].contains(&response.expect("a response").status()));
    drop(proxy);
    connection.expect_closed().await;
}

/// Lists and load reports may contain extreme, invalid or negative numbers. Every request must
/// still get a response, and reasonable numbers must restore service.
#[tokio::test]
async fn extreme_numbers_are_tolerated() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    settings["report"] = json!({"how": "pull", "fields": ["outstanding", "utilization"]});
    let proxy = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start()
        .await;
    let (mut watch, _) = discovery.accept_watch().await;
    let mut revision = 0;
    let mut request_status = async |key: &str, value: &serde_json::Value, report: &str| {
        revision += 1;
        let mut extreme = endpoint("s", backend.address(), "active");
        extreme[key] = value.clone();
        // The extreme entry is listed twice, beside a reasonable one and a removed one that was
        // never listed.
        let removed = json!({"id": "", "phase": "left"});
        watch
            .send_list(
                revision,
                true,
                &[
                    extreme.clone(),
                    extreme,
                    endpoint("t", backend.address(), "active"),
                    removed,
                ],
            )
            .await;
        proxy.wait_for_revision(revision).await;
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        let serve_backend = async {
            let mut connection_tasks = tokio::task::JoinSet::new();
            loop {
                let (mut connection, report) = (backend.accept().await, report.to_owned());
                connection_tasks.spawn(async move {
                    while let Some(request) = connection.read().await {
                        let body = if request.start_line.starts_with("GET /stats") {
                            &report
                        } else {
                            "served"
                        };
                        connection
                            .respond("200 OK", &format!("X-Server-Load: {report}\r\n"), body)
                            .await;
                    }
                });
            }
        };
        tokio::select! {
            response = client.read() => response.expect("a response").status(),
            () = serve_backend => unreachable!("the backend never stops serving"),
        }
    };
    for (key, value) in [
        ("size", json!(-1.0)),
        ("size", json!(0)),
        ("size", json!(1e308)),
        ("size", json!(5e-324)),
        ("cell", json!(65_535)),
        ("locality", json!("nowhere")),
        ("flavor", json!("")),
        ("up_since_ms", json!(u64::MAX)),
        ("up_since_ms", json!(1)),
    ] {
        for report in [
            r#"{"outstanding":-9,"utilization":-1e308}"#,
            r#"{"outstanding":1e308,"utilization":1e308}"#,
            r#"{"outstanding":5e-324,"utilization":0.0}"#,
            r#"{"outstanding":{},"utilization":"high"}"#,
            "[1,2",
        ] {
            let status = request_status(key, &value, report).await;
            assert!(
                [200, 503, 504].contains(&status),
                "{status} for {key} {value} {report}"
            );
        }
    }
    let recovery = async {
        while request_status(
            "size",
            &json!(1.0),
            r#"{"outstanding":0,"utilization":0.1}"#,
        )
        .await
            != 200
        {}
    };
    within("a response with status 200", recovery).await;
}

/// Backends recognize an idempotency key for a limited time. A connection that is established after
/// that must not carry a retry, which could be executed a second time.
#[tokio::test]
async fn retry_is_prevented_after_the_idempotency_window() {
    let first = ScriptedServer::new().await;
    let listener = FullListener::new().await;
    let discovery = ScriptedServer::new().await;
    let window = std::time::Duration::from_secs(2); // Long enough for all that precedes the retry.
    let mut settings = settings();
    settings["profiles"][1]["repeat_window_ns"] = json!(window.as_nanos() as u64);
    let (proxy, mut watch) = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start_ready(&discovery, &[endpoint("first", first.address(), "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("keyed", "20000m").await;
    let (mut connection, _) = first.accept_request().await;
    watch
        .send_list(
            2,
            false,
            &[endpoint("second", listener.address(), "active")],
        )
        .await;
    proxy.wait_for_revision(2).await;
    connection
        .respond("500 Internal Server Error", "", "")
        .await;
    tokio::time::sleep(window).await;
    listener.make_room().await;
    client.expect_status(504).await;
    let mut connection = listener.accept().await;
    drop(client);
    drop(proxy);
    connection.expect_closed().await;
}

/// A malformed update must not replace the list in use. It is logged, and the changes since the
/// last valid update are requested again.
#[tokio::test]
async fn malformed_update_keeps_the_current_list() {
    let backend = ScriptedServer::new().await;
    let malformed_lines = [
        "not json".to_owned(),
        r#"{"revision":9,"complete":true,"members":[{"id":"s","phase":"active"}]}"#.to_owned(),
        r#"{"revision":9,"complete":true,"members":[{"id":"s","host_port":"nowhere","phase":"active"}]}"#
            .to_owned(),
        r#"{"revision":-1,"complete":true,"members":[]}"#.to_owned(),
    ];
    let (mut proxy, discovery, mut watch) = serve(&[("s", &backend)]).await;
    for line in malformed_lines {
        watch.send_line(&line).await;
        proxy.wait_for_log("invalid list").await;
        let (next, request) = discovery.accept_watch().await;
        assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
        watch = next;
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        let (mut connection, _) = backend.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
        client.expect_status(200).await;
    }
}

/// A process must follow the pushed list from its start, and the list of its configuration may be
/// out of date. So a request that arrives before the pushed list has to wait for it.
#[tokio::test]
async fn new_process_waits_for_the_pushed_list() {
    let (old, new) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let discovery = ScriptedServer::new().await;
    let known = json!({"revision": 7, "complete": true, "members": [endpoint("old", old.address(), "active")]});
    let builder = ProxyBuilder::new(discovery.address())
        .without_config("limits")
        .config("known", known);
    let members = [
        endpoint("old", old.address(), "leaving"),
        endpoint("new", new.address(), "active"),
    ];
    let pushing = async {
        let (mut watch, _) = discovery.accept_watch().await;
        watch.send_list(8, true, &members).await;
        watch
    };
    let requesting = async {
        let proxy = builder.start().await;
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        (proxy, client)
    };
    // The request is sent first, the list after it.
    let ((proxy, mut client), _watch) = (requesting.await, pushing.await);
    let (mut connection, _) = tokio::select! {
        accepted = new.accept_request() => accepted,
        _ = old.accept_request() => panic!("sent according to the old list"),
    };
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    drop(proxy);
}

#[tokio::test]
async fn new_process_uses_the_configured_list_while_discovery_is_down() {
    let backend = ScriptedServer::new().await;
    let down = ScriptedServer::new().await;
    let known = json!({"revision": 7, "complete": true, "members": [endpoint("s", backend.address(), "active")]});
    let builder = ProxyBuilder::new(down.address())
        .without_config("limits")
        .config("known", known);
    drop(down);
    let proxy = builder.start().await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// Lists of thousands of endpoints are usable, and a `stats` line of the log stays short enough to
/// read under them.
#[tokio::test]
async fn list_of_thousands_of_endpoints_is_applied() {
    let backend = ScriptedServer::new().await;
    for count in [1024, 1025, 4096] {
        let discovery = ScriptedServer::new().await;
        let mut settings = settings();
        settings["balancers"] = json!(1025);
        let mut proxy = ProxyBuilder::new(discovery.address())
            .settings(settings)
            .start()
            .await;
        let (mut watch, _) = discovery.accept_watch().await;
        let members: Vec<_> = (0..count)
            .map(|k| endpoint(&format!("s{k}"), backend.address(), "active"))
            .collect();
        watch.send_list(1, true, &members).await;
        proxy.wait_until_ready().await;
        let mut client = proxy.connect().await;
        for _ in 0..3 {
            client.send("safe", "20000m").await;
            let (mut connection, _) = backend.accept_request().await;
            connection
                .respond("200 OK", "Connection: close\r\n", "")
                .await;
            client.expect_status(200).await;
        }
        let line = proxy.wait_for_log("stats ").await;
        assert!(
            line.contains(&format!(" backends={count} ")) && line.len() < 16 << 10,
            "{line}"
        );
    }
}

/// A list of more than 4 MiB is rejected and requested again. The last valid list stays in use.
#[tokio::test]
async fn oversized_list_is_rejected() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, discovery, mut watch) = serve(&[("s", &backend)]).await;
    let members: Vec<_> = (0..40_000)
        .map(|k| endpoint(&format!("s{k}"), backend.address(), "active"))
        .collect();
    let list = json!({"revision": 2, "complete": true, "members": members}).to_string();
    assert!(list.len() > 4 << 20);
    let writing = async {
        watch
            .0
            .write_until_closed(&format!("{:x}\r\n{list}\r\n", list.len()))
            .await;
        std::future::pending::<()>().await;
    };
    let logged = async { proxy.wait_for_log("invalid list: over 4194304 bytes").await };
    tokio::select! {
        () = writing => unreachable!("the task never ends"),
        _ = logged => {}
    }
    let (_next, request) = discovery.accept_watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
    proxy.wait_for_revision(1).await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// The list of the configuration, as well as one from discovery, may name draining endpoints only.
/// The process must not report itself as ready until an active endpoint is listed.
#[tokio::test]
async fn process_without_active_endpoints_is_not_ready() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let known = json!({"revision": 7, "complete": true, "members": [endpoint("s", backend.address(), "leaving")]});
    let builder = ProxyBuilder::new(discovery.address())
        .without_config("limits")
        .config("known", known);
    let proxy = builder.start().await;
    let (mut watch, _) = discovery.accept_watch().await;
    watch
        .send_list(8, true, &[endpoint("s", backend.address(), "leaving")])
        .await;
    proxy.wait_for_revision(8).await;
    assert_eq!(proxy.get("/health/ready").await.status(), 503);
    watch
        .send_list(9, false, &[endpoint("s", backend.address(), "active")])
        .await;
    proxy.wait_until_ready().await;
}

#[tokio::test]
async fn drain_received_before_a_retry_prevents_it() {
    for headers in ["X-Not-Processed: 1\r\n", ""] {
        let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
        let (proxy, _discovery, mut watch) = serve(&[("one", &one), ("two", &two)]).await;
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        let ((mut connection, _), other, name) = tokio::select! {
            accepted = one.accept_request() => (accepted, &two, "two"),
            accepted = two.accept_request() => (accepted, &one, "one"),
        };
        watch
            .send_list(2, false, &[endpoint(name, other.address(), "leaving")])
            .await;
        proxy.wait_for_revision(2).await;
        connection
            .respond("503 Service Unavailable", headers, "")
            .await;
        client.expect_status(503).await;
        assert!(
            other.receives_no_connection().await,
            "sent to a draining backend"
        );
    }
}
