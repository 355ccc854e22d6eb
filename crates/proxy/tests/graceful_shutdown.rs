//! SIGTERM and SIGKILL while requests are in flight.

mod common;
use common::*;

/// Requests that are in flight at SIGTERM, and those that arrive for a moment after it, must be
/// answered before the process exits; otherwise their clients lose them.
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
    idle.expect_closed().await; // The process takes no more requests on it.
    for (connection, client) in [(&mut first, &mut before), (&mut second, &mut after)] {
        connection.respond("200 OK", "", "served").await;
        let response = client.read().await.expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(proxy.wait_for_exit().await.success());
}

/// At SIGTERM the head or the body of a request may be incomplete, on a new connection or on one
/// that is kept alive. Such a request must still be answered. Further signals change nothing.
#[tokio::test]
async fn partially_received_requests_are_answered_during_shutdown() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let head = |id: &str| {
        format!("POST /unsafe HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n")
    };
    let (mut new_connection, mut kept_alive, mut in_body) = (
        proxy.connect().await,
        proxy.connect().await,
        proxy.connect().await,
    );
    kept_alive.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .respond("200 OK", "Connection: close\r\n", "")
        .await;
    kept_alive.expect_status(200).await;
    let mut idle = proxy.connect().await;
    new_connection.write(&head("new")[..30]).await;
    kept_alive.write(&head("kept")[..30]).await;
    in_body
        .write(&(head("body") + "Content-Length: 4\r\n\r\nab"))
        .await;
    proxy.get("/health/live").await; // The partial requests have been read by then.
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    idle.expect_closed().await;
    proxy.signal("TERM").await;
    proxy.signal("HUP").await;
    new_connection
        .write(&(head("new")[30..].to_owned() + "\r\n"))
        .await;
    kept_alive
        .write(&(head("kept")[30..].to_owned() + "\r\n"))
        .await;
    in_body.write("cd").await;
    for _ in 0..3 {
        let (mut connection, _) = backend.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
    }
    for mut client in [new_connection, kept_alive, in_body] {
        let response = client.read().await.expect("a response");
        assert_eq!(
            (response.status(), response.header("connection")),
            (200, Some("close"))
        );
        client.expect_closed().await;
    }
    assert!(proxy.wait_for_exit().await.success());
}

/// A client sends a request on a kept-alive connection while the process decides to close that
/// connection. The process is stopped meanwhile, so it sees both in one turn of its event loop.
/// Closing the connection would lose the request.
#[tokio::test]
async fn request_that_crosses_the_shutdown_of_its_connection_is_answered() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut kept_alive = proxy.connect().await;
    kept_alive.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .respond("200 OK", "Connection: close\r\n", "")
        .await;
    kept_alive.expect_status(200).await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    proxy.signal("STOP").await;
    kept_alive.send("unsafe", "20000m").await;
    // When the process continues, the time to close the connection is past.
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    proxy.signal("CONT").await;
    let (mut connection, _) = backend.accept_request().await;
    connection
        .respond("200 OK", "Connection: close\r\n", "")
        .await;
    kept_alive.expect_status(200).await;
    assert!(proxy.wait_for_exit().await.success());
}

/// While the limit on connections is reached, further ones wait in the kernel's accept queue.
/// Clients take them for established and have sent their requests: closing the listener without
/// accepting them would lose these requests.
#[tokio::test]
async fn accept_backlog_is_served_during_graceful_shutdown() {
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (mut proxy, _watch) = ProxyBuilder::new(discovery.address())
        .configured_descriptors(64)
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
    // Past the time in which connections are accepted. On a slower machine the test may detect
    // less, but does not fail.
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

/// A process that replaces a killed one must be able to listen on its address immediately, although
/// the kernel still holds connections of the old process, and must request a complete endpoint
/// list.
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
