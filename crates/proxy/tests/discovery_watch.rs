//! The calls to discovery: watches that break or fall silent, and late responses.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;

/// What it says counts as notified although the call was given up.
#[tokio::test]
async fn late_response_to_an_unanswered_call_is_applied() {
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, watch) = serve(&[("s", &backend)]).await;
    drop(watch);
    let (mut late, _) = discovery.accept_request().await;
    // The second call begins only once the first is given up.
    let (_second, _) = discovery.accept_request().await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let mut late = WatchStream(late);
    late.send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
    assert_eq!(
        proxy
            .connect()
            .await
            .request("safe")
            .await
            .expect("an answer")
            .status(),
        503
    );
}

/// The next watch may end without a list.
#[tokio::test]
async fn late_response_is_applied_although_the_next_watch_is_open() {
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, watch) = serve(&[("s", &backend)]).await;
    drop(watch);
    let (mut late, _) = discovery.accept_request().await;
    let (_second, _) = discovery.accept_watch().await;
    // The watch is open once the process has read its head; the pause after that is long enough.
    tokio::time::sleep(Duration::from_millis(200)).await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let mut late = WatchStream(late);
    late.send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
}

/// A snapshot leaves out draining endpoints, without being of another revision for that.
#[tokio::test]
async fn late_snapshot_of_the_same_revision_is_applied() {
    let (kept, left) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, discovery, watch) = serve(&[("kept", &kept), ("left", &left)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut out, drains) = tokio::select! {
        out = kept.accept_request() => (out.0, "kept"),
        out = left.accept_request() => (out.0, "left"),
    };
    out.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    drop(watch);
    let (mut late, _) = discovery.accept_request().await;
    let (_second, _) = discovery.accept_request().await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let members = [
        endpoint("kept", kept.address(), "active"),
        endpoint("left", left.address(), "active"),
    ];
    let named: Vec<_> = members
        .into_iter()
        .filter(|member| member["id"] != drains)
        .collect();
    WatchStream(late).send_list(1, true, &named).await;
    out.expect_closed().await; // Nothing more goes to a backend that is gone, nor is a connection to it kept.
}

/// Changes of a pushed list count as notified once discovery is back, so it has to be called often.
#[tokio::test]
async fn unavailable_discovery_is_retried_often() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, discovery, watch) = serve(&[("s", &backend)]).await;
    watch.0.reset();
    for _ in 0..8 {
        discovery.accept().await.reset();
        let line = proxy.wait_for_log("retrying in ").await;
        let pause = line
            .rsplit("retrying in ")
            .next()
            .and_then(|rest| rest.strip_suffix(" ms")?.parse().ok());
        assert!(pause.is_some_and(|pause: u64| pause <= 100), "{line}");
    }
}

/// An empty line is due every 2 s; a watch without one may be cut off from updates that count as
/// notified.
#[tokio::test]
async fn silent_watch_is_reopened() {
    let backend = ScriptedServer::new().await;
    let (_node, discovery, mut watch) = serve(&[("s", &backend)]).await;
    let (_next, request) = discovery.accept_watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
    watch.0.expect_closed().await;
}

/// The watch that replaces a silent one may send nothing, or not be answered at all.
#[tokio::test]
async fn unanswered_watch_is_given_up() {
    let backend = ScriptedServer::new().await;
    for asked in [false, true] {
        let discovery = ScriptedServer::new().await;
        let mut settings = settings();
        settings["registry_mode"] = json!(if asked { "subscribe" } else { "automatic" });
        let proxy = ProxyBuilder::new(discovery.address())
            .settings(settings)
            .start()
            .await;
        let (mut first, _) = discovery.accept_watch().await;
        first
            .send_list(1, true, &[endpoint("s", backend.address(), "active")])
            .await;
        proxy.wait_until_ready().await;
        let (mut mute, _) = discovery.accept_watch().await;
        let (mut unanswered, _) = discovery.accept_request().await;
        let (mut last, request) = discovery.accept_watch().await;
        assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
        last.send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
            .await;
        proxy.wait_for_revision(2).await;
        // The call that was given up is read until then, and no longer.
        first.0.expect_closed().await;
        mute.0.expect_closed().await;
        unanswered.expect_closed().await;
    }
}

#[tokio::test]
async fn update_received_before_a_reset_is_applied() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, mut watch) = serve(&[("s", &backend)]).await;
    watch
        .send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    watch.0.reset();
    proxy.wait_for_revision(2).await;
}

/// Wherever the list is cut into pieces.
#[tokio::test]
async fn indented_json_is_read_on_the_watch() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, mut watch) = serve(&[("s", &backend)]).await;
    let indented = |revision: u64| {
        let list = json!({"revision": revision, "complete": false, "members": [endpoint("s", backend.address(), "leaving")]});
        serde_json::to_string_pretty(&list).expect("a list")
    };
    watch.send_line(&indented(2)).await;
    watch.send_line("").await;
    proxy.wait_for_revision(2).await;
    let list = indented(3) + "\n";
    for part in list.as_bytes().chunks(7) {
        let part = std::str::from_utf8(part).expect("text");
        watch
            .0
            .write(&format!("{:x}\r\n{part}\r\n", part.len()))
            .await;
    }
    proxy.wait_for_revision(3).await;
}

#[tokio::test]
async fn failed_or_broken_watch_is_reopened() {
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, watch) = serve(&[("s", &backend)]).await;
    drop(watch);
    let (mut connection, _) = discovery.accept_request().await;
    connection.respond("503 Service Unavailable", "", "").await;
    let (mut watch, _) = discovery.accept_watch().await;
    // A list may arrive in pieces.
    let list = json!({"revision": 2, "complete": true, "members": []}).to_string();
    let (a, b) = list.split_at(11);
    watch.0.write(&format!("{:x}\r\n{a}\r\n", a.len())).await;
    watch
        .0
        .write(&format!("1\r\n\n\r\n{:x}\r\n{b}\n\r\n", b.len() + 1).replacen("1\r\n\n\r\n", "", 1))
        .await;
    drop(backend);
    assert_eq!(
        proxy
            .connect()
            .await
            .request("unsafe")
            .await
            .expect("an answer")
            .status(),
        503
    );
}

/// The end of a watch is a failed call.
#[tokio::test]
async fn polled_discovery_is_called_when_the_balancer_asks() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    settings["registry_mode"] = json!("subscribe");
    let proxy = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start()
        .await;
    assert_eq!(proxy.get("/health/ready").await.status(), 503);
    let (mut connection, _) = discovery.accept_request().await;
    connection.respond("503 Service Unavailable", "", "").await;
    let (mut watch, request) = discovery.accept_watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=0 HTTP/1.1");
    watch
        .send_list(1, true, &[endpoint("s", backend.address(), "active")])
        .await;
    proxy.wait_until_ready().await;
}

/// Nodes that lose their watches together must not reconnect in step, however often they are refused.
#[tokio::test]
async fn reconnect_backoff_differs_between_nodes() {
    let mut pauses = Vec::new();
    for seed in ["1f", "2e"] {
        let discovery = ScriptedServer::new().await;
        let mut proxy = ProxyBuilder::new(discovery.address())
            .without("name")
            .without("limits")
            .config("seed", seed)
            .start()
            .await;
        for longest in [100, 200, 400] {
            let (mut connection, _) = discovery.accept_request().await;
            connection.respond("503 Service Unavailable", "", "").await;
            let line = proxy.wait_for_log("retrying in ").await;
            let pause: u64 = line
                .split(' ')
                .rev()
                .nth(1)
                .and_then(|ms| ms.parse().ok())
                .expect("a pause");
            assert!((longest / 2..=longest).contains(&pause), "{line}");
            pauses.push(pause);
        }
    }
    assert_ne!(pauses[..3], pauses[3..]);
}

/// Refusals have made the backoff long; the time without an answer was pause enough.
#[tokio::test]
async fn unanswered_call_is_retried_at_once() {
    let discovery = ScriptedServer::new().await;
    let mut proxy = ProxyBuilder::new(discovery.address()).start().await;
    for _ in 0..5 {
        let (mut connection, _) = discovery.accept_request().await;
        connection.respond("503 Service Unavailable", "", "").await;
    }
    let (mut unanswered, _) = discovery.accept_request().await;
    let line = proxy
        .wait_for_log("silent for too long; retrying in ")
        .await;
    let pause: u64 = line
        .split(' ')
        .rev()
        .nth(1)
        .and_then(|ms| ms.parse().ok())
        .expect("a pause");
    assert!(pause <= 100, "{line}");
    unanswered.expect_closed().await;
    let _ = discovery.accept_request().await;
}

/// Whatever still arrives behind it.
#[tokio::test]
async fn unterminated_list_is_requested_again() {
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, mut watch) = serve(&[("s", &backend)]).await;
    watch
        .send_line("{\"revision\": 2, \"complete\": false, \"members\": [")
        .await;
    let trickling = async {
        while !watch.0.is_closed() {
            watch.send_line("").await;
            tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        }
        std::future::pending::<()>().await;
    };
    let (mut next, request) = tokio::select! {
        () = trickling => unreachable!("it waits"),
        next = discovery.accept_watch() => next,
    };
    assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
    next.send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
}
