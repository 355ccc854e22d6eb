//! Admin calls: maintenance, drain, and calls that are malformed.

mod common;
use common::*;

/// Sends one request, answers it at whichever backend it reaches and returns that backend's name.
async fn served_by(
    client: &mut Connection,
    backends: &[(&'static str, &ScriptedServer)],
) -> &'static str {
    client.send("safe", "20000m").await;
    let (a, b) = (&backends[0], &backends[1]);
    let (name, (mut connection, _)) = tokio::select! {
        taken = a.1.accept_request() => (a.0, taken),
        taken = b.1.accept_request() => (b.0, taken),
    };
    connection
        .respond("200 OK", "Connection: close\r\n", "")
        .await;
    client.expect_status(200).await;
    name
}

/// Lists may go on naming the backend, drop it and name it again. One `ready` call ends two
/// `maint` calls.
#[tokio::test]
async fn backend_stays_in_maintenance_across_list_updates() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let backends = [("a", &a), ("b", &b)];
    let (proxy, _discovery, mut watch) = serve_with_admin(&backends).await;
    let mut client = proxy.connect().await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    let both = [
        endpoint("a", a.address(), "active"),
        endpoint("b", b.address(), "active"),
    ];
    let lists = [&both[..], &both[1..], &both[..]];
    for (revision, list) in (2..).zip(lists) {
        watch.send_list(revision, true, list).await;
        proxy.wait_for_revision(revision).await;
        for _ in 0..8 {
            assert_eq!(served_by(&mut client, &backends).await, "b");
        }
    }
    assert_eq!(proxy.admin_call("POST", "/backends/a/ready").await, 200);
    while served_by(&mut client, &backends).await != "a" {}
}

/// A backend that the list has dropped may be put back; a list that says it drains still counts.
#[tokio::test]
async fn backend_back_from_maintenance_is_unused_until_listed_active() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let backends = [("a", &a), ("b", &b)];
    let (proxy, _discovery, mut watch) = serve_with_admin(&backends).await;
    let mut client = proxy.connect().await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    watch
        .send_list(2, true, &[endpoint("b", b.address(), "active")])
        .await;
    proxy.wait_for_revision(2).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/ready").await, 200);
    watch
        .send_list(3, false, &[endpoint("a", a.address(), "leaving")])
        .await;
    proxy.wait_for_revision(3).await;
    assert_eq!(
        proxy.admin_call("POST", "/backends/a/ready").await,
        200,
        "it is listed, and nothing is to be done"
    );
    for _ in 0..8 {
        assert_eq!(served_by(&mut client, &backends).await, "b");
    }
    watch
        .send_list(4, false, &[endpoint("a", a.address(), "active")])
        .await;
    proxy.wait_for_revision(4).await;
    while served_by(&mut client, &backends).await != "a" {}
}

#[tokio::test]
async fn backend_in_maintenance_finishes_its_requests() {
    let a = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_admin(&[("a", &a)]).await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut connection, _) = a.accept_request().await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    connection.respond("200 OK", "", "whole").await;
    assert_eq!(client.read().await.expect("an answer").body, b"whole");
    connection.expect_closed().await;
}

#[tokio::test]
async fn invalid_admin_calls_are_rejected() {
    let a = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve_with_admin(&[("a", &a)]).await;
    for (method, path, status) in [
        ("GET", "/healthcheck", 200),
        ("POST", "/backends/nobody/maint", 404),
        ("POST", "/backends/nobody/ready", 404),
        ("POST", "/backends//maint", 404),
        ("POST", "/backends/a/ready", 200),
        ("POST", "/backends/a/reboot", 404),
        ("GET", "/backends/a/maint", 405),
        ("GET", "/healthcheck/fail", 405),
        ("POST", "/healthcheck", 405),
        ("DELETE", "/healthcheck", 405),
        ("GET", "/", 404),
        ("GET", "healthcheck", 404),
    ] {
        assert_eq!(
            proxy.admin_call(method, path).await,
            status,
            "{method} {path}"
        );
    }
    proxy
        .wait_for_log("call=\"POST /backends/nobody/maint\" status=404")
        .await;
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(20 << 10));
    for (text, status) in [("what\r\n\r\n", 400), (long.as_str(), 431)] {
        let mut caller = proxy.connect_admin().await;
        caller.write_until_closed(text).await;
        assert_eq!(caller.read().await.expect("an answer").status(), status);
    }
    // The address for clients has none of these paths.
    assert_eq!(proxy.get("/healthcheck").await.status(), 404);
}

/// There are more idle connections than connection slots; the oldest of them are closed.
#[tokio::test]
async fn idle_admin_connections_do_not_block_operators() {
    let a = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_admin(&[("a", &a)]).await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut caller = proxy.connect_admin().await;
        if n % 2 == 0 {
            caller.write("POST /healthcheck/fa").await;
        }
        silent.push(caller);
    }
    assert_eq!(proxy.admin_call("GET", "/healthcheck").await, 200);
    for mut caller in silent {
        caller.drain_until_closed().await;
    }
}

/// `/health/ready` fails at once, a kept connection ends with its next response and an idle one by
/// itself, and new connections are served while they come.
#[tokio::test]
async fn drain_closes_client_connections_until_it_ends() {
    let a = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_admin(&[("a", &a)]).await;
    let (mut kept, mut idle) = (proxy.connect().await, proxy.connect().await);
    for client in [&mut kept, &mut idle] {
        client.send("safe", "20000m").await;
        let (mut connection, _) = a.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
        assert_eq!(
            client.read().await.expect("an answer").header("connection"),
            None
        );
    }
    for _ in 0..2 {
        assert_eq!(proxy.admin_call("POST", "/healthcheck/fail").await, 200);
    }
    assert_eq!(proxy.get("/health/ready").await.status(), 503);
    assert_eq!(
        proxy.admin_call("GET", "/healthcheck").await,
        200,
        "the process itself is well"
    );
    for client in [&mut kept, &mut proxy.connect().await] {
        client.send("safe", "20000m").await;
        let (mut connection, _) = a.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
        let answer = client.read().await.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        client.expect_closed().await;
    }
    idle.expect_closed().await;
    for _ in 0..2 {
        assert_eq!(proxy.admin_call("POST", "/healthcheck/ok").await, 200);
    }
    assert_eq!(proxy.get("/health/ready").await.status(), 200);
    let mut client = proxy.connect().await;
    for _ in 0..2 {
        client.send("safe", "20000m").await;
        let (mut connection, _) = a.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
        assert_eq!(
            client.read().await.expect("an answer").header("connection"),
            None
        );
    }
}

#[tokio::test]
async fn draining_process_ends_on_sigterm() {
    let a = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve_with_admin(&[("a", &a)]).await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut connection, _) = a.accept_request().await;
    assert_eq!(proxy.admin_call("POST", "/healthcheck/fail").await, 200);
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    assert_eq!(proxy.admin_call("GET", "/healthcheck").await, 503);
    assert_eq!(proxy.admin_call("POST", "/healthcheck/ok").await, 409);
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    assert!(proxy.wait_for_exit().await.success());
}

#[tokio::test]
async fn unusable_admin_address_fails_the_start() {
    let taken = ScriptedServer::new().await;
    for (console, why) in [
        ("here", "console"),
        (&*taken.address().to_string(), "cannot listen on"),
    ] {
        let config = ProxyBuilder::new(unique_address())
            .config("console", console)
            .config_text();
        let ended = run_to_exit(&config, &[]).await;
        assert_eq!(ended.status.code(), Some(1));
        let said = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(said.contains(why), "{said}");
    }
}

/// A backend hangs meanwhile; the process still ends.
#[tokio::test]
async fn sigterm_during_a_drain_leaves_no_request_unanswered() {
    let backend = ScriptedServer::new().await;
    let (mut proxy, _discovery, _watch) = serve_with_admin(&[("s", &backend)]).await;
    let (mut hung, mut served) = (proxy.connect().await, proxy.connect().await);
    hung.send("unsafe", "1500m").await;
    let (_wire, _) = backend.accept_request().await;
    served.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    assert_eq!(proxy.admin_call("POST", "/healthcheck/fail").await, 200);
    proxy.signal("HUP").await;
    proxy.signal("TERM").await;
    proxy.wait_for_log("shutting down").await;
    let answer = hung.read().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (504, Some("close"))
    );
    connection.respond("200 OK", "", "").await;
    let answer = served.read().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(proxy.wait_for_exit().await.success());
}
