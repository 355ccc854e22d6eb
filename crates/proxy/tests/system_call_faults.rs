//! Integration tests of system calls that fail or stall, as Linux documents that they may, and of
//! requests and connections that have to wait.

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

/// The process stalls for longer than it waits for data on a watch. An update that arrived
/// meanwhile must be read before the watch is abandoned as silent.
#[tokio::test]
async fn list_update_received_during_a_stall_is_applied() {
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let (proxy, discovery, mut watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    let epoll_pauses = &faults.control.after_epoll_wait;
    epoll_pauses.pause_next(1, Duration::from_secs(4));
    while epoll_pauses.pause_count() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    watch
        .send_list(2, false, &[endpoint("s", backend.address(), "leaving")])
        .await;
    tokio::select! {
        () = proxy.wait_for_revision(2) => {}
        _ = discovery.accept_request() => panic!("the watch was given up with an unread update"),
    }
}

/// A request arrives while the process closes its connection as idle. It must be left unread: a
/// client sends an unread request again, while one that was read and dropped would be lost.
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
    let shutdown_pauses = &faults.control.before_shutdown;
    shutdown_pauses.pause_next(1, Duration::from_secs(1));
    while shutdown_pauses.pause_count() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    client.send("safe", "20000m").await;
    assert!(
        client.closed_with_unread_bytes().await,
        "the request was read, and got no response"
    );
    // Nothing of it was forwarded, and it is served when sent again.
    let mut again = proxy.connect().await;
    again.send("safe", "20000m").await;
    let request = connection.read().await.expect("the repeated request");
    assert!(request.start_line.starts_with("GET /safe"));
    connection.respond("200 OK", "", "").await;
    again.expect_status(200).await;
}

/// SIGHUP is sent once, so a failed read of the configuration has to be retried.
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
    assert!(request.start_line.starts_with("GET /registry/instances"));
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
    // If the process paused after each of the failures, the request would take nearly a minute.
    let single_connection_errors = [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
    ];
    faults
        .control
        .faults(SystemCall::Accept)
        .fail_next(1000, &single_connection_errors);
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

/// The process's own shortage of descriptors, buffers or ports must not count as a failure of a
/// backend.
#[tokio::test]
async fn request_outlasts_a_transient_descriptor_shortage() {
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let (proxy, _discovery, _watch) = serve_with_faults(&faults, &[("s", &backend)]).await;
    let shortage_errors = [libc::ENFILE, libc::ENOBUFS, libc::EADDRNOTAVAIL];
    faults
        .control
        .faults(SystemCall::Connect)
        .fail_next(5, &shortage_errors);
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    let (mut connection, _) = backend.accept_request().await;
    connection.respond("200 OK", "", "").await;
    client.expect_status(200).await;
}

/// The timeout of each request runs from its own last byte, also while it waits for the response to
/// the request before it.
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
    let listener = FullListener::new().await;
    let discovery = ScriptedServer::new().await;
    let (mut proxy, mut watch) = ProxyBuilder::new(discovery.address())
        .start_ready(&discovery, &[endpoint("s", listener.address(), "active")])
        .await;
    let mut client = proxy.connect().await;
    client.send("unsafe", "20000m").await;
    // Once this call is answered, the request has been read and a connection for it is being
    // opened.
    proxy.get("/health/live").await;
    watch
        .send_list(2, false, &[endpoint("s", listener.address(), "leaving")])
        .await;
    proxy.wait_for_revision(2).await;
    listener.make_room().await;
    client.expect_status(503).await;
    let line = proxy.wait_for_log(" prevented_").await;
    assert!(
        line.contains("stats ") && line.contains(" prevented_Drain="),
        "{line}"
    );
}

/// A connection is reused after a chunked response. If the next request on it gets no response, it
/// may have been executed, and must not be sent to another backend.
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
    let (response, _) = client.read_streamed().await;
    assert_eq!(response.status(), 200);
    // A connection is reused only some time after its response.
    tokio::time::sleep(Duration::from_millis(50)).await;
    client.send("unsafe", "1000m").await;
    connection
        .read()
        .await
        .expect("the next request on the same connection");
    watch
        .send_list(2, false, &[endpoint("two", two.address(), "active")])
        .await;
    client.expect_status(504).await;
    assert!(two.receives_no_connection().await);
}

/// Every read returns only a part of the bytes that have arrived. The rest of a list must not wait
/// until more bytes arrive.
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
        _ = discovery.accept_request() => panic!("the watch was given up with an unread update"),
    }
}

/// A request arrives while its connection waits to be accepted. Its timeout runs from its arrival,
/// and the backend is sent what is left of it.
#[tokio::test]
async fn deadline_runs_while_a_connection_waits_to_be_accepted() {
    let (backend, discovery) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let known = serde_json::json!({"revision": 1, "complete": true, "members": [endpoint("s", backend.address(), "active")]});
    let builder = ProxyBuilder::new(discovery.address()).config("known", known);
    // Discovery never answers: the process waits 0.6 s for its list before it accepts connections.
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

/// Clients send the first half of a request head, and the rest at the moment at which one of their
/// connections is evicted to free its slot. Each request must get a response, or its connection
/// must be reset with unread bytes, so that the client sends it again.
#[tokio::test]
async fn rest_of_a_head_that_crosses_an_eviction_is_not_lost() {
    /// More clients than the process has connection slots.
    const CLIENTS: usize = 60;
    /// The whole head, of which half is sent first.
    const HEAD: &str =
        "GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: r\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n";
    let faults = FaultInjection::new();
    let backend = ScriptedServer::new().await;
    let discovery = ScriptedServer::new().await;
    let (proxy, _watch) = ProxyBuilder::new(discovery.address())
        .configured_descriptors(64)
        .faults(&faults)
        .start_ready(&discovery, &[endpoint("s", backend.address(), "active")])
        .await;
    let backend_task = tokio::spawn(async move {
        loop {
            let mut connection = backend.accept_without_timeout().await;
            tokio::spawn(async move {
                while connection.read().await.is_some() {
                    connection.respond("200 OK", "", "").await;
                }
            });
        }
    });
    // By then the connections on which the test has asked for readiness are closed.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let shutdown_pauses = &faults.control.before_shutdown;
    shutdown_pauses.pause_next(1, Duration::from_secs(1));
    let mut clients = Vec::new();
    while shutdown_pauses.pause_count() == 0 {
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
    let mut reset_connections = 0;
    for client in &mut clients {
        if let Some(response) = client.read().await {
            assert!(
                [200, 503].contains(&response.status()),
                "{}",
                response.start_line
            );
        } else {
            assert!(
                client.closed_with_unread_bytes().await,
                "the request was read, and lost"
            );
            reset_connections += 1;
        }
    }
    assert!(reset_connections > 0, "no head crossed the eviction");
    backend_task.abort();
}
