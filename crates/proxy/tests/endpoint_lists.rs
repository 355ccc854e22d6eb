//! The endpoint list: what its updates do to connections and requests.

mod common;
use common::*;
use serde_json::json;

/// Snapshots drop what they do not name, deltas drop what was removed, and an address may change
/// under the same id.
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
    at_one.expect_closed().await; // Nothing more goes to a backend that is gone.
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

/// A dead machine's connections look open.
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
    // The same start time once more is no restart.
    watch.send_list(3, true, &[entry]).await;
    proxy.wait_for_revision(3).await;
    tokio::time::sleep(std::time::Duration::from_millis(50)).await; // It rests before it is used again.
    client.send("unsafe", "20000m").await;
    new.read()
        .await
        .expect("the next request on the same connection");
}

/// Nothing was sent, so even a non-idempotent request may be rejected.
#[tokio::test]
async fn drain_received_while_connecting_prevents_the_attempt() {
    let (listener, address, filling) = full_listener().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, mut watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &[endpoint("s", address, "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    proxy.get("/health/live").await; // The request has been read, and its connection is under way.
    watch
        .send_list(2, false, &[endpoint("s", address, "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
    for _ in 0..filling.len() {
        within("a connection", listener.accept())
            .await
            .expect("a connection");
    }
    let answer = client.read().await.expect("an answer");
    assert_eq!(answer.status(), 503);
    let (stream, _) = within("the proxy's connection", listener.accept())
        .await
        .expect("a connection");
    drop(client);
    drop(proxy);
    let mut read = Vec::new();
    let mut stream = stream;
    let _ = within(
        "its end",
        tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut read),
    )
    .await;
    assert!(
        read.is_empty(),
        "sent to a draining server: {:?}",
        String::from_utf8_lossy(&read)
    );
}

/// What listens at the old address is no longer that backend.
#[tokio::test]
async fn address_change_received_while_connecting_prevents_the_attempt() {
    let new = ScriptedServer::new().await;
    let (listener, address, filling) = full_listener().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, mut watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &[endpoint("s", address, "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    proxy.get("/health/live").await; // The request has been read, and its connection is under way.
    watch
        .send_list(2, false, &[endpoint("s", new.address(), "active")])
        .await;
    proxy.wait_for_revision(2).await;
    for _ in 0..filling.len() {
        within("a connection", listener.accept())
            .await
            .expect("a connection");
    }
    let (mut old, _) = within("the proxy's connection", listener.accept())
        .await
        .expect("a connection");
    // The balancer decides whether it goes to the new address or is rejected.
    let answer = tokio::select! {
        answer = client.read() => answer,
        (mut connection, _) = new.accept_request() => {
            connection.respond("200 OK", "", "").await;
            client.read().await
        }
    };
    assert!([200, 503].contains(&answer.expect("an answer").status()));
    drop(proxy);
    let mut read = Vec::new();
    let _ = within(
        "its end",
        tokio::io::AsyncReadExt::read_to_end(&mut old, &mut read),
    )
    .await;
    assert!(
        read.is_empty(),
        "sent to the old address: {:?}",
        String::from_utf8_lossy(&read)
    );
}

/// Every request still gets a response, and reasonable numbers restore service.
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
    let mut ask = async |key: &str, value: &serde_json::Value, report: &str| {
        revision += 1;
        let mut odd = endpoint("s", backend.address(), "active");
        odd[key] = value.clone();
        // Listed twice, beside a reasonable entry and a removed one that was never listed.
        let left = json!({"id": "", "phase": "left"});
        watch
            .send_list(
                revision,
                true,
                &[
                    odd.clone(),
                    odd,
                    endpoint("t", backend.address(), "active"),
                    left,
                ],
            )
            .await;
        proxy.wait_for_revision(revision).await;
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        let answering = async {
            let mut serving = tokio::task::JoinSet::new();
            loop {
                let (mut connection, report) = (backend.accept().await, report.to_owned());
                serving.spawn(async move {
                    while let Some(request) = connection.read().await {
                        let body = if request.start.starts_with("GET /stats") {
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
            answer = client.read() => answer.expect("an answer").status(),
            () = answering => unreachable!("it never ends"),
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
            let status = ask(key, &value, report).await;
            assert!(
                [200, 503, 504].contains(&status),
                "{status} for {key} {value} {report}"
            );
        }
    }
    let back = async {
        while ask(
            "size",
            &json!(1.0),
            r#"{"outstanding":0,"utilization":0.1}"#,
        )
        .await
            != 200
        {}
    };
    within("service", back).await;
}

/// Backends deduplicate for a limited time: a connection that is established later carries no retry.
#[tokio::test]
async fn retry_is_prevented_after_the_idempotency_window() {
    let first = ScriptedServer::new().await;
    let (listener, address, filling) = full_listener().await;
    let discovery = ScriptedServer::new().await;
    let window = std::time::Duration::from_secs(2); // Ample for all that comes before the repeat.
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
        .send_list(2, false, &[endpoint("second", address, "active")])
        .await;
    proxy.wait_for_revision(2).await;
    connection
        .respond("500 Internal Server Error", "", "")
        .await;
    tokio::time::sleep(window).await;
    for _ in 0..filling.len() {
        within("a connection", listener.accept())
            .await
            .expect("a connection");
    }
    client.expect_status(504).await;
    let (mut stream, _) = within("the proxy's connection", listener.accept())
        .await
        .expect("a connection");
    drop(client);
    drop(proxy);
    let mut read = Vec::new();
    let _ = within(
        "its end",
        tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut read),
    )
    .await;
    assert!(
        read.is_empty(),
        "sent after the window: {:?}",
        String::from_utf8_lossy(&read)
    );
}

/// It is logged, and the changes since the last good update are requested again.
#[tokio::test]
async fn malformed_update_keeps_the_current_list() {
    let backend = ScriptedServer::new().await;
    let bad = [
        "not json".to_owned(),
        r#"{"revision":9,"complete":true,"members":[{"id":"s","phase":"active"}]}"#.to_owned(),
        r#"{"revision":9,"complete":true,"members":[{"id":"s","host_port":"nowhere","phase":"active"}]}"#
            .to_owned(),
        r#"{"revision":-1,"complete":true,"members":[]}"#.to_owned(),
    ];
    let (mut proxy, discovery, mut watch) = serve(&[("s", &backend)]).await;
    for line in bad {
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

/// Pushed lists bind a process from its start, and the configured list may be old.
#[tokio::test]
async fn new_process_waits_for_the_pushed_list() {
    let (old, new) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let discovery = ScriptedServer::new().await;
    let known = json!({"revision": 7, "complete": true, "members": [endpoint("old", old.address(), "active")]});
    let builder = ProxyBuilder::new(discovery.address())
        .without("limits")
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
    let asking = async {
        let proxy = builder.start().await;
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        (proxy, client)
    };
    // The request is sent first, the list after it.
    let ((proxy, mut client), _watch) = (asking.await, pushing.await);
    let (mut connection, _) = tokio::select! {
        got = new.accept_request() => got,
        _ = old.accept_request() => panic!("sent by the old list"),
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
        .without("limits")
        .config("known", known);
    drop(down);
    let proxy = builder.start().await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// A line of the log stays of readable length.
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

/// The last good list stays in use.
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
        () = writing => unreachable!("it waits"),
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

/// The configured list may name draining endpoints only.
#[tokio::test]
async fn process_without_active_endpoints_is_not_ready() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let known = json!({"revision": 7, "complete": true, "members": [endpoint("s", backend.address(), "leaving")]});
    let builder = ProxyBuilder::new(discovery.address())
        .without("limits")
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
    for outcome in ["X-Not-Processed: 1\r\n", ""] {
        let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
        let (proxy, _discovery, mut watch) = serve(&[("one", &one), ("two", &two)]).await;
        let mut client = proxy.connect().await;
        client.send("safe", "20000m").await;
        let ((mut connection, _), other, name) = tokio::select! {
            got = one.accept_request() => (got, &two, "two"),
            got = two.accept_request() => (got, &one, "one"),
        };
        watch
            .send_list(2, false, &[endpoint(name, other.address(), "leaving")])
            .await;
        proxy.wait_for_revision(2).await;
        connection
            .respond("503 Service Unavailable", outcome, "")
            .await;
        client.expect_status(503).await;
        assert!(other.is_untouched().await, "sent to a server that drains");
    }
}
