//! System calls that fail or stall, as Linux documents them.

mod common;
use common::*;
use fault_injection::SystemCall;
use std::time::Duration;

#[tokio::test]
async fn start_retries_transient_failures() {
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    faults
        .control
        .faults(SystemCall::Socket)
        .fail_next(3, &[libc::ENFILE]);
    faults
        .control
        .faults(SystemCall::Bind)
        .fail_next(2, &[libc::EADDRINUSE]);
    faults
        .control
        .faults(SystemCall::Listen)
        .fail_next(2, &[libc::EADDRINUSE]);
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_next(2, &[libc::ENFILE]);
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    for call in [
        SystemCall::Socket,
        SystemCall::Bind,
        SystemCall::Listen,
        SystemCall::OpenRead,
    ] {
        assert_eq!(
            faults.control.faults(call).remaining_failures(),
            0,
            "{call:?} was not made"
        );
    }
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// The process is stopped for longer than it would wait for the watch.
#[tokio::test]
async fn list_update_received_during_a_stall_is_applied() {
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, mut watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    let held_up = &faults.control.after_epoll_wait;
    held_up.pause_next(1, Duration::from_secs(4));
    while held_up.pause_count() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    watch
        .send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    tokio::select! {
        () = proxy.wait_for_revision(2) => {}
        _ = discovery.accept_request() => panic!("the watch was given up with a change on it"),
    }
}

/// The client sends an unread request again; one that was read and dropped would be lost.
#[tokio::test]
async fn request_that_crosses_an_idle_close_is_not_read() {
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    let closing = &faults.control.before_shutdown;
    closing.pause_next(1, Duration::from_secs(1));
    while closing.pause_count() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    client.send("safe", "20000m").await;
    assert!(
        client.closed_over_unread_bytes().await,
        "the request was read, and has no answer"
    );
    // Nothing of it was forwarded, and it is served when sent again.
    let mut again = proxy.connect().await;
    again.send("safe", "20000m").await;
    let request = connection.read().await.expect("the repeated request");
    assert!(request.start.starts_with("GET /safe"));
    connection.respond("200 OK", "", "").await;
    again.expect_status(200).await;
}

/// SIGHUP comes once.
#[tokio::test]
async fn reload_retries_a_transient_read_failure() {
    let faults = FaultInjection::new();
    let (backend, other) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (mut proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_next(3, &[libc::ENFILE, libc::EIO]);
    proxy
        .reconfigure("discovery", serde_json::json!(other.address().to_string()))
        .await;
    let (_, request) = other.accept_request().await;
    assert!(request.start.starts_with("GET /registry/instances"));
    assert_eq!(
        faults
            .control
            .faults(SystemCall::OpenRead)
            .remaining_failures(),
        0
    );
}

#[tokio::test]
async fn connection_aborted_before_accept_delays_no_other() {
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    // With a pause after each it would take nearly a minute.
    let ended = [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
    ];
    faults
        .control
        .faults(SystemCall::Accept)
        .fail_next(1000, &ended);
    let mut client = proxy.connect().await;
    client.send("safe", "60000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
    assert_eq!(
        faults
            .control
            .faults(SystemCall::Accept)
            .remaining_failures(),
        0
    );
}

/// The process's own shortage is no failure of a backend.
#[tokio::test]
async fn request_outlasts_a_transient_descriptor_shortage() {
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    let short = [libc::ENFILE, libc::ENOBUFS, libc::EADDRNOTAVAIL];
    faults
        .control
        .faults(SystemCall::Connect)
        .fail_next(5, &short);
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// Each request's time runs from its own last byte.
#[tokio::test]
async fn deadline_runs_while_a_pipelined_request_waits() {
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve(&[("s", &backend)]).await;
    let mut client = proxy.connect().await;
    let request = |id: &str| {
        format!("GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n")
    };
    client.write(&(request("row-1") + &request("row-2"))).await;
    let (mut connection, _) = backend.accept_request().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    connection.respond("200 OK", "", "").await;
    let second = connection.read().await.expect("the second request");
    let timeout_us = second
        .header("x-timeout")
        .and_then(|timeout_us| timeout_us.strip_suffix('u')?.parse().ok());
    assert!(
        timeout_us.is_some_and(|timeout_us: u64| timeout_us <= 19_150_000),
        "{timeout_us:?} us stated, 19 s are left"
    );
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

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
    client.expect_status(503).await;
    let line = proxy.wait_for_log(" prevented_").await;
    assert!(
        line.contains("stats ") && line.contains(" prevented_Drain="),
        "{line}"
    );
}

/// The connection is reused.
#[tokio::test]
async fn request_after_a_chunked_response_counts_as_possibly_executed() {
    let (one, two) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let (proxy, _discovery, mut watch) = serve(&[("one", &one)]).await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = one.accept_request().await;
    connection
        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
        .await;
    let (answer, _) = client.read_streamed().await;
    assert_eq!(answer.status(), 200);
    tokio::time::sleep(Duration::from_millis(50)).await; // It rests before it is used again.
    client.send("unsafe", "1000m").await;
    connection
        .read()
        .await
        .expect("the next request on the same connection");
    watch
        .send_list(2, false, &[endpoint("two", two.address(), "active")])
        .await;
    client.expect_status(504).await;
    assert!(two.is_untouched().await);
}

/// The rest must not wait for the next bytes to arrive.
#[tokio::test]
async fn list_is_read_to_its_end_despite_short_reads() {
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, mut watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    faults.control.set_short_io_rate(fault_injection::ALWAYS);
    watch
        .send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    tokio::select! {
        () = proxy.wait_for_revision(2) => {}
        _ = discovery.accept_request() => panic!("the watch was given up with a change on it"),
    }
}

/// The backend is told what is left.
#[tokio::test]
async fn deadline_runs_while_a_connection_waits_to_be_accepted() {
    let (backend, discovery) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let known = serde_json::json!({"revision": 1, "complete": true, "members": [endpoint("s", backend.address(), "active")]});
    let builder = ProxyBuilder::new(discovery.address()).config("known", known);
    // Discovery never answers: the process waits 0.6 s for its list.
    let proxy = builder.start().await;
    let _first = proxy.connect().await;
    let mut client = proxy.connect().await;
    client.send("safe", "20000m").await;
    let (mut connection, request) = backend.accept_request().await;
    let timeout_us = request
        .header("x-timeout")
        .and_then(|timeout_us| timeout_us.strip_suffix('u')?.parse().ok());
    assert!(
        timeout_us.is_some_and(|timeout_us: u64| timeout_us <= 19_550_000),
        "{timeout_us:?} us stated, 19.4 s are left"
    );
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// The rest of each head arrives in the moment in which a connection is closed to make room: a request
/// is answered, or its connection is reset over unread bytes, so that the client sends it again.
#[tokio::test]
async fn rest_of_a_head_that_crosses_an_eviction_is_not_lost() {
    /// More than the process has slots.
    const CLIENTS: usize = 60;
    /// The whole head, of which half is sent first.
    const HEAD: &str =
        "GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: r\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n";
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .descriptors(64)
        .faults(&faults)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let serving = tokio::spawn(async move {
        loop {
            let mut connection = backend.accept_when_it_comes().await;
            tokio::spawn(async move {
                while connection.read().await.is_some() {
                    connection.respond("200 OK", "", "").await;
                }
            });
        }
    });
    // The connections by which the test has asked for readiness are closed by then.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let closing = &faults.control.before_shutdown;
    closing.pause_next(1, Duration::from_secs(1));
    let mut clients = Vec::new();
    while closing.pause_count() == 0 {
        assert!(clients.len() < CLIENTS, "no connection is evicted");
        let mut client = proxy.connect().await;
        client.write(&HEAD[..HEAD.len() / 2]).await;
        clients.push(client);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for (number, client) in clients.iter_mut().enumerate() {
        let rest = HEAD[HEAD.len() / 2..].replace("r\r\n", &format!("r{number}\r\n"));
        client.write_until_closed(&rest).await;
    }
    let mut reset = 0;
    for client in &mut clients {
        if let Some(answer) = client.read().await {
            assert!([200, 503].contains(&answer.status()), "{}", answer.start);
        } else {
            assert!(client.closed_over_unread_bytes().await, "read, and lost");
            reset += 1;
        }
    }
    assert!(reset > 0, "nothing crossed the eviction");
    serving.abort();
}
