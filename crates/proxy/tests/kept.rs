//! What operators have said, kept in a folder whose writes and reads may fail for a while.

mod common;
use common::*;
use fault_injection::SystemCall;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

const KEPT: &str = "birchswitch.json";

/// A node with a console, a folder of its own, and calls that may fail.
struct Place {
    folder: PathBuf,
    config: Value,
    discovery: Peer,
    members: Vec<Value>,
}

impl Place {
    async fn new(name: &str, servers: &[(&str, &Peer)]) -> Self {
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let discovery = Peer::new().await;
        let config = json!({
            "name": "n", "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "seed": "1f",
            "discovery": discovery.address().to_string(),
            "limits": {"sockets": 1024, "memory_mb": MEMORY_MB}, "settings": settings(),
        });
        let members = servers
            .iter()
            .map(|s| member(s.0, s.1.address(), "active"))
            .collect();
        Place {
            folder,
            config,
            discovery,
            members,
        }
    }

    async fn start(&self, faults: &FaultyCalls) -> (Node, Watch) {
        let folder = [("TMPDIR", self.folder.to_str().expect("a path"))];
        let variables = [&faults.variables()[..], &folder].concat();
        let node = Node::told(self.config.clone(), &variables).await;
        let (mut watch, _) = self.discovery.watch().await;
        watch.list(1, true, &self.members).await;
        while node.call("GET", "/healthcheck").await != 200 {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
        (node, watch)
    }

    /// Which servers the file says are left out.
    fn out(&self) -> Vec<String> {
        let text = std::fs::read(self.folder.join(KEPT)).unwrap_or_else(|_| b"null".to_vec());
        let kept: Value = serde_json::from_slice(&text).expect("a whole file");
        serde_json::from_value(kept["word"]["out"].clone()).unwrap_or_default()
    }
}

/// A yes lasts. Whatever step of the writing fails, the answer is a no, and the file says what it
/// said before.
#[tokio::test]
async fn a_yes_is_given_only_for_what_lasts() {
    let (a, b) = (Peer::new().await, Peer::new().await);
    let place = Place::new("lasts", &[("a", &a), ("b", &b)]).await;
    let faults = FaultyCalls::new();
    let (node, _watch) = place.start(&faults).await;
    assert_eq!(node.call("POST", "/backends/a/maint").await, 200);
    // The steps: the lock and the new file are opened, the new file is written, synced and renamed,
    // the folder is synced.
    let steps = [
        (SystemCall::OpenWrite, 0),
        (SystemCall::OpenWrite, 1),
        (SystemCall::Write, 0),
        (SystemCall::Sync, 0),
        (SystemCall::Rename, 0),
        (SystemCall::Sync, 1),
    ];
    for (call, before) in steps {
        for error in [libc::ENOSPC, libc::EIO] {
            faults.control.faults(call).fail_after(before, 1, &[error]);
            assert_eq!(
                node.call("POST", "/backends/b/maint").await,
                500,
                "{call:?} after {before}"
            );
            assert_eq!(
                faults.control.faults(call).remaining_failures(),
                0,
                "{call:?} after {before} was not made"
            );
            assert_eq!(place.out(), ["a"], "{call:?} after {before}");
        }
    }
    assert_eq!(node.call("POST", "/backends/b/maint").await, 200);
    assert_eq!(place.out(), ["a", "b"]);
}

/// A process that was killed between the writing and the renaming leaves a file behind that nobody
/// goes by.
#[tokio::test]
async fn a_left_over_file_is_nobodys_word() {
    let (a, b) = (Peer::new().await, Peer::new().await);
    let place = Place::new("left-over", &[("a", &a), ("b", &b)]).await;
    let faults = FaultyCalls::new();
    std::fs::write(
        place.folder.join("birchswitch.json.next"),
        "{\"version\":1,\"node\":\"n\"",
    )
    .expect("a file");
    let (node, _watch) = place.start(&faults).await;
    assert_eq!(node.call("POST", "/backends/a/maint").await, 200);
    assert_eq!(place.out(), ["a"]);
}

/// A file that can't be read for a moment is not taken as empty, and not as read either.
#[tokio::test]
async fn a_file_that_cannot_be_read_for_a_moment_is_still_owed() {
    let (a, b) = (Peer::new().await, Peer::new().await);
    let place = Place::new("owed", &[("a", &a), ("b", &b)]).await;
    let faults = FaultyCalls::new();
    let (node, watch) = place.start(&faults).await;
    assert_eq!(node.call("POST", "/backends/a/maint").await, 200);
    drop((node, watch));
    // The first to be read is the configuration.
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_after(1, 3, &[libc::EIO]);
    let (mut node, _watch) = place.start(&faults).await;
    assert_eq!(
        faults
            .control
            .faults(SystemCall::OpenRead)
            .remaining_failures(),
        0
    );
    let mut client = node.client().await;
    for _ in 0..8 {
        client.send("safe", "20000m").await;
        let (mut wire, _) = b.request().await;
        wire.answer("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
    // Another process's change, of which the reading fails: it is not lost, and not written over.
    let another =
        r#"{"version":1,"node":"n","word":{"draining":false,"out":["a","b"],"returned":{}}}"#;
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_next(5, &[libc::EIO]);
    std::fs::write(place.folder.join("another"), another).expect("a file");
    std::fs::rename(place.folder.join("another"), place.folder.join(KEPT)).expect("a file");
    while faults
        .control
        .faults(SystemCall::OpenRead)
        .remaining_failures()
        > 0
    {
        assert_eq!(node.call("POST", "/healthcheck/fail").await, 500);
    }
    node.logged("told beside draining=false left_out=2").await;
    assert_eq!(place.out(), ["a", "b"]);
}
