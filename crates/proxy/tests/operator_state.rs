//! Operator state on a file system whose reads and writes fail for a while.

mod common;
use common::*;
use fault_injection::SystemCall;
use serde_json::{json, Value};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

const STATE_FILE: &str = "birchswitch.json";
const NEW_STATE_FILE: &str = "birchswitch.json.next";
const LOCK_FILE: &str = "birchswitch.lock";

/// What a process with an admin address is started with, again and again.
struct StatefulNode {
    folder: StateFolder,
    discovery: ScriptedServer,
    endpoints: Vec<Value>,
}

impl StatefulNode {
    async fn new(test: &str, backends: &[(&str, &ScriptedServer)]) -> Self {
        StatefulNode {
            folder: StateFolder::new(test),
            discovery: ScriptedServer::new().await,
            endpoints: backends
                .iter()
                .map(|(id, backend)| endpoint(id, backend.address(), "active"))
                .collect(),
        }
    }

    /// Starts a process whose system calls may fail.
    async fn start(&self, faults: &FaultInjection) -> (ProxyProcess, WatchStream) {
        let proxy = ProxyBuilder::new(self.discovery.address())
            .admin()
            .state_folder(&self.folder)
            .faults(faults)
            .start()
            .await;
        let (mut watch, _) = self.discovery.accept_watch().await;
        watch.send_list(1, true, &self.endpoints).await;
        proxy.wait_until_healthy().await;
        (proxy, watch)
    }

    /// The state file's content.
    fn stored(&self) -> Value {
        let text =
            std::fs::read(self.folder.path.join(STATE_FILE)).unwrap_or_else(|_| b"null".to_vec());
        serde_json::from_slice(&text).expect("a whole file")
    }

    /// Replaces the state file, as a peer process does.
    fn store(&self, state: &str) {
        let new_file = self.folder.path.join("another");
        std::fs::write(&new_file, state).expect("a file");
        std::fs::rename(new_file, self.folder.path.join(STATE_FILE)).expect("a file");
    }

    /// The backends in maintenance, as the state file says.
    fn in_maintenance(&self) -> Vec<String> {
        let stored = self.stored();
        serde_json::from_value(stored["word"]["out"].clone()).unwrap_or_default()
    }

    /// Whether the state file names backends that may still be warming up after maintenance.
    fn names_returned_backends(&self) -> bool {
        let returned = &self.stored()["word"]["returned"];
        returned.as_object().is_some_and(|names| !names.is_empty())
    }
}

/// Sends this many requests and returns how many of them each backend got.
async fn requests_at(
    proxy: &ProxyProcess,
    [a, b]: [&ScriptedServer; 2],
    count: usize,
) -> [usize; 2] {
    let mut requests = [0; 2];
    let mut client = proxy.connect().await;
    for _ in 0..count {
        client.send("safe", "20000m").await;
        let (mut connection, backend) = tokio::select! {
            (connection, _) = a.accept_request() => (connection, 0),
            (connection, _) = b.accept_request() => (connection, 1),
        };
        requests[backend] += 1;
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
        client.expect_status(200).await;
    }
    requests
}

/// A second after the call at the latest the backend has to be left alone, whatever storing takes.
#[tokio::test]
async fn maintenance_is_in_force_while_a_slow_file_system_stores_it() {
    const STALL: Duration = Duration::from_secs(3);
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node_state = StatefulNode::new("slow", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, _watch) = node_state.start(&faults).await;
    faults.control.before_sync.pause_next(1, STALL);
    let call = proxy.admin_call("POST", "/backends/a/maint");
    let requests = async {
        sleep(Duration::from_secs(1)).await;
        requests_at(&proxy, [&a, &b], 16).await
    };
    let (status, requests) = tokio::join!(call, requests);
    assert_eq!(status, 200);
    assert_eq!(requests, [0, 16]);
    assert_eq!(node_state.in_maintenance(), ["a"]);
    // It is used again only once that is stored.
    faults.control.before_sync.pause_next(1, STALL);
    let call = proxy.admin_call("POST", "/backends/a/ready");
    let requests = requests_at(&proxy, [&a, &b], 16);
    let (status, requests) = tokio::join!(call, requests);
    assert_eq!(status, 200);
    assert_eq!(requests, [0, 16]);
}

/// A call that fails has changed nothing, although the backend was left alone meanwhile.
#[tokio::test]
async fn maintenance_that_cannot_be_stored_ends_with_the_call() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node_state = StatefulNode::new("not-stored", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, _watch) = node_state.start(&faults).await;
    let syncing = faults.control.faults(SystemCall::Sync);
    syncing.fail_next(1, &[libc::EIO]);
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 500);
    let requests = requests_at(&proxy, [&a, &b], 40).await;
    assert!(requests[0] > 0, "{requests:?}");
}

/// Whichever step of the write fails, the call fails and the file keeps its content.
#[tokio::test]
async fn admin_call_succeeds_only_once_its_state_is_durable() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node_state = StatefulNode::new("lasts", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, _watch) = node_state.start(&faults).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    // The steps: the lock and the new file are opened, the new file is written, synced and renamed,
    // the folder is synced. The process opens other files meanwhile, so an open is made to fail by
    // the file's name: a folder in its place cannot be opened for writing.
    for file in [LOCK_FILE, NEW_STATE_FILE] {
        let path = node_state.folder.path.join(file);
        let _ = std::fs::remove_file(&path);
        std::fs::create_dir(&path).expect("a folder");
        assert_eq!(
            proxy.admin_call("POST", "/backends/b/maint").await,
            500,
            "{file} cannot be opened"
        );
        assert_eq!(
            node_state.in_maintenance(),
            ["a"],
            "{file} cannot be opened"
        );
        std::fs::remove_dir(&path).expect("the folder is gone");
    }
    let steps = [
        (SystemCall::Write, 0),
        (SystemCall::Sync, 0),
        (SystemCall::Rename, 0),
        (SystemCall::Sync, 1),
    ];
    for (call, before) in steps {
        for error in [libc::ENOSPC, libc::EIO] {
            faults.control.faults(call).fail_after(before, 1, &[error]);
            assert_eq!(
                proxy.admin_call("POST", "/backends/b/maint").await,
                500,
                "{call:?} after {before}"
            );
            assert_eq!(
                faults.control.faults(call).remaining_failures(),
                0,
                "{call:?} after {before} was not made"
            );
            assert_eq!(
                node_state.in_maintenance(),
                ["a"],
                "{call:?} after {before}"
            );
        }
    }
    assert_eq!(proxy.admin_call("POST", "/backends/b/maint").await, 200);
    assert_eq!(node_state.in_maintenance(), ["a", "b"]);
}

/// A process killed between write and rename leaves it behind.
#[tokio::test]
async fn leftover_temporary_file_is_ignored() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node_state = StatefulNode::new("left-over", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    std::fs::write(
        node_state.folder.path.join(NEW_STATE_FILE),
        "{\"version\":1,\"node\":\"n\"",
    )
    .expect("a file");
    let (proxy, _watch) = node_state.start(&faults).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    assert_eq!(node_state.in_maintenance(), ["a"]);
}

/// The file counts neither as empty nor as read.
#[tokio::test]
async fn transient_read_failure_does_not_lose_the_state() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node_state = StatefulNode::new("owed", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, watch) = node_state.start(&faults).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    drop((proxy, watch));
    // The first to be read is the configuration.
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_after(1, 3, &[libc::EIO]);
    let (mut proxy, _watch) = node_state.start(&faults).await;
    assert_eq!(
        faults
            .control
            .faults(SystemCall::OpenRead)
            .remaining_failures(),
        0
    );
    let mut client = proxy.connect().await;
    for _ in 0..8 {
        client.send("safe", "20000m").await;
        let (mut connection, _) = b.accept_request().await;
        connection
            .respond("200 OK", "Connection: close\r\n", "")
            .await;
        client.expect_status(200).await;
    }
    // The change of another process, which cannot be read for a moment, is not lost or overwritten.
    let another =
        r#"{"version":1,"node":"n","word":{"draining":false,"out":["a","b"],"returned":{}}}"#;
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_next(5, &[libc::EIO]);
    node_state.store(another);
    while faults
        .control
        .faults(SystemCall::OpenRead)
        .remaining_failures()
        > 0
    {
        assert_eq!(proxy.admin_call("POST", "/healthcheck/fail").await, 500);
    }
    proxy
        .wait_for_log("operator state updated from file draining=false in_maintenance=2")
        .await;
    assert_eq!(node_state.in_maintenance(), ["a", "b"]);
}

/// The process forgets returns from maintenance in the file, and reads there what its peer has just
/// stored: that has to be in force, too.
#[tokio::test]
async fn state_of_a_peer_process_that_is_read_by_a_change_is_applied() {
    /// How long backends warm up, by the settings.
    const WARM_UP: Duration = Duration::from_secs(1);
    /// The peer stores its state this long before the end of the slow start.
    const LEAD: Duration = Duration::from_millis(5);
    const ROUNDS: usize = 5;
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node_state = StatefulNode::new("peer", &[("a", &a), ("b", &b)]).await;
    let (proxy, _watch) = node_state.start(&FaultInjection::new()).await;
    for round in 0..ROUNDS {
        assert_eq!(proxy.admin_call("POST", "/backends/b/ready").await, 200);
        assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
        assert_eq!(proxy.admin_call("POST", "/backends/a/ready").await, 200);
        sleep_until(Instant::now() + WARM_UP - LEAD).await;
        let mut stored = node_state.stored();
        stored["word"]["out"] = json!(["b"]);
        node_state.store(&stored.to_string());
        while node_state.names_returned_backends() {
            sleep(Duration::from_millis(5)).await;
        }
        // A peer's state is read ten times a second.
        sleep(Duration::from_millis(300)).await;
        let mut client = proxy.connect().await;
        for _ in 0..8 {
            client.send("safe", "20000m").await;
            let (mut connection, _) = tokio::select! {
                request = a.accept_request() => request,
                _ = b.accept_request() => panic!("sent to a backend in maintenance, round {round}"),
            };
            connection
                .respond("200 OK", "Connection: close\r\n", "")
                .await;
            client.expect_status(200).await;
        }
    }
}
