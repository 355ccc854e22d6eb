//! Storage of the operator state: reads and writes that are slow or fail for a while, files left
//! over by a killed process, and changes by a peer process.

mod common;
use common::*;
use fault_injection::SystemCall;
use serde_json::{json, Value};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// The file that holds the operator state.
const STATE_FILE: &str = "birchswitch.json";
/// The file that a new state is written to before it replaces [`STATE_FILE`].
const NEW_STATE_FILE: &str = "birchswitch.json.next";
/// The file that a process locks while it changes the state.
const LOCK_FILE: &str = "birchswitch.lock";

/// A node whose processes, with an admin server, are started one after another on the same state
/// folder.
struct StatefulNode {
    state_folder: StateFolder,
    discovery: ScriptedServer,
    endpoints: Vec<Value>,
}

impl StatefulNode {
    /// Creates an empty state folder named after the test, and a discovery server.
    async fn new(test: &str, backends: &[(&str, &ScriptedServer)]) -> Self {
        StatefulNode {
            state_folder: StateFolder::new(test),
            discovery: ScriptedServer::new().await,
            endpoints: backends
                .iter()
                .map(|(id, backend)| endpoint(id, backend.address(), "active"))
                .collect(),
        }
    }

    /// Starts a process whose system calls the test can make fail, sends it an endpoint list and
    /// waits until it is ready.
    async fn start(&self, faults: &FaultInjection) -> (ProxyProcess, WatchStream) {
        let proxy = ProxyBuilder::new(self.discovery.address())
            .with_admin_server()
            .state_folder(&self.state_folder)
            .faults(faults)
            .start()
            .await;
        let (mut watch, _) = self.discovery.accept_watch().await;
        watch.send_list(1, true, &self.endpoints).await;
        proxy.wait_until_healthy().await;
        (proxy, watch)
    }

    /// Returns the content of the state file; null if it cannot be read.
    fn stored_state(&self) -> Value {
        let text = std::fs::read(self.state_folder.path.join(STATE_FILE))
            .unwrap_or_else(|_| b"null".to_vec());
        serde_json::from_slice(&text).expect("the state file should be complete JSON")
    }

    /// Replaces the state file by renaming another file to it, as a peer process does.
    fn replace_stored_state(&self, state: &str) {
        let new_file = self.state_folder.path.join("another");
        std::fs::write(&new_file, state).expect("writing the new file failed");
        std::fs::rename(new_file, self.state_folder.path.join(STATE_FILE))
            .expect("renaming the new file failed");
    }

    /// Returns the backends in maintenance according to the state file; none if it cannot be read.
    fn in_maintenance(&self) -> Vec<String> {
        let stored = self.stored_state();
        serde_json::from_value(stored["word"]["out"].clone()).unwrap_or_default()
    }

    /// Returns whether the state file names backends that may still be in slow start after
    /// maintenance.
    fn names_returned_backends(&self) -> bool {
        let returned = &self.stored_state()["word"]["returned"];
        returned.as_object().is_some_and(|names| !names.is_empty())
    }
}

/// Sends `count` requests one after another, and returns how many of them each backend got.
async fn count_requests_by_backend(
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

/// Storing the state may take long. A backend must get no requests from one second after the start
/// of its maintenance at the latest, however long storing takes, and must get requests again only
/// once the end of its maintenance is stored.
#[tokio::test]
async fn maintenance_is_in_force_while_a_slow_file_system_stores_it() {
    /// How long syncing the state file takes.
    const SYNC_PAUSE: Duration = Duration::from_secs(3);
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node = StatefulNode::new("slow", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, _watch) = node.start(&faults).await;
    faults.control.before_sync.pause_next(1, SYNC_PAUSE);
    let call = proxy.admin_call("POST", "/backends/a/maint");
    let requests = async {
        sleep(Duration::from_secs(1)).await;
        count_requests_by_backend(&proxy, [&a, &b], 16).await
    };
    let (status, requests) = tokio::join!(call, requests);
    assert_eq!(status, 200);
    assert_eq!(requests, [0, 16]);
    assert_eq!(node.in_maintenance(), ["a"]);
    // The backend gets requests again only once the end of its maintenance is stored.
    faults.control.before_sync.pause_next(1, SYNC_PAUSE);
    let call = proxy.admin_call("POST", "/backends/a/ready");
    let requests = count_requests_by_backend(&proxy, [&a, &b], 16);
    let (status, requests) = tokio::join!(call, requests);
    assert_eq!(status, 200);
    assert_eq!(requests, [0, 16]);
}

/// An admin call that fails must have changed nothing. The backend gets no requests while its
/// maintenance is being stored, and must get them again once storing has failed.
#[tokio::test]
async fn maintenance_that_cannot_be_stored_ends_with_the_call() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node = StatefulNode::new("not-stored", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, _watch) = node.start(&faults).await;
    let sync_faults = faults.control.faults(SystemCall::Sync);
    sync_faults.fail_next(1, &[libc::EIO]);
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 500);
    let requests = count_requests_by_backend(&proxy, [&a, &b], 40).await;
    assert!(requests[0] > 0, "{requests:?}");
}

/// Whichever step of writing the state file fails, the admin call must fail and the file must keep
/// its content. A call that succeeded too early would be forgotten by the next process.
#[tokio::test]
async fn admin_call_succeeds_only_once_its_state_is_durable() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node = StatefulNode::new("durable", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, _watch) = node.start(&faults).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    // The steps: the lock file and the new file are opened; the new file is written, synced and
    // renamed; the folder is synced. The process also opens other files meanwhile, so an open is
    // made to fail by the file's name: a folder in its place cannot be opened for writing.
    for file in [LOCK_FILE, NEW_STATE_FILE] {
        let path = node.state_folder.path.join(file);
        let _ = std::fs::remove_file(&path);
        std::fs::create_dir(&path).expect("creating a folder failed");
        assert_eq!(
            proxy.admin_call("POST", "/backends/b/maint").await,
            500,
            "{file} cannot be opened"
        );
        assert_eq!(node.in_maintenance(), ["a"], "{file} cannot be opened");
        std::fs::remove_dir(&path).expect("removing the folder failed");
    }
    let steps = [
        (SystemCall::Write, 0),
        (SystemCall::Sync, 0),
        (SystemCall::Rename, 0),
        (SystemCall::Sync, 1),
    ];
    for (call, skipped) in steps {
        for error in [libc::ENOSPC, libc::EIO] {
            faults.control.faults(call).fail_after(skipped, 1, &[error]);
            assert_eq!(
                proxy.admin_call("POST", "/backends/b/maint").await,
                500,
                "{call:?} failed after {skipped} calls"
            );
            assert_eq!(
                faults.control.faults(call).remaining_failures(),
                0,
                "{call:?} was not called after {skipped} calls"
            );
            assert_eq!(
                node.in_maintenance(),
                ["a"],
                "{call:?} failed after {skipped} calls"
            );
        }
    }
    assert_eq!(proxy.admin_call("POST", "/backends/b/maint").await, 200);
    assert_eq!(node.in_maintenance(), ["a", "b"]);
}

/// A process that is killed between writing the new state file and renaming it leaves an incomplete
/// file behind. The next process must not take it for the state, and must be able to replace it.
#[tokio::test]
async fn leftover_temporary_file_is_ignored() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node = StatefulNode::new("left-over", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    std::fs::write(
        node.state_folder.path.join(NEW_STATE_FILE),
        "{\"version\":1,\"node\":\"n\"",
    )
    .expect("writing the left-over file failed");
    let (proxy, _watch) = node.start(&faults).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    assert_eq!(node.in_maintenance(), ["a"]);
}

/// A state file that cannot be read for a moment must count neither as empty, which would end a
/// backend's maintenance, nor as read, which would miss or overwrite what a peer process has
/// stored.
#[tokio::test]
async fn transient_read_failure_does_not_lose_the_state() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node = StatefulNode::new("read-failure", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, watch) = node.start(&faults).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    drop((proxy, watch));
    // The first file that the process opens to read is its configuration: that must succeed.
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_after(1, 3, &[libc::EIO]);
    let (mut proxy, _watch) = node.start(&faults).await;
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
    // A change by another process that cannot be read for a moment is neither lost nor overwritten.
    let changed_by_peer =
        r#"{"version":1,"node":"n","word":{"draining":false,"out":["a","b"],"returned":{}}}"#;
    faults
        .control
        .faults(SystemCall::OpenRead)
        .fail_next(5, &[libc::EIO]);
    node.replace_stored_state(changed_by_peer);
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
    assert_eq!(node.in_maintenance(), ["a", "b"]);
}

/// When a process removes backends that have completed their slow start from the state file, it
/// reads there what its peer process has just stored. It must apply that too: otherwise it takes
/// the state as read, and keeps sending requests to a backend in maintenance.
#[tokio::test]
async fn state_of_a_peer_process_that_is_read_by_a_change_is_applied() {
    /// Duration of the slow start, in the settings.
    const SLOW_START_DURATION: Duration = Duration::from_secs(1);
    /// How long before the end of the slow start the peer process stores its state.
    const LEAD: Duration = Duration::from_millis(5);
    /// How often it is tried, since the two changes need not meet every time.
    const ROUNDS: usize = 5;
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node = StatefulNode::new("peer", &[("a", &a), ("b", &b)]).await;
    let (proxy, _watch) = node.start(&FaultInjection::new()).await;
    for round in 0..ROUNDS {
        assert_eq!(proxy.admin_call("POST", "/backends/b/ready").await, 200);
        assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
        assert_eq!(proxy.admin_call("POST", "/backends/a/ready").await, 200);
        sleep_until(Instant::now() + SLOW_START_DURATION - LEAD).await;
        let mut state = node.stored_state();
        state["word"]["out"] = json!(["b"]);
        node.replace_stored_state(&state.to_string());
        while node.names_returned_backends() {
            sleep(Duration::from_millis(5)).await;
        }
        // A process reads a peer process's state ten times a second.
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
