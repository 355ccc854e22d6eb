//! A process that takes the place of another of its node, on a listener that both inherit.

mod common;
use common::*;
use serde_json::{json, Value};
use std::net::TcpListener;

/// What the platform holds for a node: its listener and its folder.
struct Platform {
    listener: TcpListener,
    folder: std::path::PathBuf,
    config: Value,
}

impl Platform {
    fn new(name: &str, discovery: &Peer) -> Self {
        let listener = TcpListener::bind(own_address()).expect("a port");
        let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let folder = folder.join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let config = json!({
            "name": "n", "listen": listener.local_addr().expect("an address").to_string(), "seed": "1f",
            "console": "127.0.0.1:0", "discovery": discovery.address().to_string(),
            "limits": {"sockets": 1024, "memory_mb": MEMORY_MB}, "settings": settings(),
        });
        Platform {
            listener,
            folder,
            config,
        }
    }

    /// Starts a process and gives it its first list.
    async fn start(&self, discovery: &Peer, members: &[Value]) -> (Node, Watch) {
        let variables = [("TMPDIR", self.folder.to_str().expect("a path"))];
        let node = Node::inheriting(self.config.clone(), &variables, Some(&self.listener)).await;
        let (mut watch, _) = discovery.watch().await;
        watch.list(1, true, members).await;
        while node.call("GET", "/healthcheck").await != 200 {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
        (node, watch)
    }
}

/// Asks for an answer of the only backend that may get anything.
async fn served(client: &mut Wire, backend: &Peer) -> Message {
    client.send("safe", "20000m").await;
    let (mut wire, _) = backend.request().await;
    wire.answer("200 OK", "Connection: close\r\n", "").await;
    client.read().await.expect("an answer")
}

#[tokio::test]
async fn a_process_takes_over_the_listener_and_what_operators_have_said() {
    let (discovery, a, b) = (Peer::new().await, Peer::new().await, Peer::new().await);
    let platform = Platform::new("takes-over", &discovery);
    let members = [
        member("a", a.address(), "active"),
        member("b", b.address(), "active"),
    ];
    let (mut old, _old_watch) = platform.start(&discovery, &members).await;
    assert_eq!(old.call("POST", "/backends/a/maint").await, 200);
    let (mut kept, mut busy) = (old.client().await, old.client().await);
    assert_eq!(served(&mut kept, &b).await.header("connection"), None);
    busy.send("safe", "20000m").await;
    let (mut under_way, _) = b.request().await;

    let (mut new, _new_watch) = platform.start(&discovery, &members).await;
    old.logged("accompanied=true").await;
    old.signal("TERM").await;
    old.logged("leaving handing_over=true").await;
    // The kept connection's next answer is its last, and what is under way is finished.
    let answer = served(&mut kept, &b).await;
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
    kept.closed().await;
    under_way.answer("200 OK", "", "").await;
    assert_eq!(busy.read().await.expect("an answer").status(), 200);
    assert!(old.exited().await.success());

    new.logged("accompanied=false").await;
    let mut client = new.client().await;
    for _ in 0..8 {
        assert_eq!(served(&mut client, &b).await.header("connection"), None);
    }
    assert_eq!(new.call("POST", "/backends/a/ready").await, 200);
    assert_eq!(new.call("POST", "/backends/b/maint").await, 200);
    assert_eq!(served(&mut client, &a).await.status(), 200);
}

/// Both processes of a node go by a call that one of them takes.
#[tokio::test]
async fn a_call_to_one_process_binds_the_other() {
    let (discovery, a) = (Peer::new().await, Peer::new().await);
    let platform = Platform::new("binds", &discovery);
    let members = [member("a", a.address(), "active")];
    let (mut old, _old_watch) = platform.start(&discovery, &members).await;
    let (mut new, _new_watch) = platform.start(&discovery, &members).await;
    assert_eq!(new.call("POST", "/backends/a/maint").await, 200);
    old.logged("told beside draining=false left_out=1").await;
    assert_eq!(old.call("POST", "/healthcheck/fail").await, 200);
    new.logged("told beside draining=true left_out=1").await;
    assert_eq!(new.get("/health/ready").await.status(), 503);
    // The drain does not keep an upgrade from going on.
    assert_eq!(new.call("GET", "/healthcheck").await, 200);
}

/// A process that has nobody beside it takes what still comes, though its listener is not its own.
#[tokio::test]
async fn a_process_alone_leaves_as_one_that_owns_its_listener() {
    let (discovery, a) = (Peer::new().await, Peer::new().await);
    let platform = Platform::new("alone", &discovery);
    let (mut node, _watch) = platform
        .start(&discovery, &[member("a", a.address(), "active")])
        .await;
    let mut open = node.client().await;
    open.send("safe", "20000m").await;
    let (mut under_way, _) = a.request().await;
    node.signal("TERM").await;
    node.logged("leaving handing_over=false").await;
    let mut client = node.client().await;
    assert_eq!(served(&mut client, &a).await.status(), 200);
    under_way.answer("200 OK", "", "").await;
    assert_eq!(open.read().await.expect("an answer").status(), 200);
    assert!(node.exited().await.success());
}

/// What the process before has left is no reason not to start.
#[tokio::test]
async fn a_spoilt_file_is_said_and_taken_as_empty() {
    let (discovery, a) = (Peer::new().await, Peer::new().await);
    let platform = Platform::new("spoilt", &discovery);
    std::fs::write(platform.folder.join("birchswitch.json"), "{\"version\":1,").expect("a file");
    let (node, _watch) = platform
        .start(&discovery, &[member("a", a.address(), "active")])
        .await;
    assert_eq!(served(&mut node.client().await, &a).await.status(), 200);
}

#[tokio::test]
async fn a_descriptor_that_is_no_listener_is_said_at_the_start() {
    let discovery = Peer::new().await;
    let platform = Platform::new("no-listener", &discovery);
    for (number, why) in [("x", "not a descriptor's number"), ("200", "is no socket")] {
        let config = platform.config.to_string();
        let ended = within(
            "the node's end",
            start_told(&config, &[("GW_LISTEN_FD", number)]).wait_with_output(),
        );
        let ended = ended.await.expect("its output");
        assert_eq!(ended.status.code(), Some(1));
        let said = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(said.contains(why), "{said}");
    }
}
