//! SIGTERM and SIGKILL under load.

mod common;
use common::*;

/// Requests in flight and those that arrive for a moment after the signal are answered first.
#[tokio::test]
async fn sigterm_ends_the_process_after_the_last_response() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut idle = proxy.connect().await;
    let mut before = proxy.connect().await;
    before.send("unsafe", "20000m").await;
    let (mut first, _) = backend.accept_request().await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    assert_eq!(proxy.get("/health/ready").await.status(), 503);
    let mut after = proxy.connect().await;
    after.send("unsafe", "20000m").await;
    let (mut second, _) = backend.accept_request().await;
    idle.expect_closed().await; // It takes no more.
    for (connection, client) in [(&mut first, &mut before), (&mut second, &mut after)] {
        connection.respond("200 OK", "", "served").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(proxy.wait_for_exit().await.success());
}

/// A head or a body may be incomplete at SIGTERM, on a kept connection too. Further signals change
/// nothing.
#[tokio::test]
async fn partially_received_requests_are_answered_during_shutdown() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let head = |id: &str| {
        format!("POST /unsafe HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n")
    };
    let (mut new, mut kept, mut body) = (
        proxy.connect().await,
        proxy.connect().await,
        proxy.connect().await,
    );
    kept.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .respond("200 OK", "Connection: close\r\n", "")
        .await;
    kept.expect_status(200).await;
    let mut idle = proxy.connect().await;
    new.write(&head("new")[..30]).await;
    kept.write(&head("kept")[..30]).await;
    body.write(&(head("body") + "Content-Length: 4\r\n\r\nab"))
        .await;
    proxy.get("/health/live").await; // They have been read by now.
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    idle.expect_closed().await;
    proxy.signal("TERM").await;
    proxy.signal("HUP").await;
    new.write(&(head("new")[30..].to_owned() + "\r\n")).await;
    kept.write(&(head("kept")[30..].to_owned() + "\r\n")).await;
    body.write("cd").await;
    for _ in 0..3 {
        let (mut connection, _) = backend.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
    }
    for mut client in [new, kept, body] {
        let answer = client.read().await.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        client.expect_closed().await;
    }
    assert!(proxy.wait_for_exit().await.success());
}

/// The process sees a request on a kept connection and the close of that connection in one turn.
#[tokio::test]
async fn request_that_crosses_the_shutdown_of_its_connection_is_answered() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut kept = proxy.connect().await;
    kept.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .respond("200 OK", "Connection: close\r\n", "")
        .await;
    kept.expect_status(200).await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    proxy.signal("STOP").await;
    kept.send("unsafe", "20000m").await;
    tokio::time::sleep(std::time::Duration::from_secs(1)).await; // It is past the closing when it goes on.
    proxy.signal("CONT").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .respond("200 OK", "Connection: close\r\n", "")
        .await;
    kept.expect_status(200).await;
    assert!(proxy.wait_for_exit().await.success());
}

/// The kernel has accepted these connections: closing them would lose their requests.
#[tokio::test]
async fn accept_backlog_is_served_during_graceful_shutdown() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (mut proxy, _watch) = ProxyBuilder::new(discovery.address())
        .descriptors(64)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let mut busy = Vec::new();
    let mut connections = Vec::new();
    for _ in 0..16 {
        let mut client = proxy.connect().await;
        client.send("unsafe", "20000m").await;
        connections.push(backend.accept_request().await.0);
        busy.push(client);
    }
    let mut waiting = proxy.connect().await;
    waiting.send("unsafe", "20000m").await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    // Past the time in which connections are accepted; on a slower machine the test only sees less.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    for (connection, client) in connections.iter_mut().zip(&mut busy) {
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
        client.expect_status(200).await;
    }
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    waiting.expect_status(200).await;
    assert!(proxy.wait_for_exit().await.success());
}

/// At once, although the kernel still holds its old connections.
#[tokio::test]
async fn killed_process_restarts_on_the_same_address() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (mut killed, _watch) = ProxyBuilder::new(discovery.address())
        .listen(unique_address())
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let mut client = killed.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    killed.signal("KILL").await;
    assert!(!killed.wait_for_exit().await.success());
    connection.expect_closed().await;
    let proxy = ProxyBuilder::new(discovery.address())
        .listen(killed.address)
        .start()
        .await;
    let (mut watch, request) = discovery.accept_watch().await;
    assert_eq!(request, "GET /registry/instances?follow=1&since=0 HTTP/1.1");
    watch
        .send_list(1, true, &[endpoint("s", backend.address(), "active")])
        .await;
    proxy.wait_until_ready().await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}
