//! Discovery: the endpoint list for each node, whole on a poll and by watch, and all the ways in which
//! it fails.

use crate::cluster::{AddressGroup, EndpointState, TestCluster};
use crate::discovery_mode::DiscoveryMode;
use crate::http::{Connection, Message};
use crate::plan::{BackendIndex, NodeIndex, ZONE_NAMES};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};

/// An open watch gets a line at least this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Changes how discovery behaves.
pub fn set_mode(cluster: &TestCluster, mode: DiscoveryMode) {
    cluster.checker().discovery_mode_changed(mode);
    cluster.discovery_mode.send_replace(mode);
}

/// A listener of discovery for one node, at an address that the node has not had before.
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

/// Serves the calls of one node until it is aborted. Open calls outlast that.
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

async fn serve_connection(cluster: Rc<TestCluster>, node: NodeIndex, mut connection: Connection) {
    if *cluster.discovery_mode.borrow() == DiscoveryMode::Down {
        return connection.reset();
    }
    let mut mode = cluster.discovery_mode.subscribe();
    let mut resets = cluster.watch_resets.subscribe();
    resets.mark_unchanged();
    tokio::select! {
        () = serve_call(&cluster, node, &mut connection) => {}
        _ = mode.wait_for(|mode| *mode == DiscoveryMode::Down) => connection.reset(),
        _ = resets.changed() => connection.reset(),
    }
}

async fn serve_call(cluster: &TestCluster, node: NodeIndex, connection: &mut Connection) {
    let Ok(request) = connection.read().await else {
        return;
    };
    let DiscoveryMode::Responding(delay) = *cluster.discovery_mode.borrow() else {
        return std::future::pending().await; // Silent: no response, and the connection stays open.
    };
    tokio::time::sleep(delay).await;
    let _ = match watched_revision(&request) {
        Some(revision) => serve_watch(cluster, node, connection, revision).await,
        None => serve_snapshot(cluster, node, connection).await,
    };
}

/// The revision from which on a watch is requested. `None`: the whole list is.
fn watched_revision(request: &Message) -> Option<u64> {
    let path = request.start_line.split(' ').nth(1)?;
    path.split_once("follow=1&since=")?.1.parse().ok()
}

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
    let mut written = (since > 0).then_some(since);
    loop {
        let latest = *revision.borrow_and_update();
        if *cluster.discovery_mode.borrow() == DiscoveryMode::Silent {
            return std::future::pending().await; // This watch stays silent for good.
        }
        let line = match written {
            Some(written) if written == latest => String::new(),
            written => endpoint_list(cluster, node, written).to_string(),
        };
        connection
            .write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
            .await?;
        written = Some(latest);
        let _ = tokio::time::timeout(HEARTBEAT_INTERVAL, revision.changed()).await;
    }
}

/// The whole list, or what has changed in it since a revision. The node counts as notified of it from
/// now on.
fn endpoint_list(cluster: &TestCluster, node: NodeIndex, since: Option<u64>) -> Value {
    let mut checker = cluster.checker();
    let mut members = Vec::new();
    for (index, backend) in cluster.backends.iter().enumerate() {
        let index = BackendIndex(index);
        if backend.state.get() != EndpointState::Active {
            checker.drain_written(node, index);
        } else if backend.started_at_ms.get() > 0 {
            checker.start_written(node, index);
        }
        let is_listed = match since {
            Some(since) => backend.changed_in.get() > since,
            None => backend.state.get() != EndpointState::Removed,
        };
        if is_listed {
            members.push(endpoint(cluster, index));
        }
    }
    json!({
        "revision": *cluster.list_revision.borrow(),
        "complete": since.is_none(),
        "members": members,
    })
}

fn endpoint(cluster: &TestCluster, index: BackendIndex) -> Value {
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
