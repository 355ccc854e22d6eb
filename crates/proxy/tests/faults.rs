//! System calls that fail, stall or tell another time, as Linux documents them.

mod common;
use common::*;
use fault_injection::SystemCall;
use std::time::Duration;

/// For a moment the system may be out of anything: that is no reason not to start.
#[tokio::test]
async fn a_start_survives_calls_that_fail_for_a_moment() {
    let faults = FaultyCalls::new();
    let server = Peer::new().await;
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
    let (node, _discovery, _watch) = Node::faulty(&faults, &[("s", &server)]).await;
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
    let mut client = node.client().await;
    client.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// A change that discovery has written counts as told, also where the node is held up just then for
/// longer than it would wait for the watch to say anything.
#[tokio::test]
async fn a_change_that_came_while_the_node_was_held_up_is_taken() {
    let faults = FaultyCalls::new();
    let server = Peer::new().await;
    let (node, discovery, mut watch) = Node::faulty(&faults, &[("s", &server)]).await;
    let held_up = &faults.control.after_epoll_wait;
    held_up.pause_next(1, Duration::from_secs(4));
    while held_up.pause_count() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    watch
        .list(2, false, &[member("s", server.address(), "leaving")])
        .await;
    tokio::select! {
        () = node.holds(2) => {}
        _ = discovery.request() => panic!("the watch was given up with a change on it"),
    }
}

/// What comes in the very moment in which a resting connection is closed was not read: its client
/// sends it again. Read and thrown away it would be lost.
#[tokio::test]
async fn a_request_that_crosses_the_idle_close_is_not_read() {
    let faults = FaultyCalls::new();
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::faulty(&faults, &[("s", &server)]).await;
    let mut client = node.client().await;
    client.send("safe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    let closing = &faults.control.before_shutdown;
    closing.pause_next(1, Duration::from_secs(1));
    while closing.pause_count() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    client.send("safe", "20000m").await;
    assert!(
        client.ended_unread().await,
        "the request was read, and has no answer"
    );
    // Nothing of it went on, and it is served where it is sent again.
    let mut again = node.client().await;
    again.send("safe", "20000m").await;
    let request = wire.read().await.expect("the repeated request");
    assert!(request.start.starts_with("GET /safe"));
    wire.answer("200 OK", "", "").await;
    assert_eq!(again.read().await.expect("an answer").status(), 200);
}

/// SIGHUP comes once: a configuration that can't be read for a moment is read a moment later.
#[tokio::test]
async fn a_configuration_that_cannot_be_read_for_a_moment_is_read_again() {
    let faults = FaultyCalls::new();
    let (server, other) = (Peer::new().await, Peer::new().await);
    let (mut node, _discovery, _watch) = Node::faulty(&faults, &[("s", &server)]).await;
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_next(3, &[libc::ENFILE, libc::EIO]);
    node.reconfigure("discovery", serde_json::json!(other.address().to_string()))
        .await;
    let (_, request) = other.request().await;
    assert!(request.start.starts_with("GET /registry/instances"));
    assert_eq!(
        faults
            .control
            .faults(SystemCall::OpenRead)
            .remaining_failures(),
        0
    );
}

/// A connection that ended before it was accepted says nothing of the next one, which may be taken
/// at once.
#[tokio::test]
async fn a_connection_that_ends_before_it_is_accepted_keeps_nobody_waiting() {
    let faults = FaultyCalls::new();
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::faulty(&faults, &[("s", &server)]).await;
    // With a pause behind each of them it would take nearly a minute.
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
    let mut client = node.client().await;
    client.send("safe", "60000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    assert_eq!(
        faults
            .control
            .faults(SystemCall::Accept)
            .remaining_failures(),
        0
    );
}

/// What the node itself runs out of for a moment says nothing of a server, and fails no request
/// that can wait a moment.
#[tokio::test]
async fn a_request_outlasts_a_shortage_of_the_nodes_own() {
    let faults = FaultyCalls::new();
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::faulty(&faults, &[("s", &server)]).await;
    let short = [libc::ENFILE, libc::ENOBUFS, libc::EADDRNOTAVAIL];
    faults
        .control
        .faults(SystemCall::Connect)
        .fail_next(5, &short);
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// A call that was given up for its silence may be answered all the same: what it tells counts as
/// told.
#[tokio::test]
async fn a_late_answer_of_discovery_is_heard_beside_the_next_call() {
    let server = Peer::new().await;
    let (node, discovery, watch) = Node::serving(&[("s", &server)]).await;
    drop(watch);
    let (mut late, _) = discovery.request().await;
    // Only once the first is given up there is a second.
    let (_second, _) = discovery.request().await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let mut late = Watch(late);
    late.list(2, false, &[member("s", server.address(), "leaving")])
        .await;
    node.holds(2).await;
    assert_eq!(
        node.client()
            .await
            .ask("safe")
            .await
            .expect("an answer")
            .status(),
        503
    );
}

/// The next call may be answered first, and its watch end instead of telling: the late answer is
/// heard all the same.
#[tokio::test]
async fn a_late_answer_is_heard_although_the_next_watch_is_open() {
    let server = Peer::new().await;
    let (node, discovery, watch) = Node::serving(&[("s", &server)]).await;
    drop(watch);
    let (mut late, _) = discovery.request().await;
    let (_second, _) = discovery.watch().await;
    // It is open once the node has read its head; its pause after that is long enough.
    tokio::time::sleep(Duration::from_millis(200)).await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let mut late = Watch(late);
    late.list(2, false, &[member("s", server.address(), "leaving")])
        .await;
    node.holds(2).await;
}

/// A whole list leaves out what drains, without being of another version for that.
#[tokio::test]
async fn a_late_whole_list_of_the_same_version_is_heard() {
    let (kept, left) = (Peer::new().await, Peer::new().await);
    let (node, discovery, watch) = Node::serving(&[("kept", &kept), ("left", &left)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut out, drains) = tokio::select! {
        out = kept.request() => (out.0, "kept"),
        out = left.request() => (out.0, "left"),
    };
    out.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    drop(watch);
    let (mut late, _) = discovery.request().await;
    let (_second, _) = discovery.request().await;
    late.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await;
    let members = [
        member("kept", kept.address(), "active"),
        member("left", left.address(), "active"),
    ];
    let named: Vec<_> = members
        .into_iter()
        .filter(|member| member["id"] != drains)
        .collect();
    Watch(late).list(1, true, &named).await;
    out.closed().await; // Nothing more goes to a server that is gone, nor is a connection to it kept.
}

/// How warm the `stats` line says that a server is.
async fn warmth(node: &mut Node, server: u32) -> f64 {
    let mut client = node.client().await;
    client.send("safe", "1m").await; // A line is written only where something has happened.
    let line = node.logged("stats ").await;
    let (_, rest) = line
        .split_once(&format!(" {server}:weight="))
        .expect("the server's figures");
    let (_, rest) = rest.split_once("available_capacity=").expect("its warmth");
    rest.split(',')
        .next()
        .and_then(|figure| figure.parse().ok())
        .expect("a number")
}

/// Unix time in milliseconds, off by so many seconds.
fn stamp(off: i64) -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a clock");
    u64::try_from(now.as_millis() as i64 + off * 1000).expect("a time after 1970")
}

/// Steps of a machine's wall clock, in seconds.
const STEPS: [i64; 4] = [3600, -3600, 7, -7];

/// A node whose servers take long to warm up, and warm up from a tenth.
async fn slow_to_warm(faults: &FaultyCalls, members: &[serde_json::Value]) -> (Node, Watch) {
    let discovery = Peer::new().await;
    let mut settings = settings();
    settings["rules"]["cold_from"] = serde_json::json!(0.1);
    settings["rules"]["warm_up_ns"] = serde_json::json!(1_000_000_000_000u64);
    let config = serde_json::json!({
        "name": "n", "listen": "127.0.0.1:0", "seed": "1f", "discovery": discovery.address().to_string(),
        "limits": {"sockets": 1024, "memory_mb": MEMORY_MB}, "settings": settings,
    });
    let node = Node::told(config, &faults.variables()).await;
    let (mut watch, _) = discovery.watch().await;
    watch.list(1, true, members).await;
    node.holds(1).await;
    (node, watch)
}

fn stamped(server: &Peer, stamp: u64) -> serde_json::Value {
    let mut member = member("s", server.address(), "active");
    member["up_since_ms"] = serde_json::json!(stamp);
    member
}

/// A server that has just started is cold, however far the clock of this machine was stepped before
/// the process began.
#[tokio::test]
async fn a_young_server_is_cold_whatever_the_clock_was_at_the_start() {
    let server = Peer::new().await;
    for step in STEPS {
        let faults = FaultyCalls::new();
        faults.control.step_wall_clock(step);
        let (mut node, _watch) = slow_to_warm(&faults, &[stamped(&server, stamp(0))]).await;
        let warmth = warmth(&mut node, 0).await;
        assert!(
            (0.1..0.2).contains(&warmth),
            "{warmth} at a step of {step} s"
        );
    }
}

/// A server that restarts is cold from then on and not for longer, however the clock by which it is
/// stamped was stepped.
#[tokio::test]
async fn a_restart_is_seen_whichever_way_its_stamp_goes() {
    let server = Peer::new().await;
    for step in STEPS {
        let faults = FaultyCalls::new();
        let (mut node, mut watch) = slow_to_warm(
            &faults,
            &[
                stamped(&server, stamp(-20_000)),
                member("t", server.address(), "active"),
            ],
        )
        .await;
        faults.control.step_wall_clock(step);
        watch
            .list(2, false, &[stamped(&server, stamp(-20_000 + step))])
            .await;
        node.holds(2).await;
        let warmth = warmth(&mut node, 0).await;
        assert!(
            (0.1..0.2).contains(&warmth),
            "{warmth} at a step of {step} s"
        );
    }
}

/// Of requests in a row on one connection each has its time from its own last byte, also the one
/// that waits for another.
#[tokio::test]
async fn the_time_of_a_request_runs_while_it_waits_for_the_one_before() {
    let server = Peer::new().await;
    let (node, _discovery, _watch) = Node::serving(&[("s", &server)]).await;
    let mut client = node.client().await;
    let request = |id: &str| {
        format!("GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Tenant-Id: one\r\n\r\n")
    };
    client.write(&(request("row-1") + &request("row-2"))).await;
    let (mut wire, _) = server.request().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    wire.answer("200 OK", "", "").await;
    let second = wire.read().await.expect("the second request");
    let told = second
        .header("x-timeout")
        .and_then(|told| told.strip_suffix('u')?.parse().ok());
    assert!(
        told.is_some_and(|told: u64| told <= 19_150_000),
        "{told:?} us told, 19 s are left"
    );
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}

/// What a rule has held back is counted by rule.
#[tokio::test]
async fn what_a_rule_holds_back_is_counted() {
    let (listener, address, filling) = full_listener().await;
    let discovery = Peer::new().await;
    let mut node = Node::with(&discovery, settings(), 1024).await;
    let (mut watch, _) = discovery.watch().await;
    watch.list(1, true, &[member("s", address, "active")]).await;
    node.ready().await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    node.get("/health/live").await; // The request has been read, and its connection is under way.
    watch
        .list(2, false, &[member("s", address, "leaving")])
        .await;
    node.holds(2).await;
    for _ in 0..filling.len() {
        within("a connection", listener.accept())
            .await
            .expect("a connection");
    }
    assert_eq!(client.read().await.expect("an answer").status(), 503);
    let line = node.logged(" prevented_").await;
    assert!(
        line.contains("stats ") && line.contains(" prevented_Drain="),
        "{line}"
    );
}

/// A connection on which a chunked answer came is used again. What was written on it may have run
/// all the same.
#[tokio::test]
async fn a_request_behind_a_chunked_answer_may_have_run() {
    let (one, two) = (Peer::new().await, Peer::new().await);
    let (node, _discovery, mut watch) = Node::serving(&[("one", &one)]).await;
    let mut client = node.client().await;
    client.send("unsafe", "20000m").await;
    let (mut wire, _) = one.request().await;
    wire.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
        .await;
    let (answer, _) = client.read_large().await;
    assert_eq!(answer.status(), 200);
    tokio::time::sleep(Duration::from_millis(50)).await; // It rests before it is used again.
    client.send("unsafe", "1000m").await;
    wire.read()
        .await
        .expect("the next request on the same connection");
    watch
        .list(2, false, &[member("two", two.address(), "active")])
        .await;
    assert_eq!(client.read().await.expect("an answer").status(), 504);
    assert!(two.untouched().await);
}

/// Of a pushed list all that was missed counts as told once discovery is back: it is asked for
/// often while nobody is there.
#[tokio::test]
async fn a_discovery_that_is_down_is_asked_often() {
    let server = Peer::new().await;
    let (mut node, discovery, watch) = Node::serving(&[("s", &server)]).await;
    watch.0.reset();
    for _ in 0..8 {
        discovery.accept().await.reset();
        let line = node.logged("again in ").await;
        let pause = line
            .rsplit("again in ")
            .next()
            .and_then(|rest| rest.strip_suffix(" ms")?.parse().ok());
        assert!(pause.is_some_and(|pause: u64| pause <= 100), "{line}");
    }
}

/// A read may be short without anything being wrong: what is left is read at once, not with the
/// next bytes that come.
#[tokio::test]
async fn a_list_is_read_to_its_end_however_short_the_reads_are() {
    let faults = FaultyCalls::new();
    let server = Peer::new().await;
    let (node, discovery, mut watch) = Node::faulty(&faults, &[("s", &server)]).await;
    faults.control.set_short_io_rate(fault_injection::ALWAYS);
    watch
        .list(2, false, &[member("s", server.address(), "leaving")])
        .await;
    tokio::select! {
        () = node.holds(2) => {}
        _ = discovery.request() => panic!("the watch was given up with a change on it"),
    }
}

/// A request that came while a new process did not accept yet has waited: its server is told what
/// is left.
#[tokio::test]
async fn the_time_of_a_request_runs_while_it_waits_to_be_accepted() {
    let (server, discovery) = (Peer::new().await, Peer::new().await);
    let known = serde_json::json!({"revision": 1, "complete": true, "members": [member("s", server.address(), "active")]});
    let config = serde_json::json!({
        "name": "n", "listen": "127.0.0.1:0", "seed": "1f", "discovery": discovery.address().to_string(),
        "limits": {"sockets": 1024, "memory_mb": MEMORY_MB}, "settings": settings(), "known": known,
    });
    // Discovery never answers: the process waits 0.6 s for its list.
    let node = Node::told(config, &[]).await;
    let _first = node.client().await;
    let mut client = node.client().await;
    client.send("safe", "20000m").await;
    let (mut wire, request) = server.request().await;
    let told = request
        .header("x-timeout")
        .and_then(|told| told.strip_suffix('u')?.parse().ok());
    assert!(
        told.is_some_and(|told: u64| told <= 19_550_000),
        "{told:?} us told, 19.4 s are left"
    );
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
}
