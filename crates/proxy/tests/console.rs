//! What operators ask of a node: backends taken out and called back, drains, and calls that say
//! nothing.

mod common;
use common::*;
use serde_json::json;

/// Asks once and lets whichever backend the request reaches answer; says which.
async fn served_by(client: &mut Wire, backends: &[(&'static str, &Peer)]) -> &'static str {
    client.send("safe", "20000m").await;
    let (a, b) = (&backends[0], &backends[1]);
    let (name, (mut wire, _)) = tokio::select! {
        taken = a.1.request() => (a.0, taken),
        taken = b.1.request() => (b.0, taken),
    };
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    name
}

/// A backend that is taken out gets nothing, also when lists go on naming it, drop it and name it
/// again. One call back is enough for two calls out.
#[tokio::test]
async fn a_backend_stays_out_whatever_lists_say_until_it_is_called_back() {
    let (a, b) = (Peer::new().await, Peer::new().await);
    let backends = [("a", &a), ("b", &b)];
    let (node, _discovery, mut watch) = Node::operated(&backends).await;
    let mut client = node.client().await;
    assert_eq!(node.call("POST", "/backends/a/maint").await, 200);
    assert_eq!(node.call("POST", "/backends/a/maint").await, 200);
    let both = [
        member("a", a.address(), "active"),
        member("b", b.address(), "active"),
    ];
    let lists = [&both[..], &both[1..], &both[..]];
    for (revision, list) in (2..).zip(lists) {
        watch.list(revision, true, list).await;
        node.holds(revision).await;
        for _ in 0..8 {
            assert_eq!(served_by(&mut client, &backends).await, "b");
        }
    }
    assert_eq!(node.call("POST", "/backends/a/ready").await, 200);
    while served_by(&mut client, &backends).await != "a" {}
}

/// One that the list has dropped may be called back, and is used once a list names it active again;
/// a list that says it leaves counts for as much as ever.
#[tokio::test]
async fn a_call_back_brings_nothing_into_use_that_no_list_names_active() {
    let (a, b) = (Peer::new().await, Peer::new().await);
    let backends = [("a", &a), ("b", &b)];
    let (node, _discovery, mut watch) = Node::operated(&backends).await;
    let mut client = node.client().await;
    assert_eq!(node.call("POST", "/backends/a/maint").await, 200);
    watch
        .list(2, true, &[member("b", b.address(), "active")])
        .await;
    node.holds(2).await;
    assert_eq!(node.call("POST", "/backends/a/ready").await, 200);
    watch
        .list(3, false, &[member("a", a.address(), "leaving")])
        .await;
    node.holds(3).await;
    assert_eq!(
        node.call("POST", "/backends/a/ready").await,
        200,
        "it is listed, and nothing is to be done"
    );
    for _ in 0..8 {
        assert_eq!(served_by(&mut client, &backends).await, "b");
    }
    watch
        .list(4, false, &[member("a", a.address(), "active")])
        .await;
    node.holds(4).await;
    while served_by(&mut client, &backends).await != "a" {}
}

/// What is under way when a backend is taken out is finished.
#[tokio::test]
async fn a_backend_that_is_taken_out_finishes_what_it_has() {
    let a = Peer::new().await;
    let (node, _discovery, _watch) = Node::operated(&[("a", &a)]).await;
    let mut client = node.client().await;
    client.send("safe", "20000m").await;
    let (mut wire, _) = a.request().await;
    assert_eq!(node.call("POST", "/backends/a/maint").await, 200);
    wire.answer("200 OK", "", "whole").await;
    assert_eq!(client.read().await.expect("an answer").body, b"whole");
    wire.closed().await;
}

#[tokio::test]
async fn calls_that_make_no_sense_get_a_no() {
    let a = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::operated(&[("a", &a)]).await;
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
        assert_eq!(node.call(method, path).await, status, "{method} {path}");
    }
    node.logged("call=\"POST /backends/nobody/maint\" status=404")
        .await;
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(20 << 10));
    for (text, status) in [("what\r\n\r\n", 400), (long.as_str(), 431)] {
        let mut caller = node.caller().await;
        caller.write_what_is_taken(text).await;
        assert_eq!(caller.read().await.expect("an answer").status(), status);
    }
    // Clients find none of this where they connect.
    assert_eq!(node.get("/healthcheck").await.status(), 404);
}

/// More callers than there are places, none of which finishes a call, keep nobody out: the first of
/// them go.
#[tokio::test]
async fn silent_callers_keep_no_operator_out() {
    let a = Peer::new().await;
    let (node, _discovery, _watch) = Node::operated(&[("a", &a)]).await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut caller = node.caller().await;
        if n % 2 == 0 {
            caller.write("POST /healthcheck/fa").await;
        }
        silent.push(caller);
    }
    assert_eq!(node.call("GET", "/healthcheck").await, 200);
    for mut caller in silent {
        caller.ended().await;
    }
}

/// In a drain the front hears a no at once, a kept connection ends with its next answer and an idle
/// one by itself, new ones are served while they come, and all of it ends with the drain.
#[tokio::test]
async fn a_drain_sends_clients_elsewhere_until_it_ends() {
    let a = Peer::new().await;
    let (node, _discovery, _watch) = Node::operated(&[("a", &a)]).await;
    let (mut kept, mut idle) = (node.client().await, node.client().await);
    for client in [&mut kept, &mut idle] {
        client.send("safe", "20000m").await;
        let (mut wire, _) = a.request().await;
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(
            client.read().await.expect("an answer").header("connection"),
            None
        );
    }
    for _ in 0..2 {
        assert_eq!(node.call("POST", "/healthcheck/fail").await, 200);
    }
    assert_eq!(node.get("/health/ready").await.status(), 503);
    assert_eq!(
        node.call("GET", "/healthcheck").await,
        200,
        "the process itself is well"
    );
    for client in [&mut kept, &mut node.client().await] {
        client.send("safe", "20000m").await;
        let (mut wire, _) = a.request().await;
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (200, Some("close"))
        );
        client.closed().await;
    }
    idle.closed().await;
    for _ in 0..2 {
        assert_eq!(node.call("POST", "/healthcheck/ok").await, 200);
    }
    assert_eq!(node.get("/health/ready").await.status(), 200);
    let mut client = node.client().await;
    for _ in 0..2 {
        client.send("safe", "20000m").await;
        let (mut wire, _) = a.request().await;
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(
            client.read().await.expect("an answer").header("connection"),
            None
        );
    }
}

#[tokio::test]
async fn a_drained_node_still_ends_on_a_signal() {
    let a = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::operated(&[("a", &a)]).await;
    let mut client = node.client().await;
    client.send("safe", "20000m").await;
    let (mut wire, _) = a.request().await;
    assert_eq!(node.call("POST", "/healthcheck/fail").await, 200);
    node.signal("TERM").await;
    node.logged("leaving").await;
    assert_eq!(node.call("GET", "/healthcheck").await, 503);
    assert_eq!(node.call("POST", "/healthcheck/ok").await, 409);
    wire.answer("200 OK", "", "").await;
    assert_eq!(client.read().await.expect("an answer").status(), 200);
    assert!(node.exited().await.success());
}

#[tokio::test]
async fn an_unusable_console_is_said_at_the_start() {
    let taken = Peer::new().await;
    for (console, why) in [
        ("here", "console"),
        (&*taken.address().to_string(), "cannot listen on"),
    ] {
        let config = json!({"listen": "127.0.0.1:0", "console": console, "discovery": "127.0.0.1:1", "seed": "1f",
                            "settings": settings()});
        let ended = within(
            "the node's end",
            start(&config.to_string()).wait_with_output(),
        )
        .await;
        let ended = ended.expect("its output");
        assert_eq!(ended.status.code(), Some(1));
        let said = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(said.contains(why), "{said}");
    }
}

/// SIGTERM during a drain, while a backend hangs: what was taken gets its final answer, and the
/// process ends.
#[tokio::test]
async fn a_signal_during_a_drain_leaves_nothing_unanswered() {
    let server = Peer::new().await;
    let (mut node, _discovery, _watch) = Node::operated(&[("s", &server)]).await;
    let (mut hung, mut served) = (node.client().await, node.client().await);
    hung.send("unsafe", "1500m").await;
    let (_wire, _) = server.request().await;
    served.send("unsafe", "20000m").await;
    let (mut wire, _) = server.request().await;
    assert_eq!(node.call("POST", "/healthcheck/fail").await, 200);
    node.signal("HUP").await;
    node.signal("TERM").await;
    node.logged("leaving").await;
    let answer = hung.read().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (504, Some("close"))
    );
    wire.answer("200 OK", "", "").await;
    let answer = served.read().await.expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    assert!(node.exited().await.success());
}
