//! System calls that fail or stall, as Linux documents them.

mod common;
use common::*;
use fault_injection::Call;
use std::time::Duration;

/// For a moment the system may be out of anything: that is no reason not to start.
#[tokio::test]
async fn start_retries_transient_failures() {
    let faults = FaultInjection::new();
    let server = ScriptedServer::new().await;
    faults
        .control
        .faults(Call::Socket)
        .fail_next(3, &[libc::ENFILE]);
    faults
        .control
        .faults(Call::Bind)
        .fail_next(2, &[libc::EADDRINUSE]);
    faults
        .control
        .faults(Call::Listen)
        .fail_next(2, &[libc::EADDRINUSE]);
    faults
        .control
        .faults(Call::OpenRead)
        .fail_next(2, &[libc::ENFILE]);
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &server)]).await;
    for call in [Call::Socket, Call::Bind, Call::Listen, Call::OpenRead] {
        assert_eq!(
            faults.control.faults(call).left(),
            0,
            "{call:?} was not made"
        );
    }
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut wire, _) = server.accept_request().await;
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// A change that discovery has written counts as told, also where the proxy is held up just then for
/// longer than it would wait for the watch to say anything.
#[tokio::test]
async fn list_update_received_during_a_stall_is_applied() {
    let faults = FaultInjection::new();
    let server = ScriptedServer::new().await;
    let (proxy, discovery, mut watch) = serve_with_faults(&faults, &[("s", &server)]).await;
    let held_up = &faults.control.after_wait;
    held_up.pause_next(1, Duration::from_secs(4));
    while held_up.begun() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    watch
        .send_list(2, false, &[endpoint("s", server.address(), "leaving")])
        .await;
    tokio::select! {
        () = proxy.wait_for_revision(2) => {}
        _ = discovery.accept_request() => panic!("the watch was given up with a change on it"),
    }
}

/// What comes in the very moment in which a resting connection is closed was not read: its client
/// sends it again. Read and thrown away it would be lost.
#[tokio::test]
async fn request_that_crosses_an_idle_close_is_not_read() {
    let faults = FaultInjection::new();
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &server)]).await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut wire, _) = server.accept_request().await;
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    let closing = &faults.control.before_shutdown;
    closing.pause_next(1, Duration::from_secs(1));
    while closing.begun() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    client.send("safe", "20000m").await;
    assert!(
        client.closed_over_unread_bytes().await,
        "the request was read, and has no answer"
    );
    // Nothing of it went on, and it is served where it is sent again.
    let mut again = proxy.connect().await;
    again.send("safe", "20000m").await;
    let request = wire.read().await.expect("the repeated request");
    assert!(request.start.starts_with("GET /safe"));
    wire.respond("200 OK", "", "").await;
    assert_eq!(again.read().await.expect("an answer").status(), 200);
}

/// SIGHUP comes once: a configuration that can't be read for a moment is read a moment later.
#[tokio::test]
async fn reload_retries_a_transient_read_failure() {
    let faults = FaultInjection::new();
    let (server, other) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (mut proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &server)]).await;
    faults
        .control
        .faults(Call::OpenRead)
        .fail_next(3, &[libc::ENFILE, libc::EIO]);
    proxy
        .reconfigure("discovery", serde_json::json!(other.address().to_string()))
        .await;
    let (_, request) = other.accept_request().await;
    assert!(request.start.starts_with("GET /registry/instances"));
    assert_eq!(faults.control.faults(Call::OpenRead).left(), 0);
}

/// A connection that ended before it was accepted says nothing of the next one, which may be taken
/// at once.
#[tokio::test]
async fn connection_aborted_before_accept_delays_no_other() {
    let faults = FaultInjection::new();
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &server)]).await;
    // With a pause behind each of them it would take nearly a minute.
    let ended = [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
    ];
    faults.control.faults(Call::Accept).fail_next(1000, &ended);
    let mut client = proxy.connect().await;
    client.send("safe", "60000m").await;
    let (mut wire, _) = server.accept_request().await;
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    assert_eq!(faults.control.faults(Call::Accept).left(), 0);
}

/// What the proxy itself runs out of for a moment says nothing of a server, and fails no request
/// that can wait a moment.
#[tokio::test]
async fn request_outlasts_a_transient_descriptor_shortage() {
    let faults = FaultInjection::new();
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &server)]).await;
    let short = [libc::ENFILE, libc::ENOBUFS, libc::EADDRNOTAVAIL];
    faults.control.faults(Call::Connect).fail_next(5, &short);
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.accept_request().await;
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// Of requests in a row on one connection each has its time from its own last byte, also the one
/// that waits for another.
#[tokio::test]
async fn deadline_runs_while_a_pipelined_request_waits() {
    let server = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &server)]).await;
    let mut client = proxy.connect().await;
    let request = |id: &str| {
        format!("GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n")
    };
    client.write(&(request("row-1") + &request("row-2"))).await;
    let (mut wire, _) = server.accept_request().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    wire.respond("200 OK", "", "").await;
    let second = wire.read().await.expect("the second request");
    let told = second
        .header("x-timeout")
        .and_then(|told| told.strip_suffix('u')?.parse().ok());
    assert!(
        told.is_some_and(|told: u64| told <= 19_150_000),
        "{told:?} us told, 19 s are left"
    );
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// What a rule has held back is counted by rule.
#[tokio::test]
async fn prevented_invariant_violations_are_counted() {
    let (listener, address, filling) = full_listener().await;
    let discovery = ScriptedServer::new().await;
    let (mut proxy, mut watch) = ProxyBuilder::new(discovery.address())
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
    assert_eq!(client.read().await.expect("an answer").status(), 503);
    let line = proxy.wait_for_log(" prevented_").await;
    assert!(
        line.contains("stats ") && line.contains(" prevented_Drain="),
        "{line}"
    );
}

/// A connection on which a chunked answer came is used again. What was written on it may have run
/// all the same.
#[tokio::test]
async fn request_after_a_chunked_response_counts_as_possibly_executed() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, mut watch) = serve(&[("one", &one)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = one.accept_request().await;
    wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
        .await;
    let (answer, _) = client.read_streamed().await;
    assert_eq!(answer.status(), 200);
    tokio::time::sleep(Duration::from_millis(50)).await; // It rests before it is used again.
    client.send("unsafe", "1000m").await;
    wire.read()
        .await
        .expect("the next request on the same connection");
    watch
        .send_list(2, false, &[endpoint("two", two.address(), "active")])
        .await;
    assert_eq!(client.read().await.expect("an answer").status(), 504);
    assert!(two.is_untouched().await);
}

/// A read may be short without anything being wrong: what is left is read at once, not with the
/// next bytes that come.
#[tokio::test]
async fn list_is_read_to_its_end_despite_short_reads() {
    let faults = FaultInjection::new();
    let server = ScriptedServer::new().await;
    let (proxy, discovery, mut watch) = serve_with_faults(&faults, &[("s", &server)]).await;
    faults.control.short_rate.store(
        fault_injection::MILLION,
        std::sync::atomic::Ordering::SeqCst,
    );
    watch
        .send_list(2, false, &[endpoint("s", server.address(), "leaving")])
        .await;
    tokio::select! {
        () = proxy.wait_for_revision(2) => {}
        _ = discovery.accept_request() => panic!("the watch was given up with a change on it"),
    }
}

/// A request that came while a new process did not accept yet has waited: its server is told what
/// is left.
#[tokio::test]
async fn deadline_runs_while_a_connection_waits_to_be_accepted() {
    let (server, discovery) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let known = serde_json::json!({"revision": 1, "complete": true, "members": [endpoint("s", server.address(), "active")]});
    let builder = ProxyBuilder::new(discovery.address()).config("known", known);
    // Discovery never answers: the process waits 0.6 s for its list.
    let proxy = builder.start().await;
    let _first = proxy.connect().await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut wire, request) = server.accept_request().await;
    let told = request
        .header("x-timeout")
        .and_then(|told| told.strip_suffix('u')?.parse().ok());
    assert!(
        told.is_some_and(|told: u64| told <= 19_550_000),
        "{told:?} us told, 19.4 s are left"
    );
    wire.respond("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}
