//! Integration tests of the configuration reload on SIGHUP, above all of a changed discovery
//! address.

mod common;
use common::*;
use serde_json::json;

/// Request line of a call that fetches a snapshot of the endpoint list.
const SNAPSHOT_REQUEST: &str = "GET /registry/instances HTTP/1.1";

/// Responds to the call for a snapshot with these members, and accepts the watch that follows it
/// from the snapshot's revision.
async fn serve_snapshot_and_accept_watch(
    discovery: &ScriptedServer,
    revision: u64,
    members: &[serde_json::Value],
) -> WatchStream {
    let (mut connection, request) = discovery.accept_request().await;
    assert_eq!(request.start_line, SNAPSHOT_REQUEST);
    let list = json!({"revision": revision, "complete": true, "members": members});
    connection.respond("200 OK", "", &list.to_string()).await;
    let (watch, request) = discovery.accept_watch().await;
    assert_eq!(
        request,
        format!("GET /registry/instances?follow=1&since={revision} HTTP/1.1")
    );
    watch
}

/// After SIGHUP the discovery address in the file takes precedence over that of the environment
/// variable. Revisions of two discovery services are unrelated: a watch from the old revision would
/// receive changes to a list that the process does not have. So the process fetches a snapshot from
/// the new address first, and closes the old watch once it has received that.
#[tokio::test]
async fn new_discovery_address_is_watched_from_its_snapshot() {
    let (kept, gone, new) = (
        ScriptedServer::new().await,
        ScriptedServer::new().await,
        ScriptedServer::new().await,
    );
    let (first, second, third) = (
        ScriptedServer::new().await,
        ScriptedServer::new().await,
        ScriptedServer::new().await,
    );
    let mut proxy = ProxyBuilder::new(unique_address())
        .without_config("name")
        .without_config("limits")
        .env("GW_DISCOVERY", &first.address().to_string())
        .start()
        .await;
    let (mut watch, _) = first.accept_watch().await;
    let listed = [
        endpoint("kept", kept.address(), "active"),
        endpoint("gone", gone.address(), "active"),
    ];
    watch.send_list(70, true, &listed).await;
    proxy.wait_until_ready().await;

    proxy
        .reconfigure("discovery", json!(second.address().to_string()))
        .await;
    let mut old_watch = watch;
    let mut watch = serve_snapshot_and_accept_watch(&second, 7, &listed[..1]).await;
    proxy.wait_for_revision(7).await;
    old_watch.0.expect_closed().await;
    watch
        .send_list(
            8,
            false,
            &[
                endpoint("new", new.address(), "active"),
                endpoint("kept", kept.address(), "left"),
            ],
        )
        .await;
    proxy.wait_for_revision(8).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = new.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;

    // A reload that changes nothing keeps the watch; the next one moves it to a third address.
    proxy.signal("HUP").await;
    proxy.wait_for_log("configuration reloaded").await;
    proxy
        .reconfigure("discovery", json!(third.address().to_string()))
        .await;
    let _watch = serve_snapshot_and_accept_watch(&third, 1, &[]).await;
    proxy.wait_for_revision(1).await;
    watch.0.expect_closed().await;
    assert!(second.receives_no_connection().await);
}

/// A file with any error in it is not used at all, not even for its valid keys. The process keeps
/// its configuration and its watch until it reads a valid file.
#[tokio::test]
async fn invalid_configuration_changes_nothing() {
    let backend = ScriptedServer::new().await;
    let other = ScriptedServer::new().await;
    let (mut proxy, _discovery, mut watch) = serve(&[("s", &backend)]).await;
    let valid = json!({
        "listen": "127.0.0.1:0", "discovery": other.address().to_string(), "seed": "1f", "settings": settings(),
    });
    let mut invalid_texts = vec![String::new(), valid.to_string().split_at(200).0.to_owned()];
    for (key, value) in [
        ("seed", json!("none")),
        ("discovery", json!("here")),
        ("settings", json!({})),
    ] {
        let mut invalid = valid.clone();
        invalid[key] = value;
        invalid_texts.push(invalid.to_string());
    }
    let mut invalid = valid.clone();
    invalid["settings"]["zone"] = json!(9);
    invalid_texts.push(invalid.to_string());
    for (k, text) in invalid_texts.iter().enumerate() {
        proxy.replace_config(text).await;
        proxy
            .wait_for_log("configuration reload rejected, keeping the current one")
            .await;
        watch.send_list(2 + k as u64, false, &[]).await;
        proxy.wait_for_revision(2 + k as u64).await;
    }
    assert!(other.receives_no_connection().await);
    proxy.replace_config(&valid.to_string()).await;
    let _watch = serve_snapshot_and_accept_watch(&other, 1, &[]).await;
    watch.0.expect_closed().await;
}

/// A process must follow every list that discovery has sent it, also while the process moves to
/// another address. So lists from the old address are applied until the new address has sent its
/// snapshot.
#[tokio::test]
async fn old_discovery_is_watched_until_the_new_one_sent_its_list() {
    let (backend, other) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (mut proxy, _discovery, mut watch) = serve(&[("s", &backend)]).await;
    proxy
        .reconfigure("discovery", json!(other.address().to_string()))
        .await;
    let (mut connection, request) = other.accept_request().await;
    assert_eq!(request.start_line, SNAPSHOT_REQUEST);
    watch
        .send_list(9, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    proxy.wait_for_revision(9).await;
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
    let list = json!({"revision": 3, "complete": true, "members": [endpoint("s", backend.address(), "active")]});
    connection.respond("200 OK", "", &list.to_string()).await;
    watch.0.expect_closed().await;
    let (_watch, request) = other.accept_watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=3 HTTP/1.1");
    proxy.wait_for_revision(3).await;
}

/// The new address may at first respond with an error, with a body that is not a list, or with a
/// delta. The process must request the snapshot again until it receives one.
#[tokio::test]
async fn snapshot_is_requested_until_received() {
    let backend = ScriptedServer::new().await;
    let other = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    proxy
        .reconfigure("discovery", json!(other.address().to_string()))
        .await;
    let changes = json!({"revision": 5, "complete": false, "members": []}).to_string();
    for (status, body) in [
        ("503 Service Unavailable", ""),
        ("200 OK", "[]"),
        ("200 OK", &changes),
    ] {
        let (mut connection, request) = other.accept_request().await;
        assert_eq!(request.start_line, SNAPSHOT_REQUEST);
        connection.respond(status, "", body).await;
    }
    let _watch = serve_snapshot_and_accept_watch(&other, 3, &[]).await;
    proxy.wait_for_revision(3).await;
}

/// Where lists are polled, the process calls a new discovery address immediately, although the
/// balancer has not asked for a list.
#[tokio::test]
async fn polled_discovery_address_is_replaced() {
    let backend = ScriptedServer::new().await;
    let (first, second) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let mut settings = settings();
    settings["registry_mode"] = json!("subscribe");
    let mut proxy = ProxyBuilder::new(first.address())
        .settings(settings)
        .start()
        .await;
    let (mut watch, _) = first.accept_watch().await;
    watch.send_list(9, true, &[]).await;
    proxy.wait_for_revision(9).await;
    proxy
        .reconfigure("discovery", json!(second.address().to_string()))
        .await;
    let _watch =
        serve_snapshot_and_accept_watch(&second, 2, &[endpoint("s", backend.address(), "active")])
            .await;
    proxy.wait_until_ready().await;
    watch.0.expect_closed().await;
}

#[tokio::test]
async fn reload_during_shutdown_is_harmless() {
    let backend = ScriptedServer::new().await;
    let other = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    for _ in 0..3 {
        proxy.signal("HUP").await;
    }
    proxy
        .reconfigure("discovery", json!(other.address().to_string()))
        .await;
    let _watch =
        serve_snapshot_and_accept_watch(&other, 2, &[endpoint("s", backend.address(), "active")])
            .await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    assert!(proxy.wait_for_exit().await.success());
}
