//! Servers: each works on what it gets with a few cores, and behaves as its conduct says.

use crate::http::{Connection, Message};
use crate::judge::Ran;
use crate::plan::{Conduct, CORES};
use crate::world::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// Most that waits at a server.
const QUEUE: usize = 40;
/// A server that closes without a word does so after this.
const SOON: Duration = Duration::from_millis(30);

/// Takes connections for good.
pub async fn serve(world: Shared, server: usize, listener: TcpListener) {
    let cores = Rc::new(Semaphore::new(CORES as usize));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let (world, cores) = (world.clone(), cores.clone());
        spawn_local(async move {
            let mut start = world.servers[server].start.subscribe();
            start.mark_unchanged();
            let connection = Connection::new(socket);
            let socket = connection.socket.clone();
            tokio::select! {
                () = converse(&world, server, connection, cores) => {}
                _ = start.changed() => drop(socket.set_zero_linger()),
            }
        });
    }
}

async fn converse(world: &Shared, server: usize, mut connection: Connection, cores: Rc<Semaphore>) {
    while let Ok(request) = connection.read().await {
        if !answer(world, server, &connection, &request, &cores).await {
            return;
        }
    }
}

/// Does with a request what the server's conduct is. False: the connection ends.
async fn answer(
    world: &Shared,
    server: usize,
    connection: &Connection,
    request: &Message,
    cores: &Semaphore,
) -> bool {
    let id = request
        .header("x-request-id")
        .unwrap_or_default()
        .to_owned();
    let told = request.header("x-timeout").and_then(parse_wait);
    let socket = Rc::downgrade(&connection.socket);
    let Some(attempt) = world
        .judge
        .borrow_mut()
        .attempt(&id, server, request.first, told, socket)
    else {
        return false;
    };
    let ended = |ran| world.judge.borrow_mut().attempt_ended(&id, attempt, ran);
    let this = &world.servers[server];
    let conduct = this.conduct.get();
    if conduct == Conduct::TurnAway || this.in_hand.get() >= QUEUE {
        ended(Ran::Never);
        let head =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
        return connection.write(head.as_bytes()).await.is_ok();
    }
    this.in_hand.set(this.in_hand.get() + 1);
    let core = cores.acquire().await;
    tokio::time::sleep(world.plan.work).await;
    drop(core);
    this.in_hand.set(this.in_hand.get() - 1);
    match conduct {
        Conduct::Hang => std::future::pending().await,
        Conduct::Reset => {
            connection.reset();
            return false;
        }
        Conduct::HalfAnswer => {
            let _ = connection.write(b"HTTP/1.1 200 OK\r\nContent-Le").await;
            connection.reset();
            return false;
        }
        Conduct::Garbage => {
            let _ = connection.write(b"what is this\r\n\r\n").await;
            return false;
        }
        Conduct::Fail => {
            ended(Ran::Maybe);
            let head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            return connection.write(head.as_bytes()).await.is_ok();
        }
        Conduct::Serve | Conduct::CloseSoon | Conduct::TurnAway => {}
    }
    ended(Ran::Maybe);
    let body = format!("{id} of server {server}");
    let queue = this.in_hand.get();
    let util = (queue as f64 / CORES).min(1.0);
    let report = if world.plan.reports {
        format!(
            "X-Server-Load: {{\"utilization\":{util:.2},\"backlog\":{}}}\r\n",
            queue.saturating_sub(CORES as usize)
        )
    } else {
        String::new()
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{report}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let written = connection.write(head.as_bytes()).await.is_ok();
    if conduct == Conduct::CloseSoon {
        tokio::time::sleep(SOON).await;
        return false;
    }
    written
}

/// A number and a unit: `m` for milliseconds, `u` for microseconds.
fn parse_wait(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    match unit {
        "m" => Some(Duration::from_millis(number.parse().ok()?)),
        "u" => Some(Duration::from_micros(number.parse().ok()?)),
        _ => None,
    }
}
