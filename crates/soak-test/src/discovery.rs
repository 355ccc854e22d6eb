//! Discovery: the list of servers for each node, whole on call and by watch, and all the ways in
//! which it fails.

use crate::http::{Connection, Message};
use crate::judge::Voice;
use crate::world::{Discovery, Phase, Shared, World};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};

/// A watch says something this often.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// An answer within this is prompt.
const PROMPT: Duration = Duration::from_millis(50);

/// Changes how discovery behaves.
pub fn turn(world: &World, to: Discovery) {
    let voice = match to {
        Discovery::Answers(delay) if delay > PROMPT => Voice::Slow,
        Discovery::Answers(_) => Voice::Speaks,
        Discovery::Down => Voice::Down,
        Discovery::Silent => Voice::Silent,
    };
    world.judge.borrow_mut().discovery_turns(voice);
    world.discovery.send_replace(to);
}

/// Takes the calls of one node at one address for good.
pub fn serve(world: Shared, node: usize, listener: TcpListener) -> AbortHandle {
    spawn_local(async move {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                continue;
            };
            let world = world.clone();
            spawn_local(async move {
                let mut connection = Connection::new(socket);
                if *world.discovery.borrow() == Discovery::Down {
                    return connection.reset();
                }
                let mut mode = world.discovery.subscribe();
                let mut resets = world.resets.subscribe();
                resets.mark_unchanged();
                tokio::select! {
                    () = call(&world, node, &mut connection) => {}
                    _ = mode.wait_for(|mode| *mode == Discovery::Down) => connection.reset(),
                    _ = resets.changed() => connection.reset(),
                }
            });
        }
    })
    .abort_handle()
}

async fn call(world: &Shared, node: usize, connection: &mut Connection) {
    let Ok(request) = connection.read().await else {
        return;
    };
    let Discovery::Answers(delay) = *world.discovery.borrow() else {
        return std::future::pending().await; // Silent: it never gets an answer, nor is it closed.
    };
    tokio::time::sleep(delay).await;
    let _ = match since(&request) {
        Some(revision) => watch(world, node, connection, revision).await,
        None => whole(world, node, connection).await,
    };
}

/// The version from which on a watch is asked for. None: the whole list is.
fn since(request: &Message) -> Option<u64> {
    let path = request.start.split(' ').nth(1)?;
    path.split_once("follow=1&since=")?.1.parse().ok()
}

async fn whole(world: &World, node: usize, connection: &Connection) -> std::io::Result<()> {
    let list = list(world, node, None).to_string();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    connection.write(head.as_bytes()).await
}

async fn watch(
    world: &World,
    node: usize,
    connection: &Connection,
    since: u64,
) -> std::io::Result<()> {
    connection
        .write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await?;
    let mut revision = world.revision.subscribe();
    let mut known = (since > 0).then_some(since);
    loop {
        let latest = *revision.borrow_and_update();
        if *world.discovery.borrow() == Discovery::Silent {
            return std::future::pending().await; // This watch says nothing for the rest of its life.
        }
        let line = match known {
            Some(known) if known == latest => String::new(),
            known => list(world, node, known).to_string(),
        };
        connection
            .write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
            .await?;
        known = Some(latest);
        let _ = tokio::time::timeout(HEARTBEAT, revision.changed()).await;
    }
}

/// The list or what of it has changed since a version; what it says counts as told from now on.
fn list(world: &World, node: usize, known: Option<u64>) -> Value {
    let mut judge = world.judge.borrow_mut();
    let named = |index: &usize| {
        let server = &world.servers[*index];
        match known {
            Some(known) => server.changed.get() > known,
            None => server.phase.get() != Phase::Left,
        }
    };
    let mut members = Vec::new();
    for index in 0..world.servers.len() {
        let server = &world.servers[index];
        if server.phase.get() != Phase::Active {
            judge.told_closed(node, index);
        } else if server.up_since.get() > 0 {
            judge.told_start(node, index);
        }
        if named(&index) {
            members.push(member(world, index));
        }
    }
    json!({"revision": *world.revision.borrow(), "complete": known.is_none(), "members": members})
}

fn member(world: &World, index: usize) -> Value {
    let server = &world.servers[index];
    let (zone, cell) = world.plan.places[index];
    let phase = match server.phase.get() {
        Phase::Active => "active",
        Phase::Leaving => "leaving",
        Phase::Left => "left",
    };
    json!({
        "id": format!("s{index}"), "host_port": server.address.to_string(),
        "locality": crate::plan::ZONES[zone],
        "flavor": "std", "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": server.up_since.get(),
    })
}

/// A listener of a node's own for discovery, at an address that it has not had before.
pub async fn listen(
    world: &Rc<World>,
    node: usize,
    turn: usize,
) -> std::io::Result<(TcpListener, String)> {
    let listener =
        TcpListener::bind(world.address(100 + u8::try_from(turn % 100).unwrap_or(0), node)).await?;
    let address = listener.local_addr()?.to_string();
    Ok((listener, address))
}
