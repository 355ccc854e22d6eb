//! Simulated discovery: serves each node the endpoint list, as a snapshot to a poll and as a stream
//! of changes to a watch, and simulates the failures of [`DiscoveryMode`].

use crate::cluster::{AddressGroup, EndpointState, TestCluster};
use crate::discovery_mode::DiscoveryMode;
use crate::http::{Connection, Message};
use crate::plan::{BackendIndex, NodeIndex, ZONE_NAMES};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};

/// Longest time between two lines of an open watch. If the list has not changed by then, an empty
/// line is written.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Changes how discovery behaves towards all nodes, and tells the checker.
pub fn set_mode(cluster: &TestCluster, mode: DiscoveryMode) {
    cluster.checker().discovery_mode_changed(mode);
    cluster.discovery_mode.send_replace(mode);
}

/// Binds a discovery address for one node. `generation` is the number of discovery addresses that
/// the node has had before.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen(
    cluster: &TestCluster,
    node: NodeIndex,
    generation: usize,
) -> std::io::Result<TcpListener> {
    TcpListener::bind(cluster.address(AddressGroup::Discovery { generation }, node.0)).await
}

/// Accepts connections of one node, and serves one request on each, until the returned handle
/// aborts the task. Connections that were accepted before are served on.
pub fn serve(cluster: Rc<TestCluster>, node: NodeIndex, listener: TcpListener) -> AbortHandle {
    spawn_local(async move {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                continue;
            };
            spawn_local(serve_connection(
                cluster.clone(),
                node,
                Connection::new(socket),
            ));
        }
    })
    .abort_handle()
}

/// Serves one request on a connection. The connection is reset if discovery is or goes down, or
/// resets its open connections.
async fn serve_connection(cluster: Rc<TestCluster>, node: NodeIndex, mut connection: Connection) {
    if *cluster.discovery_mode.borrow() == DiscoveryMode::Down {
        return connection.reset_on_close();
    }
    let mut mode = cluster.discovery_mode.subscribe();
    let mut resets = cluster.watch_resets.subscribe();
    resets.mark_unchanged();
    tokio::select! {
        () = serve_request(&cluster, node, &mut connection) => {}
        _ = mode.wait_for(|mode| *mode == DiscoveryMode::Down) => connection.reset_on_close(),
        _ = resets.changed() => connection.reset_on_close(),
    }
}

/// Reads a request and responds by the current mode of discovery.
async fn serve_request(cluster: &TestCluster, node: NodeIndex, connection: &mut Connection) {
    let Ok(request) = connection.read().await else {
        return;
    };
    let DiscoveryMode::Responding(delay) = *cluster.discovery_mode.borrow() else {
        return std::future::pending().await; // Silent: no response, but the connection stays open.
    };
    tokio::time::sleep(delay).await;
    let _ = match watched_revision(&request) {
        Some(revision) => serve_watch(cluster, node, connection, revision).await,
        None => serve_snapshot(cluster, node, connection).await,
    };
}

/// Returns the revision after which a watch requests changes; 0 requests a snapshot first. `None`
/// if the request is a poll.
fn watched_revision(request: &Message) -> Option<u64> {
    let path = request.start_line.split(' ').nth(1)?;
    path.split_once("follow=1&since=")?.1.parse().ok()
}

/// Responds to a poll with the complete list.
async fn serve_snapshot(
    cluster: &TestCluster,
    node: NodeIndex,
    connection: &Connection,
) -> std::io::Result<()> {
    let list = endpoint_list(cluster, node, None).to_string();
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    connection.write(response.as_bytes()).await
}

/// Writes the changes of the list after revision `since`, or first a snapshot if `since` is 0. Each
/// line is a chunk of its own. Returns only if a write fails.
async fn serve_watch(
    cluster: &TestCluster,
    node: NodeIndex,
    connection: &Connection,
    since: u64,
) -> std::io::Result<()> {
    connection
        .write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await?;
    let mut revision = cluster.list_revision.subscribe();
    let mut written_revision = (since > 0).then_some(since);
    loop {
        let latest = *revision.borrow_and_update();
        if *cluster.discovery_mode.borrow() == DiscoveryMode::Silent {
            return std::future::pending().await; // Stays silent, even once discovery responds again.
        }
        let line = match written_revision {
            Some(written_revision) if written_revision == latest => String::new(),
            written_revision => endpoint_list(cluster, node, written_revision).to_string(),
        };
        connection
            .write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
            .await?;
        written_revision = Some(latest);
        let _ = tokio::time::timeout(HEARTBEAT_INTERVAL, revision.changed()).await;
    }
}

/// Returns the complete list, or its changes after revision `since`, and informs the checker that
/// the node is notified now of the list's current state.
fn endpoint_list(cluster: &TestCluster, node: NodeIndex, since: Option<u64>) -> Value {
    let mut checker = cluster.checker();
    let mut members = Vec::new();
    for (index, backend) in cluster.backends.iter().enumerate() {
        let index = BackendIndex(index);
        if backend.state.get() != EndpointState::Active {
            checker.record_drain_written(node, index);
        } else if backend.started_at_ms.get() > 0 {
            checker.record_start_written(node, index);
        }
        let is_included = match since {
            Some(since) => backend.changed_at_revision.get() > since,
            None => backend.state.get() != EndpointState::Removed,
        };
        if is_included {
            members.push(endpoint_entry(cluster, index));
        }
    }
    json!({
        "revision": *cluster.list_revision.borrow(),
        "complete": since.is_none(),
        "members": members,
    })
}

/// Returns a backend's entry in the list.
fn endpoint_entry(cluster: &TestCluster, index: BackendIndex) -> Value {
    let backend = &cluster.backends[index.0];
    let location = cluster.plan.locations[index.0];
    let phase = match backend.state.get() {
        EndpointState::Active => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "left",
    };
    json!({
        "id": format!("s{index}"), "host_port": backend.address.to_string(),
        "locality": ZONE_NAMES[location.zone], "flavor": "std", "cell": location.cell,
        "phase": phase, "size": 1.0, "up_since_ms": backend.started_at_ms.get(),
    })
}
