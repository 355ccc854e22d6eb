//! Integration tests of the calls to discovery: watches that break or fall silent, late responses,
//! and the pauses between calls.

mod common;
use common::*;
use serde_json::json;
use std::time::Duration;

/// A process must follow every list that discovery has sent it, also on a call that it has
/// abandoned as unanswered. So a late response has to be read and applied.
#[tokio::test]
async fn late_response_to_an_unanswered_call_is_applied() {
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, watch) = serve(&[("s", &backend)]).await;
    drop(watch);
    let (mut late, _) = discovery.accept_request().await;
    // The second call is made only once the first has timed out.
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
            .expect("a response")
            .status(),
        503
    );
}

/// The response to a call that was abandoned has to be read even once the next watch is open, since
/// that watch may end without a list.
#[tokio::test]
async fn late_response_is_applied_although_the_next_watch_is_open() {
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, watch) = serve(&[("s", &backend)]).await;
    drop(watch);
    let (mut late, _) = discovery.accept_request().await;
    let (_second, _) = discovery.accept_watch().await;
    // The watch is open once the process has read the head of its response; the pause is long
    // enough for that.
    tokio::time::sleep(Duration::from_millis(200)).await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let mut late = WatchStream(late);
    late.send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
}

/// A snapshot omits draining endpoints without having a new revision for that. So a late snapshot
/// of the revision that the process already has may still remove backends, and has to be applied.
#[tokio::test]
async fn late_snapshot_of_the_same_revision_is_applied() {
    let (kept, left) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, discovery, watch) = serve(&[("kept", &kept), ("left", &left)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, omitted) = tokio::select! {
        connection = kept.accept_request() => (connection.0, "kept"),
        connection = left.accept_request() => (connection.0, "left"),
    };
    connection.respond("200 OK", "", "").await;
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
    let listed: Vec<_> = members
        .into_iter()
        .filter(|member| member["id"] != omitted)
        .collect();
    WatchStream(late).send_list(1, true, &listed).await;
    // A removed backend receives no more requests, and no connection to it is kept.
    connection.expect_closed().await;
}

/// A process must follow changes of a pushed list as soon as discovery is available again, so it
/// has to call discovery often while that is unavailable.
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

/// Discovery has to send an empty line every 2 s. A watch that receives none may be cut off from
/// updates that the process must follow, so it has to be opened again.
#[tokio::test]
async fn silent_watch_is_reopened() {
    let backend = ScriptedServer::new().await;
    let (_proxy, discovery, mut watch) = serve(&[("s", &backend)]).await;
    let (_next, request) = discovery.accept_watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
    watch.0.expect_closed().await;
}

/// The watch that replaces a silent one may receive nothing either, or not be answered at all. Each
/// of them has to be abandoned and followed by another one.
#[tokio::test]
async fn unanswered_watch_is_given_up() {
    let backend = ScriptedServer::new().await;
    for is_polled in [false, true] {
        let discovery = ScriptedServer::new().await;
        let mut settings = settings();
        settings["registry_mode"] = json!(if is_polled { "subscribe" } else { "automatic" });
        let proxy = ProxyBuilder::new(discovery.address())
            .settings(settings)
            .start()
            .await;
        let (mut first, _) = discovery.accept_watch().await;
        first
            .send_list(1, true, &[endpoint("s", backend.address(), "active")])
            .await;
        proxy.wait_until_ready().await;
        let (mut silent, _) = discovery.accept_watch().await;
        let (mut unanswered, _) = discovery.accept_request().await;
        let (mut last, request) = discovery.accept_watch().await;
        assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
        last.send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
            .await;
        proxy.wait_for_revision(2).await;
        // Calls that were abandoned are read until a later one has received a list, and no longer.
        first.0.expect_closed().await;
        silent.0.expect_closed().await;
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

/// A list may be indented JSON, and may be split into chunks at any byte.
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
    // A list may arrive in several chunks.
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
            .expect("a response")
            .status(),
        503
    );
}

/// Where lists are polled (`registry_mode` is `subscribe`), the process opens a watch only when the
/// balancer asks for one. The end of a watch, or its rejection, is reported to the balancer as a
/// failed call, and the balancer asks for the next one.
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

/// Nodes that lose their watches at the same time must not reconnect in step, however often
/// discovery rejects them.
#[tokio::test]
async fn reconnect_backoff_differs_between_nodes() {
    let mut pauses = Vec::new();
    for seed in ["1f", "2e"] {
        let discovery = ScriptedServer::new().await;
        let mut proxy = ProxyBuilder::new(discovery.address())
            .without_config("name")
            .without_config("limits")
            .config("seed", seed)
            .start()
            .await;
        for max_pause in [100, 200, 400] {
            let (mut connection, _) = discovery.accept_request().await;
            connection.respond("503 Service Unavailable", "", "").await;
            let line = proxy.wait_for_log("retrying in ").await;
            let pause: u64 = line
                .split(' ')
                .rev()
                .nth(1)
                .and_then(|ms| ms.parse().ok())
                .expect("a pause");
            assert!((max_pause / 2..=max_pause).contains(&pause), "{line}");
            pauses.push(pause);
        }
    }
    assert_ne!(pauses[..3], pauses[3..]);
}

/// Rejections have made the backoff long. The time that a call went unanswered counts as a pause,
/// so the next call must follow immediately.
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

/// A list that begins and does not end has to be abandoned and requested again, even if the
/// watch goes on to receive empty lines.
#[tokio::test]
async fn unterminated_list_is_requested_again() {
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, mut watch) = serve(&[("s", &backend)]).await;
    watch
        .send_line("{\"revision\": 2, \"complete\": false, \"members\": [")
        .await;
    let trickle = async {
        while !watch.0.is_closed() {
            watch.send_line("").await;
            tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        }
        std::future::pending::<()>().await;
    };
    let (mut next, request) = tokio::select! {
        () = trickle => unreachable!("the task never ends"),
        next = discovery.accept_watch() => next,
    };
    assert_eq!(request, "GET /registry/instances?follow=1&since=1 HTTP/1.1");
    next.send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
}
