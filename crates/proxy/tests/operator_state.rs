//! Operator state on a file system whose reads and writes fail for a while.

mod common;
use common::*;
use fault_injection::Call;
use serde_json::Value;

const STATE_FILE: &str = "birchswitch.json";

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

    /// The backends in maintenance, as the state file says.
    fn in_maintenance(&self) -> Vec<String> {
        let text =
            std::fs::read(self.folder.path.join(STATE_FILE)).unwrap_or_else(|_| b"null".to_vec());
        let kept: Value = serde_json::from_slice(&text).expect("a whole file");
        serde_json::from_value(kept["word"]["out"].clone()).unwrap_or_default()
    }
}

/// A yes lasts. Whatever step of the writing fails, the answer is a no, and the file says what it
/// said before.
#[tokio::test]
async fn admin_call_succeeds_only_once_its_state_is_durable() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node_state = StatefulNode::new("lasts", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    let (proxy, _watch) = node_state.start(&faults).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    // The steps: the lock and the new file are opened, the new file is written, synced and renamed,
    // the folder is synced.
    let steps = [
        (Call::OpenWrite, 0),
        (Call::OpenWrite, 1),
        (Call::Write, 0),
        (Call::Sync, 0),
        (Call::Rename, 0),
        (Call::Sync, 1),
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
                faults.control.faults(call).left(),
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

/// A process that was killed between the writing and the renaming leaves a file behind that nobody
/// goes by.
#[tokio::test]
async fn leftover_temporary_file_is_ignored() {
    let (a, b) = (ScriptedServer::new().await, ScriptedServer::new().await);
    let node_state = StatefulNode::new("left-over", &[("a", &a), ("b", &b)]).await;
    let faults = FaultInjection::new();
    std::fs::write(
        node_state.folder.path.join("birchswitch.json.next"),
        "{\"version\":1,\"node\":\"n\"",
    )
    .expect("a file");
    let (proxy, _watch) = node_state.start(&faults).await;
    assert_eq!(proxy.admin_call("POST", "/backends/a/maint").await, 200);
    assert_eq!(node_state.in_maintenance(), ["a"]);
}

/// A file that can't be read for a moment is not taken as empty, and not as read either.
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
        .faults(Call::OpenRead)
        .fail_after(1, 3, &[libc::EIO]);
    let (mut proxy, _watch) = node_state.start(&faults).await;
    assert_eq!(faults.control.faults(Call::OpenRead).left(), 0);
    let mut client = proxy.connect().await;
    for _ in 0..8 {
        client.send("safe", "20000m").await;
        let (mut wire, _) = b.accept_request().await;
        wire.respond("200 OK", "Connection: close\r\n", "").await;
        assert_eq!(client.read().await.expect("an answer").status(), 200);
    }
    // Another process's change, of which the reading fails: it is not lost, and not written over.
    let another =
        r#"{"version":1,"node":"n","word":{"draining":false,"out":["a","b"],"returned":{}}}"#;
    faults
        .control
        .faults(Call::OpenRead)
        .fail_next(5, &[libc::EIO]);
    std::fs::write(node_state.folder.path.join("another"), another).expect("a file");
    std::fs::rename(
        node_state.folder.path.join("another"),
        node_state.folder.path.join(STATE_FILE),
    )
    .expect("a file");
    while faults.control.faults(Call::OpenRead).left() > 0 {
        assert_eq!(proxy.admin_call("POST", "/healthcheck/fail").await, 500);
    }
    proxy
        .wait_for_log("told beside draining=false left_out=2")
        .await;
    assert_eq!(node_state.in_maintenance(), ["a", "b"]);
}
