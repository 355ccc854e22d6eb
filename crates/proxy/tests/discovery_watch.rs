//! The calls to discovery: watches that break or fall silent, and late responses.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;

/// A call that was given up for its silence may be answered all the same: what it tells counts as
/// told.
#[tokio::test]
async fn late_response_to_an_unanswered_call_is_applied() {
    let server = ScriptedServer::new().await;
    let (proxy, discovery, watch) = serve(&[("s", &server)]).await;
    drop(watch);
    let (mut late, _) = discovery.accept_request().await;
    // Only once the first is given up there is a second.
    let (_second, _) = discovery.accept_request().await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let mut late = WatchStream(late);
    late.send_list(2, false, &[endpoint("s", server.address(), "leaving")])
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

/// The next call may be answered first, and its watch end instead of telling: the late answer is
/// heard all the same.
#[tokio::test]
async fn late_response_is_applied_although_the_next_watch_is_open() {
    let server = ScriptedServer::new().await;
    let (proxy, discovery, watch) = serve(&[("s", &server)]).await;
    drop(watch);
    let (mut late, _) = discovery.accept_request().await;
    let (_second, _) = discovery.accept_watch().await;
    // It is open once the proxy has read its head; its pause after that is long enough.
    tokio::time::sleep(Duration::from_millis(200)).await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let mut late = WatchStream(late);
    late.send_list(2, false, &[endpoint("s", server.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
}

/// A whole list leaves out what drains, without being of another version for that.
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
    assert_eq!(client.read().await.expect("an answer").status(), 200);
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
    out.expect_closed().await; // Nothing more goes to a server that is gone, nor is a connection to it kept.
}

/// Of a pushed list all that was missed counts as told once discovery is back: it is asked for
/// often while nobody is there.
#[tokio::test]
async fn unavailable_discovery_is_retried_often() {
    let server = ScriptedServer::new().await;
    let (mut proxy, discovery, watch) = serve(&[("s", &server)]).await;
    watch.0.reset();
    for _ in 0..8 {
        discovery.accept().await.reset();
        let line = proxy.wait_for_log("again in ").await;
        let pause = line
            .rsplit("again in ")
            .next()
            .and_then(|rest| rest.strip_suffix(" ms")?.parse().ok());
        assert!(pause.is_some_and(|pause: u64| pause <= 100), "{line}");
    }
}

/// An empty line is due every 2 s. A watch that has nothing to say any more may be cut off, and
/// news that it misses counts as told all the same.
#[tokio::test]
async fn silent_watch_is_reopened() {
    let server = ScriptedServer::new().await;
    let (_node, discovery, mut watch) = serve(&[("s", &server)]).await;
    let (_next, request) = discovery.accept_watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
    watch.0.expect_closed().await;
}

/// One that takes the place of a silent one may be answered and say nothing, or not be answered at
/// all.
#[tokio::test]
async fn unanswered_watch_is_given_up() {
    let server = ScriptedServer::new().await;
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
            .send_list(1, true, &[endpoint("s", server.address(), "active")])
            .await;
        proxy.wait_until_ready().await;
        let (mut mute, _) = discovery.accept_watch().await;
        let (mut unanswered, _) = discovery.accept_request().await;
        let (mut last, request) = discovery.accept_watch().await;
        assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
        last.send_list(2, false, &[endpoint("s", server.address(), "leaving")])
            .await;
        proxy.wait_for_revision(2).await;
        // What was given up is heard until then, and no longer.
        first.0.expect_closed().await;
        mute.0.expect_closed().await;
        unanswered.expect_closed().await;
    }
}

/// What a watch brought before its end is heeded, however it ends.
#[tokio::test]
async fn update_received_before_a_reset_is_applied() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, mut watch) = serve(&[("s", &server)]).await;
    watch
        .send_list(2, false, &[endpoint("s", server.address(), "leaving")])
        .await;
    watch.0.reset();
    proxy.wait_for_revision(2).await;
}

/// Indented lists are lists, on a watch too, and wherever they are cut.
#[tokio::test]
async fn indented_json_is_read_on_the_watch() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, mut watch) = serve(&[("s", &server)]).await;
    let indented = |revision: u64| {
        let list = json!({"revision": revision, "complete": false, "members": [endpoint("s", server.address(), "leaving")]});
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
    let server = ScriptedServer::new().await;
    let (proxy, discovery, watch) = serve(&[("s", &server)]).await;
    drop(watch);
    let (mut wire, _) = discovery.accept_request().await;
    wire.respond("503 Service Unavailable", "", "").await;
    let (mut watch, _) = discovery.accept_watch().await;
    // A list may come in pieces.
    let list = json!({"revision": 2, "complete": true, "members": []}).to_string();
    let (a, b) = list.split_at(11);
    watch.0.write(&format!("{:x}\r\n{a}\r\n", a.len())).await;
    watch
        .0
        .write(&format!("1\r\n\n\r\n{:x}\r\n{b}\n\r\n", b.len() + 1).replacen("1\r\n\n\r\n", "", 1))
        .await;
    drop(server);
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

/// Where lists come on request, the balancer says when to ask; the end of a watch is a failed call.
#[tokio::test]
async fn polled_discovery_is_called_when_the_balancer_asks() {
    let server = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let mut settings = settings();
    settings["registry_mode"] = json!("subscribe");
    let proxy = ProxyBuilder::new(discovery.address())
        .settings(settings)
        .start()
        .await;
    assert_eq!(proxy.get("/health/ready").await.status(), 503);
    let (mut wire, _) = discovery.accept_request().await;
    wire.respond("503 Service Unavailable", "", "").await;
    let (mut watch, request) = discovery.accept_watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=0 HTTP/1.1");
    watch
        .send_list(1, true, &[endpoint("s", server.address(), "active")])
        .await;
    proxy.wait_until_ready().await;
}

/// Nodes that lose their watches at one moment don't come back in step, however often they are
/// turned away.
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
            let (mut wire, _) = discovery.accept_request().await;
            wire.respond("503 Service Unavailable", "", "").await;
            let line = proxy.wait_for_log("again in ").await;
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

/// What a call has missed that was given up for its silence counts as told in the end: after
/// refusals have made the pauses long it is followed at once. Its silence was a pause.
#[tokio::test]
async fn unanswered_call_is_retried_at_once() {
    let discovery = ScriptedServer::new().await;
    let mut proxy = ProxyBuilder::new(discovery.address()).start().await;
    for _ in 0..5 {
        let (mut wire, _) = discovery.accept_request().await;
        wire.respond("503 Service Unavailable", "", "").await;
    }
    let (mut unanswered, _) = discovery.accept_request().await;
    let line = proxy.wait_for_log("silent for too long; again in ").await;
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

/// A list that has begun and does not end leaves the proxy without what it would have said, whatever
/// still comes behind it.
#[tokio::test]
async fn unterminated_list_is_requested_again() {
    let server = ScriptedServer::new().await;
    let (proxy, discovery, mut watch) = serve(&[("s", &server)]).await;
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
    next.send_list(2, false, &[endpoint("s", server.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
}
